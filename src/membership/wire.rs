//! The gossip messages of the membership.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::call::NodeId;
use crate::clock::US_PER_S;

use super::interest::ServiceTag;
use super::member::Member;

/// The longest gossip message that is read, in bytes.
const MESSAGE_MAX_BYTES: usize = 64 * 1024;

/// What a node has of the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationMark {
    /// The version in force; 0 for the settings of the start.
    pub version: u64,
    /// Whether the node knows from the table, or from a peer that knows, that nothing newer was
    /// accepted before it started.
    pub confirmed: bool,
}

/// Who sent a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Header {
    /// The sender.
    pub(super) from: NodeId,
    /// Where the sender is reached.
    pub(super) address: SocketAddr,
    /// What it has of the configuration.
    pub(super) configuration: ConfigurationMark,
}

/// A sign of life of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Sign {
    /// The member's `NodeId`, always eight bytes, because random numbers do not get shorter.
    #[serde(with = "postcard::fixint::le")]
    pub(super) node: u64,
    /// Its beat.
    pub(super) beat: u64,
    /// Its revision.
    pub(super) revision: u32,
    /// How long ago the sender saw the beat rise, in seconds.
    pub(super) age_s: u16,
}

/// A whole member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Record {
    /// The member.
    pub(super) member: Member,
    /// How long ago the sender saw the beat rise, in seconds.
    pub(super) age_s: u16,
}

/// The signs of the members of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Group {
    /// The service.
    pub(super) service: ServiceTag,
    /// Whether every member known to the sender is in `signs`.
    pub(super) whole: bool,
    /// The signs.
    pub(super) signs: Vec<Sign>,
}

/// Everything nodes tell each other about membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Body {
    /// What the sender knows, for a reply with what it lacks.
    Digest {
        /// The sender itself.
        own: Sign,
        /// The service of the sender itself.
        own_service: ServiceTag,
        /// What the sender knows of the services it asks about.
        groups: Vec<Group>,
    },
    /// What the sender of a digest lacks, and what it is asked for in turn.
    Reply {
        /// Newer signs of members the asker has.
        signs: Vec<Sign>,
        /// Members the asker lacks or has an older revision of.
        records: Vec<Record>,
        /// Members the replying node lacks.
        wanted: Vec<NodeId>,
        /// Nodes that may know members of services of which the asker knows none.
        leads: Vec<SocketAddr>,
    },
    /// Whole members.
    Records(Vec<Record>),
    /// Nothing but the header.
    Hello,
}

/// One gossip message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Gossip {
    /// The sender.
    pub(super) header: Header,
    /// What it says.
    pub(super) body: Body,
}

impl Gossip {
    /// The message in bytes.
    pub(super) fn encode(&self) -> Vec<u8> {
        // Encoding plain data into a growing buffer has no way to fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// The message in `bytes`, or none where they make no sense.
    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() > MESSAGE_MAX_BYTES {
            return None;
        }
        postcard::from_bytes(bytes).ok()
    }
}

/// An age on the wire, rounded up so that it never gets younger by travelling.
pub(super) fn age_s(age_us: u64) -> u16 {
    u16::try_from(age_us.div_ceil(US_PER_S)).unwrap_or(u16::MAX)
}

/// An age from the wire.
pub(super) fn age_us(age_s: u16) -> u64 {
    u64::from(age_s) * US_PER_S
}
