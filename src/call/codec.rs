//! The bytes of a message: one version byte, then the message in postcard's format.

use postcard::Error as PostcardError;
use thiserror::Error;

use super::frame::Message;
use super::verdict::Verdict;

/// The version that this build writes, and the only one it reads.
pub const VERSION: u8 = 1;

/// Why a message could not be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CodecError {
    /// There is not even a version byte.
    #[error("the frame is empty")]
    Empty,
    /// The frame comes from a build with another format.
    #[error("the frame has version {found}, this build reads version {VERSION}")]
    UnknownVersion {
        /// The version byte of the frame.
        found: u8,
    },
    /// The bytes after the version are no message, or end too early.
    #[error("the frame is no message: {0}")]
    Malformed(PostcardError),
    /// A whole message is followed by bytes that belong to nothing.
    #[error("{bytes} bytes follow the message")]
    TrailingBytes {
        /// How many bytes are left over.
        bytes: usize,
    },
    /// The body of a request, an answer or a gossip message is longer than is allowed.
    #[error("the body has {bytes} bytes, {max_bytes} are allowed")]
    BodyTooLong {
        /// The length of the body.
        bytes: usize,
        /// The longest body allowed.
        max_bytes: usize,
    },
}

/// Encodes `message`, whose body may have up to `body_max_bytes` bytes.
pub fn encode(message: &Message, body_max_bytes: usize) -> Result<Vec<u8>, CodecError> {
    check_body(message, body_max_bytes)?;
    let frame = vec![VERSION];
    postcard::to_extend(message, frame).map_err(CodecError::Malformed)
}

/// Decodes one whole frame, whose body may have up to `body_max_bytes` bytes.
pub fn decode(frame: &[u8], body_max_bytes: usize) -> Result<Message, CodecError> {
    let Some((&found, payload)) = frame.split_first() else {
        return Err(CodecError::Empty);
    };
    if found != VERSION {
        return Err(CodecError::UnknownVersion { found });
    }
    let (message, rest) = postcard::take_from_bytes(payload).map_err(CodecError::Malformed)?;
    if !rest.is_empty() {
        return Err(CodecError::TrailingBytes { bytes: rest.len() });
    }
    check_body(&message, body_max_bytes)?;
    Ok(message)
}

/// Refuses a message whose body is too long.
fn check_body(message: &Message, max_bytes: usize) -> Result<(), CodecError> {
    let bytes = body_bytes(message);
    if bytes > max_bytes {
        return Err(CodecError::BodyTooLong { bytes, max_bytes });
    }
    Ok(())
}

/// The length of the part of a message that others choose.
fn body_bytes(message: &Message) -> usize {
    match message {
        Message::Call(call) => call.request.body.len(),
        Message::Answer(answer) => match &answer.verdict {
            Verdict::Answered(http) => http.body.len(),
            Verdict::NotRun(_) | Verdict::MayHaveRun(_) => 0,
        },
        Message::Gossip(payload)
        | Message::Configuration(payload)
        | Message::Handover { ledger: payload, .. } => payload.len(),
        Message::Cancel(_)
        | Message::Fence { .. }
        | Message::AskRetry { .. }
        | Message::RetryGrant { .. }
        | Message::HandoverTaken { .. }
        | Message::Ping { .. }
        | Message::Pong { .. } => 0,
    }
}
