//! Traces: a span for each hop, sent in batches to a collector by OTLP over HTTP (JSON).
//!
//! Spans are pushed into a bounded ring buffer without blocking; if it is full, the span is dropped
//! and counted. One thread takes spans from the ring buffer and sends them. While the collector is
//! unavailable, spans are lost and nothing else is affected.

mod convert;
mod export;
mod span;

use std::thread::JoinHandle;
use std::time::Duration;

use ::metrics::Counter;
use bon::Builder;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

use self::export::Exporter;
use super::metrics::{Metrics, names};
use crate::call::TraceContext;
use crate::config::TelemetrySettings;
use crate::event::EventLog;

pub use self::span::{AttributeValue, SpanKind, SpanRecord};

/// Default capacity of the ring buffer in front of the exporting thread, in spans.
pub const RING_ENTRIES_DEFAULT: usize = 8_192;
/// The number of trace id bits that decide on sampling: the upper 53 of the low 56 bits, which are
/// random (W3C Trace Context, level 2). A double holds 53 bits exactly.
const RANDOM_BITS: u32 = 53;
/// Timeout for sending the remaining spans when the thread is stopped.
const FINAL_EXPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// How spans are sent.
#[derive(Builder, Clone, Debug)]
pub struct TraceOptions {
    /// The URL of the collector; the path `/v1/traces` is added if there is none.
    #[builder(into)]
    pub otlp_url: String,
    /// The service of the node's target.
    #[builder(into)]
    pub service: String,
    /// The name of the node.
    #[builder(into)]
    pub node_name: String,
    /// The failure domain of the VM.
    #[builder(into)]
    pub failure_domain: String,
    /// Timeout for sending a batch, in milliseconds.
    #[builder(default = 3_000)]
    pub export_timeout_ms: u64,
    /// Capacity of the ring buffer, in spans.
    #[builder(default = RING_ENTRIES_DEFAULT)]
    pub ring_entries: usize,
    /// Maximum number of spans in a batch.
    #[builder(default = 512)]
    pub batch_spans: usize,
    /// Maximum wait for a batch to fill up, in milliseconds.
    #[builder(default = 1_000)]
    pub batch_wait_ms: u64,
}

/// Why the export of spans cannot start.
#[derive(Debug, Error)]
pub enum TraceError {
    /// The URL or another option is invalid.
    #[error("cannot send spans to {otlp_url:?}: {detail}")]
    Options {
        /// The URL as it was given.
        otlp_url: String,
        /// The reason.
        detail: String,
    },
    /// The thread or its runtime could not be created.
    #[error("cannot start the thread that sends spans: {0}")]
    Thread(#[from] std::io::Error),
}

/// Handle for pushing spans. Cheap to clone; never blocks.
#[derive(Clone)]
pub struct SpanSink {
    ring: Option<mpsc::Sender<SpanRecord>>,
    dropped: Counter,
}

impl SpanSink {
    /// A sink that discards all spans, for a node without a collector.
    pub fn disabled() -> Self {
        Self { ring: None, dropped: Counter::noop() }
    }

    /// Whether spans are exported; if not, callers need not create any.
    pub fn is_enabled(&self) -> bool {
        self.ring.is_some()
    }

    /// Queues a span, or drops and counts it if the ring buffer is full.
    pub fn push(&self, span: SpanRecord) {
        let Some(ring) = &self.ring else {
            return;
        };
        if ring.try_send(span).is_err() {
            self.dropped.increment(1);
        }
    }
}

impl std::fmt::Debug for SpanSink {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SpanSink").field("enabled", &self.is_enabled()).finish_non_exhaustive()
    }
}

/// The thread that sends spans.
#[derive(Debug)]
pub struct TraceDuty {
    sink: SpanSink,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl TraceDuty {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Invalid options, or a thread that cannot be started. An unavailable collector is not an
    /// error.
    pub fn start(
        options: &TraceOptions,
        metrics: &Metrics,
        events: EventLog,
    ) -> Result<Self, TraceError> {
        let (ring, receiver) = mpsc::channel(options.ring_entries);
        let dropped = metrics.counter_with(names::SPANS_DROPPED_TOTAL, &[("reason", "ring_full")]);
        let (stop, stopped) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let exporter = Exporter::new(options, metrics, events)?;
        let thread = std::thread::Builder::new()
            .name("trace".to_owned())
            .spawn(move || runtime.block_on(exporter.run(receiver, stopped)))?;
        Ok(Self { sink: SpanSink { ring: Some(ring), dropped }, stop, thread })
    }

    /// A handle for pushing spans.
    pub fn sink(&self) -> SpanSink {
        self.sink.clone()
    }

    /// Sends the spans in the ring buffer, for `FINAL_EXPORT_TIMEOUT` at most, and stops the
    /// thread.
    pub fn stop(self) {
        // Fails if the thread has already ended.
        let _ = self.stop.send(());
        // A panic of the thread has already been reported by the panic hook.
        let _ = self.thread.join();
    }
}

/// Whether spans of a root request are recorded: as its caller decided, or by the share in the
/// settings if the caller sent no trace context. All hops follow the decision of the entry node.
pub fn is_sampled(
    settings: &TelemetrySettings,
    incoming: Option<&TraceContext>,
    trace_id: u128,
) -> bool {
    if settings.otlp_url.is_none() {
        return false;
    }
    if let Some(incoming) = incoming {
        return incoming.sampled;
    }
    let random = (trace_id as u64 >> 3) & ((1 << RANDOM_BITS) - 1);
    (random as f64) < settings.sample_share * (1_u64 << RANDOM_BITS) as f64
}
