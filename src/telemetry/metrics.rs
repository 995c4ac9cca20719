//! Prometheus metrics: their catalogue, cached handles and the scraped text.
//!
//! Each node has its own recorder rather than a process-wide one, so that a test can run several
//! nodes. Series are registered on first use and their handles cached, so that an increment on the
//! call path costs one look-up and one atomic operation.

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

/// Upper bounds of the buckets of all histograms, in seconds. They are fine around the latency
/// objective of 1.8 ms.
const BUCKETS_S: &[f64] = &[
    0.000_1, 0.000_2, 0.000_4, 0.000_6, 0.000_8, 0.001, 0.001_4, 0.001_8, 0.002_5, 0.005, 0.01,
    0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
];

/// Updates a value when the metrics are scraped, such as the length of a ring buffer.
type ScrapeHook = Box<dyn Fn() + Send + Sync>;

/// The metrics of one node. Cheap to clone.
#[derive(Clone)]
pub struct Metrics {
    shared: Arc<Shared>,
}

struct Shared {
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
    scrape_hooks: Mutex<Vec<ScrapeHook>>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// A recorder without series.
    ///
    /// # Errors
    ///
    /// An empty list of buckets, which would be a bug in this module.
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
        Ok(Self { shared: Arc::new(Shared { recorder, handle, scrape_hooks: Mutex::default() }) })
    }

    /// The metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let scrape_hooks =
            self.shared.scrape_hooks.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        for hook in scrape_hooks.iter() {
            hook();
        }
        self.shared.handle.render()
    }

    /// Aggregates recorded latencies into buckets. Must be called every few seconds, as the samples
    /// of a node that is not scraped would accumulate without bound.
    pub fn run_upkeep(&self) {
        self.shared.handle.run_upkeep();
    }

    /// The metrics of calls, for the thread that handles them.
    pub fn calls(&self, names: LabelNames) -> CallMetrics {
        CallMetrics::new(self.clone(), names)
    }

    /// A counter without labels.
    pub fn counter(&self, name: &'static str) -> Counter {
        self.register(|| counter!(name))
    }

    /// A counter with labels.
    pub fn counter_with(&self, name: &'static str, labels: &[(&'static str, &str)]) -> Counter {
        let labels = owned_labels(labels);
        self.register(|| counter!(name, &labels))
    }

    /// A gauge without labels.
    pub fn gauge(&self, name: &'static str) -> Gauge {
        self.register(|| gauge!(name))
    }

    /// A gauge with labels.
    pub fn gauge_with(&self, name: &'static str, labels: &[(&'static str, &str)]) -> Gauge {
        let labels = owned_labels(labels);
        self.register(|| gauge!(name, &labels))
    }

    /// A histogram with labels, in seconds.
    pub fn histogram_with(&self, name: &'static str, labels: &[(&'static str, &str)]) -> Histogram {
        let labels = owned_labels(labels);
        self.register(|| histogram!(name, &labels))
    }

    /// Exports the length of a ring buffer, read when the metrics are scraped, and returns the
    /// counter of rejected entries.
    pub fn watch_ring(
        &self,
        ring: &'static str,
        capacity: usize,
        length: impl Fn() -> usize + Send + Sync + 'static,
    ) -> Counter {
        let labels = [("ring", ring)];
        self.gauge_with(names::RING_CAPACITY_ENTRIES, &labels).set(capacity as f64);
        let entries = self.gauge_with(names::RING_ENTRIES, &labels);
        self.on_scrape(move || entries.set(length() as f64));
        self.counter_with(names::RING_REFUSED_TOTAL, &labels)
    }

    /// Exports a total that is counted elsewhere, read when the metrics are scraped.
    pub fn watch_total(&self, name: &'static str, total: impl Fn() -> u64 + Send + Sync + 'static) {
        let counter = self.counter(name);
        self.on_scrape(move || counter.absolute(total()));
    }

    /// Calls `hook` whenever the metrics are scraped.
    fn on_scrape(&self, hook: impl Fn() + Send + Sync + 'static) {
        let mut scrape_hooks =
            self.shared.scrape_hooks.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        scrape_hooks.push(Box::new(hook));
    }

    /// Runs a macro of the `metrics` facade with this node's recorder.
    fn register<H>(&self, make: impl FnOnce() -> H) -> H {
        with_local_recorder(&self.shared.recorder, make)
    }
}

fn owned_labels(labels: &[(&'static str, &str)]) -> Vec<(&'static str, String)> {
    labels.iter().map(|(name, value)| (*name, (*value).to_owned())).collect()
}
