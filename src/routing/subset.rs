//! Subsetting: which of a service's targets one sender uses.
//!
//! A sender keeps connections to a bounded number of targets. Each sender ranks the targets by a
//! hash of its own node and theirs (rendezvous hashing), so that the senders spread evenly over the
//! targets without coordination, and adding or removing a target changes one entry.

use crate::call::NodeId;

/// The default maximum number of targets that a sender uses for one service.
pub const ACTIVE_TARGETS: usize = 24;
/// The divisor that gives the number of targets taken first from this node's failure domain.
const NEAR_DIVISOR: usize = 2;

/// The rank of `peer` for the sender `own`; the targets with the lowest ranks are used.
pub fn rendezvous_order(own: NodeId, peer: NodeId) -> u64 {
    splitmix64(own.0 ^ splitmix64(peer.0))
}

/// The finalizer of SplitMix64, which spreads every input bit over all output bits.
fn splitmix64(input: u64) -> u64 {
    let mut state = input.wrapping_add(0x9e37_79b9_7f4a_7c15);
    state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}

/// A target's position in the ranking.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Ranked {
    /// The hash of this node and the target's, which determines the position.
    pub order: u64,
    /// The index of the target in the router.
    pub target_index: usize,
}

/// All targets of one service in the ranking of this node.
#[derive(Clone, Debug, Default)]
pub(super) struct Ranking {
    /// The targets in this node's failure domain.
    near: Vec<Ranked>,
    /// The targets in other failure domains.
    far: Vec<Ranked>,
}

impl Ranking {
    /// Adds a target.
    pub fn insert(&mut self, near: bool, ranked: Ranked) {
        let side = if near { &mut self.near } else { &mut self.far };
        if let Err(position) = side.binary_search(&ranked) {
            side.insert(position, ranked);
        }
    }

    /// Removes a target.
    pub fn remove(&mut self, near: bool, ranked: Ranked) {
        let side = if near { &mut self.near } else { &mut self.far };
        if let Ok(position) = side.binary_search(&ranked) {
            side.remove(position);
        }
    }

    /// Puts the indexes of the best `limit` targets that `is_usable` accepts into `chosen`: first
    /// up to half of them from this node's failure domain, then the best of all others.
    pub fn choose(&self, limit: usize, is_usable: impl Fn(usize) -> bool, chosen: &mut Vec<usize>) {
        chosen.clear();
        let mut near = self.near.iter().filter(|ranked| is_usable(ranked.target_index)).peekable();
        let mut far = self.far.iter().filter(|ranked| is_usable(ranked.target_index)).peekable();
        while chosen.len() < limit.div_ceil(NEAR_DIVISOR) {
            let Some(ranked) = near.next() else {
                break;
            };
            chosen.push(ranked.target_index);
        }
        while chosen.len() < limit {
            let near_order = near.peek().map_or(u64::MAX, |ranked| ranked.order);
            let far_order = far.peek().map_or(u64::MAX, |ranked| ranked.order);
            let side = if near_order < far_order { near.next() } else { far.next() };
            let Some(ranked) = side else {
                break;
            };
            chosen.push(ranked.target_index);
        }
    }
}
