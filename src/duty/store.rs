//! The thread that carries out requests to the platform's table service.
//!
//! Requests come through a bounded ring and are refused at once when it is full. Nothing is ever
//! sent twice behind the back of whoever asked: no redirects, no proxy, no retries, no connection
//! that was used before. The one exception is [`StoreOperation::ClaimKey`], which settles a lost
//! answer itself by reading back; creating a row that must not exist is safe to repeat.

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

use circuit::Circuit;
use client::Client;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// The version the table service gave it; raised with every write.
    pub version: u64,
    /// Its value.
    pub value: serde_json::Value,
}

/// What must stand in the table for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Anything.
    Any,
    /// No row with this key.
    Absent,
    /// The row with this version.
    Version(u64),
}

/// Who owns an idempotency key of a caller's own making.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The only node that may run requests with the key.
    pub owner: NodeId,
    /// A random part; together with the others it makes the key that nodes use.
    pub nonce: u64,
    /// When it was claimed, in milliseconds since the Unix epoch, by the owner's clock.
    pub minted_unix_ms: u64,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreOperation {
    /// Read all rows whose keys begin with this.
    ReadRows {
        /// What the keys begin with.
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
        /// What must stand there.
        condition: Condition,
    },
    /// Delete one row.
    Delete {
        /// Its key.
        key: String,
        /// The version that must stand there, or any.
        version: Option<u64>,
    },
    /// Claim a key, or learn who has claimed it.
    ClaimKey {
        /// The row's key, from [`claim_row_key`](crate::call::key::claim_row_key).
        key: String,
        /// The claim.
        claim: Claim,
    },
}

/// One request.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreRequest {
    /// Comes back with the outcome.
    pub id: u64,
    /// What to do.
    pub operation: StoreOperation,
}

/// What was done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StoreOutcome {
    /// The rows read.
    Rows(Vec<Row>),
    /// The row read, or none where there is none.
    Row(Option<Row>),
    /// The row was written.
    Written {
        /// Its version now.
        version: u64,
    },
    /// The row was deleted or was not there.
    Deleted,
    /// Nothing was written or deleted because something else stands there.
    Conflict {
        /// What stands there, or none.
        present: Option<Row>,
    },
    /// Who owns the key for ever: the claim of the request, or one made before it.
    Claimed(Claim),
}

/// Whether a request that failed may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Certainty {
    /// It did not take effect and will not.
    NotApplied,
    /// It may have taken effect, or may do so later.
    MayHaveBeenApplied,
}

/// A request that failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[error("table service: {cause}")]
pub struct StoreError {
    /// Whether it may have taken effect.
    pub certainty: Certainty,
    /// Why, for logs.
    pub cause: String,
}

impl StoreError {
    /// A failure before anything was sent, or one the service is known not to act on.
    fn not_applied(cause: impl Into<String>) -> Self {
        Self { certainty: Certainty::NotApplied, cause: cause.into() }
    }

    /// A failure after the request may have arrived.
    fn may_have_been_applied(cause: impl Into<String>) -> Self {
        Self { certainty: Certainty::MayHaveBeenApplied, cause: cause.into() }
    }
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreEvent {
    /// The request's id.
    pub id: u64,
    /// What came of it.
    pub outcome: Result<StoreOutcome, StoreError>,
}

/// The ring is full, or the thread has ended: nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the store's ring is full")]
pub struct StoreFull;

/// How the store is reached and how hard it may be used.
#[derive(Clone, Debug, Builder)]
pub struct StoreOptions {
    /// The table service's base URL.
    pub table_url: String,
    /// How long one exchange may take, in milliseconds.
    #[builder(default = 2_000)]
    pub timeout_ms: u64,
    /// How many requests may wait.
    #[builder(default = 256)]
    pub ring_entries: usize,
    /// How many exchanges may be under way at once.
    #[builder(default = 8)]
    pub concurrency: usize,
    /// The most exchanges a second, on average.
    #[builder(default = 20.0)]
    pub rate_per_s: f64,
    /// The most exchanges at once after a quiet time.
    #[builder(default = 20.0)]
    pub burst: f64,
    /// The longest pause after failures, in milliseconds.
    #[builder(default = 15_000)]
    pub pause_max_ms: u64,
    /// The seed of the jitter of pauses.
    pub seed: u64,
}

/// Hands requests to the thread. Dropping all handles ends it.
#[derive(Clone, Debug)]
pub struct StoreHandle {
    ring: mpsc::Sender<StoreRequest>,
}

impl StoreHandle {
    /// Hands over a request; its outcome goes to the sink.
    ///
    /// # Errors
    ///
    /// `StoreFull` if the ring is full or the thread has ended; the request has not been sent.
    pub fn try_submit(&self, request: StoreRequest) -> Result<(), StoreFull> {
        self.ring.try_send(request).map_err(|_| StoreFull)
    }
}

/// Starts the thread. `sink` is called on it with each outcome and must not block.
///
/// # Errors
///
/// If the thread, its runtime or the HTTP client cannot be made.
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

/// Takes requests off the ring until all handles are dropped and all requests have an outcome.
async fn run(
    options: StoreOptions,
    client: Client,
    mut requests: mpsc::Receiver<StoreRequest>,
    sink: impl Fn(StoreEvent) + 'static,
) {
    let clock = Clock::start();
    let client = Rc::new(client);
    let circuit = Rc::new(Circuit::new(&options));
    let sink = Rc::new(sink);
    let slots = Arc::new(Semaphore::new(options.concurrency.max(1)));
    let all = u32::try_from(options.concurrency.max(1)).unwrap_or(u32::MAX);
    while let Some(request) = requests.recv().await {
        let Ok(slot) = slots.clone().acquire_owned().await else { break };
        let (client, circuit, sink) = (client.clone(), circuit.clone(), sink.clone());
        tokio::task::spawn_local(async move {
            let outcome = carry_out(&client, &circuit, clock, request.operation).await;
            sink(StoreEvent { id: request.id, outcome });
            drop(slot);
        });
    }
    // Every exchange has a timeout, so this ends.
    let _all_done = slots.acquire_many(all).await;
}

/// One request, with everything it takes.
async fn carry_out(
    client: &Client,
    circuit: &Circuit,
    clock: Clock,
    operation: StoreOperation,
) -> Result<StoreOutcome, StoreError> {
    let StoreOperation::ClaimKey { key, claim } = operation else {
        return exchange(client, circuit, clock, &operation).await;
    };
    claim::settle(key, claim, async |operation| exchange(client, circuit, clock, &operation).await)
        .await
}

/// One exchange with the table service, if the circuit lets it through.
async fn exchange(
    client: &Client,
    circuit: &Circuit,
    clock: Clock,
    operation: &StoreOperation,
) -> Result<StoreOutcome, StoreError> {
    let wait = circuit.admit(clock.now_us())?;
    tokio::time::sleep(wait).await;
    let outcome = client.exchange(operation).await;
    circuit.report(clock.now_us(), outcome.is_ok());
    outcome
}
