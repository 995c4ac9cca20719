//! Compares the policy arms of recorded runs: goodput, latency, cost and recovery time of each arm,
//! with the spread over the runs.
//!
//! A run consists of the call records of the load generator and the counters of the nodes. This
//! module only reads files and does no network I/O.

mod plot;
mod run;
mod scrape;
mod spread;

use std::collections::BTreeSet;

use serde::Serialize;

use crate::standin::load::{Group, Summary, Window};

pub use plot::plot;
pub use run::{Run, RunError};
pub use scrape::{ArmCounters, CountersByArm};
pub use spread::Spread;

/// Stands for all kinds of calls where a kind is expected, and for all arms where an arm is.
const ALL: &str = "all";

/// Options of a comparison.
#[derive(Clone, Copy, Debug, Default)]
pub struct CompareOptions {
    /// Counts only calls scheduled in this window; all calls if absent. The recovery time always
    /// uses the whole run.
    pub during: Option<Window>,
    /// The window in which the cause of the overload was active; without it there is no recovery
    /// time.
    pub trigger: Option<Window>,
}

/// The figures of one arm for one kind of calls, over all runs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ArmFigures {
    /// The arm; empty for calls whose arm is unknown because no answer named it.
    pub arm: String,
    /// The kind of calls, or `all`.
    pub kind: String,
    /// Calls scheduled in each run.
    pub offered: Spread,
    /// Good calls per second.
    pub goodput_per_s: Spread,
    /// Good calls as a share of the scheduled ones.
    pub good_share: Spread,
    /// The median latency of good calls, in milliseconds.
    pub good_p50_ms: Option<Spread>,
    /// The 99th percentile of the latency of good calls, in milliseconds.
    pub good_p99_ms: Option<Spread>,
    /// Client attempts per call.
    pub client_attempts: Spread,
    /// Time from the end of the trigger until goodput has recovered and stays so until the end of
    /// the run, in milliseconds.
    pub recovery_ms: Option<Spread>,
    /// Runs in which goodput did not recover.
    pub unrecovered: usize,
    /// One plus the retries by nodes per root request; only for the kind `all`.
    pub attempts_per_root: Option<Spread>,
    /// Target time spent on unusable answers as a share of all target time; only for the kind
    /// `all`.
    pub wasted_share: Option<Spread>,
}

/// Returns the figures of every arm and kind of calls, sorted by arm, with `all` before the other
/// kinds.
pub fn compare(runs: &[Run], options: CompareOptions) -> Vec<ArmFigures> {
    let mut full_summaries = Vec::new();
    let mut windowed_summaries = Vec::new();
    for run in runs {
        let run_ms = run.duration_ms();
        full_summaries.push(Summary::new(&run.records, run_ms, options.trigger));
        windowed_summaries.push(match options.during {
            Some(window) => {
                Summary::new(&run.records_in(window), window.to_ms - window.from_ms, None)
            }
            None => Summary::new(&run.records, run_ms, None),
        });
    }
    let mut arm_kinds = BTreeSet::new();
    for group in windowed_summaries.iter().flat_map(|summary| &summary.groups) {
        if group.arm != ALL {
            arm_kinds.insert((group.arm.clone(), group.kind != ALL, group.kind.clone()));
        }
    }
    let mut figures = Vec::new();
    for (arm, _, kind) in &arm_kinds {
        let groups = matching_groups(&windowed_summaries, kind, arm);
        let recovery_times_ms = recovery_times(&full_summaries, kind, arm, options);
        figures.extend(arm_figures(&groups, recovery_times_ms, runs, kind, arm));
    }
    figures
}

/// The group of an arm and kind in each run that has one.
fn matching_groups<'a>(summaries: &'a [Summary], kind: &str, arm: &str) -> Vec<&'a Group> {
    summaries.iter().filter_map(|summary| summary.group(kind, arm)).collect()
}

/// The recovery time of each run that has the group; empty without a trigger.
fn recovery_times(
    summaries: &[Summary],
    kind: &str,
    arm: &str,
    options: CompareOptions,
) -> Vec<Option<u64>> {
    if options.trigger.is_none() {
        return Vec::new();
    }
    matching_groups(summaries, kind, arm).iter().map(|group| group.recovery_ms).collect()
}

/// The figures of one arm and kind; `None` if no run has such calls.
fn arm_figures(
    groups: &[&Group],
    recovery_times_ms: Vec<Option<u64>>,
    runs: &[Run],
    kind: &str,
    arm: &str,
) -> Option<ArmFigures> {
    let spread = |value: fn(&Group) -> f64| Spread::of(groups.iter().map(|group| value(group)));
    let spread_of_present = |value: fn(&Group) -> Option<f64>| {
        Spread::of(groups.iter().filter_map(|group| value(group)))
    };
    let counters: Vec<&ArmCounters> = match kind {
        ALL => runs.iter().filter_map(|run| run.counters.arm(arm)).collect(),
        _ => Vec::new(),
    };
    let recovered = recovery_times_ms.iter().flatten().map(|recovery_ms| *recovery_ms as f64);
    Some(ArmFigures {
        arm: arm.to_owned(),
        kind: kind.to_owned(),
        offered: spread(|group| group.offered as f64)?,
        goodput_per_s: spread(|group| group.goodput_per_s)?,
        good_share: spread(good_share)?,
        good_p50_ms: spread_of_present(|group| group.good_p50_ms),
        good_p99_ms: spread_of_present(|group| group.good_p99_ms),
        client_attempts: spread(|group| group.attempts as f64 / group.offered.max(1) as f64)?,
        recovery_ms: Spread::of(recovered),
        unrecovered: recovery_times_ms.iter().filter(|recovery_ms| recovery_ms.is_none()).count(),
        attempts_per_root: Spread::of(counters.iter().filter_map(|arm| arm.attempts_per_root())),
        wasted_share: Spread::of(counters.iter().filter_map(|arm| arm.wasted_share())),
    })
}

/// Good calls as a share of the scheduled ones.
fn good_share(group: &Group) -> f64 {
    let good: u64 = group.good_by_bucket.iter().sum();
    good as f64 / group.offered.max(1) as f64
}
