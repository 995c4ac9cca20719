//! The messages nodes exchange.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::id::{AttemptId, NodeId, RootId};
use super::key::Key;
use super::level::{ArmId, ClassRank, Level};
use super::verdict::Verdict;

/// A request as the caller sent it, with internal headers taken off.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpRequest {
    /// The method, in upper case.
    pub method: String,
    /// The path below the service, with its query, beginning with a slash.
    pub path: String,
    /// End-to-end headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    #[serde(with = "super::body")]
    pub body: Bytes,
}

/// A whole answer of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpAnswer {
    /// The HTTP status.
    pub status: u16,
    /// End-to-end headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    #[serde(with = "super::body")]
    pub body: Bytes,
}

/// The W3C trace context of a hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceContext {
    /// The trace all hops of a root share.
    pub trace_id: u128,
    /// The span that caused this hop.
    pub parent_span_id: u64,
    /// Whether spans of this trace are recorded.
    pub sampled: bool,
}

/// One attempt on its way to a receiving node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallFrame {
    /// The attempt.
    pub attempt: AttemptId,
    /// The whole request it belongs to.
    pub root: RootId,
    /// The node that holds the retry allowance of the root, or none where there is no allowance.
    pub entry: Option<NodeId>,
    /// Where that node listens for others: whoever is called further down may not know it.
    #[serde(default)]
    pub entry_address: Option<SocketAddr>,
    /// The class of the root.
    pub class: ClassRank,
    /// Where the call stands in the order of shedding.
    pub level: Level,
    /// The policy arm of the root.
    pub arm: ArmId,
    /// Time left until the deadline, in microseconds, when the frame was sent.
    pub remaining_us: u64,
    /// How many hops lie above this one; 0 at the entry.
    pub depth: u8,
    /// 0 for the first attempt of a hop, then one more for each retry.
    pub retry: u8,
    /// The service the sender means, checked by the receiver.
    pub service: String,
    /// The key under which the call runs at most once.
    pub key: Option<Key>,
    /// The trace context of the sender's span.
    pub trace: TraceContext,
    /// The request itself.
    pub request: HttpRequest,
}

/// What a receiving node tells about itself on every answer and heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Calls the target is running now.
    pub running: u32,
    /// Calls waiting in the receiving node.
    pub queued: u32,
    /// How many calls the receiving node lets run at once.
    pub limit: u32,
    /// Smoothed time the target takes for a call, in microseconds.
    pub latency_us: u32,
    /// Calls below this level are refused here or, as far as is known, further down.
    pub floor: Level,
    /// Whether the node takes no new work for good.
    pub leaving: bool,
}

/// The answer to an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerFrame {
    /// The attempt that is answered.
    pub attempt: AttemptId,
    /// The answering node.
    pub node: NodeId,
    /// What became of it.
    pub verdict: Verdict,
    /// The load of the answering node for the call's arm.
    pub load: LoadReport,
}

/// Everything that travels between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Please run this.
    Call(Box<CallFrame>),
    /// What became of an attempt.
    Answer(AnswerFrame),
    /// The sender has no more use for this attempt.
    Cancel(AttemptId),
    /// Asks what became of an attempt whose connection was lost; an attempt that has not arrived
    /// yet is refused for ever. Answered with `Answer` when the verdict is known.
    Fence {
        /// The attempt in question.
        attempt: AttemptId,
        /// The node life it was sent to. A later life at the same address knows nothing of it.
        asked: NodeId,
        /// How long the sender would wait for the verdict, in microseconds.
        remaining_us: u64,
    },
    /// Asks the entry node of a root for leave to make one more attempt.
    AskRetry {
        /// The root whose allowance is drawn on.
        root: RootId,
        /// The attempt that failed.
        failed: AttemptId,
    },
    /// The entry node's reply to `AskRetry`.
    RetryGrant {
        /// The attempt that failed.
        failed: AttemptId,
        /// Whether one more attempt may be made.
        granted: bool,
    },
    /// A message of the membership, encoded by its own module.
    Gossip(#[serde(with = "super::body")] Bytes),
    /// A message of the configuration, encoded by its own module.
    Configuration(#[serde(with = "super::body")] Bytes),
    /// Sent to see whether a connection still carries anything.
    Ping {
        /// The sender, so that the receiver can tell who is there.
        from: NodeId,
        /// Echoed in the pong.
        sequence: u64,
    },
    /// The answer to a ping, with the load of the node over all arms.
    Pong {
        /// The answering node.
        from: NodeId,
        /// The sequence of the ping.
        sequence: u64,
        /// The load of the answering node.
        load: LoadReport,
    },
}
