//! What goes into the admission and what comes out of it.

use crate::call::{ArmId, AttemptId, Level, Refusal};

/// A call that asks to be run by the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The attempt.
    pub attempt: AttemptId,
    /// The policy arm of its root.
    pub arm: ArmId,
    /// Where it stands in the order of shedding.
    pub level: Level,
    /// The moment after which nobody has a use for the answer, in microseconds.
    pub deadline_us: u64,
}

/// What is to be done with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The target shall run it now. The slot is taken until `finish` is called.
    Run {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The target has not run it and never will.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// Why, and when to come back.
        refusal: Refusal,
    },
}

impl Decision {
    /// The attempt that was decided on.
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
        /// From the start of the run to the end of the answer, in microseconds.
        latency_us: u64,
        /// Whether the answer is one of a working target, rather than a server error.
        healthy: bool,
    },
    /// The target broke off, or did not answer in time.
    Failed {
        /// From the start of the run to the failure, in microseconds.
        latency_us: u64,
    },
    /// The run was cancelled.
    Cancelled,
}

/// What the target beside the node can do at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It has come up and is given less than its share at first.
    Warming {
        /// When it came up, in microseconds.
        since_us: u64,
    },
    /// It takes calls.
    Serving,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is not known, or gone.
    Down,
}

/// What a cancellation found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// The attempt was waiting; it is refused and never runs.
    WasQueued,
    /// The attempt is running and keeps its slot until `finish` is called.
    IsRunning,
    /// The attempt is neither waiting nor running.
    Unknown,
}
