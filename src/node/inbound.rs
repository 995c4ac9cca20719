//! The receiving side of one attempt.

use crate::call::CallFrame;

use super::event::ReplyPath;
use super::hop::HopId;

/// An attempt that this node received and has not settled.
#[derive(Debug)]
pub struct Inbound {
    /// The attempt as it came.
    pub frame: CallFrame,
    /// Everybody who waits for its verdict.
    pub paths: Vec<ReplyPath>,
    /// When it arrived, in microseconds since the process started.
    pub arrived_us: u64,
    /// When it ends whatever happens.
    pub deadline_us: u64,
    /// Where it stands.
    pub stage: Stage,
    /// Whether its verdict is recorded and told.
    pub settled: bool,
    /// The calls the target makes on its behalf.
    pub children: Vec<HopId>,
    /// The node's own span for it.
    pub span_id: u64,
    /// Names it to the target.
    pub token: String,
}

/// Where a received attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It waits for another attempt with the same idempotency key.
    Joined,
    /// It waits for admission.
    Queued,
    /// The target has it since `since_us`.
    Running {
        /// When it was given to the target.
        since_us: u64,
    },
    /// The target was told to give it up; its slot is taken until the target has.
    Aborting {
        /// When it was given to the target.
        since_us: u64,
    },
}
