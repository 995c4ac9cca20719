//! What the configuration is told and what it asks for.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::Rules;

use super::document::{Accepted, HistoryEntry, TableRow};

/// What came of reading the row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowRead {
    /// The row.
    Present(TableRow),
    /// There is no row: nothing was ever accepted.
    Absent,
    /// The table service did not answer.
    Failed,
}

/// What came of writing the row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowWrite {
    /// It was written.
    Written {
        /// The row's version now.
        row_version: u64,
    },
    /// Another version stands there.
    Conflict {
        /// What stands there, or none.
        present: Option<TableRow>,
    },
    /// It certainly was not written.
    NotApplied,
    /// It may have been written, now or later.
    MayHaveBeenApplied,
}

/// What a peer says it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerVersion {
    /// Where the peer is reached.
    pub peer: SocketAddr,
    /// The version it has in force.
    pub version: u64,
    /// Whether it knows that nothing newer was accepted before it started.
    pub confirmed: bool,
}

/// A document an operator wants in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submit {
    /// A random number that is drawn once for the submission.
    pub submission: u64,
    /// The version the operator's change is based on.
    pub based_on: u64,
    /// Who submits it.
    pub by: String,
    /// When, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The document as JSON text.
    pub document: String,
}

/// What became of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// It is accepted.
    Accepted {
        /// Its version.
        version: u64,
    },
    /// It lost: something else was accepted since the version it is based on.
    Conflict {
        /// What it lost to; none where the version it is based on was never accepted.
        lost_to: Option<HistoryEntry>,
    },
    /// The document makes no valid settings.
    Invalid {
        /// Why.
        cause: String,
    },
    /// It was not accepted and will not be, because the table service is away.
    StoreAway,
    /// It may have been accepted, now or later: the table service does not tell.
    Unknown,
    /// This node is busy with another submission.
    Busy,
}

/// Something the configuration is told.
#[derive(Clone, Debug)]
pub enum ConfigurationEvent<'a> {
    /// The row was read.
    TableRead(RowRead),
    /// The row was written, or not.
    TableWritten {
        /// The random number of the submission, from the value that was to be written.
        submission: u64,
        /// What came of it.
        write: RowWrite,
    },
    /// A peer has told its version.
    PeerHas(PeerVersion),
    /// A message of this module arrived from a peer.
    Peer(&'a [u8]),
    /// An operator submits a document.
    Submit(Submit),
    /// Time has passed.
    Tick,
}

/// Something the configuration asks for.
#[derive(Clone, Debug)]
pub enum ConfigurationAction {
    /// Read the row.
    ReadTable,
    /// Write the row.
    WriteTable {
        /// The version that must stand there, or none where the row must not exist.
        expected: Option<u64>,
        /// The value.
        accepted: Arc<Accepted>,
    },
    /// Send a message of this module to a peer; it may get lost.
    SendPeer {
        /// Where the peer is reached.
        to: SocketAddr,
        /// The message.
        bytes: Vec<u8>,
    },
    /// These rules are in force from now on.
    InForce {
        /// Their version.
        version: u64,
        /// The rules.
        rules: Arc<Rules>,
    },
    /// Whether the node may serve changed.
    Ready(bool),
    /// A version was accepted that this node cannot use; it must not serve.
    Unusable {
        /// The version.
        version: u64,
        /// Why.
        cause: String,
    },
    /// What became of a submission.
    Submitted {
        /// The random number of the submission.
        submission: u64,
        /// The outcome.
        outcome: SubmitOutcome,
    },
}
