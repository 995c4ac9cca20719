//! Operator requests to the node and its replies.

use serde::Serialize;
use serde_json::Value;
use tokio::sync::oneshot;

/// A request to the thread that owns the node's state.
#[derive(Debug)]
pub enum OperatorRequest {
    /// Whether the node serves requests. Needs no key.
    Health {
        /// Where the reply goes.
        reply: oneshot::Sender<Health>,
    },
    /// The node's status: targets, limits, floors, members, configuration version.
    Status {
        /// Where the reply goes.
        reply: oneshot::Sender<Value>,
    },
    /// An accepted configuration.
    Config {
        /// The version; `None` for the one in force.
        version: Option<u64>,
        /// Where the reply goes; `None` if this node does not hold the version.
        reply: oneshot::Sender<Option<ConfigView>>,
    },
    /// Submits a configuration.
    Submit {
        /// The configuration.
        submission: Submission,
        /// Where the reply goes.
        reply: oneshot::Sender<SubmitReply>,
    },
    /// Starts a graceful shutdown of the node.
    Leave {
        /// Where the reply goes.
        reply: oneshot::Sender<LeaveReply>,
    },
}

/// Whether the node serves requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Health {
    /// Whether it accepts calls: it has a configuration and a target.
    pub ready: bool,
    /// Whether it is shutting down and accepts no new work.
    pub leaving: bool,
}

/// An accepted configuration.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ConfigView {
    /// Its version; 0 for the settings the node was started with.
    pub version: u64,
    /// Who submitted it; `None` if nobody did.
    pub by: Option<String>,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub at_unix_ms: Option<u64>,
    /// The document.
    pub document: Value,
    /// Earlier accepted configurations, newest first.
    pub history: Vec<ConfigEntry>,
}

/// An accepted configuration without its document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigEntry {
    /// The accepted version.
    pub version: u64,
    /// Who submitted it.
    pub by: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// A submitted configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The version the change is based on.
    pub expected_version: u64,
    /// The name given by the submitter; not verified.
    pub by: String,
    /// The document as JSON text.
    pub document: String,
}

/// The outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitReply {
    /// It was accepted.
    Accepted {
        /// Its version.
        version: u64,
    },
    /// Another configuration was accepted since the version it is based on.
    Conflict {
        /// The configuration accepted instead; `None` if the base version was never accepted.
        lost_to: Option<ConfigEntry>,
    },
    /// It is not a valid configuration.
    Invalid {
        /// All problems found.
        problems: Vec<String>,
    },
    /// It was not accepted and will not be.
    NotAccepted {
        /// Why.
        cause: String,
    },
    /// It may have been accepted, or may still be.
    Unknown {
        /// Why the outcome is unknown.
        cause: String,
    },
}

/// The graceful shutdown has started, now or earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LeaveReply {
    /// Calls currently running or queued.
    pub in_flight: u64,
}
