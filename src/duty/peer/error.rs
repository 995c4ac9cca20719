//! Errors of the transport.

use std::net::SocketAddr;

use thiserror::Error;

use crate::call::codec::CodecError;

/// Why the transport did not start.
#[derive(Debug, Error)]
pub enum PeerError {
    /// The settings contradict each other or go beyond what nng can do.
    #[error("{field} is {value}, it must be from {min} to {max}")]
    BadOption {
        /// The option.
        field: &'static str,
        /// Its value.
        value: u64,
        /// The least that is possible.
        min: u64,
        /// The most that is possible.
        max: u64,
    },
    /// nng refused to listen.
    #[error("cannot listen on {listen}: {cause}")]
    Listen {
        /// The address.
        listen: SocketAddr,
        /// What nng said.
        cause: nng::Error,
    },
    /// The thread could not be started.
    #[error("cannot start the thread: {0}")]
    Thread(#[from] std::io::Error),
}

/// Why a message was not sent: nothing of it has left this process, and nothing will.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SendError {
    /// The message cannot be encoded, or its body is too long.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The encoded message is too long.
    #[error("the message has {bytes} bytes, {max_bytes} are allowed")]
    TooLong {
        /// The length of the encoded message.
        bytes: usize,
        /// The longest message allowed.
        max_bytes: usize,
    },
    /// As many messages as fit wait for this connection already.
    #[error("the ring of the connection is full")]
    RingFull,
    /// There is no connection to the peer, and the last try to make one failed.
    #[error("the peer cannot be reached")]
    Unreachable,
    /// The connection that a reply belongs to has closed.
    #[error("the connection of the request has closed")]
    PathGone,
    /// The transport has been stopped.
    #[error("the transport has stopped")]
    Stopped,
}
