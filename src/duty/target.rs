//! The thread that talks to the target beside this node, over HTTP.

use std::collections::HashMap;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use reqwest::{Client, Method, Response, StatusCode};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};

use crate::call::{AttemptId, HttpAnswer};
use crate::clock::Clock;
use crate::duty::decider::DeciderHandle;
use crate::node::{NodeEvent, TargetCall, TargetOutcome, header};

/// How long the target may take to acknowledge a cancellation.
const CANCEL_WAIT: Duration = Duration::from_millis(500);
/// How long making a connection to the target may take.
const CONNECT_WAIT: Duration = Duration::from_millis(500);
/// How long an unused connection is kept; targets close theirs later than that.
const IDLE_KEPT: Duration = Duration::from_secs(4);
/// The path below a target's URL that takes cancellations.
const CANCEL_PATH: &str = "/_aspenspring/cancel";
/// The value by which a target says that it did not run a request.
const NOT_RUN: &str = "not-run";
/// Headers that concern one connection only and are never passed on.
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

/// The ring to the thread was full, or the thread is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the ring to the target's thread is full")]
pub struct TargetRingFull;

/// An order to the thread.
#[derive(Debug)]
enum Order {
    /// Give a request to the target.
    Run(Box<TargetCall>),
    /// Give a request up.
    Abort(AttemptId),
}

/// Puts orders into the thread's ring.
#[derive(Clone, Debug)]
pub struct TargetHandle {
    /// Requests.
    calls: mpsc::Sender<Order>,
    /// Cancellations, which need room of their own when requests fill theirs.
    aborts: mpsc::Sender<Order>,
}

impl TargetHandle {
    /// Hands a request in.
    pub fn run(&self, call: TargetCall) -> Result<(), TargetRingFull> {
        self.calls.try_send(Order::Run(Box::new(call))).map_err(|_| TargetRingFull)
    }

    /// Hands a cancellation in. One for which there is no room is lost: the target then stops by
    /// the deadline it was given.
    pub fn abort(&self, attempt: AttemptId) {
        let _ = self.aborts.try_send(Order::Abort(attempt));
    }
}

/// The rings between the decider and the thread.
pub struct TargetRings {
    /// Requests.
    calls: mpsc::Receiver<Order>,
    /// Cancellations.
    aborts: mpsc::Receiver<Order>,
}

/// Rings of `entries` each.
pub fn rings(entries: usize) -> (TargetHandle, TargetRings) {
    let (calls, calls_taken) = mpsc::channel(entries);
    let (aborts, aborts_taken) = mpsc::channel(entries);
    (TargetHandle { calls, aborts }, TargetRings { calls: calls_taken, aborts: aborts_taken })
}

/// Starts the thread; it ends when the handle is gone.
pub fn start(
    rings: TargetRings,
    clock: Clock,
    decider: DeciderHandle,
    body_max_bytes: usize,
) -> eyre::Result<JoinHandle<()>> {
    let client = client()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let thread = std::thread::Builder::new().name("target".to_owned()).spawn(move || {
        let duty = TargetDuty { client, clock, decider, body_max_bytes };
        runtime.block_on(duty.run(rings));
    })?;
    Ok(thread)
}

/// A client that repeats and follows nothing by itself and reads nothing from the environment.
fn client() -> reqwest::Result<Client> {
    Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .referer(false)
        .http1_only()
        .connect_timeout(CONNECT_WAIT)
        .pool_idle_timeout(IDLE_KEPT)
        .tcp_nodelay(true)
        .build()
}

/// What the thread works with.
#[derive(Clone)]
struct TargetDuty {
    /// The HTTP client.
    client: Client,
    /// The time.
    clock: Clock,
    /// Where outcomes go.
    decider: DeciderHandle,
    /// The longest answer, in bytes.
    body_max_bytes: usize,
}

/// A request that the target has.
struct Running {
    /// Ends the exchange.
    handle: AbortHandle,
    /// The target's base URL.
    url: String,
    /// Names the request to the target.
    token: String,
}

impl TargetDuty {
    /// Carries out orders until the handle is gone.
    async fn run(self, mut rings: TargetRings) {
        let mut running: HashMap<AttemptId, Running> = HashMap::new();
        let mut tasks: JoinSet<(AttemptId, Option<TargetOutcome>)> = JoinSet::new();
        loop {
            tokio::select! {
                biased;
                Some(ended) = tasks.join_next(), if !tasks.is_empty() => {
                    self.ended(ended, &mut running);
                }
                Some(order) = rings.aborts.recv() => {
                    self.order(order, &mut running, &mut tasks);
                }
                order = rings.calls.recv() => {
                    let Some(order) = order else { return };
                    self.order(order, &mut running, &mut tasks);
                }
            }
        }
    }

