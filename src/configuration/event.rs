//! The events and actions of the configuration state machine.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::Rules;

use super::document::{Accepted, HistoryEntry, TableRow};

/// The outcome of reading the configuration row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowRead {
    /// The row exists.
    Present(TableRow),
    /// There is no row: nothing has ever been accepted.
    Absent,
    /// The read failed, or the row could not be parsed.
    Failed,
}

/// The outcome of writing the configuration row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowWrite {
    /// It was written.
    Written {
        /// The new version of the row.
        row_version: u64,
    },
    /// The row has another version than expected.
    Conflict {
        /// The current row, or none if there is none or it cannot be parsed.
        present: Option<TableRow>,
    },
    /// It was definitely not written.
    NotApplied,
    /// It may have been written, or may still be.
    MayHaveBeenApplied,
}

/// The configuration version that a peer reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerVersion {
    /// The peer's address.
    pub peer: SocketAddr,
    /// The version it has in force.
    pub version: u64,
    /// Whether the peer knows that nothing newer was accepted before it started.
    pub confirmed: bool,
}

/// A document that an operator submits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submit {
    /// A random ID, drawn once for the submission.
    pub submission: u64,
    /// The version that the operator's change is based on.
    pub based_on: u64,
    /// Who submits it.
    pub by: String,
    /// When, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The document as JSON text.
    pub document: String,
}

/// The outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// It was accepted.
    Accepted {
        /// Its version.
        version: u64,
    },
    /// It was refused because the version it is based on is not the latest accepted one.
    Conflict {
        /// The latest acceptance; none if none is known.
        lost_to: Option<HistoryEntry>,
    },
    /// No valid rules can be built from the document.
    Invalid {
        /// The reason.
        cause: String,
    },
    /// It was not accepted, and will not be, because the table service is unavailable.
    StoreAway,
    /// It may have been accepted, or may still be: a write got no definite answer.
    Unknown,
    /// This node is processing another submission.
    Busy,
}

/// An input of the configuration state machine.
#[derive(Clone, Debug)]
pub enum ConfigurationEvent<'a> {
    /// A read of the configuration row ended.
    RowRead(RowRead),
    /// A write of the configuration row ended.
    RowWritten {
        /// The ID of the submission in the value of the write.
        submission: u64,
        /// The outcome of the write.
        write: RowWrite,
    },
    /// A peer reported its version.
    PeerVersion(PeerVersion),
    /// A configuration message arrived from a peer.
    PeerMessage(&'a [u8]),
    /// An operator submits a document.
    Submit(Submit),
    /// Time has passed.
    Tick,
}

/// An output of the configuration state machine, to be carried out by the node.
#[derive(Clone, Debug)]
pub enum ConfigurationAction {
    /// Read the configuration row.
    ReadRow,
    /// Write the configuration row by compare-and-set.
    WriteRow {
        /// The expected version of the row, or none if the row must not exist.
        expected: Option<u64>,
        /// The value.
        accepted: Arc<Accepted>,
    },
    /// Send a configuration message to a peer. Delivery is not guaranteed.
    SendMessage {
        /// The peer's address.
        to: SocketAddr,
        /// The message.
        bytes: Vec<u8>,
    },
    /// New rules are in force.
    InForce {
        /// Their version.
        version: u64,
        /// The rules.
        rules: Arc<Rules>,
    },
    /// The node's readiness changed; the value says whether it may serve.
    Ready(bool),
    /// An accepted version cannot be used by this node, which must not serve.
    Unusable {
        /// The version.
        version: u64,
        /// The reason.
        cause: String,
    },
    /// A submission ended.
    Submitted {
        /// The ID of the submission.
        submission: u64,
        /// The outcome.
        outcome: SubmitOutcome,
    },
}
