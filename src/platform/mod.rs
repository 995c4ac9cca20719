//! The adapter to the users' platform: translates its settings, headers, heartbeats, configuration
//! and metadata store. It decides nothing.

mod document;
mod heartbeat;
mod members;
mod names;
mod settings;
mod store;
mod watch;

use std::path::Path;
use std::rc::Rc;

use eyre::WrapErr;
use tokio::task::{LocalSet, spawn_local};

use crate::mesh::launch;
use crate::mesh::node::Node;

pub use document::read_document;
pub use settings::{PlatformSettings, SETTINGS_ENV};

/// Runs a node on the platform until it is told to stop.
pub fn run() -> eyre::Result<()> {
    let path = std::env::var_os(SETTINGS_ENV)
        .ok_or_else(|| eyre::eyre!("the environment variable {SETTINGS_ENV} is not set"))?;
    let settings = settings::read(Path::new(&path))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("the runtime cannot be started")?;
    LocalSet::new().block_on(&runtime, run_node(settings))
}

async fn run_node(settings: PlatformSettings) -> eyre::Result<()> {
    let PlatformSettings { mesh, store } = settings;
    let node = Rc::new(Node::new(mesh, names::vocabulary(), Box::new(read_document)));
    launch::start(&node).wrap_err("the node cannot listen")?;
    heartbeat::start(&node).wrap_err("the node cannot listen for its target")?;
    spawn_local(watch::watch_site(Rc::clone(&node), store.address));
    spawn_local(members::join(Rc::clone(&node), store.address));
    launch::run_until_stopped(&node).await.wrap_err("signals cannot be heard")
}
