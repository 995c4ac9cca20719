//! The thread that sends requests to the node's own target over HTTP.

use std::collections::HashMap;
use std::fmt::Write;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Uri};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};

use crate::call::{AttemptId, HttpAnswer};
use crate::clock::Clock;
use crate::duty::decider::DeciderHandle;
use crate::mesh::http1::{self, Connection, ExchangeError, Reply};
use crate::mesh::idle::IdleConnections;
use crate::mesh::memory::MemoryBudget;
use crate::node::{NodeEvent, TargetCall, TargetOutcome, header};

/// The time limit for the target to acknowledge a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// The time limit for connecting to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of idle connections.
const IDLE_MAX: usize = 256;
/// The port of a URL without one.
const DEFAULT_PORT: u16 = 80;
/// The path below a target's URL that takes cancellations.
const CANCEL_PATH: &str = "/_aspenspring/cancel";
/// The verdict header value with which a target states that it did not run a request.
const NOT_RUN_VERDICT: &str = "not-run";
/// Hop-by-hop headers, which are never forwarded.
pub const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The ring to the target thread was full, or the thread has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the ring to the target thread is full")]
pub struct TargetRingFull;

/// A command to the target thread.
#[derive(Debug)]
enum Command {
    /// Send a request to the target.
    Run(Box<TargetCall>),
    /// Cancel a request.
    Abort(AttemptId),
}

/// Queues commands for the target thread.
#[derive(Clone, Debug)]
pub struct TargetHandle {
    /// Queues requests.
    calls: mpsc::Sender<Command>,
    /// Queues cancellations, separately so that they are accepted while the request queue is full.
    aborts: mpsc::Sender<Command>,
}

impl TargetHandle {
    /// Queues a request.
    pub fn run(&self, call: TargetCall) -> Result<(), TargetRingFull> {
        self.calls.try_send(Command::Run(Box::new(call))).map_err(|_| TargetRingFull)
    }

    /// Queues a cancellation, or drops it if its ring is full; the target then stops at the request's
    /// deadline.
    pub fn abort(&self, attempt: AttemptId) {
        let _ = self.aborts.try_send(Command::Abort(attempt));
    }
}

/// The receiving ends of the rings to the target thread.
pub struct TargetRings {
    /// Queued requests.
    calls: mpsc::Receiver<Command>,
    /// Queued cancellations.
    aborts: mpsc::Receiver<Command>,
}

/// Creates the rings, of `entries` each.
pub fn rings(entries: usize) -> (TargetHandle, TargetRings) {
    let (calls, calls_receiver) = mpsc::channel(entries);
    let (aborts, aborts_receiver) = mpsc::channel(entries);
    (TargetHandle { calls, aborts }, TargetRings { calls: calls_receiver, aborts: aborts_receiver })
}

/// Starts the target thread; it ends when all handles are dropped.
pub fn start(
    rings: TargetRings,
    clock: Clock,
    decider: DeciderHandle,
    body_max_bytes: usize,
) -> eyre::Result<JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let thread = std::thread::Builder::new().name("target".to_owned()).spawn(move || {
        let connections = IdleConnections::new(IDLE_MAX);
        let idle = Arc::new(Mutex::new(IdleToTarget { address: String::new(), connections }));
        let memory = MemoryBudget::new(usize::MAX);
        let worker = TargetWorker { idle, memory, clock, decider, body_max_bytes };
        runtime.block_on(worker.run(rings));
    })?;
    Ok(thread)
}

/// The shared state of the target thread's tasks.
#[derive(Clone)]
struct TargetWorker {
    idle: Arc<Mutex<IdleToTarget>>,
    /// The memory for bodies, without a limit: each body has one of its own.
    memory: MemoryBudget,
    /// Converts deadlines to instants.
    clock: Clock,
    /// Receives outcomes.
    decider: DeciderHandle,
    /// The maximum length of an answer's body, in bytes.
    body_max_bytes: usize,
}

/// Idle connections to the target.
struct IdleToTarget {
    /// The host and the port that they were opened to.
    address: String,
    connections: IdleConnections,
}

/// A request that has been sent to the target.
struct InFlight {
    /// Aborts the task of the exchange.
    handle: AbortHandle,
    /// The target's base URL.
    url: String,
    /// Identifies the request in a cancellation.
    token: String,
}

