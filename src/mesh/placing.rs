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

/// The median run times of the targets of each service, in microseconds.
#[derive(Debug, Default)]
pub struct RunTimes {
    medians: RefCell<HashMap<String, f64>>,
}

impl RunTimes {
    /// Replaces the medians by those of the given run times.
    pub fn set(&self, run_times: HashMap<String, Vec<f64>>) {
        let mut medians = self.medians.borrow_mut();
        medians.clear();
        for (service, mut run_times) in run_times {
            let middle = run_times.len().saturating_sub(1) / 2;
            if middle < run_times.len() {
                let (_, median, _) = run_times.select_nth_unstable_by(middle, f64::total_cmp);
                medians.insert(service, *median);
            }
        }
    }

    /// The median of a service; `None` if none of its targets has a known run time.
    pub fn median(&self, service: &str) -> Option<f64> {
        self.medians.borrow().get(service).copied()
    }
}

/// The time of a run on the machine as it is now, in microseconds; `None` before the first run.
pub fn run_time(condition: Condition) -> Option<f64> {
    let slowness = f64::from(condition.slowness_percent) / f64::from(USUAL_SLOWNESS_PERCENT);
    (condition.run_us > 0).then(|| f64::from(condition.run_us) * slowness)
}

/// The run time of a target relative to the median of its service; 1 if either is unknown.
pub fn slowdown(condition: Option<Condition>, median: Option<f64>) -> f64 {
    let (Some(condition), Some(median)) = (condition, median) else { return 1.0 };
    let relative = run_time(condition).map_or(1.0, |run_time| run_time / median);
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
    if utilisation > 1.0 { utilisation * slowdown } else { utilisation + slowdown - 1.0 }
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
