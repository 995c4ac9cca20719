//! What the membership is told and what it asks for.

use std::net::SocketAddr;

use crate::call::NodeId;

use super::member::{Member, MemberRow};
use super::wire::ConfigurationMark;

/// Something the membership is told.
#[derive(Debug)]
pub enum MembershipEvent<'a> {
    /// The target beside the node announced itself; zeros when it is gone.
    TargetAnnounced {
        /// How many calls it can run at once.
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
        /// Its version now.
        version: u64,
    },
    /// The node's own row was not written because another version stands there.
    RowConflict {
        /// The version that stands there, or none where there is no row.
        version: Option<u64>,
        /// The member that stands there, or none where the row is missing or makes no sense.
        present: Option<Member>,
    },
    /// Writing the node's own row failed; it may have taken effect all the same.
    WriteFailed,
    /// A gossip message of this module arrived.
    Gossip {
        /// The message.
        bytes: &'a [u8],
    },
    /// Anything at all arrived from a node.
    Heard {
        /// The node.
        node: NodeId,
    },
    /// The version of the configuration that the node has in force changed.
    Configuration(ConfigurationMark),
    /// The node took over the keys of nodes that left.
    Inherited {
        /// These nodes, the oldest first.
        owners: &'a [NodeId],
    },
    /// The node leaves.
    Leave,
    /// Time has passed.
    Tick,
    /// The node calls this service.
    WantService(&'a str),
}

/// Something the membership asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Write the node's own row by compare-and-set.
    WriteRow {
        /// The value.
        member: Member,
        /// The version that must stand there, or none where the row must not exist.
        expected: Option<u64>,
    },
    /// Delete a row if it still has this version. The outcome is not reported back.
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
    /// Send a gossip message; it may get lost.
    SendGossip {
        /// The peer address.
        to: SocketAddr,
        /// The message.
        bytes: Vec<u8>,
    },
    /// A member was heard of for the first time, or again. It may be leaving already.
    Added(Member),
    /// A known member changed in more than its beat.
    Changed(Member),
    /// A member was not heard of for too long, or a later life took its name.
    Gone(NodeId),
    /// A peer has told which version of the configuration it has.
    PeerConfiguration {
        /// Where to ask the peer.
        peer: SocketAddr,
        /// What it has.
        mark: ConfigurationMark,
    },
    /// A later life holds this node's name: this one must take no new work.
    Superseded {
        /// The later life.
        by: NodeId,
    },
}
