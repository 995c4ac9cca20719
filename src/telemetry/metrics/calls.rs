//! Metrics of calls and attempts, with handles cached by their labels.

use std::collections::HashMap;

use ::metrics::{Counter, Gauge, Histogram};

use super::{Metrics, names};
use crate::call::{ArmId, ClassRank, Level, LoadReport};
use crate::clock::US_PER_S;
use crate::config::Rules;

/// The label of a class or an arm that is not in the rules in force.
const UNKNOWN: &str = "unknown";

/// The names of classes and arms, which labels show in place of ranks and numbers.
#[derive(Clone, Debug, Default)]
pub struct LabelNames {
    classes: HashMap<ClassRank, String>,
    arms: HashMap<ArmId, String>,
}

impl LabelNames {
    /// The names in `rules`.
    pub fn new(rules: &Rules) -> Self {
        let mut names = Self::default();
        for class in &rules.classes {
            names.classes.insert(ClassRank(class.rank), class.name.clone());
        }
        for arm in &rules.arms {
            names.arms.insert(ArmId(arm.id), arm.name.clone());
        }
        names
    }

    fn class(&self, class: ClassRank) -> &str {
        self.classes.get(&class).map_or(UNKNOWN, String::as_str)
    }

    fn arm(&self, arm: ArmId) -> &str {
        self.arms.get(&arm).map_or(UNKNOWN, String::as_str)
    }
}

/// Where a call came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallSource {
    /// An outside caller.
    Caller,
    /// The node's target.
    Target,
}

impl CallSource {
    fn label(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Target => "target",
        }
    }
}

/// The outcome of a call, by the names that headers and bodies use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Outcome {
    /// `answered`, `not-run` or `may-have-run`.
    pub verdict: &'static str,
    /// The reason why it did not run or may have run; for an answer the status class (`2xx`).
    pub reason: &'static str,
}

/// The outcome of the decision whether to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryOutcome {
    /// The retry was sent.
    Granted,
    /// The retry allowance of the root request is used up.
    Allowance,
    /// The node's own retry budget is used up.
    Budget,
    /// The entry node, which holds the retry allowance, did not answer.
    EntryAway,
    /// There was not enough time left.
    Deadline,
    /// The attempt may have run, and the call is not idempotent.
    MayHaveRun,
}

impl RetryOutcome {
    /// The name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Allowance => "allowance",
            Self::Budget => "budget",
            Self::EntryAway => "entry_away",
            Self::Deadline => "deadline",
            Self::MayHaveRun => "may_have_run",
        }
    }
}

/// The load of one arm at the node's target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ArmLoad {
    /// Calls the target is running.
    pub running: u32,
    /// Calls in the queue.
    pub queued: u32,
    /// Maximum number of calls running concurrently.
    pub limit: u32,
    /// Calls below this level are refused.
    pub floor: Level,
}

impl From<LoadReport> for ArmLoad {
    fn from(report: LoadReport) -> Self {
        let LoadReport { running, queued, limit, floor, .. } = report;
        Self { running, queued, limit, floor }
    }
}

/// The gauges of one arm.
#[derive(Debug)]
struct ArmGauges {
    running: Gauge,
    queued: Gauge,
    limit: Gauge,
    floor: Gauge,
}

/// The labels that the counter and the histogram of calls share.
type CallLabels = (CallSource, ClassRank, ArmId);
type ServiceLabels<T> = (ArmId, T);

/// Counts calls and attempts. Owned by the thread that handles them.
#[derive(Debug)]
pub struct CallMetrics {
    metrics: Metrics,
    names: LabelNames,
    calls: HashMap<(CallLabels, Outcome), Counter>,
    durations: HashMap<CallLabels, Histogram>,
    added: HashMap<ArmId, Histogram>,
    /// Keyed by service first, so that a look-up needs no owned string.
    attempts: HashMap<String, HashMap<ServiceLabels<Outcome>, Counter>>,
    retries: HashMap<String, HashMap<ServiceLabels<RetryOutcome>, Counter>>,
    received: HashMap<(ClassRank, ArmId, Outcome), Counter>,
    busy: HashMap<(ClassRank, ArmId), Counter>,
    wasted: HashMap<(ClassRank, ArmId), Counter>,
    loads: HashMap<ArmId, ArmGauges>,
    members: HashMap<String, Gauge>,
    config_version: Gauge,
}

impl CallMetrics {
    pub(super) fn new(metrics: Metrics, names: LabelNames) -> Self {
        let config_version = metrics.gauge(names::CONFIG_VERSION);
        Self {
            metrics,
            names,
            calls: HashMap::new(),
            durations: HashMap::new(),
            added: HashMap::new(),
            attempts: HashMap::new(),
            retries: HashMap::new(),
            received: HashMap::new(),
            busy: HashMap::new(),
            wasted: HashMap::new(),
            loads: HashMap::new(),
            members: HashMap::new(),
            config_version,
        }
    }

    /// Applies the names and the version of a new configuration to all later values.
    pub fn set_config(&mut self, config_version: u64, names: LabelNames) {
        // The gauges of an arm that is no longer in force must not keep their last values.
        for gauges in self.loads.values() {
            gauges.set(&ArmLoad { running: 0, queued: 0, limit: 0, floor: Level::LOWEST });
        }
        *self = Self::new(self.metrics.clone(), names);
        self.config_version.set(config_version as f64);
    }

