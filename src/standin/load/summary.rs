//! The summary of a run: goodput, latency and recovery by kind of call and policy arm.

use std::collections::BTreeMap;

use serde::Serialize;

use super::phase::Window;
use super::record::{Outcome, Record};
use super::recovery::Series;

/// Name of a group over all kinds or all arms.
const ALL: &str = "all";

/// Figures of the calls of one kind and arm.
#[derive(Clone, Debug, Serialize)]
pub struct Group {
    /// Name of the kind, or `all`.
    pub kind: String,
    /// Name of the policy arm, or `all`; empty for calls whose responses named no arm.
    pub arm: String,
    /// Number of scheduled calls.
    pub offered: u64,
    /// Number of calls by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Good calls per second over the whole run.
    pub goodput_per_s: f64,
    /// Number of attempts of the clients.
    pub attempts: u64,
    /// Median latency of good calls, in milliseconds.
    pub good_p50_ms: Option<f64>,
    /// 99th percentile latency of good calls, in milliseconds.
    pub good_p99_ms: Option<f64>,
    /// Share of good calls before the trigger.
    pub share_before: Option<f64>,
    /// Time from the end of the trigger until goodput has recovered and stays so until the end of
    /// the run, in milliseconds.
    pub recovery_ms: Option<u64>,
    /// Calls scheduled in each bucket of 100 ms.
    pub offered_by_bucket: Vec<u64>,
    /// Good calls among those scheduled in each bucket.
    pub good_by_bucket: Vec<u64>,
}

/// The summary of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Duration of the run, in milliseconds.
    pub run_ms: u64,
    /// One group for all calls, each kind, each arm, and each kind and arm, sorted by name.
    pub groups: Vec<Group>,
}

/// Figures of a group before they are summarized.
#[derive(Default)]
struct GroupStats {
    outcomes: BTreeMap<Outcome, u64>,
    attempts: u64,
    good_ms: Vec<f64>,
    series: Series,
}

impl Summary {
    /// Summarizes a run that lasted `run_ms`, with the recovery time if there was a trigger.
    pub fn new(records: &[Record], run_ms: u64, trigger: Option<Window>) -> Self {
        let mut groups: BTreeMap<(&str, &str), GroupStats> = BTreeMap::new();
        for record in records {
            let (kind, arm) = (record.kind.as_str(), record.arm.as_str());
            for key in [(ALL, ALL), (kind, ALL), (ALL, arm), (kind, arm)] {
                groups.entry(key).or_default().add(record);
            }
        }
        let mut summary = Self { run_ms, groups: Vec::new() };
        for ((kind, arm), stats) in groups {
            summary.groups.push(stats.into_group(kind, arm, run_ms, trigger));
        }
        summary
    }

    /// The group of a kind and an arm; either may be `all`.
    pub fn group(&self, kind: &str, arm: &str) -> Option<&Group> {
        self.groups.iter().find(|group| group.kind == kind && group.arm == arm)
    }
}

impl GroupStats {
    fn add(&mut self, record: &Record) {
        let is_good = record.outcome == Outcome::Good;
        *self.outcomes.entry(record.outcome).or_default() += 1;
        self.attempts += u64::from(record.attempts);
        self.series.record(record.at_ms, is_good);
        if is_good {
            self.good_ms.push(record.took_ms);
        }
    }

    fn into_group(mut self, kind: &str, arm: &str, run_ms: u64, trigger: Option<Window>) -> Group {
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
