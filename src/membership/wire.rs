//! The gossip messages and their encoding.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::call::NodeId;
use crate::clock::US_PER_S;

use super::interest::ServiceTag;
use super::member::Member;

/// Maximum size of a gossip message that is decoded, in bytes.
const MESSAGE_MAX_BYTES: usize = 64 * 1024;

/// The configuration version that a node reports in its gossip messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedConfiguration {
    /// The version in force; 0 for the settings the node started with.
    pub version: u64,
    /// Whether the node knows, from the table service or from a confirmed peer, that nothing newer
    /// was accepted before it started.
    pub confirmed: bool,
}

/// The sender of a message and its configuration version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Header {
    /// The sender.
    pub(super) from: NodeId,
    /// The peer address of the sender.
    pub(super) address: SocketAddr,
    /// The sender's configuration version.
    pub(super) configuration: ReportedConfiguration,
}

/// A member's heartbeat counter and its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Heartbeat {
    /// The member's `NodeId`, always eight bytes, because variable-length encoding does not shorten
    /// random numbers.
    #[serde(with = "postcard::fixint::le")]
    pub(super) node: u64,
    /// Its heartbeat counter.
    pub(super) beat: u64,
    /// Its revision.
    pub(super) revision: u32,
    /// How long ago the sender saw the counter increase, in seconds.
    pub(super) age_s: u16,
}

/// A full member record and its age.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Record {
    /// The member.
    pub(super) member: Member,
    /// How long ago the sender saw the counter increase, in seconds.
    pub(super) age_s: u16,
}

/// The heartbeats of the members of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Group {
    /// The service.
    pub(super) service: ServiceTag,
    /// Whether `heartbeats` holds every member known to the sender.
    pub(super) whole: bool,
    /// The heartbeats.
    #[serde(rename = "signs")]
    pub(super) heartbeats: Vec<Heartbeat>,
}

/// The kinds of gossip messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Body {
    /// The heartbeats that the sender knows. The reply holds newer ones and missing records.
    Digest {
        /// The sender's own heartbeat.
        own: Heartbeat,
        /// The sender's own service.
        own_service: ServiceTag,
        /// The heartbeats of other members, for each service that the digest covers.
        groups: Vec<Group>,
    },
    /// The reply to a digest: what the receiver lacks, and requests for what the sender lacks.
    Reply {
        /// Newer heartbeats of members that the receiver knows.
        #[serde(rename = "signs")]
        heartbeats: Vec<Heartbeat>,
        /// Members that the receiver lacks or has an older revision of.
        records: Vec<Record>,
        /// Members whose records the replying node requests.
        wanted: Vec<NodeId>,
        /// Addresses of nodes that may know members of services of which the receiver knows none.
        #[serde(rename = "leads")]
        referrals: Vec<SocketAddr>,
    },
    /// Full member records.
    Records(Vec<Record>),
    /// Only the header.
    Hello,
}

/// One gossip message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Gossip {
    /// The sender.
    pub(super) header: Header,
    /// The content.
    pub(super) body: Body,
}

impl Gossip {
    /// Encodes the message.
    pub(super) fn encode(&self) -> Vec<u8> {
        // Encoding plain data into a growable buffer cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a message; none if it is malformed or too long.
    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() > MESSAGE_MAX_BYTES {
            return None;
        }
        postcard::from_bytes(bytes).ok()
    }
}

/// Converts an age to seconds, rounded up so that relaying never makes it younger.
pub(super) fn age_s(age_us: u64) -> u16 {
    u16::try_from(age_us.div_ceil(US_PER_S)).unwrap_or(u16::MAX)
}

/// Converts an age in seconds to microseconds.
pub(super) fn age_us(age_s: u16) -> u64 {
    u64::from(age_s) * US_PER_S
}
