//! Which node has the keys of a node that left.

use std::collections::HashMap;

use crate::call::NodeId;
use crate::clock::US_PER_S;

/// How long an heir is remembered; all keys of a node that left are too old by then.
const KEPT_US: u64 = 2 * 3_600 * US_PER_S;
/// How many nodes that left are remembered at most.
const OWNERS_MAX: usize = 4_096;
/// How many nodes may have left one after the other, each with the keys of the one before.
const STEPS_MAX: usize = 32;

/// The heirs that are known.
#[derive(Debug, Default)]
pub(super) struct Heirs {
    /// The heir of each node that left, and when it was first heard of.
    by_owner: HashMap<NodeId, Heir>,
}

/// Who took the keys over.
#[derive(Clone, Copy, Debug)]
struct Heir {
    /// The node that has them.
    node: NodeId,
    /// When this was heard, in microseconds since the process started.
    noted_us: u64,
}

impl Heirs {
    /// Notes that `node` has the keys of `owners`.
    pub(super) fn note(&mut self, now_us: u64, owners: &[NodeId], node: NodeId) {
        for owner in owners {
            let known = self.by_owner.get(owner).is_some_and(|heir| heir.node == node);
            if known || *owner == node {
                continue;
            }
            if self.by_owner.len() >= OWNERS_MAX {
                self.by_owner.retain(|_, heir| now_us.saturating_sub(heir.noted_us) < KEPT_US);
            }
            if self.by_owner.len() >= OWNERS_MAX {
                return;
            }
            self.by_owner.insert(*owner, Heir { node, noted_us: now_us });
        }
    }

    /// The node that has the keys of `owner`: `owner` itself, as far as is known.
    ///
    /// An heir may have left in its turn, and news of it may come in any order, so the chain is
    /// followed to its end.
    pub(super) fn holder_of(&self, owner: NodeId) -> NodeId {
        let mut holder = owner;
        for _ in 0..STEPS_MAX {
            let Some(heir) = self.by_owner.get(&holder) else { return holder };
            holder = heir.node;
        }
        holder
    }
}
