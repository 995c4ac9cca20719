//! What a target ran: how often each key, and how much work was for nothing.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// How many keys are remembered; later ones are counted in `runs` only.
const KEYS_MAX: usize = 1_000_000;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// With a whole answer.
    Answered,
    /// With an error because a service further down gave none.
    ChildFailed,
    /// The deadline passed.
    Expired,
    /// It was cancelled.
    Cancelled,
    /// By a fault of the target.
    Faulty,
}

/// What a target ran so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Runs that were begun.
    pub runs: u64,
    /// Runs that were begun, by idempotency key.
    pub runs_by_key: BTreeMap<String, u64>,
    /// Runs that ended, by how they ended.
    pub ended: BTreeMap<RunEnd, u64>,
    /// Slot time of runs that ended, in microseconds, by how they ended.
    pub busy_us: BTreeMap<RunEnd, u64>,
    /// Calls that gave up, or were turned away, before they got a slot.
    pub never_run: u64,
}

impl Ledger {
    /// Counts a run that begins.
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
