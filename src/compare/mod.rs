//! Compares the policy arms of runs: what each arm served, how fast, at what cost, and how soon it
//! recovered, with the spread over repeats.
//!
//! A run is what the load program recorded and what the nodes counted meanwhile. Nothing here
//! speaks to anybody.

mod plot;
mod run;
mod scrape;
mod spread;

use std::collections::BTreeSet;

use serde::Serialize;

use crate::standin::load::{Group, Summary, Window};

pub use plot::plot;
pub use run::{Run, RunError};
pub use scrape::{ArmCounts, Counts};
pub use spread::Spread;

/// The name of the line over all kinds of calls.
const ALL: &str = "all";

/// What to compare.
#[derive(Clone, Copy, Debug, Default)]
pub struct CompareOptions {
    /// Only calls due in this window count; all where absent. Recovery looks at the whole run.
    pub during: Option<Window>,
    /// When the trigger of overload was there; without one there is no recovery time.
    pub trigger: Option<Window>,
}

/// What one arm did with one kind of calls, over all runs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ArmFigures {
    /// The arm; empty for calls of which no answer told it.
    pub arm: String,
    /// The kind of calls, or `all`.
    pub kind: String,
    /// Calls that were due in each run.
    pub offered: Spread,
    /// Good calls a second.
    pub goodput_per_s: Spread,
    /// Good calls as a share of those due.
    pub good_share: Spread,
    /// The median time of good calls, in milliseconds.
    pub good_p50_ms: Option<Spread>,
    /// The time that 99 in 100 good calls stay under, in milliseconds.
    pub good_p99_ms: Option<Spread>,
    /// Attempts of the client for each call.
    pub client_attempts: Spread,
    /// From the trigger's end until goodput is back and stays, in milliseconds.
    pub recovery_ms: Option<Spread>,
    /// Runs in which goodput did not come back.
    pub unrecovered: usize,
    /// One, and the retries that nodes made for each whole request; for all kinds only.
    pub attempts_per_root: Option<Spread>,
    /// Target time spent for nothing as a share of all target time; for all kinds only.
    pub wasted_share: Option<Spread>,
}

/// The figures of every arm and kind of calls: arms in order, `all` before the single kinds.
pub fn compare(runs: &[Run], options: CompareOptions) -> Vec<ArmFigures> {
    let mut whole = Vec::new();
    let mut windowed = Vec::new();
    for run in runs {
        let run_ms = run.length_ms();
        whole.push(Summary::new(&run.records, run_ms, options.trigger));
        windowed.push(match options.during {
            Some(window) => Summary::new(&run.during(window), window.to_ms - window.from_ms, None),
            None => Summary::new(&run.records, run_ms, None),
        });
    }
    let mut names = BTreeSet::new();
    for group in windowed.iter().flat_map(|summary| &summary.groups) {
        if group.arm != ALL {
            names.insert((group.arm.clone(), group.kind != ALL, group.kind.clone()));
        }
    }
    let mut figures = Vec::new();
    for (arm, _, kind) in &names {
        let groups = groups(&windowed, kind, arm);
        let recoveries = recoveries_of(&whole, kind, arm, options);
        figures.extend(figures_of(&groups, recoveries, runs, kind, arm));
    }
    figures
}

/// The group of an arm and a kind in each run that has it.
fn groups<'a>(summaries: &'a [Summary], kind: &str, arm: &str) -> Vec<&'a Group> {
    summaries.iter().filter_map(|summary| summary.group(kind, arm)).collect()
}

/// The recovery time of each run that has the group; none where there was no trigger.
fn recoveries_of(
    summaries: &[Summary],
    kind: &str,
    arm: &str,
    options: CompareOptions,
) -> Vec<Option<u64>> {
    if options.trigger.is_none() {
        return Vec::new();
    }
    groups(summaries, kind, arm).iter().map(|group| group.recovery_ms).collect()
}

/// The figures of one arm and kind; none where no run has any of its calls.
fn figures_of(
    groups: &[&Group],
    recoveries: Vec<Option<u64>>,
    runs: &[Run],
    kind: &str,
    arm: &str,
) -> Option<ArmFigures> {
    let over = |value: fn(&Group) -> f64| Spread::of(groups.iter().map(|group| value(group)));
    let over_some = |value: fn(&Group) -> Option<f64>| {
        Spread::of(groups.iter().filter_map(|group| value(group)))
    };
    let counts: Vec<&ArmCounts> = match kind {
        ALL => runs.iter().filter_map(|run| run.counts.arm(arm)).collect(),
        _ => Vec::new(),
    };
    let recovered = recoveries.iter().flatten().map(|recovery_ms| *recovery_ms as f64);
    Some(ArmFigures {
        arm: arm.to_owned(),
        kind: kind.to_owned(),
        offered: over(|group| group.offered as f64)?,
        goodput_per_s: over(|group| group.goodput_per_s)?,
        good_share: over(good_share)?,
        good_p50_ms: over_some(|group| group.good_p50_ms),
        good_p99_ms: over_some(|group| group.good_p99_ms),
        client_attempts: over(|group| group.attempts as f64 / group.offered.max(1) as f64)?,
        recovery_ms: Spread::of(recovered),
        unrecovered: recoveries.iter().filter(|recovery_ms| recovery_ms.is_none()).count(),
        attempts_per_root: Spread::of(counts.iter().filter_map(|arm| arm.attempts_per_root())),
        wasted_share: Spread::of(counts.iter().filter_map(|arm| arm.wasted_share())),
    })
}

/// Good calls as a share of those due.
fn good_share(group: &Group) -> f64 {
    let good: u64 = group.good_by_bucket.iter().sum();
    good as f64 / group.offered.max(1) as f64
}
