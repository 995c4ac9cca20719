//! Exponential backoff with jitter between attempts.

use rand::Rng;

use crate::clock::US_PER_MS;
use crate::config::RetryRule;

/// The time to wait after attempt number `retry` of a hop (0 for the first), in microseconds.
///
/// The jitter is uniform between the minimum backoff and a ceiling that doubles with each retry up
/// to the maximum backoff. It is added to the full Retry-After, so that callers refused at the same
/// time do not retry at the same time. The wait is 0 for every rule but `Bounded`.
pub fn backoff_us<R: Rng>(rule: &RetryRule, retry: u8, retry_after_ms: u32, rng: &mut R) -> u64 {
    let RetryRule::Bounded { backoff_ms, backoff_max_ms, .. } = rule else {
        return 0;
    };
    let min_us = backoff_ms.saturating_mul(US_PER_MS);
    let max_us = backoff_max_ms.saturating_mul(US_PER_MS).max(min_us);
    let doublings = u32::from(retry) + 1;
    let factor = 1u64.checked_shl(doublings).unwrap_or(u64::MAX);
    let ceiling_us = min_us.saturating_mul(factor).min(max_us);
    let jitter_us = rng.random_range(min_us..=ceiling_us);
    jitter_us.saturating_add(u64::from(retry_after_ms) * US_PER_MS)
}
