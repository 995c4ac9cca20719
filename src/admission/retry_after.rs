//! The Retry-After of refused calls.

use crate::call::AttemptId;

/// The minimum before jitter is added, in milliseconds.
const MIN_MS: u64 = 10;
/// The maximum before jitter is added, in milliseconds.
const MAX_MS: u64 = 5_000;
/// An odd constant (2^64 divided by the golden ratio) for multiplicative hashing.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Clamps `base_ms` and adds jitter of up to the same length, derived from the attempt, so that
/// callers that were refused together do not retry together. The result is never 0.
pub(super) fn with_jitter_ms(base_ms: f64, attempt: AttemptId) -> u32 {
    let base_ms = (base_ms as u64).clamp(MIN_MS, MAX_MS);
    let seed = attempt.origin.0 ^ attempt.sequence ^ u64::from(attempt.nonce) << 32;
    let hash = seed.wrapping_mul(HASH_MULTIPLIER) >> 32;
    (base_ms + hash % (base_ms + 1)) as u32
}
