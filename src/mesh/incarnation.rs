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
    /// Whether the end of this incarnation implies the end of `other`: they are the same, `other`
    /// is an earlier incarnation of the same target, or the start time of the ended one is unknown.
    pub fn ends(&self, other: &Self) -> bool {
        self.id == other.id
            && (self.started_unix_ms == 0 || other.started_unix_ms <= self.started_unix_ms)
    }
}
