//! Events that a node handles and actions that it requests from the threads around it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::call::{AttemptId, HttpAnswer, HttpRequest, Message, RootId, TraceContext, Verdict};
use crate::configuration::{Submit, SubmitOutcome};
use crate::duty::peer::ReturnPath;
use crate::duty::store::{StoreEvent, StoreRequest};

use super::note::Note;

/// The id of a request that waits for its answer on one of the node's own listeners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket(pub u64);

/// Where the reply to a frame goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReplyPath {
    /// To this node itself, which sent the frame.
    Local,
    /// Over the connection from another node on which the frame arrived.
    Peer(ReturnPath),
}

/// A request received by one of the node's own listeners.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncomingRequest {
    /// Identifies the request until it is answered.
    pub ticket: Ticket,
    /// The service it is for.
    pub service: String,
    /// The request without internal headers.
    pub request: HttpRequest,
    /// The deadline given by the caller, in milliseconds, if any.
    pub deadline_ms: Option<u64>,
    /// The caller's idempotency key, unparsed.
    pub key: Option<String>,
    /// The caller's trace context, if it sent one.
    pub trace: Option<TraceContext>,
}

/// The outcome of a request at the target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetOutcome {
    /// A complete answer.
    Answered(HttpAnswer),
    /// The target reported that it did not run the request.
    Declined,
    /// No connection could be made, so the target received nothing of the request.
    Unreachable,
    /// The node had no capacity to forward the request.
    NoRoom,
    /// The exchange broke off after the target may have received the request.
    Broke,
    /// The answer exceeded the maximum length.
    TooLong,
    /// The node aborted the request while it ran at the target.
    Aborted,
}

/// An event that a node handles.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum NodeEvent {
    /// A request of an outside caller.
    CallerCall(IncomingRequest),
    /// An outside caller requests an idempotency key for a later request to a service.
    MintKey {
        /// Identifies the request until it is answered.
        ticket: Ticket,
        /// The service the key is for.
        service: String,
    },
    /// The client of a request on one of the node's own listeners no longer waits for the answer.
    CallerGone {
        /// The request.
        ticket: Ticket,
    },
    /// A request of the local target, on behalf of the call identified by `token`.
    TargetCall {
        /// The request.
        #[serde(rename = "intake")]
        incoming: IncomingRequest,
        /// The value of the `aspenspring-call` header, if present.
        token: Option<String>,
    },
    /// A message that opened an exchange, from another node.
    PeerRequest {
        /// Where the reply goes.
        path: ReturnPath,
        /// The message.
        message: Message,
    },
    /// A reply from another node.
    PeerReply {
        /// The address the request was sent to.
        peer: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The connection to a peer is closed or silent.
    LinkLost {
        /// The peer's address.
        peer: SocketAddr,
    },
    /// A connection to a peer is established.
    LinkUp {
        /// The peer's address.
        peer: SocketAddr,
    },
    /// A message could not be sent; nothing of it left this process.
    SendFailed {
        /// The message.
        message: Message,
    },
    /// The target has finished with an attempt.
    TargetEnded {
        /// The attempt.
        attempt: AttemptId,
        /// Its outcome.
        outcome: TargetOutcome,
    },
    /// The local target announced itself.
    TargetAnnounced(Announcement),
    /// The node is to leave.
    Leave {
        /// The source of the request.
        asked_by: LeaveRequester,
    },
    /// An operator submitted a configuration.
    Submit(Submit),
    /// An answer from the platform's table service.
    Store(StoreEvent),
    /// Time has passed; the node checks its timers.
    Tick,
}

/// The source of a request that a node leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaveRequester {
    /// A signal to the process.
    Signal,
    /// An operator.
    Operator,
    /// The local target.
    Target,
    /// A newer process that holds the node's name.
    Successor,
}

impl LeaveRequester {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Signal => "signal",
            Self::Operator => "operator",
            Self::Target => "target",
            Self::Successor => "successor",
        }
    }
}

/// The announcement of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The target's base URL.
    pub url: String,
    /// The service it belongs to.
    pub service: String,
    /// How many calls it runs concurrently.
    pub slots: u32,
    /// How many connections it accepts.
    pub connections: u32,
}

/// The result of a request that arrived on one of the node's own listeners.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallEnd {
    /// Its outcome.
    pub verdict: Verdict,
    /// The root request it belongs to.
    pub root: RootId,
    /// The name of its class; empty if it had none.
    pub class: String,
    /// The name of its policy arm; empty if it had none.
    pub arm: String,
    /// How many attempts this hop made.
    pub attempts: u8,
    /// How long the hop took, in microseconds.
    pub elapsed_us: u64,
    /// Whether it came from an outside caller.
    pub outside: bool,
}

/// An action requested by a node.
#[derive(Debug)]
pub enum NodeAction {
    /// Answer a request on one of the node's own listeners.
    Reply {
        /// The request.
        ticket: Ticket,
        /// Its result.
        end: CallEnd,
    },
    /// Send a message that opens an exchange.
    Send {
        /// The peer's address.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Send the reply to a message that opened an exchange.
    Return {
        /// Where the reply goes.
        path: ReturnPath,
        /// The message.
        message: Message,
    },
    /// Close the connection to a peer that was removed from the membership.
    Forget {
        /// The peer's address.
        peer: SocketAddr,
    },
    /// Send a request to the target.
    RunTarget(Box<TargetCall>),
    /// Abort a request that is running at the target.
    AbortTarget {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Report the outcome of a submission to the operator.
    Submitted {
        /// The random ID of the submission.
        submission: u64,
        /// Its outcome.
        outcome: SubmitOutcome,
    },
    /// Send a request to the platform's table service.
    Store(StoreRequest),
    /// Record something in the log, the metrics or the traces.
    Note(Note),
    /// Stop the process; nothing is in flight any more.
    Exit,
}

/// A request for the local target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetCall {
    /// The attempt.
    pub attempt: AttemptId,
    /// The target's base URL.
    pub url: String,
    /// The token by which the target's own calls are matched to this attempt.
    pub token: String,
    /// The request.
    pub request: HttpRequest,
    /// Headers added by the node.
    pub added_headers: Vec<(&'static str, String)>,
    /// The deadline of the call, in microseconds since the process started.
    pub deadline_us: u64,
}
