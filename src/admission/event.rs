//! Input and output types of admission control.

use crate::call::{ArmId, AttemptId, Level, Refusal};

/// A call that is offered to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The attempt.
    pub attempt: AttemptId,
    /// The policy arm of its root.
    pub arm: ArmId,
    /// Its priority: lower levels are shed first.
    pub level: Level,
    /// The deadline, in microseconds, after which the answer is of no use.
    pub deadline_us: u64,
}

/// The decision on an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The target runs it now. The slot is in use until `finish` is called.
    Run {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The target has not run it and never will.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// The reason and the Retry-After.
        refusal: Refusal,
    },
}

impl Decision {
    /// The attempt that the decision is about.
    pub fn attempt(&self) -> AttemptId {
        match self {
            Self::Run { attempt } | Self::Refuse { attempt, .. } => *attempt,
        }
    }
}

/// How a running call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The target answered.
    Answered {
        /// From the start of the call to the end of the answer, in microseconds.
        latency_us: u64,
        /// False for a server error.
        healthy: bool,
    },
    /// The target broke off the answer, or did not answer in time.
    Failed {
        /// From the start of the call to the failure, in microseconds.
        latency_us: u64,
    },
    /// The call was cancelled.
    Cancelled,
}

/// The state of the node's own target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It has just started and gets less than its full limit at first.
    Warming {
        /// When it started, in microseconds.
        since_us: u64,
    },
    /// It accepts calls.
    Serving,
    /// It completes the calls it has and accepts no new ones.
    Draining,
    /// It is not announced, or no longer there.
    Down,
}

/// The result of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelResult {
    /// The attempt was queued; it is refused and never runs.
    WasQueued,
    /// The attempt is running and keeps its slot until `finish` is called.
    IsRunning,
    /// The attempt is neither queued nor running.
    Unknown,
}
