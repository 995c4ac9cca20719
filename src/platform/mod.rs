//! The adapter to the users' platform: translates its settings, headers, heartbeats, configuration
//! and metadata store. It decides nothing.

mod document;
mod heartbeat;
mod holds;
mod members;
mod names;
mod settings;
mod store;
mod watch;

use std::path::{Path, PathBuf};
use std::rc::Rc;

use eyre::WrapErr;
use tokio::task::{LocalSet, spawn_local};

use crate::clock::Clock;
use crate::config::TelemetrySettings;
use crate::event::{EventLog, FloodGate, LogEvent};
use crate::logging::Logging;
use crate::mesh::launch;
use crate::mesh::node::Node;

pub use document::read_document;
pub use settings::{PlatformSettings, SETTINGS_ENV, parse as parse_settings};

/// Runs a node on the platform until it is told to stop.
pub fn run() -> eyre::Result<()> {
    let path = std::env::var_os(SETTINGS_ENV)
        .ok_or_else(|| eyre::eyre!("the environment variable {SETTINGS_ENV} is not set"))?;
    let path = PathBuf::from(path);
    let settings = settings::read(&path)?;
    end_at_panic();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("the runtime cannot be started")?;
    LocalSet::new().block_on(&runtime, run_node(path, settings))
}

/// Ends the process at a panic: a node whose task is gone must not look alive.
fn end_at_panic() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
}

/// Reads the settings file again. What a node was told at its start holds until its next start, so
/// all that can be done is to say whether the file is valid.
fn check_settings(path: &Path, node: &Node) {
    let (outcome, detail) = match settings::read(path) {
        Ok(read) if read.mesh == node.settings => ("unchanged", String::new()),
        Ok(_) => ("from_next_start", String::new()),
        Err(error) => ("refused", format!("{error:#}")),
    };
    node.log.emit(&LogEvent::SettingsReread { outcome, detail });
}

async fn run_node(path: PathBuf, settings: PlatformSettings) -> eyre::Result<()> {
    let PlatformSettings { mesh, store } = settings;
    let logging = Logging::start(&TelemetrySettings::default(), std::io::stdout())?;
    let gate = FloodGate::new(mesh.log.request_lines_max);
    let log = EventLog::with_gate(logging.logger.clone(), Clock::start(), gate);
    log.emit(&LogEvent::MeshStarted {
        node_name: mesh.node.name.clone(),
        failure_domain: mesh.node.failure_domain.clone(),
        service: mesh.node.service.clone(),
        version: env!("CARGO_PKG_VERSION"),
        address: mesh.listen.peers,
    });
    let node = Rc::new(Node::new(mesh, names::header_names(), Box::new(read_document), log));
    launch::start(&node).wrap_err("the node cannot listen")?;
    heartbeat::start(&node).wrap_err("the node cannot listen for its target")?;
    spawn_local(watch::watch_site(Rc::clone(&node), store.address));
    spawn_local(members::join(Rc::clone(&node), store.address));
    spawn_local(holds::keep(Rc::clone(&node), store.address));
    let on_reload = || check_settings(&path, &node);
    launch::run_until_stopped(&node, on_reload).await.wrap_err("signals cannot be heard")
}
