//! A stand-in for one target of a service.
//!
//! It announces itself to its node. For each call, it waits for the service time, calls other
//! services through its node, and answers with an echo of the request. The caller can verify by the
//! echo that the answer is complete and belongs to its call.

mod announce;
mod call;
mod cancel;
mod children;
mod fault;
mod run_stats;
mod settings;
mod slots;
mod state;
mod work;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use thiserror::Error;
use tokio::task::JoinHandle;
use tokio::time::Instant;

pub use self::fault::{FaultMode, FaultRequest};
pub use self::run_stats::{RunEnd, RunStats};
pub use self::settings::TargetSettings;

use self::call::Call;
use self::fault::Fault;
use self::state::TargetState;
use super::client::client;
use super::message::{Reply, Request};
use super::server::Server;
use crate::duty::web::WebError;

/// Worker threads of a target.
const WORKERS: usize = 2;
/// Path prefix of control requests; all other paths are calls.
const CONTROL_PREFIX: &str = "/_aspenspring/";
/// Interval at which a draining target checks whether its calls have ended.
const DRAIN_POLL_MS: u64 = 10;

/// An error at the start of a target.
#[derive(Debug, Error)]
pub enum TargetError {
    /// The HTTP server did not start.
    #[error(transparent)]
    Server(#[from] WebError),
    /// The HTTP client could not be created.
    #[error("cannot create the HTTP client of a target")]
    Client(#[from] reqwest::Error),
}

/// A running target. Dropping it stops the target and aborts its calls.
#[derive(Debug)]
pub struct Target {
    /// State shared with the calls.
    state: Arc<TargetState>,
    /// The task that announces the target to its node.
    announcements: Option<JoinHandle<()>>,
    /// The HTTP server.
    server: Server,
}

impl Target {
    /// Starts a target and its announcements.
    pub fn start(settings: TargetSettings) -> Result<Self, TargetError> {
        let timeout = Duration::from_millis(settings.deadline_ms);
        let state = Arc::new(TargetState::new(settings.clone(), client(timeout)?));
        let handler_state = state.clone();
        let server = Server::start(settings.listen, WORKERS, move |request| {
            let state = handler_state.clone();
            async move { answer(&state, request).await }
        })?;
        let announcements = settings.node.map(|node| {
            let task = announce::announce(state.client.clone(), node, settings, server.address());
            server.runtime().spawn(task)
        });
        Ok(Self { state, announcements, server })
    }

    /// The bound address, including the port.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The base URL, without a trailing slash.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// A copy of the current counters of runs.
    pub fn run_stats(&self) -> RunStats {
        self.state.run_stats().clone()
    }

    /// Injects a fault in place of the previous one.
    pub fn inject_fault(&self, request: &FaultRequest) {
        self.state.set_fault(Fault::new(request, Instant::now()));
    }

    /// Drains the target: notifies the node, rejects new calls, and waits up to `timeout` for running
    /// ones.
    ///
    /// Returns the number of calls that still run after the wait.
    pub async fn drain(self, timeout: Duration) -> u32 {
        if let Some(announcements) = &self.announcements {
            announcements.abort();
        }
        if let Some(node) = self.state.settings.node {
            // The node may have stopped already.
            let _ = announce::notify_drain(&self.state.client, node).await;
        }
        self.state.start_draining();
        let until = Instant::now() + timeout;
        while self.state.slot_pools.running() > 0 && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
        }
        self.state.slot_pools.running()
    }
}

/// Answers one request: a control request or a call.
async fn answer(state: &TargetState, request: Request) -> Reply {
    let Some(operation) = request.path.strip_prefix(CONTROL_PREFIX) else {
        let call = Call::new(request, state.settings.deadline_ms, Instant::now());
        return work::serve(state, call).await;
    };
    match (request.method.as_str(), operation) {
        ("GET", "health") => health(state),
        ("GET", "load") => load(state),
        ("GET", "runs") => Reply::json(200, &*state.run_stats()),
        ("POST", "cancel") => cancel(state, &request),
        ("POST", "drain") => {
            state.start_draining();
            Reply::empty(204)
        }
        ("POST", "fault") => set_fault(state, &request),
        _ => Reply::problem(404, "no such path"),
    }
}

/// Reports whether the target is healthy; under [`FaultMode::Lie`], always healthy.
fn health(state: &TargetState) -> Reply {
    if state.is_draining() && state.fault().mode != FaultMode::Lie {
        return Reply::json(503, &json!({"status": "draining"}));
    }
    Reply::json(200, &json!({"status": "ok"}))
}

/// Reports how many calls run; under [`FaultMode::Lie`], always none.
fn load(state: &TargetState) -> Reply {
    let is_lying = state.fault().mode == FaultMode::Lie;
    let running = if is_lying { 0 } else { state.slot_pools.running() };
    Reply::json(200, &json!({"running": running, "slots": state.settings.slots}))
}

/// Cancels all calls with the call id in the request.
fn cancel(state: &TargetState, request: &Request) -> Reply {
    let call_id = request.header("aspenspring-call").filter(|call_id| !call_id.is_empty());
    let Some(call_id) = call_id else {
        return Reply::problem(400, "the header aspenspring-call is missing");
    };
    let status = if state.cancellations.cancel(call_id) { 204 } else { 404 };
    Reply::empty(status)
}

/// Injects the fault in the request.
fn set_fault(state: &TargetState, request: &Request) -> Reply {
    match serde_json::from_slice::<FaultRequest>(&request.body) {
        Ok(fault_request) => state.set_fault(Fault::new(&fault_request, Instant::now())),
        Err(error) => return Reply::problem(400, &error.to_string()),
    }
    Reply::empty(204)
}
