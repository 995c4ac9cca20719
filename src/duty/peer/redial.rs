//! When to connect again after a connection failed. Pure.

use crate::call::NodeId;
use crate::clock::US_PER_MS;

/// The wait before the next try to connect: it doubles with each failure, and a part of it differs
/// from node to node, so that the nodes do not all come back to a restarted peer at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Redial {
    /// The wait after the first failure, in microseconds.
    first_us: u64,
    /// The longest wait, in microseconds.
    max_us: u64,
    /// The wait after the latest failure, before the random part is taken off; 0 after a success.
    wait_us: u64,
    /// The state of the generator of the random part.
    random: u64,
}

impl Redial {
    /// The waits of `node`, from `first_ms` to `max_ms`.
    pub fn new(node: NodeId, first_ms: u64, max_ms: u64) -> Self {
        let first_us = first_ms * US_PER_MS;
        let max_us = (max_ms * US_PER_MS).max(first_us);
        Self { first_us, max_us, wait_us: 0, random: node.0 }
    }

    /// Whether the latest try failed.
    pub fn is_failing(&self) -> bool {
        self.wait_us > 0
    }

    /// A connection has worked for as long as the first wait.
    pub fn succeeded(&mut self) {
        self.wait_us = 0;
    }

    /// How long a connection must have worked to count as a success, in microseconds.
    pub fn success_after_us(&self) -> u64 {
        self.first_us
    }

    /// A connection failed. Returns how long to wait, from half of the wait to the whole of it.
    pub fn failed(&mut self) -> u64 {
        self.wait_us = self.wait_us.saturating_mul(2).clamp(self.first_us, self.max_us);
        let half_us = self.wait_us / 2;
        self.wait_us - self.next_random() % (half_us + 1)
    }

    /// The next number of a SplitMix64 generator.
    fn next_random(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
