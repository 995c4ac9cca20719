//! The operators' listener: health, metrics, state, configurations, leaving.
//!
//! It owns no state of the node. Every question goes through a bounded ring to the thread that
//! does; a full ring is answered with 503 at once.

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

/// How often recorded latencies are folded into buckets.
const METRICS_UPKEEP_EVERY: Duration = Duration::from_secs(5);

/// Puts a request into the ring, or returns it where the ring is full.
pub type OfferRequest = Arc<dyn Fn(OperatorRequest) -> Result<(), OperatorRequest> + Send + Sync>;

/// How the operators' listener is set up.
#[derive(Builder, Clone)]
pub struct OperatorOptions {
    /// The address to listen on.
    pub address: SocketAddr,
    /// The operators' key; without one only `GET /health` is answered.
    pub key: Option<OperatorKey>,
    /// The environment variable the key was looked for in; for the log only.
    #[builder(into)]
    pub key_variable: String,
    /// The ring to the thread that owns the node's state.
    pub requests: OfferRequest,
    /// The node's metrics.
    pub metrics: Metrics,
    /// The node's log.
    pub events: EventLog,
    /// The longest document of a configuration, in bytes.
    #[builder(default = 1 << 20)]
    pub body_max_bytes: usize,
    /// How long a sender may take for its request, in milliseconds.
    #[builder(default = 5_000)]
    pub read_timeout_ms: u64,
    /// How long the node may take to reply, in milliseconds.
    #[builder(default = 2_000)]
    pub reply_timeout_ms: u64,
    /// How long the node may take to have a configuration accepted, in milliseconds.
    #[builder(default = 25_000)]
    pub submit_timeout_ms: u64,
}

impl fmt::Debug for OperatorOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorOptions").field("address", &self.address).finish_non_exhaustive()
    }
}

/// Starts the operators' listener.
///
/// # Errors
///
/// An address that cannot be bound, or a thread that cannot be started.
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
        rocket.mount("/", routes::all()).manage(state).attach(keep_metrics(metrics))
    })
}

/// What the routes share.
pub(super) struct OperatorState {
    key: Option<OperatorKey>,
    requests: OfferRequest,
    metrics: Metrics,
    events: EventLog,
    /// The last reply about health, which keeps those without a key from loading the node.
    health: tokio::sync::Mutex<Option<(tokio::time::Instant, Result<Health, NoReply>)>>,
    body_max_bytes: usize,
    read_timeout_ms: u64,
    reply_timeout_ms: u64,
    submit_timeout_ms: u64,
}

/// Why the node did not reply to an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NoReply {
    /// The ring was full, or nobody takes from it: the request was not taken in.
    NotTaken,
    /// The request was taken in, and nothing came back.
    Silent,
}

impl OperatorState {
    /// Asks the node and waits for its reply.
    async fn ask<T>(
        &self,
        timeout_ms: u64,
        make: impl FnOnce(oneshot::Sender<T>) -> OperatorRequest,
    ) -> Result<T, NoReply> {
        let (reply, replied) = oneshot::channel();
        (self.requests)(make(reply)).map_err(|_| NoReply::NotTaken)?;
        let waiting = tokio::time::timeout(Duration::from_millis(timeout_ms), replied);
        let Ok(Ok(reply)) = waiting.await else {
            return Err(NoReply::Silent);
        };
        Ok(reply)
    }
}

impl From<NoReply> for Problem {
    fn from(no_reply: NoReply) -> Self {
        let detail = match no_reply {
            NoReply::NotTaken => "the node's ring is full",
            NoReply::Silent => "the node did not reply in time",
        };
        Problem::new(503, "Node is busy").detail(detail).retry_after_ms(1_000)
    }
}

/// Folds recorded latencies into buckets while the listener runs.
fn keep_metrics(metrics: Metrics) -> AdHoc {
    AdHoc::on_liftoff("keep metrics", move |rocket| {
        let shutdown = rocket.shutdown();
        tokio::spawn(async move {
            tokio::pin!(shutdown);
            while tokio::time::timeout(METRICS_UPKEEP_EVERY, &mut shutdown).await.is_err() {
                metrics.run_upkeep();
            }
        });
        Box::pin(async {})
    })
}
