//! Which of a service's targets one sender uses.
//!
//! A sender keeps connections to a bounded number of targets. Each sender ranks the targets by a
//! hash of its own node and theirs (rendezvous hashing), so that the senders spread evenly over the
//! targets without talking to each other, and one target's coming or going changes one place.

use crate::call::NodeId;

/// How many targets of one service a sender uses at most, unless told otherwise.
pub const ACTIVE_TARGETS: usize = 24;
/// The part of the used targets that may be taken from the own failure domain first.
const NEAR_DIVISOR: usize = 2;

/// Where `peer` stands in the ranking of `own`; the lowest are used.
pub fn rendezvous_order(own: NodeId, peer: NodeId) -> u64 {
    mix(own.0 ^ mix(peer.0))
}

/// The finishing steps of SplitMix64, which spread every input bit over all output bits.
fn mix(input: u64) -> u64 {
    let mut state = input.wrapping_add(0x9e37_79b9_7f4a_7c15);
    state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}

/// A target's place in the ranking.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Ranked {
    /// The hash of the own node and the target's.
    pub order: u64,
    /// Where the router keeps the target.
    pub slot: usize,
}

/// All targets of one service in the ranking of this node.
#[derive(Clone, Debug, Default)]
pub(super) struct Ranking {
    /// Those in the own failure domain.
    near: Vec<Ranked>,
    /// Those in others.
    far: Vec<Ranked>,
}

impl Ranking {
    /// Adds a target.
    pub fn insert(&mut self, near: bool, ranked: Ranked) {
        let side = if near { &mut self.near } else { &mut self.far };
        if let Err(place) = side.binary_search(&ranked) {
            side.insert(place, ranked);
        }
    }

    /// Takes a target out.
    pub fn remove(&mut self, near: bool, ranked: Ranked) {
        let side = if near { &mut self.near } else { &mut self.far };
        if let Ok(place) = side.binary_search(&ranked) {
            side.remove(place);
        }
    }

    /// Puts the slots of the best `limit` targets that `usable` accepts into `chosen`: first up to
    /// half of them from the own failure domain, then the best of all others.
    pub fn choose(&self, limit: usize, usable: impl Fn(usize) -> bool, chosen: &mut Vec<usize>) {
        chosen.clear();
        let mut near = self.near.iter().filter(|ranked| usable(ranked.slot)).peekable();
        let mut far = self.far.iter().filter(|ranked| usable(ranked.slot)).peekable();
        while chosen.len() < limit.div_ceil(NEAR_DIVISOR) {
            let Some(ranked) = near.next() else {
                break;
            };
            chosen.push(ranked.slot);
        }
        while chosen.len() < limit {
            let near_order = near.peek().map_or(u64::MAX, |ranked| ranked.order);
            let far_order = far.peek().map_or(u64::MAX, |ranked| ranked.order);
            let side = if near_order < far_order { near.next() } else { far.next() };
            let Some(ranked) = side else {
                break;
            };
            chosen.push(ranked.slot);
        }
    }
}
