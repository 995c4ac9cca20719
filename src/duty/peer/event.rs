//! What the transport reports.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::call::Message;

/// Where the reply to a request must go: a connection, and the request on it.
///
/// It is worth nothing to another process, and nothing after the connection has closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReturnPath {
    /// nng's number of the connection.
    pub(super) pipe: u32,
    /// The number the sender gave the request, with the bit that ends nng's header.
    pub(super) request: u32,
}

impl ReturnPath {
    /// The way back to `request` on the connection `pipe`, for tests that carry replies themselves.
    pub fn from_parts(pipe: u32, request: u32) -> Self {
        Self { pipe, request }
    }

    /// The connection and the request.
    pub fn parts(self) -> (u32, u32) {
        (self.pipe, self.request)
    }
}

/// Something that happened on the connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerEvent {
    /// Another node sent something that is not a reply.
    Request {
        /// Where a reply must go.
        path: ReturnPath,
        /// What was sent.
        message: Message,
    },
    /// A node that was sent to has replied. Pongs are reported here too, for the load they carry.
    Reply {
        /// The address that was sent to.
        peer: SocketAddr,
        /// The reply.
        message: Message,
    },
    /// A message that [`PeerHandle::send`](super::PeerHandle::send) had taken never left this
    /// process, as no connection could be made. It certainly did not run.
    Unsent {
        /// The address that was to be sent to.
        peer: SocketAddr,
        /// The message.
        message: Message,
    },
    /// The connection closed, went silent or could not be made. Everything that was sent on it and
    /// not answered is in doubt. The transport keeps trying to connect again.
    LinkLost {
        /// The address of the other end.
        peer: SocketAddr,
    },
    /// The other end has answered over a new connection.
    LinkUp {
        /// The address of the other end.
        peer: SocketAddr,
    },
}
