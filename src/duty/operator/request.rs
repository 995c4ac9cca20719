//! What operators ask the node for, and what it replies.

use serde::Serialize;
use serde_json::Value;
use tokio::sync::oneshot;

/// A request of an operator, on its way to the thread that owns the node's state.
#[derive(Debug)]
pub enum OperatorRequest {
    /// Whether the node serves. Also asked by whoever has no key.
    Health {
        /// Where the reply goes.
        reply: oneshot::Sender<Health>,
    },
    /// The node's state: targets, limits, floors, members, version of the configuration.
    Status {
        /// Where the reply goes.
        reply: oneshot::Sender<Value>,
    },
    /// An accepted configuration.
    Config {
        /// The version, or the one in force where absent.
        version: Option<u64>,
        /// Where the reply goes; none where the version is not known here.
        reply: oneshot::Sender<Option<ConfigView>>,
    },
    /// A configuration that is to be accepted.
    Submit {
        /// The configuration.
        submission: Submission,
        /// Where the reply goes.
        reply: oneshot::Sender<SubmitReply>,
    },
    /// The node is to leave.
    Leave {
        /// Where the reply goes.
        reply: oneshot::Sender<LeaveReply>,
    },
}

/// Whether the node serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Health {
    /// Whether it takes calls: it knows its configuration and has a target.
    pub ready: bool,
    /// Whether it takes no new work for good.
    pub leaving: bool,
}

/// An accepted configuration.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ConfigView {
    /// Its version; 0 for the settings of the start.
    pub version: u64,
    /// Who submitted it, where anybody did.
    pub by: Option<String>,
    /// When, in milliseconds since the Unix epoch.
    pub at_unix_ms: Option<u64>,
    /// The document.
    pub document: Value,
    /// Earlier acceptances, the latest first.
    pub history: Vec<ConfigEntry>,
}

/// One acceptance of a configuration, without its document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigEntry {
    /// The version that was accepted.
    pub version: u64,
    /// Who submitted it.
    pub by: String,
    /// When, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// A configuration that is to be accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The version the change is based on.
    pub expected_version: u64,
    /// Who submits it, as they say.
    pub by: String,
    /// The document: JSON text.
    pub document: String,
}

/// What became of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitReply {
    /// It is accepted.
    Accepted {
        /// Its version.
        version: u64,
    },
    /// Something else was accepted since the version it is based on.
    Conflict {
        /// What it lost to; none where the version it is based on was never accepted.
        lost_to: Option<ConfigEntry>,
    },
    /// It makes no valid settings.
    Invalid {
        /// Every problem it has.
        problems: Vec<String>,
    },
    /// It was not accepted and will not be.
    NotAccepted {
        /// Why.
        cause: String,
    },
    /// It may have been accepted, now or later.
    Unknown {
        /// Why nobody can say.
        cause: String,
    },
}

/// The node has begun to leave, or had begun already.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LeaveReply {
    /// Calls running or waiting at this moment.
    pub in_flight: u64,
}
