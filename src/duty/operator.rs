//! The operator HTTP API: health, metrics, node status, configuration and graceful shutdown.
//!
//! It holds no node state. Requests go through a bounded ring buffer to the thread that owns the
//! state; when the buffer is full, the response is 503 at once.

mod key;
mod reply;
mod request;
mod routes;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bon::Builder;
use rocket::fairing::AdHoc;
use tokio::sync::oneshot;

use super::web::{Problem, WebError, WebOptions, WebServer};
use crate::event::{EventLog, LogEvent};
use crate::telemetry::metrics::Metrics;

pub use self::key::OperatorKey;
pub use self::request::{
    ConfigEntry, ConfigView, Health, LeaveReply, OperatorRequest, Submission, SubmitReply,
};

/// How often recorded latencies are aggregated into histogram buckets.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Puts a request into the ring buffer, or returns it if the buffer is full.
pub type TrySendRequest = Arc<dyn Fn(OperatorRequest) -> Result<(), OperatorRequest> + Send + Sync>;

/// Options of the operator API.
#[derive(Builder, Clone)]
pub struct OperatorOptions {
    /// The address to listen on.
    pub address: SocketAddr,
    /// The operator key; without one only `GET /health` is served.
    pub key: Option<OperatorKey>,
    /// The environment variable that should hold the key; used only for logging.
    #[builder(into)]
    pub key_variable: String,
    /// Sends to the thread that owns the node's state.
    pub requests: TrySendRequest,
    /// The node's metrics.
    pub metrics: Metrics,
    /// The node's event log.
    pub events: EventLog,
    /// The longest configuration document, in bytes.
    #[builder(default = 1 << 20)]
    pub body_max_bytes: usize,
    /// Time limit for reading a request, in milliseconds.
    #[builder(default = 5_000)]
    pub read_timeout_ms: u64,
    /// Time limit for the node's reply, in milliseconds.
    #[builder(default = 2_000)]
    pub reply_timeout_ms: u64,
    /// Time limit for the reply to a configuration submission, in milliseconds.
    #[builder(default = 25_000)]
    pub submit_timeout_ms: u64,
}

impl fmt::Debug for OperatorOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorOptions").field("address", &self.address).finish_non_exhaustive()
    }
}

/// Starts the operator API.
///
/// # Errors
///
/// If the address cannot be bound or a thread cannot be started.
pub fn start(options: OperatorOptions) -> Result<WebServer, WebError> {
    if options.key.is_none() {
        let variable = options.key_variable.clone();
        options.events.emit(&LogEvent::OperatorKeyUnset { variable });
    }
    let web = WebOptions::builder()
        .name("operator")
        .address(options.address)
        .body_max_bytes(options.body_max_bytes)
        .read_timeout_ms(options.read_timeout_ms)
        .build();
    let metrics = options.metrics.clone();
    let state = OperatorState {
        key: options.key,
        requests: options.requests,
        metrics: options.metrics,
        events: options.events,
        health: tokio::sync::Mutex::new(None),
        body_max_bytes: options.body_max_bytes,
        read_timeout_ms: options.read_timeout_ms,
        reply_timeout_ms: options.reply_timeout_ms,
        submit_timeout_ms: options.submit_timeout_ms,
    };
    WebServer::start(&web, |rocket| {
        rocket.mount("/", routes::all()).manage(state).attach(metrics_upkeep(metrics))
    })
}

/// State shared by the routes.
pub(super) struct OperatorState {
    key: Option<OperatorKey>,
    requests: TrySendRequest,
    metrics: Metrics,
    events: EventLog,
    /// The cached health reply; it limits the load from unauthenticated requests.
    health: tokio::sync::Mutex<Option<(tokio::time::Instant, Result<Health, AskError>)>>,
    body_max_bytes: usize,
    read_timeout_ms: u64,
    reply_timeout_ms: u64,
    submit_timeout_ms: u64,
}

/// Why a request got no reply from the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AskError {
    /// The ring buffer was full or closed; the request was not queued.
    RingFull,
    /// The request was queued, but no reply came.
    NoReply,
}

impl OperatorState {
    /// Sends a request to the node and waits for its reply.
    async fn ask<T>(
        &self,
        timeout_ms: u64,
        make_request: impl FnOnce(oneshot::Sender<T>) -> OperatorRequest,
    ) -> Result<T, AskError> {
        let (reply, receiver) = oneshot::channel();
        (self.requests)(make_request(reply)).map_err(|_| AskError::RingFull)?;
        let waiting = tokio::time::timeout(Duration::from_millis(timeout_ms), receiver);
        let Ok(Ok(reply)) = waiting.await else {
            return Err(AskError::NoReply);
        };
        Ok(reply)
    }
}

impl From<AskError> for Problem {
    fn from(error: AskError) -> Self {
        let detail = match error {
            AskError::RingFull => "the node's ring is full",
            AskError::NoReply => "the node did not reply in time",
        };
        Problem::new(503, "Node is busy").detail(detail).retry_after_ms(1_000)
    }
}

/// Aggregates recorded latencies into histogram buckets while the server runs.
fn metrics_upkeep(metrics: Metrics) -> AdHoc {
    AdHoc::on_liftoff("metrics upkeep", move |rocket| {
        let shutdown = rocket.shutdown();
        tokio::spawn(async move {
            tokio::pin!(shutdown);
            while tokio::time::timeout(METRICS_UPKEEP_INTERVAL, &mut shutdown).await.is_err() {
                metrics.run_upkeep();
            }
        });
        Box::pin(async {})
    })
}
