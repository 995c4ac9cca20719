//! The state of a request that this node forwards, over all of its attempts.

use std::net::SocketAddr;

use crate::call::{
    ArmId, AttemptId, ClassRank, HttpRequest, Key, Level, NodeId, RootId, TraceContext, Verdict,
};
use crate::retry::AttemptHistory;

use super::event::Ticket;

/// Identifies a hop on this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HopId(pub u64);

/// A request that this node forwards, until it is answered.
#[derive(Debug)]
pub struct Hop {
    /// The request on the listener that waits for the answer.
    pub ticket: Ticket,
    /// The running attempt on whose behalf the local target made this call, if any.
    pub parent: Option<AttemptId>,
    /// The root request.
    pub root: RootId,
    /// The node that holds the root's retry allowance.
    pub entry: Option<NodeId>,
    /// The peer address of that node.
    pub entry_address: Option<SocketAddr>,
    /// The class of the root.
    pub class: ClassRank,
    /// Whether the call must run at most once.
    pub at_most_once: bool,
    /// The call's position in the shedding order.
    pub level: Level,
    /// The policy arm of the root.
    pub arm: ArmId,
    /// How many hops precede this one.
    pub depth: u8,
    /// The service that is called.
    pub service: String,
    /// The request.
    pub request: HttpRequest,
    /// How duplicate runs are prevented.
    pub key: HopKey,
    /// The trace context, with this hop's own span as the parent of later spans.
    pub trace: TraceContext,
    /// The parent of this hop's span; 0 if it has none.
    pub caller_span_id: u64,
    /// Whether the request came from an outside caller.
    pub outside: bool,
    /// When the hop started, in microseconds since the process started.
    pub started_us: u64,
    /// The deadline of the hop, in microseconds since the process started.
    pub deadline_us: u64,
    /// Retries made so far.
    pub retries: u8,
    /// Nodes that attempts were sent to.
    pub tried: Vec<NodeId>,
    /// The outcomes of the attempts before the current one.
    pub history: AttemptHistory,
    /// The event that the hop waits for.
    pub state: HopState,
}

/// How duplicate runs of a hop are prevented.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HopKey {
    /// The call may run more than once.
    None,
    /// The node mints a key for each attempt. No caller holds it, so a retry after a "not run" can
    /// use a new one.
    PerAttempt,
    /// The caller sent a minted key, which only the key's owner may run.
    Minted(Key),
    /// The caller supplied a key of its own, which the platform's table binds to an owner.
    CallerSupplied(String),
}

/// The event that a hop waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HopState {
    /// The first attempt.
    New,
    /// The first known member of its service.
    AwaitingMembers {
        /// When the wait times out.
        until_us: u64,
    },
    /// The platform's table service, which returns the owner of the caller-supplied key.
    Claiming,
    /// The answer to an attempt.
    Sent {
        /// The attempt.
        attempt: AttemptId,
        /// The node it was sent to.
        node: NodeId,
        /// When it was sent.
        sent_us: u64,
    },
    /// A new connection to the receiver of an attempt, or the verdict requested over it.
    Fencing {
        /// The attempt.
        attempt: AttemptId,
        /// The node it was sent to.
        node: NodeId,
        /// When the wait times out.
        until_us: u64,
    },
    /// The decision of the entry node on a retry.
    AwaitingRetryGrant {
        /// The attempt that failed.
        failed: AttemptId,
        /// Its verdict.
        last: Verdict,
        /// How long to wait before the retry.
        backoff_us: u64,
        /// When the wait for the entry node times out.
        until_us: u64,
    },
    /// The backoff before a granted retry.
    BackingOff {
        /// The verdict of the last attempt.
        last: Verdict,
        /// When the retry is made.
        until_us: u64,
    },
}

impl HopState {
    /// When the state times out; none for states that only end by an event or the hop's deadline.
    pub fn until_us(&self) -> Option<u64> {
        match self {
            Self::AwaitingMembers { until_us }
            | Self::Fencing { until_us, .. }
            | Self::AwaitingRetryGrant { until_us, .. }
            | Self::BackingOff { until_us, .. } => Some(*until_us),
            Self::New | Self::Claiming | Self::Sent { .. } => None,
        }
    }
}
