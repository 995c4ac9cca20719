//! The nodes that left this one their keys.

use std::collections::VecDeque;

use crate::call::NodeId;
use crate::clock::US_PER_S;

/// How many nodes a member names at most whose keys it has; beyond it the oldest are left out.
pub(super) const INHERITED_MAX: usize = 32;
/// How long a member names them: until the longest-lived key is too old to run.
const NAMED_US: u64 = 2 * 3_600 * US_PER_S;

/// The nodes whose keys this node has, the oldest first.
#[derive(Debug, Default)]
pub(super) struct Inherited {
    /// Each node, and when its keys came, in microseconds since the process started.
    owners: VecDeque<(NodeId, u64)>,
}

impl Inherited {
    /// Adds nodes, the oldest first. Says whether one of them is new.
    pub(super) fn add(&mut self, now_us: u64, owners: &[NodeId]) -> bool {
        let mut is_new = false;
        for owner in owners {
            if self.owners.iter().any(|(known, _)| known == owner) {
                continue;
            }
            self.owners.push_back((*owner, now_us));
            is_new = true;
        }
        while self.owners.len() > INHERITED_MAX {
            self.owners.pop_front();
        }
        is_new
    }

    /// Drops the nodes whose keys are all too old. Says whether there was one.
    pub(super) fn age(&mut self, now_us: u64) -> bool {
        let before = self.owners.len();
        self.owners.retain(|(_, since_us)| now_us.saturating_sub(*since_us) < NAMED_US);
        self.owners.len() < before
    }

    /// The nodes, the oldest first.
    pub(super) fn list(&self) -> Vec<NodeId> {
        self.owners.iter().map(|(owner, _)| *owner).collect()
    }
}
