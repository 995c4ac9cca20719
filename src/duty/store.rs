//! The thread that sends requests to the platform's table service.
//!
//! Requests arrive through a bounded ring buffer and are refused at once when it is full. A request
//! is never repeated without the caller's knowledge: no redirects, no proxy, no retries and no
//! reused connections. The one exception is [`StoreOperation::ClaimKey`], which resolves a lost
//! response by reading the row back; a create that requires the row to be absent is idempotent.

mod circuit;
mod claim;
mod client;

use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;

use bon::Builder;
use serde::{Deserialize, Serialize};
use tokio::sync::{Semaphore, mpsc};

use crate::call::NodeId;
use crate::clock::Clock;

use circuit::CircuitBreaker;
use client::Client;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// The version assigned by the table service; increases with every write.
    pub version: u64,
    /// Its value.
    pub value: serde_json::Value,
}

/// The precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No precondition.
    Any,
    /// No row with this key exists.
    Absent,
    /// The row exists with this version.
    Version(u64),
}

/// The owner of an idempotency key chosen by a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The only node that may run requests with the key.
    pub owner: NodeId,
    /// A random number; with the other fields it forms the key that nodes use internally.
    pub nonce: u64,
    /// When the key was claimed, in milliseconds since the Unix epoch, by the owner's clock.
    pub minted_unix_ms: u64,
}

/// An operation on the table.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreOperation {
    /// Read all rows whose keys begin with a prefix.
    ReadRows {
        /// The prefix.
        prefix: String,
    },
    /// Read one row.
    ReadRow {
        /// Its key.
        key: String,
    },
    /// Write one row.
    Put {
        /// Its key.
        key: String,
        /// Its value.
        value: serde_json::Value,
        /// The precondition.
        condition: Condition,
    },
    /// Delete one row.
    Delete {
        /// Its key.
        key: String,
        /// The version the row must have; `None` for any.
        version: Option<u64>,
    },
    /// Claim an idempotency key, or read the existing claim.
    ClaimKey {
        /// The key of the claim's row, from [`claim_row_key`](crate::call::key::claim_row_key).
        key: String,
        /// The claim.
        claim: Claim,
    },
}

/// One request.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreRequest {
    /// Identifies the request in its outcome.
    pub id: u64,
    /// The operation to perform.
    pub operation: StoreOperation,
}

/// The result of a completed request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreOutcome {
    /// The rows read.
    Rows(Vec<Row>),
    /// The row read; `None` if it does not exist.
    Row(Option<Row>),
    /// The row was written.
    Written {
        /// Its new version.
        version: u64,
    },
    /// The row was deleted or did not exist.
    Deleted,
    /// The precondition did not hold; nothing was written or deleted.
    Conflict {
        /// The current row, if any.
        present: Option<Row>,
    },
    /// The permanent owner of the key: the claim of this request or an earlier one.
    Claimed(Claim),
}

/// Whether a request that failed may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Certainty {
    /// It did not take effect and will not.
    NotApplied,
    /// It may have taken effect, or may still do so.
    MayHaveBeenApplied,
}

/// A request that failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[error("table service: {cause}")]
pub struct StoreError {
    /// Whether it may have taken effect.
    pub certainty: Certainty,
    /// The cause, for logs.
    pub cause: String,
}

impl StoreError {
    /// A failure before anything was sent, or a response that rules out an effect.
    fn not_applied(cause: impl Into<String>) -> Self {
        Self { certainty: Certainty::NotApplied, cause: cause.into() }
    }

