//! The sending side of one hop: a request and the attempts made for it.

use std::net::SocketAddr;

use crate::call::{
    ArmId, AttemptId, ClassRank, HttpRequest, Key, Level, NodeId, RootId, TraceContext, Verdict,
};
use crate::retry::AttemptHistory;

use super::event::Ticket;

/// Names a hop on this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HopId(pub u64);

/// One request that this node sends on, until it is answered.
#[derive(Debug)]
pub struct Hop {
    /// Who waits for the answer.
    pub ticket: Ticket,
    /// The attempt on whose behalf the target made this call, where there is one.
    pub parent: Option<AttemptId>,
    /// The whole request.
    pub root: RootId,
    /// The node that holds the root's retry allowance.
    pub entry: Option<NodeId>,
    /// Where that node listens for others.
    pub entry_address: Option<SocketAddr>,
    /// The class of the root.
    pub class: ClassRank,
    /// Whether the call must run at most once.
    pub at_most_once: bool,
    /// Where the call stands in the order of shedding.
    pub level: Level,
    /// The policy arm of the root.
    pub arm: ArmId,
    /// How many hops lie above this one.
    pub depth: u8,
    /// The service that is called.
    pub service: String,
    /// The request.
    pub request: HttpRequest,
    /// How it is kept from running twice.
    pub key: HopKey,
    /// The trace, with this hop's own span as the parent of what follows.
    pub trace: TraceContext,
    /// The span this hop is a child of; 0 where it has none.
    pub caller_span_id: u64,
    /// Whether the caller stands outside of the site.
    pub outside: bool,
    /// When the hop began, in microseconds since the process started.
    pub started_us: u64,
    /// When the hop ends whatever happens.
    pub deadline_us: u64,
    /// Retries made so far.
    pub retries: u8,
    /// Nodes that were tried.
    pub tried: Vec<NodeId>,
    /// What the attempts before the present one came to.
    pub history: AttemptHistory,
    /// What the hop waits for.
    pub state: HopState,
}

/// How a hop is kept from running twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HopKey {
    /// The call may run more than once.
    None,
    /// Nobody else knows the key, so a new one is minted for every attempt after a "not run".
    Own,
    /// The caller brought a minted key: only its owner may run it.
    Brought(Key),
    /// The caller brought a key of its own making, which the platform binds to an owner.
    Foreign(String),
}

/// What a hop waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HopState {
    /// Its first attempt.
    New,
    /// The nodes of its service, of which none is known yet.
    Resolving {
        /// When waiting ends.
        until_us: u64,
    },
    /// The platform, which is asked who owns the caller's own key.
    Claiming,
    /// The answer to an attempt.
    Sent {
        /// The attempt.
        attempt: AttemptId,
        /// The node it went to.
        node: NodeId,
        /// When it was sent.
        sent_us: u64,
    },
    /// A new connection, over which the receiving node is asked what became of an attempt.
    Fencing {
        /// The attempt.
        attempt: AttemptId,
        /// The node it went to.
        node: NodeId,
        /// When waiting ends.
        until_us: u64,
    },
    /// The entry node's leave to retry.
    AskingRetry {
        /// The attempt that failed.
        failed: AttemptId,
        /// What became of it.
        last: Verdict,
        /// How long to wait before the retry.
        backoff_us: u64,
        /// When waiting for the entry node ends.
        until_us: u64,
    },
    /// The moment of a retry that was granted.
    BackingOff {
        /// What became of the last attempt.
        last: Verdict,
        /// When the retry is made.
        until_us: u64,
    },
}

impl HopState {
    /// The moment the state ends by itself, where it does.
    pub fn until_us(&self) -> Option<u64> {
        match self {
            Self::Resolving { until_us }
            | Self::Fencing { until_us, .. }
            | Self::AskingRetry { until_us, .. }
            | Self::BackingOff { until_us, .. } => Some(*until_us),
            Self::New | Self::Claiming | Self::Sent { .. } => None,
        }
    }
}
