//! The retry budget of one node for one arm: a token bucket refilled by successful calls.

use crate::clock::US_PER_S;

/// The half-life of tokens earned by successes.
const EARNED_HALF_LIFE_US: u64 = 5 * US_PER_S;
/// The time in which the free token refills, independent of successes.
const FREE_REFILL_US: u64 = 10 * US_PER_S;
/// The maximum number of free tokens.
const FREE_TOKENS_MAX: f64 = 1.0;
/// The balance needed for a retry: slightly less than one token, so that rounding in a sum of
/// shares does not block a retry that was earned.
const RETRY_COST: f64 = 1.0 - 1e-9;

/// Limits retries to a share of recent successes.
///
/// Earned tokens decay, so that an hour of successes does not allow a burst of retries. One free
/// token refills slowly, so that a nearly idle node can retry at all. Over any time span the
/// retries number at most `share * successes + 1 + span / 10 s`.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// The tokens earned by one success.
    share: f64,
    /// Tokens earned by successes.
    earned: f64,
    /// Free tokens, at most `FREE_TOKENS_MAX`.
    free: f64,
    /// When both balances were last updated.
    updated_us: u64,
}

impl RetryBudget {
    /// Creates a budget in which each success earns `share` of a retry. `share` is clamped to
    /// 0..=1.
    pub fn new(share: f64) -> Self {
        Self { share: share.clamp(0.0, 1.0), earned: 0.0, free: FREE_TOKENS_MAX, updated_us: 0 }
    }

    /// Changes the share of a retry that each later success earns.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// Adds the tokens that a success earns.
    pub fn on_success(&mut self, now_us: u64) {
        self.update(now_us);
        self.earned += self.share;
    }

    /// Takes the tokens for one retry. Returns false if there are too few.
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

    /// The balance as of the last update, in retries.
    pub fn available(&self) -> f64 {
        self.earned + self.free
    }

    /// Decays the earned tokens and refills the free ones up to `now_us`.
    fn update(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.updated_us) as f64;
        if elapsed_us <= 0.0 {
            return;
        }
        self.earned *= (-elapsed_us / EARNED_HALF_LIFE_US as f64).exp2();
        self.free = (self.free + elapsed_us / FREE_REFILL_US as f64).min(FREE_TOKENS_MAX);
        self.updated_us = now_us;
    }
}
