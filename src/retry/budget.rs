//! The extra attempts one node may make for one arm, earned by its successes.

use crate::clock::US_PER_S;

/// The time in which an earned but unused retry loses half its worth.
const HALF_LIFE_US: u64 = 5 * US_PER_S;
/// The time in which a node without any success regains its one free retry.
const FREE_RETRY_US: u64 = 10 * US_PER_S;
/// The most free retries that are kept.
const FREE_RETRIES_MAX: f64 = 1.0;
/// What a retry costs; a little less than one, so that sums of shares are not short by rounding.
const RETRY_COST: f64 = 1.0 - 1e-9;

/// Extra attempts as a share of recent successes.
///
/// The balance decays, so that an hour of successes does not pay for a burst of retries. One free
/// retry grows back slowly, so that a nearly idle node can retry at all. Over any span the extra
/// attempts are at most `share * successes + 1 + span / 10 s`.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// What one success earns.
    share: f64,
    /// Earned and not yet used.
    earned: f64,
    /// The free part, at most one.
    free: f64,
    /// When both parts were last brought up to date.
    updated_us: u64,
}

impl RetryBudget {
    /// A budget in which each success earns `share` of a retry.
    pub fn new(share: f64) -> Self {
        Self { share: share.clamp(0.0, 1.0), earned: 0.0, free: FREE_RETRIES_MAX, updated_us: 0 }
    }

    /// Changes what one success earns from now on.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// Counts a success.
    pub fn on_success(&mut self, now_us: u64) {
        self.update(now_us);
        self.earned += self.share;
    }

    /// Takes one retry, if there is one.
    pub fn try_take(&mut self, now_us: u64) -> bool {
        self.update(now_us);
        if self.earned >= RETRY_COST {
            self.earned = (self.earned - 1.0).max(0.0);
            return true;
        }
        if self.free >= RETRY_COST {
            self.free = (self.free - 1.0).max(0.0);
            return true;
        }
        false
    }

    /// How many retries could be taken now.
    pub fn available(&self) -> f64 {
        self.earned + self.free
    }

    /// Lets the earned part decay and the free part grow up to `now_us`.
    fn update(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.updated_us) as f64;
        if elapsed_us <= 0.0 {
            return;
        }
        self.earned *= (-elapsed_us / HALF_LIFE_US as f64).exp2();
        self.free = (self.free + elapsed_us / FREE_RETRY_US as f64).min(FREE_RETRIES_MAX);
        self.updated_us = now_us;
    }
}
