//! One life of a target.

use serde::{Deserialize, Serialize};

/// One life of a target, from its start to its end.
///
/// A target may keep its id over a restart. What was known of its earlier life (that it was leaving,
/// what it had failed, how far its heartbeats had counted) says nothing of the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The target's id; empty where no target is known.
    pub id: String,
    /// When it started, in Unix milliseconds by its own clock; 0 where it does not tell.
    pub started_unix_ms: u64,
}

impl Incarnation {
    /// Whether the end of this life is the end of `other` too: they are the same, `other` is an
    /// earlier life of the same target, or nobody told which of its lives has ended.
    pub fn ends(&self, other: &Self) -> bool {
        self.id == other.id
            && (self.started_unix_ms == 0 || other.started_unix_ms <= self.started_unix_ms)
    }
}
