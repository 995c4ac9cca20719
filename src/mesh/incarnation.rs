//! Identifies one process lifetime of a target.

use serde::{Deserialize, Serialize};

/// One lifetime of a target, from start to exit.
///
/// A target may keep its id over a restart. State of an earlier lifetime (draining, failures,
/// heartbeat sequence numbers) does not apply to the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The target's id; empty if no target is known.
    pub id: String,
    /// Start time in Unix milliseconds by the target's own clock; 0 if unknown.
    pub started_unix_ms: u64,
}

impl Incarnation {
    /// Whether both are the same incarnation, as far as their start times are known. Start times of
    /// one target don't tell which of two incarnations is the later one: its clock may be set back.
    pub fn matches(&self, other: &Self) -> bool {
        let starts = (self.started_unix_ms, other.started_unix_ms);
        self.id == other.id && (starts.0 == starts.1 || starts.0 == 0 || starts.1 == 0)
    }
}
