//! The messages that nodes exchange.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::id::{AttemptId, NodeId, RootId};
use super::key::Key;
use super::level::{ArmId, ClassRank, Level};
use super::verdict::Verdict;

/// A request as the caller sent it, without internal headers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpRequest {
    /// The method, in upper case.
    pub method: String,
    /// The path below the service, with the query; it begins with a slash.
    pub path: String,
    /// End-to-end headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    #[serde(with = "super::body")]
    pub body: Bytes,
}

/// The complete answer of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpAnswer {
    /// The HTTP status.
    pub status: u16,
    /// End-to-end headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    #[serde(with = "super::body")]
    pub body: Bytes,
}

/// The W3C trace context of a hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceContext {
    /// The trace id, which all hops of a root request share.
    pub trace_id: u128,
    /// The parent span of this hop.
    pub parent_span_id: u64,
    /// Whether spans of this trace are recorded.
    pub sampled: bool,
}

/// One attempt, as it is sent to the receiving node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallFrame {
    /// The attempt.
    pub attempt: AttemptId,
    /// The root request that it belongs to.
    pub root: RootId,
    /// The node that holds the retry allowance of the root, or `None` if there is no allowance.
    pub entry: Option<NodeId>,
    /// The peer address of that node, as nodes of later hops may not know it.
    #[serde(default)]
    pub entry_address: Option<SocketAddr>,
    /// The class of the root.
    pub class: ClassRank,
    /// The position of the call in the shedding order.
    pub level: Level,
    /// The policy arm of the root.
    pub arm: ArmId,
    /// Time left until the deadline when the frame was sent, in microseconds.
    pub remaining_us: u64,
    /// The number of hops before this one; 0 at the entry node.
    pub depth: u8,
    /// The retry number: 0 for the first attempt of a hop, then one more for each retry.
    pub retry: u8,
    /// The requested service, which the receiver checks.
    pub service: String,
    /// The idempotency key under which the call runs at most once.
    pub key: Option<Key>,
    /// The trace context of the sender's span.
    pub trace: TraceContext,
    /// The request itself.
    pub request: HttpRequest,
}

/// The load of a receiving node, sent with every answer and heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Calls that the target is running.
    pub running: u32,
    /// Calls in the queue of the receiving node.
    pub queued: u32,
    /// The receiving node's limit on calls running at the target concurrently.
    pub limit: u32,
    /// Smoothed time that the target takes for a call, in microseconds.
    pub latency_us: u32,
    /// Calls below this level are shed by this node or, as far as it knows, by a downstream one.
    pub floor: Level,
    /// Whether the node is draining and will accept no new calls.
    pub leaving: bool,
}

/// The answer to an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerFrame {
    /// The attempt that is answered.
    pub attempt: AttemptId,
    /// The answering node.
    pub node: NodeId,
    /// The outcome of the attempt.
    pub verdict: Verdict,
    /// The load of the answering node for the call's arm.
    pub load: LoadReport,
}

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// An attempt for the receiver to run.
    Call(Box<CallFrame>),
    /// The outcome of an attempt.
    Answer(AnswerFrame),
    /// Cancels an attempt whose answer the sender no longer needs.
    Cancel(AttemptId),
    /// Queries the outcome of an attempt whose connection was lost, and fences the attempt: if it
    /// has not arrived yet, it is refused permanently. Answered with `Answer` once the verdict is
    /// known.
    Fence {
        /// The attempt.
        attempt: AttemptId,
        /// The node that it was sent to. A node that was restarted at the same address has another
        /// id and no record of the attempt.
        asked: NodeId,
        /// How long the sender waits for the verdict, in microseconds.
        remaining_us: u64,
    },
    /// Requests permission to retry from the entry node of a root request.
    AskRetry {
        /// The root request whose retry allowance is used.
        root: RootId,
        /// The attempt that failed.
        failed: AttemptId,
    },
    /// The entry node's reply to `AskRetry`.
    RetryGrant {
        /// The attempt that failed.
        failed: AttemptId,
        /// Whether the retry is permitted.
        granted: bool,
    },
    /// A membership message, encoded by the membership module.
    Gossip(#[serde(with = "super::body")] Bytes),
    /// A configuration message, encoded by the configuration module.
    Configuration(#[serde(with = "super::body")] Bytes),
    /// Heartbeat that checks whether a connection is alive.
    Ping {
        /// The sender.
        from: NodeId,
        /// Echoed in the pong.
        sequence: u64,
    },
    /// The answer to a ping, with the load of the node across all arms.
    Pong {
        /// The answering node.
        from: NodeId,
        /// The sequence number of the ping.
        sequence: u64,
        /// The load of the answering node.
        load: LoadReport,
    },
}
