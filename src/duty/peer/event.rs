//! Events reported by the transport.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::call::Message;

/// The return path of a reply: an inbound connection and a request on it.
///
/// It is valid only in this process, and only until the connection closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReturnPath {
    /// nng's ID of the connection.
    pub(super) pipe: u32,
    /// The request number set by the sender, with the marker bit of the last header word.
    pub(super) request: u32,
}

impl ReturnPath {
    /// The path to `request` on connection `pipe`, for tests that deliver replies themselves.
    pub fn from_parts(pipe: u32, request: u32) -> Self {
        Self { pipe, request }
    }

    /// The connection and the request number.
    pub fn parts(self) -> (u32, u32) {
        (self.pipe, self.request)
    }
}

/// An event on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerEvent {
    /// A message from another node on an inbound connection.
    Request {
        /// Where to send a reply.
        path: ReturnPath,
        /// The message.
        message: Message,
    },
    /// A reply on an outbound connection. Pongs are reported too, for the load they carry.
    Reply {
        /// The address of the peer.
        peer: SocketAddr,
        /// The reply.
        message: Message,
    },
    /// A message accepted by [`PeerHandle::send`](super::PeerHandle::send) was not sent, as no
    /// connection could be made. It certainly did not run.
    Unsent {
        /// The address of the peer.
        peer: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The connection closed, went silent or could not be made. The outcome of everything sent on
    /// it and not answered is unknown. The transport keeps trying to reconnect.
    LinkLost {
        /// The address of the peer.
        peer: SocketAddr,
    },
    /// The peer has responded on a new connection.
    LinkUp {
        /// The address of the peer.
        peer: SocketAddr,
    },
}
