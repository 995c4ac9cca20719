//! What to do after an attempt that did not succeed.

use bon::Builder;
use rand::Rng;

use super::backoff::backoff_us;
use crate::call::{Doubt, HttpAnswer, Refusal, RefusalReason, Verdict};
use crate::config::RetryRule;

/// The HTTP statuses with which a target says that another attempt may succeed.
const RETRYABLE_STATUSES: [u16; 3] = [502, 503, 504];
/// The header with which an answer says when to come back, in seconds.
const RETRY_AFTER_HEADER: &str = "retry-after";
/// Milliseconds in a second.
const MS_PER_S: u32 = 1_000;

/// A finished attempt, and what is known about another one.
#[derive(Clone, Copy, Debug, Builder)]
pub struct Failure<'a> {
    /// What became of the attempt.
    pub verdict: &'a Verdict,
    /// Whether the request must not run twice.
    pub at_most_once: bool,
    /// The number of the attempt that finished: 0 for the first of its hop.
    pub retry: u8,
    /// The present time.
    pub now_us: u64,
    /// When the call's deadline passes.
    pub deadline_us: u64,
    /// How long another attempt is expected to take; 0 where unknown.
    pub expected_latency_us: u64,
    /// Whether some other target is known whose floor the call's level reaches.
    pub other_target_open: bool,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryStep {
    /// The verdict is final at this hop.
    Never,
    /// Ask the node's budget and the root's entry node; when both grant, wait and try again.
    AfterGrant {
        /// How long to wait, in microseconds.
        backoff_us: u64,
    },
    /// Wait and try again without asking; only the naive rule does that.
    After {
        /// How long to wait, in microseconds.
        backoff_us: u64,
    },
}

/// How soon a verdict allows another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Chance {
    /// Another attempt is forbidden, or would meet the same fate.
    Hopeless,
    /// Another target may take it at once.
    AtOnce,
    /// Waiting may help; the verdict asks for at least this long.
    Later {
        /// The Retry-After of the verdict, in milliseconds.
        retry_after_ms: u32,
    },
}

/// Decides whether and when the attempt in `failure` is made again.
pub fn next_step<R: Rng>(rule: &RetryRule, failure: &Failure<'_>, rng: &mut R) -> RetryStep {
    match rule {
        RetryRule::None => RetryStep::Never,
        RetryRule::Naive { retries } => naive_step(*retries, failure),
        RetryRule::Bounded { .. } => bounded_step(rule, failure, rng),
    }
}

/// The naive rule retries whatever failed and is not harmful to repeat, at once.
fn naive_step(retries: u8, failure: &Failure<'_>) -> RetryStep {
    let spent = failure.retry >= retries;
    let late = failure.now_us >= failure.deadline_us;
    if spent || late || !naively_retryable(failure) {
        return RetryStep::Never;
    }
    RetryStep::After { backoff_us: 0 }
}

/// Whether a client without knowledge of the chain would try again.
fn naively_retryable(failure: &Failure<'_>) -> bool {
    match failure.verdict {
        Verdict::Answered(answer) => !failure.at_most_once && answer.status >= 500,
        Verdict::MayHaveRun(_) => !failure.at_most_once,
        Verdict::NotRun(refusal) => !is_final(refusal.reason),
    }
}

/// The bounded rule.
fn bounded_step<R: Rng>(rule: &RetryRule, failure: &Failure<'_>, rng: &mut R) -> RetryStep {
    let backoff_us = match chance(failure) {
        Chance::Hopeless => return RetryStep::Never,
        Chance::AtOnce => 0,
        Chance::Later { retry_after_ms } => backoff_us(rule, failure.retry, retry_after_ms, rng),
    };
    let done_us =
        failure.now_us.saturating_add(backoff_us).saturating_add(failure.expected_latency_us);
    if done_us >= failure.deadline_us {
        return RetryStep::Never;
    }
    RetryStep::AfterGrant { backoff_us }
}

/// What the verdict says about another attempt.
fn chance(failure: &Failure<'_>) -> Chance {
    match failure.verdict {
        Verdict::NotRun(refusal) => chance_after_refusal(refusal, failure.other_target_open),
        _ if failure.at_most_once => Chance::Hopeless,
        Verdict::Answered(answer) => chance_after_answer(answer),
        Verdict::MayHaveRun(doubt) => chance_after_doubt(*doubt),
    }
}

/// Only a refusal leaves an at-most-once request free to be sent again.
fn chance_after_refusal(refusal: &Refusal, other_target_open: bool) -> Chance {
    let later = Chance::Later { retry_after_ms: refusal.retry_after_ms };
    match refusal.reason {
        reason if is_final(reason) => Chance::Hopeless,
        // Below the floor of every target: the service as a whole is overloaded, and an extra
        // attempt would feed what it fled from. The caller is told when to come back instead.
        RefusalReason::Shed if other_target_open => Chance::AtOnce,
        RefusalReason::Shed => Chance::Hopeless,
        // The table service may be away for an hour; only the caller can wait for that.
        RefusalReason::KeyUnclaimed => Chance::Hopeless,
        RefusalReason::Leaving
        | RefusalReason::NotReady
        | RefusalReason::TargetUnreachable
        | RefusalReason::Fenced
        | RefusalReason::KeyDelegated(_)
        | RefusalReason::KeyInherited(_) => Chance::AtOnce,
        _ => later,
    }
}

/// Whether the same request would be refused for ever.
fn is_final(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Expired
            | RefusalReason::Cancelled
            | RefusalReason::Malformed
            | RefusalReason::KeyInvalid
            | RefusalReason::KeyMismatch
    )
}

/// Only the statuses that speak of a passing state are tried again.
fn chance_after_answer(answer: &HttpAnswer) -> Chance {
    if !RETRYABLE_STATUSES.contains(&answer.status) {
        return Chance::Hopeless;
    }
    Chance::Later { retry_after_ms: retry_after_ms(answer) }
}

/// A read may be repeated where its answer was lost, but not where a repeat meets the same end.
fn chance_after_doubt(doubt: Doubt) -> Chance {
    match doubt {
        Doubt::Timeout | Doubt::ConnectionLost | Doubt::TargetBroke => {
            Chance::Later { retry_after_ms: 0 }
        }
        _ => Chance::Hopeless,
    }
}

/// The Retry-After of an answer in milliseconds; 0 where it is absent or a date.
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
