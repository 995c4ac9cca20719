//! The state of an attempt that this node received.

use crate::call::CallFrame;

use super::event::ReplyPath;
use super::hop::HopId;

/// An attempt that this node received and that is not finished.
#[derive(Debug)]
pub struct Inbound {
    /// The attempt as received.
    pub frame: CallFrame,
    /// Where its verdict is to be sent.
    pub reply_paths: Vec<ReplyPath>,
    /// When it arrived, in microseconds since the process started.
    pub arrived_us: u64,
    /// Its deadline, in microseconds since the process started.
    pub deadline_us: u64,
    /// Its current stage.
    pub stage: Stage,
    /// Whether its verdict has been recorded and sent.
    pub settled: bool,
    /// The calls that the target makes on its behalf.
    pub children: Vec<HopId>,
    /// The node's own span for it.
    pub span_id: u64,
    /// Identifies it to the target.
    pub token: String,
}

/// The stage of a received attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Waits for another attempt with the same idempotency key.
    Joined,
    /// Waits for admission.
    Queued,
    /// Runs at the target.
    Running {
        /// When it was sent to the target, in microseconds since the process started.
        since_us: u64,
    },
    /// Its abort was requested; it holds its slot until the target has finished.
    Aborting {
        /// When it was sent to the target, in microseconds since the process started.
        since_us: u64,
    },
}
