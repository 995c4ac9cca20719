//! What a frame between two nodes is wrapped in: nng's header, then one byte for its kind.

use nng::Message as Frame;
use thiserror::Error;

use crate::call::Message;
use crate::call::codec::{self, CodecError};

/// A message for the decision code, or a ping or pong.
const KIND_MESSAGE: u8 = 0;
/// A confirmation of replies.
const KIND_CONFIRM: u8 = 1;
/// The bit that marks the request number as the last word of nng's header.
const LAST_WORD: u32 = 0x8000_0000;
/// Bytes of a word of nng's header.
const WORD_BYTES: usize = 4;

/// Why a frame was not understood.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EnvelopeError {
    /// There is not even a kind, or it is unknown.
    #[error("the frame has no known kind")]
    UnknownKind,
    /// The header that nng hands over is shorter than it has to be.
    #[error("the header has {bytes} bytes")]
    ShortHeader {
        /// The length of the header.
        bytes: usize,
    },
    /// A confirmation is not one number.
    #[error("the confirmation has {bytes} bytes")]
    BadConfirmation {
        /// The length of the confirmation.
        bytes: usize,
    },
    /// The message in the frame is not understood.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// What a frame holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// A message.
    Message(Message),
    /// How many replies the sender of the frame has received on this connection.
    Confirm(u64),
}

/// Wraps an encoded message.
pub fn wrap_message(encoded: &[u8]) -> Frame {
    let mut frame = Frame::with_capacity(encoded.len() + 1);
    frame.push_back(&[KIND_MESSAGE]);
    frame.push_back(encoded);
    frame
}

/// Wraps a confirmation of `received` replies.
pub fn wrap_confirmation(received: u64) -> Frame {
    let mut frame = Frame::with_capacity(1 + size_of::<u64>());
    frame.push_back(&[KIND_CONFIRM]);
    frame.push_back(&received.to_be_bytes());
    frame
}

/// Reads what a frame holds.
pub fn unwrap(frame: &Frame, body_max_bytes: usize) -> Result<Content, EnvelopeError> {
    match frame.as_slice().split_first() {
        Some((&KIND_MESSAGE, payload)) => {
            let message = codec::decode(payload, body_max_bytes)?;
            Ok(Content::Message(message))
        }
        Some((&KIND_CONFIRM, payload)) => {
            let number = payload
                .try_into()
                .map_err(|_| EnvelopeError::BadConfirmation { bytes: payload.len() })?;
            Ok(Content::Confirm(u64::from_be_bytes(number)))
        }
        Some(_) | None => Err(EnvelopeError::UnknownKind),
    }
}

/// Gives a request its number; nng sends it back with the reply.
pub fn set_request_header(frame: &mut Frame, request: u32) {
    let word = request | LAST_WORD;
    frame.as_mut_header().push_back(&word.to_be_bytes());
}

/// Addresses a reply to the connection and the request it belongs to.
pub fn set_reply_header(frame: &mut Frame, pipe: u32, request: u32) {
    let header = frame.as_mut_header();
    header.push_back(&pipe.to_be_bytes());
    header.push_back(&request.to_be_bytes());
}

/// Reads the connection and the request from a received request.
pub fn read_request_header(frame: &Frame) -> Result<(u32, u32), EnvelopeError> {
    let header = frame.as_header().as_slice();
    let (Some(pipe), Some(request)) = (word_at(header, 0), word_at(header, 1)) else {
        return Err(EnvelopeError::ShortHeader { bytes: header.len() });
    };
    Ok((pipe, request))
}

/// The word number `index` of a header.
fn word_at(header: &[u8], index: usize) -> Option<u32> {
    let begin = index * WORD_BYTES;
    let bytes = header.get(begin..begin + WORD_BYTES)?;
    Some(u32::from_be_bytes(bytes.try_into().ok()?))
}
