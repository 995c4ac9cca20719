//! How often a target has failed of late, and what that makes it worth.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// The share of a target's answers that were failures of late.
#[derive(Debug)]
pub struct FailureShare {
    share: Cell<f64>,
    noted: Cell<Instant>,
}

impl Default for FailureShare {
    fn default() -> Self {
        Self { share: Cell::default(), noted: Cell::new(Instant::now()) }
    }
}

impl FailureShare {
    /// Takes in one answer.
    pub fn note(&self, is_failure: bool) {
        /// The weight of one answer.
        const WEIGHT: f64 = 0.05;
        let seen = if is_failure { 1.0 } else { 0.0 };
        let now = Instant::now();
        let share = self.share(now);
        self.share.set(share + WEIGHT * (seen - share));
        self.noted.set(now);
    }

    /// Forgets all answers: another incarnation gives them from now on.
    pub fn forget(&self) {
        self.share.set(0.0);
    }

    /// The share, 0 to 1. It fades while nothing is heard: a target that gets nothing for its failures
    /// is to be tried again.
    pub fn share(&self, now: Instant) -> f64 {
        /// How long it takes to fade to a half.
        const HALF_LIFE: Duration = Duration::from_secs(1);
        /// A share that makes no difference.
        const NEGLIGIBLE: f64 = 0.002;
        if self.share.get() < NEGLIGIBLE {
            return 0.0;
        }
        let lives = (now - self.noted.get()).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.share.get() * 0.5_f64.powf(lives)
    }

    /// By how much busier the target counts. A failure deep in a tree of calls fails the whole tree,
    /// so a target that fails one in three is left alone until the queues of all others are full.
    pub fn cost(&self, now: Instant) -> f64 {
        /// What a target that fails always would count.
        const COST: f64 = 20.0;
        (self.share(now) - FAILURES_USUAL).max(0.0) * COST
    }
}

/// The share of failures that says nothing of a target.
const FAILURES_USUAL: f64 = 0.1;

/// What a target with the given share of failures is worth beside one that works. With ten calls in a
/// tree, hardly any tree bears a target that fails one in three.
pub fn worth_of(failing: f64) -> f64 {
    /// How fast the worth falls with the share.
    const SLOPE: f64 = 5.0;
    /// What remains at least, so that a service of which all targets fail still counts.
    const WORTH_MIN: f64 = 0.05;
    (1.0 - (failing - FAILURES_USUAL).max(0.0) * SLOPE).max(WORTH_MIN)
}
