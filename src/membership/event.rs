//! The events and actions of the membership state machine.

use std::net::SocketAddr;

use crate::call::NodeId;

use super::member::{Member, MemberRow};
use super::wire::ReportedConfiguration;

/// An input of the membership state machine.
#[derive(Debug)]
pub enum MembershipEvent<'a> {
    /// The node's target announced itself. Both fields are 0 once the target is gone.
    TargetAnnounced {
        /// How many calls it can run concurrently.
        slots: u32,
        /// How many connections it accepts.
        connections: u32,
    },
    /// The rows of a service were read.
    RowsRead {
        /// The service.
        service: &'a str,
        /// Its rows.
        rows: Vec<MemberRow>,
    },
    /// The rows of a service could not be read.
    ReadFailed {
        /// The service.
        service: &'a str,
    },
    /// The node's own row was written.
    RowWritten {
        /// The new version of the row.
        version: u64,
    },
    /// The node's own row was not written because the row has another version than expected.
    RowConflict {
        /// The current version of the row, or none if there is no row.
        version: Option<u64>,
        /// The member in the row, or none if the row is missing or cannot be parsed.
        present: Option<Member>,
    },
    /// Writing the node's own row failed, but the write may still have been applied.
    WriteFailed,
    /// A gossip message arrived.
    Gossip {
        /// The message.
        bytes: &'a [u8],
    },
    /// A message other than gossip arrived from a node, which shows that the node is alive.
    MessageReceived {
        /// The node.
        node: NodeId,
    },
    /// The node's configuration version, or its confirmation, changed.
    Configuration(ReportedConfiguration),
    /// The node starts to leave.
    Leave,
    /// Time has passed.
    Tick,
    /// The node calls this service, so its members must be tracked.
    TrackService(&'a str),
}

/// An output of the membership state machine, to be carried out by the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Write the node's own row by compare-and-set.
    WriteRow {
        /// The value.
        member: Member,
        /// The expected version of the row, or none if the row must not exist.
        expected: Option<u64>,
    },
    /// Delete a row if it still has this version. The outcome is not reported to the membership.
    DeleteRow {
        /// The key.
        key: String,
        /// The version.
        version: u64,
    },
    /// Read the rows of a service.
    ReadRows {
        /// The service.
        service: String,
    },
    /// Send a gossip message. Delivery is not guaranteed.
    SendGossip {
        /// The peer address.
        to: SocketAddr,
        /// The message.
        bytes: Vec<u8>,
    },
    /// A member was discovered, or rediscovered after it was removed. It may already be leaving.
    Added(Member),
    /// A field of a known member other than its heartbeat counter changed.
    Changed(Member),
    /// A member was removed because its heartbeats stopped or a later incarnation took its name.
    Gone(NodeId),
    /// A peer reported its configuration version.
    PeerConfiguration {
        /// The address of the peer.
        peer: SocketAddr,
        /// Its version and whether that is confirmed.
        reported: ReportedConfiguration,
    },
    /// A later incarnation holds this node's name, so this one must take no new work.
    Superseded {
        /// The later incarnation.
        by: NodeId,
    },
}
