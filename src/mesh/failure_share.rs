//! Tracks the recent share of failures among a target's answers, and derives the cost and the
//! capacity weight of the target from it.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Exponentially weighted share of failures among a target's answers.
#[derive(Debug)]
pub struct FailureShare {
    share: Cell<f64>,
    updated_at: Cell<Instant>,
}

impl Default for FailureShare {
    fn default() -> Self {
        Self { share: Cell::default(), updated_at: Cell::new(Instant::now()) }
    }
}

impl FailureShare {
    /// Records one answer.
    pub fn record(&self, is_failure: bool) {
        /// Weight of one answer.
        const WEIGHT: f64 = 0.05;
        let sample = if is_failure { 1.0 } else { 0.0 };
        let now = Instant::now();
        let share = self.share(now);
        self.share.set(share + WEIGHT * (sample - share));
        self.updated_at.set(now);
    }

    /// Resets the share when a new incarnation takes over.
    pub fn reset(&self) {
        self.share.set(0.0);
    }

    /// The share, from 0 to 1. It decays without new answers, so that a target that is avoided for
    /// its failures is tried again.
    pub fn share(&self, now: Instant) -> f64 {
        /// Time in which the share halves.
        const HALF_LIFE: Duration = Duration::from_secs(1);
        /// Shares below this count as zero.
        const NEGLIGIBLE: f64 = 0.002;
        if self.share.get() < NEGLIGIBLE {
            return 0.0;
        }
        let half_lives = (now - self.updated_at.get()).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.share.get() * 0.5_f64.powf(half_lives)
    }

    /// Cost added to the target's utilisation. A failure deep in a call tree fails the whole tree,
    /// so a target that fails one call in three is avoided until all other queues are full.
    pub fn cost(&self, now: Instant) -> f64 {
        /// Cost of a target that always fails.
        const COST: f64 = 20.0;
        (self.share(now) - FAILURES_TOLERATED).max(0.0) * COST
    }
}

/// Share of failures that is tolerated without any effect.
const FAILURES_TOLERATED: f64 = 0.1;

/// Weight of a target with the given share of failures, relative to a healthy one. A tree of ten
/// calls hardly ever succeeds with a target that fails one call in three.
pub fn capacity_weight(failing: f64) -> f64 {
    /// Loss of weight per unit of failure share.
    const SLOPE: f64 = 5.0;
    /// Minimum weight, so that a service whose targets all fail still counts.
    const WEIGHT_MIN: f64 = 0.05;
    (1.0 - (failing - FAILURES_TOLERATED).max(0.0) * SLOPE).max(WEIGHT_MIN)
}
