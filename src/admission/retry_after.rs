//! When refused callers should come back.

use crate::call::AttemptId;

/// The least time, in milliseconds.
const MIN_MS: u64 = 10;
/// The longest time before it is spread, in milliseconds.
const MAX_MS: u64 = 5_000;
/// An odd number whose multiples spread over all bits.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// A time between `base_ms` and twice as much, by the attempt, so that callers who were refused
/// together do not come back together. It is never 0.
pub(super) fn spread_ms(base_ms: f64, attempt: AttemptId) -> u32 {
    let base_ms = (base_ms as u64).clamp(MIN_MS, MAX_MS);
    let seed = attempt.origin.0 ^ attempt.sequence ^ u64::from(attempt.nonce) << 32;
    let hash = seed.wrapping_mul(MULTIPLIER) >> 32;
    (base_ms + hash % (base_ms + 1)) as u32
}
