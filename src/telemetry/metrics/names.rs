//! The catalogue of metrics: names, units, labels and help texts.

use ::metrics::{Unit, describe_counter, describe_gauge, describe_histogram};

/// The type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricType {
    /// A total that only grows.
    Counter,
    /// A value that goes up and down.
    Gauge,
    /// A distribution of values.
    Histogram,
}

/// The catalogue entry of one metric.
#[derive(Clone, Copy, Debug)]
pub struct MetricKind {
    /// The name, which carries the unit as a suffix.
    pub name: &'static str,
    /// The type.
    pub metric_type: MetricType,
    /// The unit.
    pub unit: Unit,
    /// The names of its labels.
    pub labels: &'static [&'static str],
    /// The help text.
    pub help: &'static str,
}

/// Declares the constants together with the catalogue, which keeps them consistent.
macro_rules! metric_kinds {
    ($($constant:ident $name:literal $metric_type:ident $unit:ident [$($label:literal),*] $help:literal)*) => {
        $(#[doc = $help] pub const $constant: &str = $name;)*

        /// All metrics.
        pub const METRIC_KINDS: &[MetricKind] = &[
            $(MetricKind {
                name: $name,
                metric_type: MetricType::$metric_type,
                unit: Unit::$unit,
                labels: &[$($label),*],
                help: $help,
            },)*
        ];
    };
}

metric_kinds! {
    CALLS_TOTAL "aspenspring_calls_total" Counter Count ["from", "class", "arm", "verdict", "reason"]
        "Whole calls that ended, taken from outside callers or from the target beside the node."
    CALL_DURATION_SECONDS "aspenspring_call_duration_seconds" Histogram Seconds ["from", "class", "arm"]
        "Time of whole calls, from the request's last byte to the answer."
    ADDED_LATENCY_SECONDS "aspenspring_added_latency_seconds" Histogram Seconds ["arm"]
        "Time of answered calls less the time their target took, over both nodes of a hop."
    ATTEMPTS_TOTAL "aspenspring_attempts_total" Counter Count ["service", "arm", "verdict", "reason"]
        "Attempts that were sent and ended, by their outcome."
    RETRIES_TOTAL "aspenspring_retries_total" Counter Count ["service", "arm", "outcome"]
        "Wishes for one more attempt, by what became of them."
    RECEIVED_TOTAL "aspenspring_received_total" Counter Count ["class", "arm", "verdict", "reason"]
        "Attempts that were received from other nodes and ended, by their outcome."
    TARGET_BUSY_MICROSECONDS_TOTAL "aspenspring_target_busy_microseconds_total" Counter Microseconds ["class", "arm"]
        "Time the target spent on calls."
    TARGET_WASTED_MICROSECONDS_TOTAL "aspenspring_target_wasted_microseconds_total" Counter Microseconds ["class", "arm"]
        "Time the target spent on calls that gave no answer of use (a status of 500 or more, or none) or whose answer nobody waited for any more."
    LIMIT "aspenspring_limit" Gauge Count ["arm"]
        "How many calls the target may run at once."
    RUNNING "aspenspring_running" Gauge Count ["arm"]
        "Calls the target is running."
    QUEUED "aspenspring_queued" Gauge Count ["arm"]
        "Calls waiting for the target."
    FLOOR "aspenspring_floor" Gauge Count ["arm"]
        "Calls below this level (256 times the class rank, plus the root's share) are refused; 0 refuses none."
    BODIES_HELD_BYTES "aspenspring_bodies_held_bytes" Gauge Bytes []
        "Bytes of bodies held in memory."
    RING_ENTRIES "aspenspring_ring_entries" Gauge Count ["ring"]
        "Entries in a ring between two threads, when scraped."
    RING_CAPACITY_ENTRIES "aspenspring_ring_capacity_entries" Gauge Count ["ring"]
        "Entries a ring holds at most."
    RING_REFUSED_TOTAL "aspenspring_ring_refused_total" Counter Count ["ring"]
        "Entries refused because a ring was full."
    STORE_REQUESTS_TOTAL "aspenspring_store_requests_total" Counter Count ["operation", "outcome"]
        "Requests to the platform's table service and object store, by their outcome."
    STORE_REQUEST_SECONDS "aspenspring_store_request_seconds" Histogram Seconds ["operation"]
        "Time of requests to the platform's table service and object store."
    MEMBERS "aspenspring_members" Gauge Count ["service"]
        "Nodes known for a service."
    CONFIG_VERSION "aspenspring_config_version" Gauge Count []
        "Version of the configuration in force; 0 for the settings of the start."
    CONTROL_BYTES_TOTAL "aspenspring_control_bytes_total" Counter Bytes ["direction", "kind"]
        "Bytes of membership, configuration and heartbeats that were sent or received."
    LOG_SUPPRESSED_TOTAL "aspenspring_log_suppressed_total" Counter Count []
        "Events left out of the log because their kind was flooding."
    LOG_DROPPED_TOTAL "aspenspring_log_dropped_total" Counter Count []
        "Log lines dropped because the writer was too slow."
    SPANS_EXPORTED_TOTAL "aspenspring_spans_exported_total" Counter Count []
        "Spans the collector took."
    SPANS_DROPPED_TOTAL "aspenspring_spans_dropped_total" Counter Count ["reason"]
        "Spans dropped: the ring was full, or the collector did not take them."
    SLOW_SENDERS_CUT_TOTAL "aspenspring_slow_senders_cut_total" Counter Count ["listener"]
        "Connections closed because their request did not arrive in time."
}

/// Registers the units and help texts with the current recorder.
pub(super) fn describe() {
    for kind in METRIC_KINDS {
        match kind.metric_type {
            MetricType::Counter => describe_counter!(kind.name, kind.unit, kind.help),
            MetricType::Gauge => describe_gauge!(kind.name, kind.unit, kind.help),
            MetricType::Histogram => describe_histogram!(kind.name, kind.unit, kind.help),
        }
    }
}
