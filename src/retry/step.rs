//! Chooses what follows a failed attempt: a final verdict or a retry.

use bon::Builder;
use rand::Rng;

use super::backoff::backoff_us;
use crate::call::{Doubt, HttpAnswer, Refusal, RefusalReason, Verdict};
use crate::config::RetryRule;

/// HTTP statuses that report a temporary failure, after which a retry may succeed.
const RETRYABLE_STATUSES: [u16; 3] = [502, 503, 504];
/// The answer header with the time to wait before a retry, in seconds.
const RETRY_AFTER_HEADER: &str = "retry-after";
const MS_PER_S: u32 = 1_000;

/// A failed attempt and the conditions for retrying it.
#[derive(Clone, Copy, Debug, Builder)]
pub struct Failure<'a> {
    /// The verdict of the attempt.
    pub verdict: &'a Verdict,
    /// Whether the request must not run twice.
    pub at_most_once: bool,
    /// The number of the failed attempt: 0 for the first of its hop.
    pub retry: u8,
    /// The current time.
    pub now_us: u64,
    /// The deadline of the call.
    pub deadline_us: u64,
    /// The expected duration of another attempt; 0 if unknown.
    pub expected_latency_us: u64,
    /// Whether another known target would admit the call, because the call's level is at or above
    /// that target's floor.
    pub other_target_open: bool,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryStep {
    /// The verdict is final at this hop.
    Never,
    /// Retry after the backoff if the node's retry budget and the root's entry node both grant it.
    AfterGrant {
        /// The time to wait before the retry, in microseconds.
        backoff_us: u64,
    },
    /// Retry after the backoff without a grant; only the naive rule does this.
    After {
        /// The time to wait before the retry, in microseconds.
        backoff_us: u64,
    },
}

/// Whether and how soon a verdict permits a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Retryability {
    /// A retry is not safe or is not expected to succeed.
    Never,
    /// A retry may succeed at once, on another target.
    Immediate,
    /// A retry may succeed after a wait.
    Delayed {
        /// The Retry-After of the verdict, in milliseconds.
        retry_after_ms: u32,
    },
}

/// Decides whether and when the attempt in `failure` is retried.
pub fn next_step<R: Rng>(rule: &RetryRule, failure: &Failure<'_>, rng: &mut R) -> RetryStep {
    match rule {
        RetryRule::None => RetryStep::Never,
        RetryRule::Naive { retries } => naive_step(*retries, failure),
        RetryRule::Bounded { .. } => bounded_step(rule, failure, rng),
    }
}

/// The naive rule: retries every failure at once if that is safe.
fn naive_step(retries: u8, failure: &Failure<'_>) -> RetryStep {
    let is_exhausted = failure.retry >= retries;
    let is_past_deadline = failure.now_us >= failure.deadline_us;
    if is_exhausted || is_past_deadline || !is_naively_retryable(failure) {
        return RetryStep::Never;
    }
    RetryStep::After { backoff_us: 0 }
}

/// Whether a client that knows nothing of the rest of the call chain would retry.
fn is_naively_retryable(failure: &Failure<'_>) -> bool {
    match failure.verdict {
        Verdict::Answered(answer) => !failure.at_most_once && answer.status >= 500,
        Verdict::MayHaveRun(_) => !failure.at_most_once,
        Verdict::NotRun(refusal) => !is_permanent(refusal.reason),
    }
}

/// The bounded rule: retries after the backoff if the attempt is expected to end before the
/// deadline and the retry is granted.
fn bounded_step<R: Rng>(rule: &RetryRule, failure: &Failure<'_>, rng: &mut R) -> RetryStep {
    let backoff_us = match retryability(failure) {
        Retryability::Never => return RetryStep::Never,
        Retryability::Immediate => 0,
        Retryability::Delayed { retry_after_ms } => {
            backoff_us(rule, failure.retry, retry_after_ms, rng)
        }
    };
    let expected_end_us =
        failure.now_us.saturating_add(backoff_us).saturating_add(failure.expected_latency_us);
    if expected_end_us >= failure.deadline_us {
        return RetryStep::Never;
    }
    RetryStep::AfterGrant { backoff_us }
}

/// Whether and how soon the verdict permits a retry.
fn retryability(failure: &Failure<'_>) -> Retryability {
    match failure.verdict {
        Verdict::NotRun(refusal) => refusal_retryability(refusal, failure.other_target_open),
        _ if failure.at_most_once => Retryability::Never,
        Verdict::Answered(answer) => answer_retryability(answer),
        Verdict::MayHaveRun(doubt) => doubt_retryability(*doubt),
    }
}

/// Whether and how soon a refusal permits a retry. An at-most-once request can be retried only
/// after a refusal.
fn refusal_retryability(refusal: &Refusal, other_target_open: bool) -> Retryability {
    let delayed = Retryability::Delayed { retry_after_ms: refusal.retry_after_ms };
    match refusal.reason {
        reason if is_permanent(reason) => Retryability::Never,
        // If the call is below the floor of every target, the whole service is overloaded and a
        // retry would add to the load. The caller gets the Retry-After instead.
        RefusalReason::Shed if other_target_open => Retryability::Immediate,
        RefusalReason::Shed => Retryability::Never,
        // The table service may be unavailable for an hour; only the caller can wait that long.
        RefusalReason::KeyUnclaimed => Retryability::Never,
        RefusalReason::Leaving
        | RefusalReason::NotReady
        | RefusalReason::TargetUnreachable
        | RefusalReason::Fenced
        | RefusalReason::KeyDelegated(_)
        | RefusalReason::KeyInherited(_) => Retryability::Immediate,
        _ => delayed,
    }
}

/// Whether the same request would always be refused.
fn is_permanent(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Expired
            | RefusalReason::Cancelled
            | RefusalReason::Malformed
            | RefusalReason::KeyInvalid
            | RefusalReason::KeyMismatch
    )
}

/// Whether an answer permits a retry: only if its status reports a temporary failure.
fn answer_retryability(answer: &HttpAnswer) -> Retryability {
    if !RETRYABLE_STATUSES.contains(&answer.status) {
        return Retryability::Never;
    }
    Retryability::Delayed { retry_after_ms: retry_after_ms(answer) }
}

/// Whether an attempt that may have run is retried: yes if its answer was lost, no if a retry would
/// end in the same way.
fn doubt_retryability(doubt: Doubt) -> Retryability {
    match doubt {
        Doubt::Timeout | Doubt::ConnectionLost | Doubt::TargetBroke => {
            Retryability::Delayed { retry_after_ms: 0 }
        }
        _ => Retryability::Never,
    }
}

/// The Retry-After of an answer, in milliseconds; 0 if it is absent or is a date.
fn retry_after_ms(answer: &HttpAnswer) -> u32 {
    for (name, value) in &answer.headers {
        if name != RETRY_AFTER_HEADER {
            continue;
        }
        let seconds = value.trim().parse::<u32>().unwrap_or(0);
        return seconds.saturating_mul(MS_PER_S);
    }
    0
}
