//! Fetches the document of the newest version from a peer that reports it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::document::Accepted;

/// Maximum size of a message that is decoded, in bytes.
const MESSAGE_MAX_BYTES: usize = 4 << 20;
/// Maximum number of peers to remember that have the newest version.
const SOURCES_MAX: usize = 8;
/// How long to wait for a document before requesting it from the next peer, in microseconds.
const FETCH_TIMEOUT_US: u64 = 1_000_000;

/// The configuration messages between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum PeerMessage {
    /// Requests the document if the receiver has at least a given version.
    Ask {
        /// The address to send the document to.
        reply_to: SocketAddr,
        /// The lowest version that the sender can use.
        at_least: u64,
    },
    /// The document in force at the sender.
    Content(Accepted),
}

impl PeerMessage {
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

/// The newest known version, the peers that have it, and the outstanding request for it.
#[derive(Debug, Default)]
pub(super) struct Fetch {
    newest: u64,
    newest_reported_us: u64,
    sources: Vec<SocketAddr>,
    /// Index of the source of the next request, modulo the number of sources.
    next_source: usize,
    request_deadline_us: Option<u64>,
}

impl Fetch {
    /// The newest known version.
    pub(super) fn newest(&self) -> u64 {
        self.newest
    }

    /// When the newest version was first reported to this node, in microseconds.
    pub(super) fn newest_reported_us(&self) -> u64 {
        self.newest_reported_us
    }

    /// Records that `version` exists and, if `peer` is given, that this peer has it.
    pub(super) fn observe(&mut self, now_us: u64, peer: Option<SocketAddr>, version: u64) {
        if version > self.newest {
            self.newest = version;
            self.newest_reported_us = now_us;
            self.sources.clear();
            self.next_source = 0;
        }
        let Some(peer) = peer else { return };
        let has_room = self.sources.len() < SOURCES_MAX;
        if version == self.newest && has_room && !self.sources.contains(&peer) {
            self.sources.push(peer);
        }
    }

    /// The peer to request the document from, if a version newer than `in_force` is known and no
    /// request for it is outstanding. The request counts as started.
    pub(super) fn start_request(&mut self, now_us: u64, in_force: u64) -> Option<SocketAddr> {
        if self.newest <= in_force
            || self.request_deadline_us.is_some_and(|deadline_us| now_us < deadline_us)
        {
            return None;
        }
        let peer = *self.sources.get(self.next_source % self.sources.len().max(1))?;
        self.next_source += 1;
        self.request_deadline_us = Some(now_us + FETCH_TIMEOUT_US);
        Some(peer)
    }

    /// When the outstanding request times out and the next one is due; none if none is needed.
    pub(super) fn next_wake_us(&self, in_force: u64) -> Option<u64> {
        if self.newest <= in_force || self.sources.is_empty() {
            return None;
        }
        self.request_deadline_us
    }
}
