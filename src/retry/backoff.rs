//! How long to wait before an extra attempt.

use rand::Rng;

use crate::clock::US_PER_MS;
use crate::config::RetryRule;

/// The wait before the extra attempt that follows attempt number `retry` of a hop, in microseconds.
///
/// It is drawn evenly between the least backoff and a ceiling that doubles with each retry up to
/// the longest backoff. A Retry-After is waited for in full, and the drawn time is added to it, so
/// that callers refused together do not come back together. The naive rule does not wait.
pub fn backoff_us<R: Rng>(rule: &RetryRule, retry: u8, retry_after_ms: u32, rng: &mut R) -> u64 {
    let RetryRule::Bounded { backoff_ms, backoff_max_ms, .. } = rule else {
        return 0;
    };
    let least_us = backoff_ms.saturating_mul(US_PER_MS);
    let longest_us = backoff_max_ms.saturating_mul(US_PER_MS).max(least_us);
    let doublings = u32::from(retry) + 1;
    let factor = 1u64.checked_shl(doublings).unwrap_or(u64::MAX);
    let ceiling_us = least_us.saturating_mul(factor).min(longest_us);
    let drawn_us = rng.random_range(least_us..=ceiling_us);
    drawn_us.saturating_add(u64::from(retry_after_ms) * US_PER_MS)
}
