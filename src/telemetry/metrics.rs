//! Metrics: names and units, cached handles, and the text that is scraped.
//!
//! Each node has a recorder of its own; nothing is installed for the whole process, so several
//! nodes can live in one test. Series are registered at their first use and their handles kept, so
//! that an increment on the way of a call costs one look-up and one atomic operation.

mod calls;
pub mod names;

use std::fmt;
use std::sync::{Arc, Mutex};

use ::metrics::{Counter, Gauge, Histogram, counter, gauge, histogram, with_local_recorder};
use metrics_exporter_prometheus::{
    BuildError, Matcher, PrometheusBuilder, PrometheusHandle, PrometheusRecorder,
};

use self::names::{METRIC_KINDS, MetricType};

pub use self::calls::{ArmLoad, CallMetrics, CallSource, LabelNames, Outcome, RetryOutcome};

/// Upper bounds of the buckets of all histograms, in seconds: fine around the goal of 1.8 ms.
const BUCKETS_S: &[f64] = &[
    0.000_1, 0.000_2, 0.000_4, 0.000_6, 0.000_8, 0.001, 0.001_4, 0.001_8, 0.002_5, 0.005, 0.01,
    0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
];

/// A value that is read when the metrics are scraped, such as the fill of a ring.
type Watch = Box<dyn Fn() + Send + Sync>;

/// The metrics of one node. Cheap to clone.
#[derive(Clone)]
pub struct Metrics {
    shared: Arc<Shared>,
}

struct Shared {
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
    watches: Mutex<Vec<Watch>>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// A recorder with nothing in it.
    ///
    /// # Errors
    ///
    /// An empty list of buckets, which is a mistake in this module.
    pub fn new() -> Result<Self, BuildError> {
        let mut builder = PrometheusBuilder::new();
        for kind in METRIC_KINDS {
            if kind.metric_type == MetricType::Histogram {
                let matcher = Matcher::Full(kind.name.to_owned());
                builder = builder.set_buckets_for_metric(matcher, BUCKETS_S)?;
            }
        }
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        with_local_recorder(&recorder, names::describe);
        Ok(Self { shared: Arc::new(Shared { recorder, handle, watches: Mutex::default() }) })
    }

    /// The metrics as Prometheus reads them.
    pub fn render(&self) -> String {
        let watches = self.shared.watches.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        for watch in watches.iter() {
            watch();
        }
        self.shared.handle.render()
    }

    /// Folds recorded latencies into buckets; to be called every few seconds, so that a node that
    /// nobody scrapes does not collect them for ever.
    pub fn run_upkeep(&self) {
        self.shared.handle.run_upkeep();
    }

    /// The handles of the thread that decides about calls.
    pub fn calls(&self, names: LabelNames) -> CallMetrics {
        CallMetrics::new(self.clone(), names)
    }

    /// A counter without labels.
    pub fn counter(&self, name: &'static str) -> Counter {
        self.register(|| counter!(name))
    }

    /// A counter with labels.
    pub fn counter_with(&self, name: &'static str, labels: &[(&'static str, &str)]) -> Counter {
        let labels = owned(labels);
        self.register(|| counter!(name, &labels))
    }

    /// A gauge without labels.
    pub fn gauge(&self, name: &'static str) -> Gauge {
        self.register(|| gauge!(name))
    }

    /// A gauge with labels.
    pub fn gauge_with(&self, name: &'static str, labels: &[(&'static str, &str)]) -> Gauge {
        let labels = owned(labels);
        self.register(|| gauge!(name, &labels))
    }

    /// A histogram with labels, in seconds.
    pub fn histogram_with(&self, name: &'static str, labels: &[(&'static str, &str)]) -> Histogram {
        let labels = owned(labels);
        self.register(|| histogram!(name, &labels))
    }

    /// Shows the fill of a ring, read when the metrics are scraped, and returns the counter of
    /// entries it refused.
    pub fn watch_ring(
        &self,
        ring: &'static str,
        capacity: usize,
        fill: impl Fn() -> usize + Send + Sync + 'static,
    ) -> Counter {
        let labels = [("ring", ring)];
        self.gauge_with(names::RING_CAPACITY_ENTRIES, &labels).set(capacity as f64);
        let entries = self.gauge_with(names::RING_ENTRIES, &labels);
        self.watch(move || entries.set(fill() as f64));
        self.counter_with(names::RING_REFUSED_TOTAL, &labels)
    }

    /// Shows a total that is counted elsewhere, read when the metrics are scraped.
    pub fn watch_total(&self, name: &'static str, total: impl Fn() -> u64 + Send + Sync + 'static) {
        let counter = self.counter(name);
        self.watch(move || counter.absolute(total()));
    }

    /// Calls `watch` whenever the metrics are scraped.
    fn watch(&self, watch: impl Fn() + Send + Sync + 'static) {
        let mut watches =
            self.shared.watches.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        watches.push(Box::new(watch));
    }

    /// Lets a macro of the facade register in this node's recorder.
    fn register<H>(&self, make: impl FnOnce() -> H) -> H {
        with_local_recorder(&self.shared.recorder, make)
    }
}

fn owned(labels: &[(&'static str, &str)]) -> Vec<(&'static str, String)> {
    labels.iter().map(|(name, value)| (*name, (*value).to_owned())).collect()
}