    /// A failure after the request may have reached the service.
    fn may_have_been_applied(cause: impl Into<String>) -> Self {
        Self { certainty: Certainty::MayHaveBeenApplied, cause: cause.into() }
    }
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreEvent {
    /// The request's id.
    pub id: u64,
    /// The result, or why the request failed.
    pub outcome: Result<StoreOutcome, StoreError>,
}

/// The ring buffer is full or the thread has ended; nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the store's ring is full")]
pub struct StoreFull;

/// The address of the table service and the limits on its use.
#[derive(Clone, Debug, Builder)]
pub struct StoreOptions {
    /// The table service's base URL.
    pub table_url: String,
    /// How long one exchange may take, in milliseconds.
    #[builder(default = 2_000)]
    pub timeout_ms: u64,
    /// Capacity of the request ring buffer.
    #[builder(default = 256)]
    pub ring_entries: usize,
    /// How many exchanges may run concurrently.
    #[builder(default = 8)]
    pub concurrency: usize,
    /// The sustained rate limit, in exchanges per second.
    #[builder(default = 20.0)]
    pub rate_per_s: f64,
    /// The burst size of the rate limit, in exchanges.
    #[builder(default = 20.0)]
    pub burst: f64,
    /// The longest time the circuit breaker stays open, in milliseconds.
    #[builder(default = 15_000)]
    pub pause_max_ms: u64,
    /// The seed of the jitter of that time.
    pub seed: u64,
}

/// Submits requests to the thread. The thread ends when all handles are dropped.
#[derive(Clone, Debug)]
pub struct StoreHandle {
    ring: mpsc::Sender<StoreRequest>,
}

impl StoreHandle {
    /// Submits a request; its outcome goes to the sink.
    ///
    /// # Errors
    ///
    /// `StoreFull` if the ring buffer is full or the thread has ended; the request was not sent.
    pub fn try_submit(&self, request: StoreRequest) -> Result<(), StoreFull> {
        self.ring.try_send(request).map_err(|_| StoreFull)
    }
}

/// Starts the thread. `sink` is called on that thread with each outcome and must not block.
///
/// # Errors
///
/// If the thread, its runtime or the HTTP client cannot be created.
pub fn start(
    options: StoreOptions,
    sink: impl Fn(StoreEvent) + Send + 'static,
) -> eyre::Result<(StoreHandle, JoinHandle<()>)> {
    let (ring, requests) = mpsc::channel(options.ring_entries);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let client = Client::new(&options.table_url, options.timeout_ms)?;
    let thread = std::thread::Builder::new().name("store".to_owned()).spawn(move || {
        let tasks = tokio::task::LocalSet::new();
        tasks.block_on(&runtime, run(options, client, requests, sink));
    })?;
    Ok((StoreHandle { ring }, thread))
}

/// Processes requests until all handles are dropped and all requests have an outcome.
async fn run(
    options: StoreOptions,
    client: Client,
    mut requests: mpsc::Receiver<StoreRequest>,
    sink: impl Fn(StoreEvent) + 'static,
) {
    let clock = Clock::start();
    let client = Rc::new(client);
    let circuit = Rc::new(CircuitBreaker::new(&options));
    let sink = Rc::new(sink);
    let permits = Arc::new(Semaphore::new(options.concurrency.max(1)));
    let permit_count = u32::try_from(options.concurrency.max(1)).unwrap_or(u32::MAX);
    while let Some(request) = requests.recv().await {
        let Ok(permit) = permits.clone().acquire_owned().await else { break };
        let (client, circuit, sink) = (client.clone(), circuit.clone(), sink.clone());
        tokio::task::spawn_local(async move {
            let outcome = execute(&client, &circuit, clock, request.operation).await;
            sink(StoreEvent { id: request.id, outcome });
            drop(permit);
        });
    }
    // Waits for the running exchanges; each has a timeout, so this terminates.
    let _all_permits = permits.acquire_many(permit_count).await;
}

/// Performs one request, which may take several exchanges.
async fn execute(
    client: &Client,
    circuit: &CircuitBreaker,
    clock: Clock,
    operation: StoreOperation,
) -> Result<StoreOutcome, StoreError> {
    let StoreOperation::ClaimKey { key, claim } = operation else {
        return exchange(client, circuit, clock, &operation).await;
    };
    claim::claim_key(key, claim, async |operation| {
        exchange(client, circuit, clock, &operation).await
    })
    .await
}

/// Performs one exchange with the table service, if the circuit breaker and rate limit allow it.
async fn exchange(
    client: &Client,
    circuit: &CircuitBreaker,
    clock: Clock,
    operation: &StoreOperation,
) -> Result<StoreOutcome, StoreError> {
    let wait = circuit.admit(clock.now_us())?;
    tokio::time::sleep(wait).await;
    let outcome = client.exchange(operation).await;
    circuit.report(clock.now_us(), outcome.is_ok());
    outcome
}