    /// Begins to carry out one order.
    fn order(
        &self,
        order: Order,
        running: &mut HashMap<AttemptId, Running>,
        tasks: &mut JoinSet<(AttemptId, Option<TargetOutcome>)>,
    ) {
        match order {
            Order::Run(call) => {
                let (attempt, url, token) = (call.attempt, call.url.clone(), call.token.clone());
                let duty = self.clone();
                let handle =
                    tasks.spawn(async move { (attempt, Some(duty.exchange(*call).await)) });
                running.insert(attempt, Running { handle, url, token });
            }
            Order::Abort(attempt) => {
                let Some(ended) = running.remove(&attempt) else { return };
                ended.handle.abort();
                let duty = self.clone();
                tasks.spawn(async move {
                    duty.cancel(&ended.url, &ended.token).await;
                    (attempt, Some(TargetOutcome::Aborted))
                });
            }
        }
    }

    /// Reports the end of an exchange; one that was cancelled is reported by its cancellation.
    fn ended(
        &self,
        ended: Result<(AttemptId, Option<TargetOutcome>), tokio::task::JoinError>,
        running: &mut HashMap<AttemptId, Running>,
    ) {
        let Ok((attempt, outcome)) = ended else { return };
        running.remove(&attempt);
        if let Some(outcome) = outcome {
            self.decider.tell(NodeEvent::TargetEnded { attempt, outcome });
        }
    }

    /// One exchange with the target, ended at its deadline.
    async fn exchange(&self, call: TargetCall) -> TargetOutcome {
        let deadline = self.clock.instant(call.deadline_us);
        let Some(request) = self.request(&call) else { return TargetOutcome::Unreachable };
        let sent = tokio::time::timeout_at(deadline, request.send()).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_connect() || error.is_builder() => {
                return TargetOutcome::Unreachable;
            }
            Ok(Err(_)) | Err(_) => return TargetOutcome::Broke,
        };
        if declined(&response) {
            return TargetOutcome::Declined;
        }
        let read = self.answer(&call.request.method, response);
        tokio::time::timeout_at(deadline, read).await.unwrap_or(TargetOutcome::Broke)
    }

    /// The request as the target gets it.
    fn request(&self, call: &TargetCall) -> Option<reqwest::RequestBuilder> {
        let method = Method::from_bytes(call.request.method.as_bytes()).ok()?;
        let url = format!("{}{}", call.url.trim_end_matches('/'), call.request.path);
        let mut request = self.client.request(method, url);
        for (name, value) in &call.request.headers {
            request = request.header(name, value);
        }
        for (name, value) in &call.added_headers {
            request = request.header(*name, value);
        }
        Some(request.body(call.request.body.clone()))
    }

    /// Reads a whole answer.
    async fn answer(&self, method: &str, mut response: Response) -> TargetOutcome {
        if !is_delimited(method, &response) {
            // The end of such a body cannot be told from a connection that was cut.
            return TargetOutcome::Broke;
        }
        let status = response.status().as_u16();
        let headers = passed_headers(&response);
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

    /// Tells the target that nobody waits for a request any more.
    async fn cancel(&self, url: &str, token: &str) {
        let url = format!("{}{CANCEL_PATH}", url.trim_end_matches('/'));
        let request = self.client.post(url).header(header::CALL, token).timeout(CANCEL_WAIT);
        // The target may not offer cancellation; then it stops at its deadline.
        let _ = request.send().await;
    }
}

/// Whether the target says that it did not run the request.
fn declined(response: &Response) -> bool {
    response.headers().get(header::VERDICT).is_some_and(|value| value == NOT_RUN)
}

/// Whether the answer says where its body ends.
fn is_delimited(method: &str, response: &Response) -> bool {
    let headers = response.headers();
    let bodiless = method == "HEAD"
        || response.status() == StatusCode::NO_CONTENT
        || response.status() == StatusCode::NOT_MODIFIED;
    bodiless || headers.contains_key("content-length") || headers.contains_key("transfer-encoding")
}

/// The headers of an answer that are passed on.
fn passed_headers(response: &Response) -> Vec<(String, String)> {
    let mut passed = Vec::new();
    for (name, value) in response.headers() {
        let name = name.as_str();
        let internal = name.starts_with(header::INTERNAL_PREFIX) || name == "content-length";
        if internal || HOP_BY_HOP.contains(&name) {
            continue;
        }
        let Ok(value) = value.to_str() else { continue };
        passed.push((name.to_owned(), value.to_owned()));
    }
    passed
}