impl TargetWorker {
    /// Executes commands until all handles are dropped.
    async fn run(self, mut rings: TargetRings) {
        let mut in_flight: HashMap<AttemptId, InFlight> = HashMap::new();
        let mut tasks: JoinSet<(AttemptId, Option<TargetOutcome>)> = JoinSet::new();
        loop {
            tokio::select! {
                biased;
                Some(ended) = tasks.join_next(), if !tasks.is_empty() => {
                    self.report_outcome(ended, &mut in_flight);
                }
                Some(command) = rings.aborts.recv() => {
                    self.start_command(command, &mut in_flight, &mut tasks);
                }
                command = rings.calls.recv() => {
                    let Some(command) = command else { return };
                    self.start_command(command, &mut in_flight, &mut tasks);
                }
            }
        }
    }

    /// Starts to execute one command.
    fn start_command(
        &self,
        command: Command,
        in_flight: &mut HashMap<AttemptId, InFlight>,
        tasks: &mut JoinSet<(AttemptId, Option<TargetOutcome>)>,
    ) {
        match command {
            Command::Run(call) => {
                let (attempt, url, token) = (call.attempt, call.url.clone(), call.token.clone());
                let worker = self.clone();
                let handle =
                    tasks.spawn(async move { (attempt, Some(worker.exchange(*call).await)) });
                in_flight.insert(attempt, InFlight { handle, url, token });
            }
            Command::Abort(attempt) => {
                let Some(cancelled) = in_flight.remove(&attempt) else { return };
                cancelled.handle.abort();
                let worker = self.clone();
                tasks.spawn(async move {
                    worker.cancel(&cancelled.url, &cancelled.token).await;
                    (attempt, Some(TargetOutcome::Aborted))
                });
            }
        }
    }

    /// Reports the outcome of an exchange. A cancelled exchange is reported when its cancellation ends.
    fn report_outcome(
        &self,
        ended: Result<(AttemptId, Option<TargetOutcome>), tokio::task::JoinError>,
        in_flight: &mut HashMap<AttemptId, InFlight>,
    ) {
        let Ok((attempt, outcome)) = ended else { return };
        in_flight.remove(&attempt);
        if let Some(outcome) = outcome {
            self.decider.submit_event(NodeEvent::TargetEnded { attempt, outcome });
        }
    }

    /// Sends one request and reads its answer, until the request's deadline.
    async fn exchange(&self, call: TargetCall) -> TargetOutcome {
        let deadline = self.clock.instant(call.deadline_us);
        let forwarded = call.request.headers.iter().map(|(name, value)| (&name[..], &value[..]));
        let added = call.added_headers.iter().map(|(name, value)| (*name, &value[..]));
        let url = format!("{}{}", call.url.trim_end_matches('/'), call.request.path);
        let request = TargetRequest::new(
            &call.request.method,
            &url,
            forwarded.chain(added),
            call.request.body.clone(),
        );
        let Some(request) = request else { return TargetOutcome::Unreachable };
        let opened = tokio::time::timeout_at(deadline, self.open(&request.address)).await;
        let Ok(Ok(connection)) = opened else { return TargetOutcome::Unreachable };
        let sent = self.send(&request, connection);
        match tokio::time::timeout_at(deadline, sent).await {
            Ok(Ok(reply)) => outcome_of(reply),
            Ok(Err(ExchangeError::BodyTooLong)) => TargetOutcome::TooLong,
            // A broken answer does not prove that the request has not run.
            Ok(Err(_)) | Err(_) => TargetOutcome::Broke,
        }
    }

    /// Takes an idle connection to `address`, or opens one.
    async fn open(&self, address: &str) -> io::Result<Connection> {
        if let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        Ok(Connection::new(stream, &self.memory, self.body_max_bytes))
    }

    /// Sends a request on a connection, and keeps the connection if it can carry another one.
    async fn send(
        &self,
        request: &TargetRequest,
        mut connection: Connection,
    ) -> Result<Reply, ExchangeError> {
        let head = request.head.as_bytes();
        let reply = connection.exchange(&request.method, head, &request.body, |_| true).await?;
        if reply.is_reusable {
            self.keep(&request.address, connection);
        }
        Ok(reply)
    }

