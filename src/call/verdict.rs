//! What became of an attempt, and above all whether it may have run.

use serde::{Deserialize, Serialize};

use super::frame::HttpAnswer;
use super::id::NodeId;

/// The outcome of one attempt, or of a whole request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The target ran the request, and this is its whole answer.
    Answered(HttpAnswer),
    /// The target did not run the request and never will run this attempt.
    NotRun(Refusal),
    /// Nobody can say whether the target ran the request.
    MayHaveRun(Doubt),
}

impl Verdict {
    /// A refusal with the time after which asking again makes sense.
    pub fn not_run(reason: RefusalReason, retry_after_ms: u32) -> Self {
        Self::NotRun(Refusal { reason, retry_after_ms })
    }

    /// Whether the request certainly did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun(_))
    }
}

/// A truthful "not run", with its reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why it was not run.
    pub reason: RefusalReason,
    /// When the caller should come back, in milliseconds from now; 0 where waiting does not help.
    pub retry_after_ms: u32,
}

/// Why an attempt was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The call's level is below the floor of the receiving node or of one further down.
    Shed,
    /// The receiving node's queue was full, or the call was pushed out by a more important one.
    QueueFull,
    /// The deadline passed, or could not be met any more, before the target began.
    Expired,
    /// The receiving node is leaving and takes no new work.
    Leaving,
    /// The receiving node is not ready yet: it does not know its configuration or has no target.
    NotReady,
    /// No node of the service is known, or all of them are unfit.
    NoTarget,
    /// The target itself declared that it did not run the request.
    TargetDeclined,
    /// The target could not be reached: no connection was made, so nothing was sent.
    TargetUnreachable,
    /// The attempt was fenced before it arrived.
    Fenced,
    /// The caller, or the call it belonged to, gave up before the target began.
    Cancelled,
    /// The node's own rings or memory were full.
    NodeFull,
    /// The owner of the idempotency key has handed the key to another node for ever.
    KeyDelegated(NodeId),
    /// The platform's table service, needed to claim a key of the caller's own making, is away.
    KeyUnclaimed,
    /// The key is malformed or was minted in the future.
    KeyInvalid,
    /// The request is malformed or names an unknown service.
    Malformed,
    /// The owner of the idempotency key has left, and this node holds its keys unchanged.
    KeyInherited(NodeId),
    /// The idempotency key was used before for a different request.
    KeyMismatch,
}

/// Why nobody can say whether an attempt ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Doubt {
    /// No answer came before the deadline.
    Timeout,
    /// The connection to the receiving node was lost, and it could not be asked afterwards.
    ConnectionLost,
    /// The target broke off in the middle of the exchange.
    TargetBroke,
    /// The target's answer was longer than is allowed.
    AnswerTooLong,
    /// The node that owned the idempotency key is gone.
    KeyOwnerGone,
    /// The idempotency key is older than its owner remembers.
    KeyExpired,
    /// A request with the same idempotency key is still running.
    KeyRunning,
    /// The call was cancelled while the target was running it.
    Cancelled,
    /// It was settled earlier, and the node no longer holds the answer.
    AnswerForgotten,
    /// The node asked does not own the idempotency key and cannot tell what its owner did.
    KeyElsewhere,
}

impl RefusalReason {
    /// The name in headers, bodies, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Shed => "shed",
            Self::QueueFull => "queue-full",
            Self::Expired => "expired",
            Self::Leaving => "leaving",
            Self::NotReady => "not-ready",
            Self::NoTarget => "no-target",
            Self::TargetDeclined => "target-declined",
            Self::TargetUnreachable => "target-unreachable",
            Self::Fenced => "fenced",
            Self::Cancelled => "cancelled",
            Self::NodeFull => "node-full",
            Self::KeyDelegated(_) => "key-delegated",
            Self::KeyInherited(_) => "key-inherited",
            Self::KeyUnclaimed => "key-unclaimed",
            Self::KeyInvalid => "key-invalid",
            Self::KeyMismatch => "key-mismatch",
            Self::Malformed => "malformed",
        }
    }
}

impl Doubt {
    /// The name in headers, bodies, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Timeout => "timeout",
            Self::ConnectionLost => "connection-lost",
            Self::TargetBroke => "target-broke",
            Self::AnswerTooLong => "answer-too-long",
            Self::KeyOwnerGone => "key-owner-gone",
            Self::KeyExpired => "key-expired",
            Self::KeyRunning => "key-running",
            Self::KeyElsewhere => "key-elsewhere",
            Self::AnswerForgotten => "answer-forgotten",
            Self::Cancelled => "cancelled",
        }
    }
}
