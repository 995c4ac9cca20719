//! Log events, metrics and spans that the node emits.

use std::sync::Arc;

use crate::call::{ArmId, ClassRank, Verdict};
use crate::config::Rules;
use crate::event::LogEvent;
use crate::telemetry::metrics::{CallSource, Outcome, RetryOutcome};
use crate::telemetry::trace::SpanRecord;

/// A record for the log, the metrics or the traces.
#[derive(Clone, Debug)]
pub enum Note {
    /// A log event.
    Event(Box<LogEvent>),
    /// A request on one of the node's own listeners has ended.
    CallEnded {
        /// Where it came from.
        from: CallSource,
        /// Its class.
        class: ClassRank,
        /// Its arm.
        arm: ArmId,
        /// Its outcome.
        outcome: Outcome,
        /// How long it took, in microseconds.
        took_us: u64,
    },
    /// An attempt sent by this node has ended.
    AttemptEnded {
        /// The service it was for.
        service: String,
        /// Its arm.
        arm: ArmId,
        /// Its outcome.
        outcome: Outcome,
    },
    /// A retry was granted or refused.
    RetryDecided {
        /// The service it is for.
        service: String,
        /// Its arm.
        arm: ArmId,
        /// The decision, with the reason of a refusal.
        outcome: RetryOutcome,
    },
    /// An attempt received by this node has ended.
    ReceivedEnded {
        /// Its class.
        class: ClassRank,
        /// Its arm.
        arm: ArmId,
        /// Its outcome.
        outcome: Outcome,
    },
    /// The target has finished with an attempt.
    TargetEnded {
        /// Its class.
        class: ClassRank,
        /// Its arm.
        arm: ArmId,
        /// How long it ran at the target, in microseconds.
        took_us: u64,
        /// Whether the run was wasted: the target gave no healthy answer, or the verdict had
        /// already been sent.
        wasted: bool,
    },
    /// The span of a hop or of a received attempt, for sampled traces.
    Span(Box<SpanRecord>),
    /// New rules are in force.
    RulesInForce {
        /// Their version.
        version: u64,
        /// The rules.
        rules: Arc<Rules>,
    },
}

/// The names of a verdict and its reason in headers, logs and metrics.
pub fn outcome_of(verdict: &Verdict) -> Outcome {
    match verdict {
        Verdict::Answered(answer) => {
            Outcome { verdict: "answered", reason: status_class(answer.status) }
        }
        Verdict::NotRun(refusal) => Outcome { verdict: "not-run", reason: refusal.reason.name() },
        Verdict::MayHaveRun(doubt) => Outcome { verdict: "may-have-run", reason: doubt.name() },
    }
}

/// The class of an HTTP status; all unknown codes count as 5xx.
fn status_class(status: u16) -> &'static str {
    match status {
        100..=199 => "1xx",
        200..=299 => "2xx",
        300..=399 => "3xx",
        400..=499 => "4xx",
        _ => "5xx",
    }
}
