//! A token bucket; the caller passes the current time.

use std::time::Duration;

use tokio::time::Instant;

use super::roster::Quota;

/// The maximum time until the next token. The rate may be 0, and times that are added to an `Instant` must not
/// overflow it.
const UNTIL_NEXT_MAX: Duration = Duration::from_secs(3_600);

/// Tokens that accrue at the rate of a quota, up to its burst.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    tokens: f64,
    filled_at: Instant,
}

impl Bucket {
    /// A bucket that holds `tokens` at `now`.
    pub fn new(tokens: f64, now: Instant) -> Self {
        Self { tokens, filled_at: now }
    }

    /// Adds the tokens accrued since the last call at the rate of `quota`, and drops those beyond its burst.
    /// The capacity is at least one token, so that a quota without a burst admits requests.
    pub fn fill(&mut self, quota: Quota, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.tokens = (self.tokens + quota.per_s * elapsed_s).min(quota.burst.max(1.0));
    }

    /// Takes up to `wanted` whole tokens.
    pub fn take(&mut self, wanted: u32) -> u32 {
        let taken = wanted.min(self.tokens.max(0.0).floor() as u32);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Returns tokens; the next [`Self::fill`] drops those beyond the burst.
    pub fn put_back(&mut self, tokens: u32) {
        self.tokens += f64::from(tokens);
    }

    /// The time until a whole token is available, at most `UNTIL_NEXT_MAX`; zero if one already is.
    pub fn until_next(&self, per_s: f64) -> Duration {
        let deficit = (1.0 - self.tokens).max(0.0);
        if deficit == 0.0 {
            return Duration::ZERO;
        }
        time_per_token(per_s / deficit)
    }
}

/// The time in which one token accrues, at most `UNTIL_NEXT_MAX`.
pub fn time_per_token(per_s: f64) -> Duration {
    Duration::try_from_secs_f64(1.0 / per_s).unwrap_or(UNTIL_NEXT_MAX).min(UNTIL_NEXT_MAX)
}
