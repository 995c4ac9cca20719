//! Errors of the transport.

use std::net::SocketAddr;

use thiserror::Error;

use crate::call::codec::CodecError;

/// Why the transport did not start.
#[derive(Debug, Error)]
pub enum PeerError {
    /// An option is out of the range that is supported.
    #[error("{field} is {value}, it must be from {min} to {max}")]
    BadOption {
        /// The option.
        field: &'static str,
        /// Its value.
        value: u64,
        /// The minimum.
        min: u64,
        /// The maximum.
        max: u64,
    },
    /// nng refused to listen.
    #[error("cannot listen on {listen}: {cause}")]
    Listen {
        /// The address.
        listen: SocketAddr,
        /// The error of nng.
        cause: nng::Error,
    },
    /// The upkeep thread could not be started.
    #[error("cannot start the peer upkeep thread: {0}")]
    Thread(#[from] std::io::Error),
}

/// Why a message was not sent. No part of it was sent or will be.
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
        /// The maximum.
        max_bytes: usize,
    },
    /// The queue of the connection is full.
    #[error("the send queue of the connection is full")]
    RingFull,
    /// There is no connection to the peer, and the last attempt to connect failed.
    #[error("the peer cannot be reached")]
    Unreachable,
    /// The connection that the request arrived on has closed.
    #[error("the connection of the request has closed")]
    ConnectionClosed,
    /// The transport has been stopped.
    #[error("the transport has stopped")]
    Stopped,
}
