//! Binary encoding of messages: one version byte, then the message in postcard format.

use postcard::Error as PostcardError;
use thiserror::Error;

use super::frame::Message;
use super::verdict::Verdict;

/// The format version that this build writes, and the only one it reads.
pub const VERSION: u8 = 1;

/// Why a message could not be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CodecError {
    /// The frame has no version byte.
    #[error("the frame is empty")]
    Empty,
    /// The frame has the format of another build.
    #[error("the frame has version {found}, this build reads version {VERSION}")]
    UnknownVersion {
        /// The version byte of the frame.
        found: u8,
    },
    /// The bytes after the version are not a valid message, or are truncated.
    #[error("the frame is not a valid message: {0}")]
    Malformed(PostcardError),
    /// The message is complete, but more bytes follow.
    #[error("{bytes} bytes follow the message")]
    TrailingBytes {
        /// The number of bytes after the message.
        bytes: usize,
    },
    /// The body of a request, an answer or a gossip message exceeds the limit.
    #[error("the body has {bytes} bytes, {max_bytes} are allowed")]
    BodyTooLong {
        /// The length of the body.
        bytes: usize,
        /// The limit.
        max_bytes: usize,
    },
}

/// Encodes `message`, whose body may have at most `body_max_bytes` bytes.
pub fn encode(message: &Message, body_max_bytes: usize) -> Result<Vec<u8>, CodecError> {
    check_body_length(message, body_max_bytes)?;
    let frame = vec![VERSION];
    postcard::to_extend(message, frame).map_err(CodecError::Malformed)
}

/// Decodes one complete frame, whose body may have at most `body_max_bytes` bytes.
pub fn decode(frame: &[u8], body_max_bytes: usize) -> Result<Message, CodecError> {
    let Some((&found, payload)) = frame.split_first() else {
        return Err(CodecError::Empty);
    };
    if found != VERSION {
        return Err(CodecError::UnknownVersion { found });
    }
    let (message, trailing) = postcard::take_from_bytes(payload).map_err(CodecError::Malformed)?;
    if !trailing.is_empty() {
        return Err(CodecError::TrailingBytes { bytes: trailing.len() });
    }
    check_body_length(&message, body_max_bytes)?;
    Ok(message)
}

/// Rejects a message whose body is too long.
fn check_body_length(message: &Message, max_bytes: usize) -> Result<(), CodecError> {
    let bytes = body_length(message);
    if bytes > max_bytes {
        return Err(CodecError::BodyTooLong { bytes, max_bytes });
    }
    Ok(())
}

/// The length of the part of a message whose size the sender chooses.
fn body_length(message: &Message) -> usize {
    match message {
        Message::Call(call) => call.request.body.len(),
        Message::Answer(answer) => match &answer.verdict {
            Verdict::Answered(http) => http.body.len(),
            Verdict::NotRun(_) | Verdict::MayHaveRun(_) => 0,
        },
        Message::Gossip(payload) | Message::Configuration(payload) => payload.len(),
        Message::Cancel(_)
        | Message::Fence { .. }
        | Message::AskRetry { .. }
        | Message::RetryGrant { .. }
        | Message::Ping { .. }
        | Message::Pong { .. } => 0,
    }
}
