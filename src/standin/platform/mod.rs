//! Stand-ins for the platform's table service and object store, in memory, with faults.

mod fault;
mod objects;
mod rows;

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::json;

pub use self::fault::{Fault, FaultMode};
use self::objects::Objects;
use self::rows::Tables;
use super::exchange::{Exchange, Reply};
use super::server::Server;
use crate::duty::web::WebError;

/// Worker threads of a stand-in of the platform.
const WORKERS: usize = 2;
/// Where faults are set.
const FAULT_PATH: &str = "/fault";
/// Where reads and writes are counted.
const STATS_PATH: &str = "/stats";

/// Which of the two services a stand-in is.
#[derive(Debug)]
enum Contents {
    /// The transactional table service.
    Tables(Tables),
    /// The object store.
    Objects(Objects),
}

/// What is behind the lock of a stand-in.
#[derive(Debug)]
struct State {
    /// What is kept.
    contents: Contents,
    /// The fault in force.
    fault: Fault,
    /// Requests that read, counted also when they fail.
    reads: u64,
    /// Requests that write, counted also when they fail.
    writes: u64,
}

/// Starts a table service.
pub fn start_table(listen: SocketAddr) -> Result<Server, WebError> {
    start(listen, Contents::Tables(Tables::default()))
}

/// Starts an object store.
pub fn start_objects(listen: SocketAddr) -> Result<Server, WebError> {
    start(listen, Contents::Objects(Objects::default()))
}

/// Starts a stand-in over its contents.
fn start(listen: SocketAddr, contents: Contents) -> Result<Server, WebError> {
    let state = State { contents, fault: Fault::default(), reads: 0, writes: 0 };
    let state = Arc::new(Mutex::new(state));
    Server::start(listen, WORKERS, move |exchange| answer(state.clone(), exchange))
}

/// Answers one exchange under the fault in force.
fn answer(
    state: Arc<Mutex<State>>,
    exchange: Exchange,
) -> Pin<Box<dyn Future<Output = Reply> + Send>> {
    Box::pin(async move {
        match (exchange.method.as_str(), exchange.path.as_str()) {
            ("POST", FAULT_PATH) => return set_fault(&state, &exchange),
            ("GET", STATS_PATH) => return stats(&state),
            _ => {}
        }
        let reading = exchange.method == "GET";
        let fault = count(&state, reading);
        match fault.mode {
            FaultMode::Up => apply(&state, &exchange),
            FaultMode::Down => Reply::closed(),
            FaultMode::Slow => {
                tokio::time::sleep(Duration::from_millis(fault.delay_ms)).await;
                apply(&state, &exchange)
            }
            FaultMode::LoseAnswers if reading => apply(&state, &exchange),
            FaultMode::LoseAnswers => {
                apply(&state, &exchange);
                Reply::closed()
            }
        }
    })
}

/// Counts a request and gives the fault it meets.
fn count(state: &Mutex<State>, reading: bool) -> Fault {
    let mut state = lock(state);
    if reading {
        state.reads += 1;
    } else {
        state.writes += 1;
    }
    state.fault
}

/// Carries a request out.
fn apply(state: &Mutex<State>, exchange: &Exchange) -> Reply {
    match &mut lock(state).contents {
        Contents::Tables(tables) => tables.answer(exchange),
        Contents::Objects(objects) => objects.answer(exchange),
    }
}

/// Puts a fault in force.
fn set_fault(state: &Mutex<State>, exchange: &Exchange) -> Reply {
    match serde_json::from_slice::<Fault>(&exchange.body) {
        Ok(fault) => lock(state).fault = fault,
        Err(error) => return Reply::problem(400, &error.to_string()),
    }
    Reply::empty(204)
}

/// Tells how many requests came in, whatever became of them.
fn stats(state: &Mutex<State>) -> Reply {
    let state = lock(state);
    Reply::json(200, &json!({"reads": state.reads, "writes": state.writes}))
}

/// Locks, also after a panic elsewhere: every change here is one step.
fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
