//! What the node wants to be known of it: log events and figures.

use std::sync::Arc;

use crate::call::{ArmId, ClassRank, Verdict};
use crate::config::Rules;
use crate::event::LogEvent;
use crate::telemetry::metrics::{CallSource, Outcome, RetryOutcome};
use crate::telemetry::trace::SpanRecord;

/// Something for the log or the metrics.
#[derive(Clone, Debug)]
pub enum Note {
    /// An event for the log.
    Event(Box<LogEvent>),
    /// A whole call has ended.
    CallEnded {
        /// Where it came from.
        from: CallSource,
        /// Its class.
        class: ClassRank,
        /// Its arm.
        arm: ArmId,
        /// What became of it.
        outcome: Outcome,
        /// How long it took, in microseconds.
        took_us: u64,
    },
    /// An attempt that was sent has ended.
    AttemptEnded {
        /// The service it was for.
        service: String,
        /// Its arm.
        arm: ArmId,
        /// What became of it.
        outcome: Outcome,
    },
    /// One more attempt was wished for.
    RetryDecided {
        /// The service it is for.
        service: String,
        /// Its arm.
        arm: ArmId,
        /// What became of the wish.
        outcome: RetryOutcome,
    },
    /// An attempt that was received has ended.
    ReceivedEnded {
        /// Its class.
        class: ClassRank,
        /// Its arm.
        arm: ArmId,
        /// What became of it.
        outcome: Outcome,
    },
    /// The target has finished with an attempt.
    TargetEnded {
        /// Its class.
        class: ClassRank,
        /// Its arm.
        arm: ArmId,
        /// How long the target had it, in microseconds.
        took_us: u64,
        /// Whether it was for nothing: the target gave no answer of use, or nobody waited for it any
        /// more.
        wasted: bool,
    },
    /// A hop, or a received attempt, of a trace that is recorded.
    Span(Box<SpanRecord>),
    /// Rules are in force from now on.
    RulesInForce {
        /// Their version.
        version: u64,
        /// The rules.
        rules: Arc<Rules>,
    },
}

/// A verdict in the words of headers, logs and metrics.
pub fn outcome_of(verdict: &Verdict) -> Outcome {
    match verdict {
        Verdict::Answered(answer) => {
            Outcome { verdict: "answered", reason: status_class(answer.status) }
        }
        Verdict::NotRun(refusal) => Outcome { verdict: "not-run", reason: refusal.reason.name() },
        Verdict::MayHaveRun(doubt) => Outcome { verdict: "may-have-run", reason: doubt.name() },
    }
}

/// The class of an HTTP status.
fn status_class(status: u16) -> &'static str {
    match status {
        100..=199 => "1xx",
        200..=299 => "2xx",
        300..=399 => "3xx",
        400..=499 => "4xx",
        _ => "5xx",
    }
}
