//! Getting the document of a version that peers say they have.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::document::Accepted;

/// The longest message that is read, in bytes.
const MESSAGE_MAX_BYTES: usize = 4 << 20;
/// How many peers with the newest version are remembered.
const HOLDERS_MAX: usize = 8;
/// How long a peer may take to send a document, in microseconds.
const FETCH_US: u64 = 1_000_000;

/// What nodes send each other about the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum PeerMessage {
    /// Please send the document if yours is of this version or a later one.
    Ask {
        /// Where to send it.
        reply_to: SocketAddr,
        /// The least version that is of use.
        at_least: u64,
    },
    /// The document in force at the sender.
    Content(Accepted),
}

impl PeerMessage {
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

/// The newest version heard of, who has it, and whether it has been asked for.
#[derive(Debug, Default)]
pub(super) struct Fetch {
    newest: u64,
    heard_us: u64,
    holders: Vec<SocketAddr>,
    /// Which of the holders is asked next.
    next: usize,
    asked_until_us: Option<u64>,
}

impl Fetch {
    /// The newest version heard of.
    pub(super) fn newest(&self) -> u64 {
        self.newest
    }

    /// When the newest version was first heard of.
    pub(super) fn heard_us(&self) -> u64 {
        self.heard_us
    }

    /// Notes that `peer`, or the table where there is none, has `version`.
    pub(super) fn hear(&mut self, now_us: u64, peer: Option<SocketAddr>, version: u64) {
        if version > self.newest {
            self.newest = version;
            self.heard_us = now_us;
            self.holders.clear();
            self.next = 0;
        }
        let Some(peer) = peer else { return };
        let room = self.holders.len() < HOLDERS_MAX;
        if version == self.newest && room && !self.holders.contains(&peer) {
            self.holders.push(peer);
        }
    }

    /// The peer to ask now, if a document newer than `in_force` is missing and none is on its way.
    pub(super) fn ask(&mut self, now_us: u64, in_force: u64) -> Option<SocketAddr> {
        if self.newest <= in_force || self.asked_until_us.is_some_and(|until_us| now_us < until_us)
        {
            return None;
        }
        let peer = *self.holders.get(self.next % self.holders.len().max(1))?;
        self.next += 1;
        self.asked_until_us = Some(now_us + FETCH_US);
        Some(peer)
    }

    /// When the next peer is due to be asked.
    pub(super) fn next_wake_us(&self, in_force: u64) -> Option<u64> {
        if self.newest <= in_force || self.holders.is_empty() {
            return None;
        }
        self.asked_until_us
    }
}
