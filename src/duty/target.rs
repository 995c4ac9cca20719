//! The thread that sends requests to the node's own target over HTTP.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use reqwest::{Client, Method, Response, StatusCode};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};

use crate::call::{AttemptId, HttpAnswer};
use crate::clock::Clock;
use crate::duty::decider::DeciderHandle;
use crate::framing::{FINAL_STATUSES, Framing};
use crate::node::{NodeEvent, TargetCall, TargetOutcome, header};

/// The time limit for the target to acknowledge a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// The time limit for connecting to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an idle connection is kept; shorter than the idle timeout of targets.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
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
    let client = Arc::new(Mutex::new(new_client()?));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let thread = std::thread::Builder::new().name("target".to_owned()).spawn(move || {
        let worker = TargetWorker { client, clock, decider, body_max_bytes };
        runtime.block_on(worker.run(rings));
    })?;
    Ok(thread)
}

/// Creates a client that neither retries nor follows redirects, and ignores proxy settings from the
/// environment.
fn new_client() -> reqwest::Result<Client> {
    Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .referer(false)
        .http1_only()
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .tcp_nodelay(true)
        .build()
}

/// The shared state of the target thread's tasks.
#[derive(Clone)]
struct TargetWorker {
    /// The HTTP client, replaced after a broken answer.
    client: Arc<Mutex<Client>>,
    /// Converts deadlines to instants.
    clock: Clock,
    /// Receives outcomes.
    decider: DeciderHandle,
    /// The maximum length of an answer's body, in bytes.
    body_max_bytes: usize,
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

    /// The current HTTP client.
    fn client(&self) -> Client {
        self.client.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Closes all connections once they are idle. An answer that the HTTP client accepts does not
    /// end its connection, though what follows a broken one need not be the next answer.
    fn close_connections(&self) {
        // Creating a client fails only for invalid settings, and these are constant.
        let Ok(client) = new_client() else { return };
        *self.client.lock().unwrap_or_else(PoisonError::into_inner) = client;
    }

    /// Sends one request and reads its answer, until the request's deadline.
    async fn exchange(&self, call: TargetCall) -> TargetOutcome {
        let deadline = self.clock.instant(call.deadline_us);
        let Some(request) = self.build_request(&call) else { return TargetOutcome::Unreachable };
        let sent = tokio::time::timeout_at(deadline, request.send()).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_connect() || error.is_builder() => {
                return TargetOutcome::Unreachable;
            }
            Ok(Err(_)) | Err(_) => return TargetOutcome::Broke,
        };
        let (Some(framing), Some(is_declined)) = (valid_framing(&response), is_declined(&response))
        else {
            self.close_connections();
            // A broken answer does not prove that the request has not run.
            return TargetOutcome::Broke;
        };
        if is_declined {
            return TargetOutcome::Declined;
        }
        let is_delimited =
            framing != Framing::UntilClose || is_bodiless(&call.request.method, &response);
        if !is_delimited {
            // The end of such a body cannot be distinguished from a lost connection.
            return TargetOutcome::Broke;
        }
        let read = self.read_answer(response);
        tokio::time::timeout_at(deadline, read).await.unwrap_or(TargetOutcome::Broke)
    }

    /// Builds the request to the target; `None` for an invalid method.
    fn build_request(&self, call: &TargetCall) -> Option<reqwest::RequestBuilder> {
        let method = Method::from_bytes(call.request.method.as_bytes()).ok()?;
        let url = format!("{}{}", call.url.trim_end_matches('/'), call.request.path);
        let mut request = self.client().request(method, url);
        for (name, value) in &call.request.headers {
            request = request.header(name, value);
        }
        for (name, value) in &call.added_headers {
            request = request.header(*name, value);
        }
        Some(request.body(call.request.body.clone()))
    }

    /// Reads a complete answer.
    async fn read_answer(&self, mut response: Response) -> TargetOutcome {
        let status = response.status().as_u16();
        let headers = forwarded_headers(&response);
        let mut body = BytesMut::new();
        loop {
            match response.chunk().await {
                Ok(Some(chunk)) => body.extend_from_slice(&chunk),
                Ok(None) => break,
                Err(_) => return TargetOutcome::Broke,
            }
            if body.len() > self.body_max_bytes {
                return TargetOutcome::TooLong;
            }
        }
        let body: Bytes = body.freeze();
        TargetOutcome::Answered(HttpAnswer { status, headers, body })
    }

    /// Sends the target a cancellation of a request whose result is no longer needed.
    async fn cancel(&self, url: &str, token: &str) {
        let url = format!("{}{CANCEL_PATH}", url.trim_end_matches('/'));
        let request = self.client().post(url).header(header::CALL, token).timeout(CANCEL_TIMEOUT);
        // A target that does not support cancellation stops at the request's deadline.
        let _ = request.send().await;
    }
}

/// Whether the target states that it did not run the request; `None` if its verdicts differ.
fn is_declined(response: &Response) -> Option<bool> {
    let mut verdicts = response.headers().get_all(header::VERDICT).iter();
    let Some(verdict) = verdicts.next() else { return Some(false) };
    verdicts.all(|other| other == verdict).then(|| verdict == NOT_RUN_VERDICT)
}

/// The framing of an answer whose status and fields are valid. The HTTP client accepts other
/// statuses, and reads a body to the end of the connection if it does not know the transfer coding.
fn valid_framing(response: &Response) -> Option<Framing> {
    if !FINAL_STATUSES.contains(&response.status().as_u16()) {
        return None;
    }
    let fields = response.headers().iter();
    Framing::of(fields.map(|(name, value)| (name.as_str().as_bytes(), value.as_bytes()))).ok()
}

/// Whether the answer has no body, whatever its fields state.
fn is_bodiless(method: &str, response: &Response) -> bool {
    let status = response.status();
    method == "HEAD" || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED
}

/// The headers of an answer that are forwarded.
fn forwarded_headers(response: &Response) -> Vec<(String, String)> {
    let mut forwarded = Vec::new();
    for (name, value) in response.headers() {
        let name = name.as_str();
        let is_internal = name.starts_with(header::INTERNAL_PREFIX) || name == "content-length";
        if is_internal || HOP_BY_HOP.contains(&name) {
            continue;
        }
        let Ok(value) = value.to_str() else { continue };
        forwarded.push((name.to_owned(), value.to_owned()));
    }
    forwarded
}
