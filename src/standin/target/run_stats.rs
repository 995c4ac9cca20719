//! Statistics of a target's runs: the number of runs by idempotency key, and the slot time by
//! outcome, which shows how much work was wasted.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Maximum number of keys in `runs_by_key`; runs with further keys count in `runs` only.
const KEYS_MAX: usize = 1_000_000;

/// The outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// A complete answer was sent.
    Answered,
    /// An error was sent because a child call failed.
    ChildFailed,
    /// The deadline passed during the run.
    Expired,
    /// The node cancelled the call.
    Cancelled,
    /// An injected fault replaced or truncated the response.
    Faulty,
}

/// Counters of the runs of a target since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStats {
    /// Runs started.
    pub runs: u64,
    /// Runs started, by idempotency key.
    pub runs_by_key: BTreeMap<String, u64>,
    /// Runs that ended, by outcome.
    pub ended: BTreeMap<RunEnd, u64>,
    /// Slot time of ended runs in microseconds, by outcome.
    pub busy_us: BTreeMap<RunEnd, u64>,
    /// Calls rejected, expired or cancelled before they got a slot.
    pub never_run: u64,
}

impl RunStats {
    /// Counts the start of a run.
    pub(super) fn begin(&mut self, key: Option<&str>) {
        self.runs += 1;
        let Some(key) = key else { return };
        if self.runs_by_key.len() >= KEYS_MAX && !self.runs_by_key.contains_key(key) {
            return;
        }
        *self.runs_by_key.entry(key.to_owned()).or_default() += 1;
    }

    /// Counts the end of a run that held its slot for `busy_us`.
    pub(super) fn end(&mut self, end: RunEnd, busy_us: u64) {
        *self.ended.entry(end).or_default() += 1;
        *self.busy_us.entry(end).or_default() += busy_us;
    }
}
