//! A token bucket that is told the time.

use std::time::Duration;

use tokio::time::Instant;

use super::roster::Quota;

/// Tokens that come at a rate, up to a bound.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    /// A bucket with `tokens` in it at `now`.
    pub fn new(tokens: f64, now: Instant) -> Self {
        Self { tokens, filled: now }
    }

    /// Adds what has come since the last call at the rate of `quota`, and drops what is beyond its burst.
    /// A bucket holds one token at least, so that a quota without a burst lets requests in.
    pub fn fill(&mut self, quota: Quota, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.tokens = (self.tokens + quota.per_s * elapsed_s).min(quota.burst.max(1.0));
    }

    /// Takes up to `wanted` whole tokens.
    pub fn take(&mut self, wanted: u32) -> u32 {
        let taken = wanted.min(self.tokens.max(0.0).floor() as u32);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Puts tokens back; what is beyond the burst goes with the next [`Self::fill`].
    pub fn put_back(&mut self, tokens: u32) {
        self.tokens += f64::from(tokens);
    }

    /// How long until there is a whole token; zero where there is one.
    pub fn until_next(&self, per_s: f64) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::try_from_secs_f64(missing / per_s).unwrap_or(Duration::MAX)
    }
}
