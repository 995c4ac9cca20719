//! In-memory stand-ins for the platform's table service and object store, with fault injection.

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
use super::message::{Reply, Request};
use super::server::Server;
use crate::duty::web::WebError;

/// Worker threads of a stand-in of the platform.
const WORKERS: usize = 2;
/// Path at which faults are injected.
const FAULT_PATH: &str = "/fault";
/// Path that reports the number of reads and writes.
const STATS_PATH: &str = "/stats";

/// The stored data of the service that a stand-in replaces.
#[derive(Debug)]
enum Store {
    /// The transactional table service.
    Tables(Tables),
    /// The object store.
    Objects(Objects),
}

/// State of a stand-in, shared by its requests under a lock.
#[derive(Debug)]
struct State {
    /// The stored data.
    store: Store,
    /// The fault in effect.
    fault: Fault,
    /// Read requests, including failed ones.
    reads: u64,
    /// Write requests, including failed ones.
    writes: u64,
}

/// Starts a stand-in for the table service.
pub fn start_table(listen: SocketAddr) -> Result<Server, WebError> {
    start(listen, Store::Tables(Tables::default()))
}

/// Starts a stand-in for the object store.
pub fn start_objects(listen: SocketAddr) -> Result<Server, WebError> {
    start(listen, Store::Objects(Objects::default()))
}

/// Starts a stand-in that serves `store`.
fn start(listen: SocketAddr, store: Store) -> Result<Server, WebError> {
    let state = State { store, fault: Fault::default(), reads: 0, writes: 0 };
    let state = Arc::new(Mutex::new(state));
    Server::start(listen, WORKERS, move |request| answer(state.clone(), request))
}

/// Answers one request, subject to the fault in effect.
fn answer(
    state: Arc<Mutex<State>>,
    request: Request,
) -> Pin<Box<dyn Future<Output = Reply> + Send>> {
    Box::pin(async move {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", FAULT_PATH) => return set_fault(&state, &request),
            ("GET", STATS_PATH) => return stats(&state),
            _ => {}
        }
        let is_read = request.method == "GET";
        let fault = count_request(&state, is_read);
        match fault.mode {
            FaultMode::Up => apply(&state, &request),
            FaultMode::Down => Reply::closed(),
            FaultMode::Slow => {
                tokio::time::sleep(Duration::from_millis(fault.delay_ms)).await;
                apply(&state, &request)
            }
            FaultMode::LoseAnswers if is_read => apply(&state, &request),
            FaultMode::LoseAnswers => {
                apply(&state, &request);
                Reply::closed()
            }
        }
    })
}

/// Counts a request and returns the fault in effect.
fn count_request(state: &Mutex<State>, is_read: bool) -> Fault {
    let mut state = lock(state);
    if is_read {
        state.reads += 1;
    } else {
        state.writes += 1;
    }
    state.fault
}

/// Executes a request against the stored data.
fn apply(state: &Mutex<State>, request: &Request) -> Reply {
    match &mut lock(state).store {
        Store::Tables(tables) => tables.answer(request),
        Store::Objects(objects) => objects.answer(request),
    }
}

/// Injects the fault in the request.
fn set_fault(state: &Mutex<State>, request: &Request) -> Reply {
    match serde_json::from_slice::<Fault>(&request.body) {
        Ok(fault) => lock(state).fault = fault,
        Err(error) => return Reply::problem(400, &error.to_string()),
    }
    Reply::empty(204)
}

/// Reports how many requests were received, including failed ones.
fn stats(state: &Mutex<State>) -> Reply {
    let state = lock(state);
    Reply::json(200, &json!({"reads": state.reads, "writes": state.writes}))
}

/// Locks and ignores poisoning: no change under this lock can be left incomplete by a panic.
fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
