//! Envelope of a frame between two nodes: nng's header, then one byte for the kind of content.

use nng::Message as Frame;
use thiserror::Error;

use crate::call::Message;
use crate::call::codec::{self, CodecError};

/// A message, including pings and pongs.
const KIND_MESSAGE: u8 = 0;
/// An acknowledgement of replies.
const KIND_ACKNOWLEDGE: u8 = 1;
/// Marks the request number, which is the last word of nng's header.
const REQUEST_WORD_BIT: u32 = 0x8000_0000;
/// Bytes per word of nng's header.
const WORD_BYTES: usize = 4;

/// Why a frame could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EnvelopeError {
    /// The kind is missing or unknown.
    #[error("the frame has no known kind")]
    UnknownKind,
    /// The header passed by nng is too short.
    #[error("the header has {bytes} bytes")]
    ShortHeader {
        /// The length of the header.
        bytes: usize,
    },
    /// An acknowledgement is not exactly one number.
    #[error("the acknowledgement has {bytes} bytes")]
    BadAcknowledgement {
        /// The length of the acknowledgement.
        bytes: usize,
    },
    /// The message in the frame could not be decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// The content of a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// A message.
    Message(Message),
    /// How many replies the sender of the frame has received on this connection.
    Acknowledge(u64),
}

/// Wraps an encoded message in a frame.
pub fn wrap_message(encoded: &[u8]) -> Frame {
    let mut frame = Frame::with_capacity(encoded.len() + 1);
    frame.push_back(&[KIND_MESSAGE]);
    frame.push_back(encoded);
    frame
}

/// Builds a frame that acknowledges `received` replies in total.
pub fn wrap_acknowledgement(received: u64) -> Frame {
    let mut frame = Frame::with_capacity(1 + size_of::<u64>());
    frame.push_back(&[KIND_ACKNOWLEDGE]);
    frame.push_back(&received.to_be_bytes());
    frame
}

/// Decodes the content of a frame.
pub fn unwrap(frame: &Frame, body_max_bytes: usize) -> Result<Content, EnvelopeError> {
    match frame.as_slice().split_first() {
        Some((&KIND_MESSAGE, payload)) => {
            let message = codec::decode(payload, body_max_bytes)?;
            Ok(Content::Message(message))
        }
        Some((&KIND_ACKNOWLEDGE, payload)) => {
            let number = payload
                .try_into()
                .map_err(|_| EnvelopeError::BadAcknowledgement { bytes: payload.len() })?;
            Ok(Content::Acknowledge(u64::from_be_bytes(number)))
        }
        Some(_) | None => Err(EnvelopeError::UnknownKind),
    }
}

/// Sets the request number; nng returns it with the reply.
pub fn set_request_header(frame: &mut Frame, request: u32) {
    let word = request | REQUEST_WORD_BIT;
    frame.as_mut_header().push_back(&word.to_be_bytes());
}

/// Sets the connection and the request that a reply belongs to.
pub fn set_reply_header(frame: &mut Frame, pipe: u32, request: u32) {
    let header = frame.as_mut_header();
    header.push_back(&pipe.to_be_bytes());
    header.push_back(&request.to_be_bytes());
}

/// Reads the connection and the request number of a received request.
pub fn read_request_header(frame: &Frame) -> Result<(u32, u32), EnvelopeError> {
    let header = frame.as_header().as_slice();
    let (Some(pipe), Some(request)) = (header_word(header, 0), header_word(header, 1)) else {
        return Err(EnvelopeError::ShortHeader { bytes: header.len() });
    };
    Ok((pipe, request))
}

/// Word `index` of a header.
fn header_word(header: &[u8], index: usize) -> Option<u32> {
    let start = index * WORD_BYTES;
    let bytes = header.get(start..start + WORD_BYTES)?;
    Some(u32::from_be_bytes(bytes.try_into().ok()?))
}
