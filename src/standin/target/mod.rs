//! A stand-in for one target of a service.
//!
//! It announces itself to its node, waits, calls other services by way of its node and answers with
//! what it saw, so that a caller can tell a whole and correct answer from any other.

mod announce;
mod call;
mod cancel;
mod children;
mod fault;
mod lanes;
mod ledger;
mod settings;
mod shared;
mod work;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use thiserror::Error;
use tokio::task::JoinHandle;
use tokio::time::Instant;

pub use self::fault::{FaultMode, FaultOrder};
pub use self::ledger::{Ledger, RunEnd};
pub use self::settings::TargetSettings;

use self::call::Call;
use self::fault::Fault;
use self::shared::Shared;
use super::client::client;
use super::exchange::{Exchange, Reply};
use super::server::Server;
use crate::duty::web::WebError;

/// Worker threads of a target.
const WORKERS: usize = 2;
/// What the paths begin with that are not calls.
const OWN_PREFIX: &str = "/_aspenspring/";
/// How often a leaving target looks whether its calls are done.
const LEAVE_LOOK_MS: u64 = 10;

/// Why a target did not start.
#[derive(Debug, Error)]
pub enum TargetError {
    /// Its server did not start.
    #[error(transparent)]
    Server(#[from] WebError),
    /// Its HTTP client could not be made.
    #[error("cannot make the HTTP client of a target")]
    Client(#[from] reqwest::Error),
}

/// A running target. It stops when this is dropped, cutting off what it runs.
#[derive(Debug)]
pub struct Target {
    /// Its state.
    shared: Arc<Shared>,
    /// Its announcements to its node.
    announcements: Option<JoinHandle<()>>,
    /// Its server.
    server: Server,
}

impl Target {
    /// Starts a target and its announcements.
    pub fn start(settings: TargetSettings) -> Result<Self, TargetError> {
        let longest = Duration::from_millis(settings.deadline_ms);
        let shared = Arc::new(Shared::new(settings.clone(), client(longest)?));
        let answering = shared.clone();
        let server = Server::start(settings.listen, WORKERS, move |exchange| {
            let shared = answering.clone();
            async move { answer(&shared, exchange).await }
        })?;
        let announcements = settings.node.map(|node| {
            let task = announce::announce(shared.client.clone(), node, settings, server.address());
            server.runtime().spawn(task)
        });
        Ok(Self { shared, announcements, server })
    }

    /// The address bound, with its port.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The base URL, without a slash at its end.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// What the target ran so far.
    pub fn ledger(&self) -> Ledger {
        self.shared.ledger().clone()
    }

    /// Puts a fault in force.
    pub fn fault(&self, order: &FaultOrder) {
        self.shared.set_fault(Fault::new(order, Instant::now()));
    }

    /// Leaves: tells the node, takes no new calls, and waits up to `wait` for those that run.
    ///
    /// Gives the number of calls that were still running at the end of the wait.
    pub async fn leave(self, wait: Duration) -> u32 {
        if let Some(announcements) = &self.announcements {
            announcements.abort();
        }
        if let Some(node) = self.shared.settings.node {
            // A node that is gone needs not be told.
            let _ = announce::drain(&self.shared.client, node).await;
        }
        self.shared.drain();
        let until = Instant::now() + wait;
        while self.shared.lanes.running() > 0 && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(LEAVE_LOOK_MS)).await;
        }
        self.shared.lanes.running()
    }
}

/// Answers one exchange.
async fn answer(shared: &Shared, exchange: Exchange) -> Reply {
    let Some(own) = exchange.path.strip_prefix(OWN_PREFIX) else {
        let call = Call::new(exchange, shared.settings.deadline_ms, Instant::now());
        return work::serve(shared, call).await;
    };
    match (exchange.method.as_str(), own) {
        ("GET", "health") => health(shared),
        ("GET", "load") => load(shared),
        ("GET", "runs") => Reply::json(200, &*shared.ledger()),
        ("POST", "cancel") => cancel(shared, &exchange),
        ("POST", "drain") => {
            shared.drain();
            Reply::empty(204)
        }
        ("POST", "fault") => set_fault(shared, &exchange),
        _ => Reply::problem(404, "no such path"),
    }
}

/// Whether the target is well, if it tells the truth.
fn health(shared: &Shared) -> Reply {
    if shared.is_draining() && shared.fault().mode != FaultMode::Lie {
        return Reply::json(503, &json!({"status": "draining"}));
    }
    Reply::json(200, &json!({"status": "ok"}))
}

/// How busy the target is, if it tells the truth.
fn load(shared: &Shared) -> Reply {
    let lying = shared.fault().mode == FaultMode::Lie;
    let running = if lying { 0 } else { shared.lanes.running() };
    Reply::json(200, &json!({"running": running, "slots": shared.settings.slots}))
}

/// Cancels the calls of a handle.
fn cancel(shared: &Shared, exchange: &Exchange) -> Reply {
    let handle = exchange.header("aspenspring-call").filter(|handle| !handle.is_empty());
    let Some(handle) = handle else {
        return Reply::problem(400, "the header aspenspring-call is missing");
    };
    let status = if shared.cancellations.cancel(handle) { 204 } else { 404 };
    Reply::empty(status)
}

/// Puts a fault in force.
fn set_fault(shared: &Shared, exchange: &Exchange) -> Reply {
    match serde_json::from_slice::<FaultOrder>(&exchange.body) {
        Ok(order) => shared.set_fault(Fault::new(&order, Instant::now())),
        Err(error) => return Reply::problem(400, &error.to_string()),
    }
    Reply::empty(204)
}
