//! Backoff between attempts to connect. Pure: it reads no clock.

use crate::call::NodeId;
use crate::clock::US_PER_MS;

/// Exponential backoff with jitter: the wait doubles with each failure. The jitter is seeded by the
/// node, so that the nodes do not all reconnect to a restarted peer at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RedialBackoff {
    /// The wait after the first failure, in microseconds.
    initial_us: u64,
    /// The longest wait, in microseconds.
    max_us: u64,
    /// The wait after the latest failure, before jitter is subtracted; 0 after a success.
    backoff_us: u64,
    /// The state of the jitter generator.
    rng_state: u64,
}

impl RedialBackoff {
    /// The backoff of `node`, from `initial_ms` to `max_ms`.
    pub fn new(node: NodeId, initial_ms: u64, max_ms: u64) -> Self {
        let initial_us = initial_ms * US_PER_MS;
        let max_us = (max_ms * US_PER_MS).max(initial_us);
        Self { initial_us, max_us, backoff_us: 0, rng_state: node.0 }
    }

    /// Whether the latest attempt failed.
    pub fn is_failing(&self) -> bool {
        self.backoff_us > 0
    }

    /// Records that a connection has been stable; resets the backoff.
    pub fn record_success(&mut self) {
        self.backoff_us = 0;
    }

    /// How long a connection must last to count as stable, in microseconds.
    pub fn stable_after_us(&self) -> u64 {
        self.initial_us
    }

    /// Records a failure. Returns how long to wait, in microseconds: from half of the current wait
    /// to all of it.
    pub fn record_failure(&mut self) -> u64 {
        self.backoff_us = self.backoff_us.saturating_mul(2).clamp(self.initial_us, self.max_us);
        let half_us = self.backoff_us / 2;
        self.backoff_us - self.next_random() % (half_us + 1)
    }

    /// The next number of a SplitMix64 generator.
    fn next_random(&mut self) -> u64 {
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.rng_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