    /// Takes a usable idle connection to `address`, if there is one. Closes those to another address,
    /// as a node has one target.
    fn take_idle(&self, address: &str) -> Option<Connection> {
        let mut idle = self.idle();
        if idle.address != address {
            idle.connections.clear();
            address.clone_into(&mut idle.address);
        }
        idle.connections.take(|_| true)
    }

    /// Keeps a connection to `address` for reuse.
    fn keep(&self, address: &str, connection: Connection) {
        let mut idle = self.idle();
        if idle.address == address {
            idle.connections.keep(connection);
        }
    }

    fn idle(&self) -> MutexGuard<'_, IdleToTarget> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends the target a cancellation of a request whose result is no longer needed.
    async fn cancel(&self, url: &str, token: &str) {
        let url = format!("{}{CANCEL_PATH}", url.trim_end_matches('/'));
        let headers = [(header::CALL, token)].into_iter();
        let Some(request) = TargetRequest::new("POST", &url, headers, Bytes::new()) else { return };
        let sent = async {
            let Ok(connection) = self.open(&request.address).await else { return };
            drop(self.send(&request, connection).await);
        };
        // A target that does not support cancellation stops at the request's deadline.
        let _ = tokio::time::timeout(CANCEL_TIMEOUT, sent).await;
    }
}

/// A request to the target.
struct TargetRequest {
    /// The host and the port of the target.
    address: String,
    method: Method,
    /// The request line and the headers, with the empty line at their end.
    head: String,
    body: Bytes,
}

impl TargetRequest {
    /// Builds a request; `None` if the URL, the method or a header is invalid.
    fn new<'a>(
        method: &str,
        url: &str,
        headers: impl Iterator<Item = (&'a str, &'a str)>,
        body: Bytes,
    ) -> Option<Self> {
        let method = Method::from_bytes(method.as_bytes()).ok()?;
        let uri = url.parse::<Uri>().ok().filter(|uri| uri.scheme_str() == Some("http"))?;
        let (authority, path) = (uri.authority()?, uri.path_and_query()?);
        let address =
            format!("{}:{}", authority.host(), authority.port_u16().unwrap_or(DEFAULT_PORT));
        let mut head = format!("{method} {path} HTTP/1.1\r\nhost: {address}\r\n");
        for (name, value) in headers {
            HeaderName::from_bytes(name.as_bytes()).ok()?;
            HeaderValue::from_str(value).ok()?;
            write!(head, "{name}: {value}\r\n").ok()?;
        }
        if http1::states_length(method.as_str(), &body) {
            write!(head, "content-length: {}\r\n", body.len()).ok()?;
        }
        head.push_str("\r\n");
        Some(Self { address, method, head, body })
    }
}

/// The outcome that a complete answer states.
fn outcome_of(reply: Reply) -> TargetOutcome {
    match is_declined(&reply) {
        None => return TargetOutcome::Broke,
        Some(true) => return TargetOutcome::Declined,
        Some(false) => {}
    }
    if reply.ended_with_connection {
        // The end of such a body cannot be distinguished from a lost connection.
        return TargetOutcome::Broke;
    }
    let headers = forwarded_headers(&reply);
    TargetOutcome::Answered(HttpAnswer { status: reply.status, headers, body: reply.body })
}

/// Whether the target states that it did not run the request; `None` if its verdicts differ.
fn is_declined(reply: &Reply) -> Option<bool> {
    let mut verdicts = reply.values(header::VERDICT);
    let Some(verdict) = verdicts.next() else { return Some(false) };
    verdicts.all(|other| other == verdict).then(|| verdict == NOT_RUN_VERDICT.as_bytes())
}

/// The headers of an answer that are forwarded, names in lower case.
fn forwarded_headers(reply: &Reply) -> Vec<(String, String)> {
    let mut forwarded = Vec::new();
    for (name, value) in &reply.headers {
        let name = String::from_utf8_lossy(name).to_ascii_lowercase();
        let is_internal = name.starts_with(header::INTERNAL_PREFIX) || name == "content-length";
        if is_internal || HOP_BY_HOP.contains(&name.as_str()) {
            continue;
        }
        let Ok(value) = HeaderValue::from_bytes(value) else { continue };
        let Ok(value) = value.to_str() else { continue };
        forwarded.push((name, value.to_owned()));
    }
    forwarded
}
