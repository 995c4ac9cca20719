//! Adapter to the users' platform: translates its settings, headers, heartbeats, configuration and metadata
//! store into the types of the mesh node. It contains no decision logic.

mod departures;
mod document;
mod headers;
mod heartbeat;
mod members;
mod quarantine;
mod settings;
mod store;
mod watch;

use std::backtrace::Backtrace;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use eyre::WrapErr;
use tokio::task::{LocalSet, spawn_local};

use crate::clock::Clock;
use crate::config::TelemetrySettings;
use crate::event::{EventLimiter, EventLog, LogEvent};
use crate::logging::Logging;
use crate::mesh::launch;
use crate::mesh::node::Node;

pub use document::read_document;
pub use settings::{PlatformSettings, SETTINGS_ENV, parse as parse_settings};

/// Runs a node on the platform until it is stopped by SIGTERM.
pub fn run() -> eyre::Result<()> {
    let path = std::env::var_os(SETTINGS_ENV)
        .ok_or_else(|| eyre::eyre!("the environment variable {SETTINGS_ENV} is not set"))?;
    let path = PathBuf::from(path);
    let settings = settings::read(&path)?;
    abort_on_panic();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("cannot start the async runtime")?;
    LocalSet::new().block_on(&runtime, run_node(path, settings))
}

/// Aborts the process on a panic, so that a node does not appear healthy after one of its tasks has ended.
///
/// Prints the backtrace, as the location of a panic in the standard library does not name the caller.
fn abort_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        default_hook(panic);
        eprintln!("{}", Backtrace::force_capture());
        std::process::abort();
    }));
}

/// Reads the settings file again and logs whether it is valid. Settings apply at the start of a node only, so
/// changes take effect at the next start.
fn check_settings(path: &Path, node: &Node) {
    let (outcome, detail) = match settings::read(path) {
        Ok(settings) if settings.mesh == node.settings => ("unchanged", String::new()),
        Ok(_) => ("from_next_start", String::new()),
        Err(error) => ("refused", format!("{error:#}")),
    };
    node.log.emit(&LogEvent::SettingsReread { outcome, detail });
}

async fn run_node(path: PathBuf, settings: PlatformSettings) -> eyre::Result<()> {
    let PlatformSettings { mesh, store } = settings;
    let logging = Logging::start(&TelemetrySettings::default(), std::io::stdout())?;
    let limiter = EventLimiter::new(mesh.log.request_lines_max);
    let log = EventLog::with_limiter(logging.logger.clone(), Clock::start(), limiter);
    log.emit(&LogEvent::MeshStarted {
        node_name: mesh.node.name.clone(),
        failure_domain: mesh.node.failure_domain.clone(),
        service: mesh.node.service.clone(),
        version: env!("CARGO_PKG_VERSION"),
        address: mesh.listen.peers,
    });
    let node = Rc::new(Node::new(mesh, headers::header_names(), Box::new(read_document), log));
    node.departures.await_restore();
    launch::start(&node).wrap_err("cannot open the listeners")?;
    heartbeat::start(&node).wrap_err("cannot listen for heartbeats of the target")?;
    spawn_local(watch::watch_site(Rc::clone(&node), store.address));
    spawn_local(members::join(Rc::clone(&node), store.address));
    spawn_local(quarantine::persist(Rc::clone(&node), store.address));
    let on_reload = || check_settings(&path, &node);
    launch::run_until_stopped(&node, on_reload).await.wrap_err("cannot install signal handlers")
}
