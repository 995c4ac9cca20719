//! Outcomes of attempts, in particular whether an attempt may have run.

use serde::{Deserialize, Serialize};

use super::frame::HttpAnswer;
use super::id::NodeId;

/// The outcome of one attempt, or of a root request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The target ran the request; this is its complete answer.
    Answered(HttpAnswer),
    /// The target did not run the request and will never run this attempt.
    NotRun(Refusal),
    /// It is unknown whether the target ran the request.
    MayHaveRun(Doubt),
}

impl Verdict {
    /// A refusal with the time after which the caller may retry.
    pub fn not_run(reason: RefusalReason, retry_after_ms: u32) -> Self {
        Self::NotRun(Refusal { reason, retry_after_ms })
    }

    /// Whether it is certain that the request did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun(_))
    }
}

/// The statement that an attempt did not run, with its reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why it was not run.
    pub reason: RefusalReason,
    /// How long the caller should wait before a retry, in milliseconds; 0 if waiting does not help.
    pub retry_after_ms: u32,
}

/// Why an attempt was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The call's level is below the floor of the receiving node or of a downstream one.
    Shed,
    /// The receiving node's queue was full, or a call of higher priority evicted this one.
    QueueFull,
    /// The deadline passed, or could no longer be met, before the target began.
    Expired,
    /// The receiving node is draining and accepts no new calls.
    Leaving,
    /// The receiving node is not ready yet: it has no configuration or no target.
    NotReady,
    /// No node of the service is known, or none of them is eligible.
    NoTarget,
    /// The target itself declared that it did not run the request.
    TargetDeclined,
    /// The target could not be reached: no connection was established, so nothing was sent.
    TargetUnreachable,
    /// The attempt was fenced before it arrived.
    Fenced,
    /// The caller, or the parent call, cancelled it before the target began.
    Cancelled,
    /// The node's ring buffers or memory were full.
    NodeFull,
    /// The owner of the idempotency key has permanently delegated the key to the given node.
    KeyDelegated(NodeId),
    /// The table service, needed to claim a caller-supplied key, is unavailable.
    KeyUnclaimed,
    /// The key is malformed or was minted in the future.
    KeyInvalid,
    /// The request is malformed or names an unknown service.
    Malformed,
    /// The owner of the idempotency key has left; the given node has taken over its keys unchanged.
    KeyInherited(NodeId),
    /// The idempotency key was already used for a different request.
    KeyMismatch,
}

/// Why it is unknown whether an attempt ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Doubt {
    /// No answer arrived before the deadline.
    Timeout,
    /// The connection to the receiving node was lost, and it could not be queried afterwards.
    ConnectionLost,
    /// The target broke off the exchange before its answer was complete.
    TargetBroke,
    /// The target's answer exceeded the size limit.
    AnswerTooLong,
    /// The node that owned the idempotency key is gone.
    KeyOwnerGone,
    /// The idempotency key is older than the owner's records.
    KeyExpired,
    /// A request with the same idempotency key is still running.
    KeyRunning,
    /// The call was cancelled while the target was running it.
    Cancelled,
    /// The attempt was settled earlier, and the node has since dropped the answer.
    AnswerForgotten,
    /// The queried node does not own the idempotency key and does not know whether the owner ran
    /// it.
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
