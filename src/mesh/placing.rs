//! Compares targets by the time in which a call is expected to complete there.
//!
//! The figures of a target are relative to the median of its service, so that a service whose
//! targets all become slow is treated like one whose targets are all fast. Only services with a
//! target that sends the extended load report have a median.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use super::condition::USUAL_SLOWNESS_PERCENT;
use super::frame::{Condition, Load};

/// Range of the relative run time of a target. The minimum bounds the preference for a target whose
/// answers are fast because it does no work. With the maximum, an idle slow target still costs less
/// than one that is silent or has used up its limit.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 3.5);
/// Relative run time from which a target counts as slow in the metrics.
const SLOW_FROM: f64 = 1.5;
/// Number of senders up to which costs are not spread: their own answers keep them informed.
const SENDERS_FEW: f64 = 4.0;
/// Maximum number of senders assumed in the estimate of calls that were sent since a report. A node
/// that sends few calls would otherwise take its own call for a full queue.
const SENDERS_MAX: f64 = 11.0;
/// Spread of costs for each further node that sends as many calls as this one. In trials with half of
/// it, 12 senders herded more at half load.
const SPREAD_PER_SENDER: f64 = 0.2;
/// Maximum spread. With 2, 50 senders herd as much as without conditions.
const SPREAD_MAX: f64 = 4.0;
/// Cost of a slow target for each unit of spread and of slowdown.
const SPREAD_COST: f64 = 0.5;
/// Minimum number of own calls assumed, so that a node that sends none has a finite spread.
const OWN_CALLS_MIN: f64 = 0.01;
/// Weight of one update, made every 100 ms, in the moving averages of calls.
const CALLS_WEIGHT: f64 = 0.05;

/// The reports about the targets of one service at one time.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// The known run times, in microseconds.
    pub run_times_us: Vec<f64>,
    /// Calls that run or wait at targets of other nodes.
    pub calls: u32,
    /// Those of them that this node has sent.
    pub own_calls: u32,
}

/// What the targets of a service are compared by.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reference {
    /// The median run time, in microseconds.
    median_us: f64,
    /// Moving average of the calls at targets of other nodes.
    calls: f64,
    /// Moving average of those of them that this node has sent.
    own_calls: f64,
}

impl Reference {
    /// Number of nodes that would send these calls if each sent as many as this one.
    fn senders(&self) -> f64 {
        self.calls / self.own_calls.max(OWN_CALLS_MIN)
    }

    /// Estimates the calls that all nodes have sent to a target since its last load report, from
    /// those of this node: the others choose by the same reports.
    pub fn sent_by_all(&self, own_sent: u32) -> u32 {
        (f64::from(own_sent) * self.senders().clamp(1.0, SENDERS_MAX)).round() as u32
    }

    /// Random spread of costs among equally eligible targets, in units of utilisation.
    ///
    /// All senders get the same load reports, and so choose the same target until the next one. The
    /// more calls are sent by others, the less a sender knows of the load, and the wider it spreads
    /// its calls.
    pub fn spread(&self) -> f64 {
        (SPREAD_PER_SENDER * (self.senders() - SENDERS_FEW)).clamp(0.0, SPREAD_MAX)
    }
}

/// The references of all services of which a run time is known.
#[derive(Debug, Default)]
pub struct References {
    by_service: RefCell<HashMap<String, Reference>>,
}

impl References {
    /// Replaces the references by those of the given services.
    pub fn update(&self, snapshots: HashMap<String, Snapshot>) {
        let mut by_service = self.by_service.borrow_mut();
        by_service.retain(|service, _| snapshots.contains_key(service));
        for (service, mut snapshot) in snapshots {
            let run_times_us = &mut snapshot.run_times_us;
            if run_times_us.is_empty() {
                by_service.remove(&service);
                continue;
            }
            let middle = (run_times_us.len() - 1) / 2;
            let (_, median_us, _) = run_times_us.select_nth_unstable_by(middle, f64::total_cmp);
            let reference = by_service.entry(service).or_default();
            reference.median_us = *median_us;
            reference.calls += CALLS_WEIGHT * (f64::from(snapshot.calls) - reference.calls);
            reference.own_calls +=
                CALLS_WEIGHT * (f64::from(snapshot.own_calls) - reference.own_calls);
        }
    }

    /// The reference of a service; `None` if no run time of its targets is known.
    pub fn get(&self, service: &str) -> Option<Reference> {
        self.by_service.borrow().get(service).copied()
    }
}

/// The time of a run on the machine as it is now, in microseconds; `None` before the first run.
pub fn run_time(condition: Condition) -> Option<f64> {
    let slowness = f64::from(condition.slowness_percent) / f64::from(USUAL_SLOWNESS_PERCENT);
    (condition.run_us > 0).then(|| f64::from(condition.run_us) * slowness)
}

/// The run time of a target relative to the median of its service; 1 if either is unknown.
pub fn slowdown(condition: Option<Condition>, reference: Option<Reference>) -> f64 {
    let (Some(condition), Some(reference)) = (condition, reference) else { return 1.0 };
    let relative = run_time(condition).map_or(1.0, |run_time| run_time / reference.median_us);
    relative.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1)
}

/// Whether a target with this relative run time counts as slow.
pub fn is_slow(slowdown: f64) -> bool {
    slowdown >= SLOW_FROM
}

/// Cost of a call at a target, in units of utilisation: just the utilisation if the run time is the
/// usual one.
///
/// A call that queues waits for whole runs of the target, so from a utilisation of 1 on the cost is
/// proportional to the run time. Below, a call takes only its own run. Weighting the utilisation by
/// the run time there would fill an idle target at half speed with 0.08 of the calls at half load.
pub fn cost(utilisation: f64, slowdown: f64) -> f64 {
    if utilisation > 1.0 { utilisation * slowdown } else { utilisation + (slowdown - 1.0) }
}

/// The load of a target with its slots weighted by its speed, for sums over the targets of a
/// service.
///
/// Running requests times speed are throughput, and slots times speed are capacity, so the sums give
/// the throughput as a share of the capacity. A waiting request is the same amount of work at any
/// target.
pub fn weigh_load(load: Load, slowdown: f64) -> Load {
    let weighted = |count: u32| (f64::from(count) / slowdown).ceil() as u32;
    Load { running: weighted(load.running), waiting: load.waiting, limit: weighted(load.limit) }
}

/// Cost of a slow target in addition to `cost` where costs have a random spread, which would
/// otherwise reach it.
pub fn spread_cost(spread: f64, slowdown: f64) -> f64 {
    SPREAD_COST * spread * (slowdown - 1.0)
}

/// What was known of the target that was chosen last, for the log.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    /// The condition of the target.
    pub condition: Condition,
    /// The age of the condition.
    pub age: Duration,
    /// The relative run time of the target.
    pub slowdown: f64,
}

impl fmt::Display for Choice {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "slowness {}%, usual run {} ms, {:.1} times the median, reported {} ms ago",
            self.condition.slowness_percent,
            self.condition.run_us / 1_000,
            self.slowdown,
            self.age.as_millis(),
        )
    }
}
