//! The summary of a run: goodput, latency and recovery by kind of call and policy arm.

use std::collections::BTreeMap;

use serde::Serialize;

use super::phase::Window;
use super::record::{Outcome, Record};
use super::recovery::Series;

/// The name of the line over all kinds or all arms.
const ALL: &str = "all";

/// The calls of one kind and arm.
#[derive(Clone, Debug, Serialize)]
pub struct Group {
    /// The kind, or `all`.
    pub kind: String,
    /// The arm, or `all`; empty where no answer told it.
    pub arm: String,
    /// Calls that were due.
    pub offered: u64,
    /// Calls by what became of them.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Good calls a second, over the whole run.
    pub goodput_per_s: f64,
    /// Attempts of the clients.
    pub attempts: u64,
    /// The median time of good calls, in milliseconds.
    pub good_p50_ms: Option<f64>,
    /// The time of good calls that 99 in 100 stay under, in milliseconds.
    pub good_p99_ms: Option<f64>,
    /// The share of good calls before the trigger.
    pub share_before: Option<f64>,
    /// From the trigger's end until goodput is back and stays, in milliseconds.
    pub recovery_ms: Option<u64>,
    /// Calls due in each bucket of 100 ms.
    pub offered_by_bucket: Vec<u64>,
    /// Good calls among them.
    pub good_by_bucket: Vec<u64>,
}

/// The summary of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// How long calls were offered, in milliseconds.
    pub run_ms: u64,
    /// All calls, then those of each kind, of each arm, and of each kind and arm.
    pub groups: Vec<Group>,
}

/// What is gathered for a group.
#[derive(Default)]
struct Gathered {
    outcomes: BTreeMap<Outcome, u64>,
    attempts: u64,
    good_ms: Vec<f64>,
    series: Series,
}

impl Summary {
    /// Sums up a run of `run_ms`, with the trigger of overload where there was one.
    pub fn new(records: &[Record], run_ms: u64, trigger: Option<Window>) -> Self {
        let mut groups: BTreeMap<(&str, &str), Gathered> = BTreeMap::new();
        for record in records {
            let (kind, arm) = (record.kind.as_str(), record.arm.as_str());
            for group in [(ALL, ALL), (kind, ALL), (ALL, arm), (kind, arm)] {
                groups.entry(group).or_default().add(record);
            }
        }
        let mut summary = Self { run_ms, groups: Vec::new() };
        for ((kind, arm), gathered) in groups {
            summary.groups.push(gathered.group(kind, arm, run_ms, trigger));
        }
        summary
    }

    /// The group of a kind and an arm; either may be `all`.
    pub fn group(&self, kind: &str, arm: &str) -> Option<&Group> {
        self.groups.iter().find(|group| group.kind == kind && group.arm == arm)
    }
}

impl Gathered {
    fn add(&mut self, record: &Record) {
        let good = record.outcome == Outcome::Good;
        *self.outcomes.entry(record.outcome).or_default() += 1;
        self.attempts += u64::from(record.attempts);
        self.series.add(record.at_ms, good);
        if good {
            self.good_ms.push(record.took_ms);
        }
    }

    fn group(mut self, kind: &str, arm: &str, run_ms: u64, trigger: Option<Window>) -> Group {
        self.good_ms.sort_by(f64::total_cmp);
        Group {
            kind: kind.to_owned(),
            arm: arm.to_owned(),
            offered: self.outcomes.values().sum(),
            outcomes: self.outcomes,
            goodput_per_s: self.good_ms.len() as f64 * 1_000.0 / run_ms.max(1) as f64,
            attempts: self.attempts,
            good_p50_ms: quantile(&self.good_ms, 0.5),
            good_p99_ms: quantile(&self.good_ms, 0.99),
            share_before: trigger.and_then(|trigger| self.series.share_before(trigger)),
            recovery_ms: trigger.and_then(|trigger| self.series.recovery_ms(trigger)),
            offered_by_bucket: self.series.offered,
            good_by_bucket: self.series.good,
        }
    }
}

/// The nearest-rank quantile of sorted values.
pub fn quantile(sorted: &[f64], share: f64) -> Option<f64> {
    let rank = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(rank.max(1) - 1).copied()
}
