//! Traces: a span for each hop, sent in batches to a collector by OTLP over HTTP (JSON).
//!
//! Whoever makes a span pushes it into a bounded ring and goes on; a full ring drops the span and
//! counts it. One thread takes spans from the ring and sends them. A collector that is away costs
//! the spans of that time and nothing else.

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

/// How many spans may wait for the exporting thread.
pub const SPANS_WAITING_MAX: usize = 8_192;
/// How many bits of a trace id decide about sampling: the upper 53 of the low 56, which are random
/// (W3C Trace Context, level 2), so that a double holds them exactly.
const RANDOM_BITS: u32 = 53;
/// How long a stop waits for the last spans to be sent.
const LAST_EXPORT_MAX: Duration = Duration::from_secs(2);

/// How spans are sent.
#[derive(Builder, Clone, Debug)]
pub struct TraceOptions {
    /// Where spans are sent; the path `/v1/traces` is added where there is none.
    #[builder(into)]
    pub otlp_url: String,
    /// The service of the target beside the node.
    #[builder(into)]
    pub service: String,
    /// The name of the node.
    #[builder(into)]
    pub node_name: String,
    /// The failure domain of the VM.
    #[builder(into)]
    pub failure_domain: String,
    /// How long the collector may take for a batch, in milliseconds.
    #[builder(default = 3_000)]
    pub export_timeout_ms: u64,
    /// How many spans may wait in the ring.
    #[builder(default = SPANS_WAITING_MAX)]
    pub ring_entries: usize,
    /// The most spans of a batch.
    #[builder(default = 512)]
    pub batch_spans: usize,
    /// How long a batch waits to be filled, in milliseconds.
    #[builder(default = 1_000)]
    pub batch_wait_ms: u64,
}

/// Why no spans can be sent.
#[derive(Debug, Error)]
pub enum TraceError {
    /// The URL, or something else of the options, cannot be used.
    #[error("cannot send spans to {otlp_url:?}: {detail}")]
    Options {
        /// The URL as it was given.
        otlp_url: String,
        /// What is wrong.
        detail: String,
    },
    /// The thread or its runtime could not be made.
    #[error("cannot start the thread that sends spans: {0}")]
    Thread(#[from] std::io::Error),
}

/// Where spans are pushed. Cheap to clone; never blocks.
#[derive(Clone)]
pub struct SpanSink {
    ring: Option<mpsc::Sender<SpanRecord>>,
    dropped: Counter,
}

impl SpanSink {
    /// A sink that takes nothing, for a node without a collector.
    pub fn disabled() -> Self {
        Self { ring: None, dropped: Counter::noop() }
    }

    /// Whether spans are sent at all; where not, none need be made.
    pub fn is_enabled(&self) -> bool {
        self.ring.is_some()
    }

    /// Hands a span in, or drops and counts it where the ring is full.
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
    /// Options that cannot be used, or a thread that cannot be started. A collector that is away is
    /// no error.
    pub fn start(
        options: &TraceOptions,
        metrics: &Metrics,
        events: EventLog,
    ) -> Result<Self, TraceError> {
        let (ring, taken) = mpsc::channel(options.ring_entries);
        let dropped = metrics.counter_with(names::SPANS_DROPPED_TOTAL, &[("reason", "ring_full")]);
        let (stop, stopped) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let exporter = Exporter::new(options, metrics, events)?;
        let thread = std::thread::Builder::new()
            .name("trace".to_owned())
            .spawn(move || runtime.block_on(exporter.run(taken, stopped)))?;
        Ok(Self { sink: SpanSink { ring: Some(ring), dropped }, stop, thread })
    }

    /// Where spans are pushed.
    pub fn sink(&self) -> SpanSink {
        self.sink.clone()
    }

    /// Sends what waits in the ring, within a short time, and stops the thread.
    pub fn stop(self) {
        // A thread that has ended already takes no signal.
        let _ = self.stop.send(());
        // Its panic has been reported by whoever watches the duties.
        let _ = self.thread.join();
    }
}

/// Whether spans of a root are recorded: as its caller decided, or by the share in the settings
/// where the caller brought no trace. All hops of a root follow the entry's decision.
pub fn is_sampled(
    settings: &TelemetrySettings,
    brought: Option<&TraceContext>,
    trace_id: u128,
) -> bool {
    if settings.otlp_url.is_none() {
        return false;
    }
    if let Some(brought) = brought {
        return brought.sampled;
    }
    let random = (trace_id as u64 >> 3) & ((1 << RANDOM_BITS) - 1);
    (random as f64) < settings.sample_share * (1_u64 << RANDOM_BITS) as f64
}
