//! What the node is told, and what it asks the threads around it to do.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::call::{AttemptId, HttpAnswer, HttpRequest, Message, RootId, TraceContext, Verdict};
use crate::configuration::{Submit, SubmitOutcome};
use crate::duty::peer::ReturnPath;
use crate::duty::store::{StoreEvent, StoreRequest};

use super::note::Note;

/// A request that waits for its answer on one of the node's own listeners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket(pub u64);

/// The way back to whoever sent a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReplyPath {
    /// The frame was sent by this node to itself.
    Local,
    /// The frame came over a connection from another node.
    Peer(ReturnPath),
}

/// A request as one of the node's own listeners took it in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intake {
    /// Names the request until it is answered.
    pub ticket: Ticket,
    /// The service it is for.
    pub service: String,
    /// The request without internal headers.
    pub request: HttpRequest,
    /// The time the caller gives it, in milliseconds, where it says so.
    pub deadline_ms: Option<u64>,
    /// The caller's idempotency key, as it was written.
    pub key: Option<String>,
    /// The caller's trace, where it sent one.
    pub trace: Option<TraceContext>,
}

/// What the target made of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetOutcome {
    /// A whole answer.
    Answered(HttpAnswer),
    /// The target says that it did not run the request.
    Declined,
    /// No connection could be made, so the target has seen nothing of the request.
    Unreachable,
    /// The node itself had no room to pass the request on.
    NoRoom,
    /// The exchange broke off after the request may have been seen.
    Broke,
    /// The answer was longer than is allowed.
    TooLong,
    /// The node gave the request up while the target had it.
    Aborted,
}

/// Everything that can happen to a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum NodeEvent {
    /// An outside caller's request.
    CallerCall(Intake),
    /// An outside caller wants a key for a later request to a service.
    MintKey {
        /// Names the request until it is answered.
        ticket: Ticket,
        /// The service the key is for.
        service: String,
    },
    /// Whoever made a request on one of the node's own listeners waits for it no longer.
    CallerGone {
        /// The request.
        ticket: Ticket,
    },
    /// A request of the target beside this node, on behalf of the call named by `token`.
    TargetCall {
        /// The request.
        intake: Intake,
        /// The value of the `aspenspring-call` header, where there was one.
        token: Option<String>,
    },
    /// A message that opened an exchange, from another node.
    PeerRequest {
        /// Where its reply goes.
        path: ReturnPath,
        /// The message.
        message: Message,
    },
    /// A reply of another node.
    PeerReply {
        /// The address that was asked.
        peer: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The connection to a peer is gone or silent.
    LinkLost {
        /// The peer's address.
        peer: SocketAddr,
    },
    /// A connection to a peer works.
    LinkUp {
        /// The peer's address.
        peer: SocketAddr,
    },
    /// A message could not be sent: nothing of it left this process.
    SendFailed {
        /// The message.
        message: Message,
    },
    /// The target has finished with an attempt.
    TargetEnded {
        /// The attempt.
        attempt: AttemptId,
        /// What the target made of it.
        outcome: TargetOutcome,
    },
    /// The target beside this node announced itself.
    TargetAnnounced(Announcement),
    /// The target beside this node, or the operator, wants the node to leave.
    Leave {
        /// Who asked for it.
        asked_by: Asker,
    },
    /// An operator submits a configuration.
    Submit(Submit),
    /// An answer of the platform.
    Store(StoreEvent),
    /// Time has passed; the node looks at its timers.
    Tick,
}

/// Who asked a node to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Asker {
    /// A signal to the process.
    Signal,
    /// An operator.
    Operator,
    /// The target beside the node.
    Target,
    /// A later life that holds the node's name.
    Successor,
}

impl Asker {
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

/// What a target says about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The target's base URL.
    pub url: String,
    /// The service it belongs to.
    pub service: String,
    /// How many calls it runs at once.
    pub slots: u32,
    /// How many connections it accepts.
    pub connections: u32,
}

/// The end of a request that came in on one of the node's own listeners.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallEnd {
    /// What became of it.
    pub verdict: Verdict,
    /// The whole request it was, or was part of.
    pub root: RootId,
    /// The name of its class; empty where it had none.
    pub class: String,
    /// The name of its policy arm; empty where it had none.
    pub arm: String,
    /// How many attempts this hop made.
    pub attempts: u8,
    /// How long the hop took, in microseconds.
    pub elapsed_us: u64,
    /// Whether the caller stands outside of the site.
    pub outside: bool,
}

/// Everything a node can ask for.
#[derive(Debug)]
pub enum NodeAction {
    /// Answer a request on one of the node's own listeners.
    Reply {
        /// The request.
        ticket: Ticket,
        /// Its end.
        end: CallEnd,
    },
    /// Send a message that opens an exchange.
    Send {
        /// The peer's address.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Send a reply to whoever asked.
    Return {
        /// The way back.
        path: ReturnPath,
        /// The message.
        message: Message,
    },
    /// Close the connection to a peer that is gone for good.
    Forget {
        /// The peer's address.
        peer: SocketAddr,
    },
    /// Give a request to the target.
    RunTarget(Box<TargetCall>),
    /// Give up a request that the target has.
    AbortTarget {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Tell an operator what became of a submission.
    Submitted {
        /// The random number of the submission.
        submission: u64,
        /// What became of it.
        outcome: SubmitOutcome,
    },
    /// Ask the platform for something.
    Store(StoreRequest),
    /// Write something to the log or count it.
    Note(Note),
    /// Stop the process: nothing is in flight any more.
    Exit,
}

/// A request for the target beside this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetCall {
    /// The attempt.
    pub attempt: AttemptId,
    /// The target's base URL.
    pub url: String,
    /// The token under which the target's own calls are taken in.
    pub token: String,
    /// The request.
    pub request: HttpRequest,
    /// Headers that the node adds.
    pub added_headers: Vec<(&'static str, String)>,
    /// When the call ends whatever the target does, in microseconds since the process started.
    pub deadline_us: u64,
}