    /// Counts a call that has ended, with its duration.
    pub fn call_ended(
        &mut self,
        from: CallSource,
        class: ClassRank,
        arm: ArmId,
        outcome: Outcome,
        took_us: u64,
    ) {
        let Self { metrics, names, .. } = self;
        let labels =
            || [("from", from.label()), ("class", names.class(class)), ("arm", names.arm(arm))];
        let key = (from, class, arm);
        let calls = self.calls.entry((key, outcome)).or_insert_with(|| {
            let [from, class, arm] = labels();
            let Outcome { verdict, reason } = outcome;
            let labels = [from, class, arm, ("verdict", verdict), ("reason", reason)];
            metrics.counter_with(names::CALLS_TOTAL, &labels)
        });
        calls.increment(1);
        let durations = self
            .durations
            .entry(key)
            .or_insert_with(|| metrics.histogram_with(names::CALL_DURATION_SECONDS, &labels()));
        durations.record(seconds(took_us));
    }

    /// Records the latency that the nodes added to an answered call.
    pub fn latency_added(&mut self, arm: ArmId, added_us: u64) {
        let Self { metrics, names, .. } = self;
        let added = self.added.entry(arm).or_insert_with(|| {
            metrics.histogram_with(names::ADDED_LATENCY_SECONDS, &[("arm", names.arm(arm))])
        });
        added.record(seconds(added_us));
    }

    /// Counts an attempt that was sent and has ended.
    pub fn attempt_ended(&mut self, service: &str, arm: ArmId, outcome: Outcome) {
        let Self { metrics, names, .. } = self;
        let attempts = service_entry(&mut self.attempts, service);
        let attempts = attempts.entry((arm, outcome)).or_insert_with(|| {
            let Outcome { verdict, reason } = outcome;
            let labels = [
                ("service", service),
                ("arm", names.arm(arm)),
                ("verdict", verdict),
                ("reason", reason),
            ];
            metrics.counter_with(names::ATTEMPTS_TOTAL, &labels)
        });
        attempts.increment(1);
    }

    /// Counts a decision whether to retry.
    pub fn retry_decided(&mut self, service: &str, arm: ArmId, outcome: RetryOutcome) {
        let Self { metrics, names, .. } = self;
        let retries = service_entry(&mut self.retries, service);
        let retries = retries.entry((arm, outcome)).or_insert_with(|| {
            let labels =
                [("service", service), ("arm", names.arm(arm)), ("outcome", outcome.label())];
            metrics.counter_with(names::RETRIES_TOTAL, &labels)
        });
        retries.increment(1);
    }

    /// Counts an attempt that was received and has ended.
    pub fn received_ended(&mut self, class: ClassRank, arm: ArmId, outcome: Outcome) {
        let Self { metrics, names, .. } = self;
        let received = self.received.entry((class, arm, outcome)).or_insert_with(|| {
            let Outcome { verdict, reason } = outcome;
            let labels = [
                ("class", names.class(class)),
                ("arm", names.arm(arm)),
                ("verdict", verdict),
                ("reason", reason),
            ];
            metrics.counter_with(names::RECEIVED_TOTAL, &labels)
        });
        received.increment(1);
    }

    /// Adds the time the target spent on a call. `wasted` says whether the result was of no use.
    pub fn target_ended(&mut self, class: ClassRank, arm: ArmId, took_us: u64, wasted: bool) {
        let Self { metrics, names, .. } = self;
        let labels = || [("class", names.class(class)), ("arm", names.arm(arm))];
        let busy_time = self.busy.entry((class, arm)).or_insert_with(|| {
            metrics.counter_with(names::TARGET_BUSY_MICROSECONDS_TOTAL, &labels())
        });
        busy_time.increment(took_us);
        if !wasted {
            return;
        }
        let wasted_time = self.wasted.entry((class, arm)).or_insert_with(|| {
            metrics.counter_with(names::TARGET_WASTED_MICROSECONDS_TOTAL, &labels())
        });
        wasted_time.increment(took_us);
    }

    /// Exports the load of an arm. Meant to be called periodically rather than for each call.
    pub fn arm_load(&mut self, arm: ArmId, load: &ArmLoad) {
        let Self { metrics, names, .. } = self;
        let gauges = self.loads.entry(arm).or_insert_with(|| {
            let labels = [("arm", names.arm(arm))];
            ArmGauges {
                running: metrics.gauge_with(names::RUNNING, &labels),
                queued: metrics.gauge_with(names::QUEUED, &labels),
                limit: metrics.gauge_with(names::LIMIT, &labels),
                floor: metrics.gauge_with(names::FLOOR, &labels),
            }
        });
        gauges.set(load);
    }

    /// Exports the number of known nodes of a service.
    pub fn members(&mut self, service: &str, members: usize) {
        if !self.members.contains_key(service) {
            let gauge = self.metrics.gauge_with(names::MEMBERS, &[("service", service)]);
            self.members.insert(service.to_owned(), gauge);
        }
        self.members[service].set(members as f64);
    }
}

impl ArmGauges {
    fn set(&self, load: &ArmLoad) {
        self.running.set(f64::from(load.running));
        self.queued.set(f64::from(load.queued));
        self.limit.set(f64::from(load.limit));
        self.floor.set(f64::from(load.floor.0));
    }
}

/// The inner map of a service. Allocates the key only if the service is new.
fn service_entry<'a, K>(
    by_service: &'a mut HashMap<String, HashMap<K, Counter>>,
    service: &str,
) -> &'a mut HashMap<K, Counter> {
    if !by_service.contains_key(service) {
        by_service.insert(service.to_owned(), HashMap::new());
    }
    by_service.get_mut(service).expect("inserted above")
}

fn seconds(duration_us: u64) -> f64 {
    duration_us as f64 / US_PER_S as f64
}
