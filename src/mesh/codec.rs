//! Encodes and decodes the frames on a link.
//!
//! A frame is a length prefix of four bytes, followed by postcard. In calls and answers, strings
//! that both ends already know are replaced by numbers (see `words`), which reduces a call to a
//! fifth of its plain size.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::frame::{Call, CallEnd, Frame, Header, Hello, Load, TargetAnswer};
use super::memory::{MemoryBudget, Reservation, Stage};
use super::words::{DecoderTable, EncoderTable, Word};

/// Size of the length prefix.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Longest accepted frame: the longest body a caller may send, with its headers.
pub const FRAME_MAX_BYTES: usize = 80 * 1024 * 1024;
/// Length from which a body is sent without a copy, and from which the rest of a frame is read
/// straight into its body, in bytes.
const LARGE_MIN_BYTES: usize = 64 * 1024;
/// Longest accepted head of a large call or answer, in bytes: all fields but the body.
const HEAD_MAX_BYTES: usize = 512 * 1024;
/// Name under which directory parts of paths are encoded; no header has this name.
const FOLDER_NAME: &[u8] = b"/";
/// Name under which teams are encoded; no header has this name.
const TEAM_NAME: &[u8] = b"@";

/// Why a frame could not be decoded.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The frame, or a word for the table, exceeds the size limit.
    #[error("frame or word too long: {0} bytes")]
    TooLong(usize),
    /// The frame is not valid postcard.
    #[error("malformed frame")]
    Malformed(#[from] postcard::Error),
    /// The table contains no word with this number.
    #[error("unknown word number {0}")]
    UnknownWord(u8),
    /// A name is not valid UTF-8.
    #[error("name is not valid UTF-8")]
    NotText,
    /// The length of a body and that of its frame differ.
    #[error("body of {body} bytes in a frame with {left} bytes left")]
    BodyLength {
        /// The length of the body.
        body: usize,
        /// The rest of the frame.
        left: usize,
    },
}

/// A frame that has been received.
#[derive(Debug, PartialEq)]
#[expect(clippy::large_enum_variant, reason = "nearly all are frames")]
pub enum Received {
    /// A complete frame.
    Frame(Frame),
    /// A call whose body was discarded, as it did not fit into memory.
    UnreadCall {
        /// Id of the call.
        id: u64,
    },
    /// An answer whose body was discarded, as it did not fit into memory.
    UnreadAnswer {
        /// Id of the call.
        id: u64,
        /// Load of the target.
        load: Load,
    },
}

/// Name and value of a header, as encoded.
type PackedHeader<'a> = (Word<'a>, Word<'a>);

/// A frame, as encoded; a call or an answer is followed by its body.
#[derive(Serialize, Deserialize)]
enum PackedFrame<'a> {
    #[serde(borrow)]
    Call(PackedCall<'a>),
    Answer(PackedAnswer<'a>),
    Other(Frame),
}

#[derive(Serialize, Deserialize)]
struct PackedCall<'a> {
    id: u64,
    remaining_ms: u32,
    rank: u8,
    is_repeat: bool,
    attempt_id: &'a str,
    #[serde(borrow)]
    service: Word<'a>,
    root: Word<'a>,
    team: Word<'a>,
    method: Word<'a>,
    /// The path up to and including its last slash.
    folder: Word<'a>,
    /// The rest of the path, with the query.
    rest: &'a str,
    headers: Vec<PackedHeader<'a>>,
}

#[derive(Serialize, Deserialize)]
struct PackedAnswer<'a> {
    id: u64,
    load: Load,
    status: u16,
    has_failed_below: bool,
    #[serde(borrow)]
    headers: Vec<PackedHeader<'a>>,
}

/// Encodes the frames of one direction of a link.
#[derive(Debug, Default)]
pub struct Encoder {
    table: EncoderTable,
}

impl Encoder {
    /// Appends a frame to `out`. A large body is not copied but returned; it has to be sent right
    /// after `out`.
    #[must_use]
    pub fn encode(&mut self, frame: &Frame, out: &mut BytesMut) -> Option<Bytes> {
        let start = out.len();
        out.put_u32(0);
        let (written, body) = match frame {
            Frame::Call(call) => {
                (write(&PackedFrame::Call(self.pack_call(call)), out), Some(&call.body))
            }
            Frame::Answer { id, end: CallEnd::Answered(answer), load } => {
                let packed = self.pack_answer(*id, *load, answer);
                (write(&PackedFrame::Answer(packed), out), Some(&answer.body))
            }
            Frame::Hello(hello) => (write(&(OTHER_VARIANT, frame, hello.features), out), None),
            // Writes the index of `Other` itself, so that the frame need not be cloned.
            frame => (write(&(OTHER_VARIANT, frame), out), None),
        };
        debug_assert!(written.is_ok(), "writing to memory cannot fail");
        let mut large_body = None;
        if let Some(body) = body {
            let written = write(&body.len(), out);
            debug_assert!(written.is_ok(), "writing to memory cannot fail");
            if body.len() >= LARGE_MIN_BYTES {
                large_body = Some(body.clone());
            } else {
                out.put_slice(body);
            }
        }
        let length = out.len() - start - LENGTH_PREFIX_BYTES
            + large_body.as_ref().map_or(0, |body: &Bytes| body.len());
        out[start..start + LENGTH_PREFIX_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
        large_body
    }

    fn pack_call<'a>(&mut self, call: &'a Call) -> PackedCall<'a> {
        let (folder, rest) = call.path.split_at(call.path.rfind('/').map_or(0, |slash| slash + 1));
        PackedCall {
            id: call.id,
            remaining_ms: call.remaining_ms,
            rank: call.rank,
            is_repeat: call.is_repeat,
            attempt_id: &call.attempt_id,
            service: self.table.encode(call.service.as_bytes()),
            root: self.table.encode(call.root.as_bytes()),
            team: self.table.encode_value(TEAM_NAME, call.team.as_bytes()),
            method: self.table.encode(call.method.as_bytes()),
            folder: self.table.encode_value(FOLDER_NAME, folder.as_bytes()),
            rest,
            headers: self.pack_headers(&call.headers),
        }
    }

    fn pack_answer<'a>(
        &mut self,
        id: u64,
        load: Load,
        answer: &'a TargetAnswer,
    ) -> PackedAnswer<'a> {
        PackedAnswer {
            id,
            load,
            status: answer.status,
            has_failed_below: answer.has_failed_below,
            headers: self.pack_headers(&answer.headers),
        }
    }

    fn pack_headers<'a>(&mut self, headers: &'a [Header]) -> Vec<PackedHeader<'a>> {
        let mut packed = Vec::with_capacity(headers.len());
        for header in headers {
            let name = self.table.encode(&header.name);
            packed.push((name, self.table.encode_value(&header.name, &header.value)));
        }
        packed
    }
}

/// Index of `PackedFrame::Other`.
const OTHER_VARIANT: u8 = 2;

fn write(value: &impl Serialize, out: &mut BytesMut) -> Result<(), postcard::Error> {
    postcard::to_io(value, out.writer()).map(|_| ())
}

/// Decodes the frames of one direction of a link.
#[derive(Debug)]
pub struct Decoder {
    table: DecoderTable,
    memory: MemoryBudget,
    /// The call or answer whose body is being received.
    unfinished: Option<UnfinishedFrame>,
}

/// A call or an answer without its body, and the part of the body received so far.
#[derive(Debug)]
struct UnfinishedFrame {
    frame: Frame,
    /// The body; `None` if it does not fit into memory and is discarded.
    body: Option<(BytesMut, Reservation)>,
    /// Bytes of the body that are still to be received.
    missing: usize,
}

impl Decoder {
    /// A decoder that reserves the bodies of calls and answers in `memory`.
    pub fn new(memory: MemoryBudget) -> Self {
        Self { table: DecoderTable::default(), memory, unfinished: None }
    }

    /// Removes the first complete frame from `buffer` and returns it, if there is one. A part of a
    /// large frame is removed as well.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Received>, FrameError> {
        if self.unfinished.is_some() {
            return Ok(self.take_body(buffer));
        }
        if buffer.len() < LENGTH_PREFIX_BYTES {
            return Ok(None);
        }
        let length = u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]) as usize;
        if length > FRAME_MAX_BYTES {
            return Err(FrameError::TooLong(length));
        }
        let end = LENGTH_PREFIX_BYTES + length;
        let is_other = buffer.get(LENGTH_PREFIX_BYTES) == Some(&OTHER_VARIANT);
        if buffer.len() < end && (is_other || length < LARGE_MIN_BYTES) {
            buffer.reserve(end - buffer.len());
            return Ok(None);
        }
        let available = &buffer[LENGTH_PREFIX_BYTES..end.min(buffer.len())];
        let taken = postcard::take_from_bytes(available).and_then(|(packed, rest)| match packed {
            PackedFrame::Other(_) => Ok((packed, 0, rest)),
            PackedFrame::Call(_) | PackedFrame::Answer(_) => {
                postcard::take_from_bytes(rest).map(|(body, rest)| (packed, body, rest))
            }
        });
        let (packed, body_length, rest) = match taken {
            Err(postcard::Error::DeserializeUnexpectedEnd) if buffer.len() < end => {
                let is_too_long = buffer.len() > HEAD_MAX_BYTES;
                return if is_too_long { Err(FrameError::TooLong(length)) } else { Ok(None) };
            }
            taken => taken?,
        };
        let head_length = available.len() - rest.len();
        let (frame, stage) = match packed {
            PackedFrame::Call(call) => (Frame::Call(self.unpack_call(&call)?), Stage::Call),
            PackedFrame::Answer(answer) => (self.unpack_answer(&answer)?, Stage::Answer),
            PackedFrame::Other(frame) => {
                let frame = match frame {
                    Frame::Hello(hello) => {
                        let features = postcard::from_bytes(rest).unwrap_or(0);
                        Frame::Hello(Hello { features, ..hello })
                    }
                    frame => frame,
                };
                buffer.advance(end);
                return Ok(Some(Received::Frame(frame)));
            }
        };
        if head_length + body_length != length {
            let left = length - head_length;
            return Err(FrameError::BodyLength { body: body_length, left });
        }
        buffer.advance(LENGTH_PREFIX_BYTES + head_length);
        let reservation = self.memory.try_reserve(stage, body_length);
        let body = reservation.map(|reserved| (BytesMut::with_capacity(body_length), reserved));
        self.unfinished = Some(UnfinishedFrame { frame, body, missing: body_length });
        Ok(self.take_body(buffer))
    }

    /// Moves bytes of the current body out of `buffer`. Returns the frame once it is complete.
    fn take_body(&mut self, buffer: &mut BytesMut) -> Option<Received> {
        let mut unfinished = self.unfinished.take()?;
        let length = unfinished.missing.min(buffer.len());
        if let Some((body, _)) = &mut unfinished.body {
            body.extend_from_slice(&buffer[..length]);
        }
        buffer.advance(length);
        unfinished.missing -= length;
        if unfinished.missing > 0 {
            self.unfinished = Some(unfinished);
            return None;
        }
        let body = unfinished.body.map(|(body, reservation)| reservation.attach(body));
        Some(match (unfinished.frame, body) {
            (Frame::Call(call), Some(body)) => Received::Frame(Frame::Call(Call { body, ..call })),
            (Frame::Call(call), None) => Received::UnreadCall { id: call.id },
            (Frame::Answer { id, end: CallEnd::Answered(answer), load }, Some(body)) => {
                let end = CallEnd::Answered(TargetAnswer { body, ..answer });
                Received::Frame(Frame::Answer { id, end, load })
            }
            (Frame::Answer { id, load, .. }, None) => Received::UnreadAnswer { id, load },
            (frame, _) => Received::Frame(frame),
        })
    }

    /// Words must be resolved in the order in which the encoder packed them.
    fn unpack_call(&mut self, packed: &PackedCall<'_>) -> Result<Call, FrameError> {
        let service = self.table.decode_text(&packed.service)?;
        let root = self.table.decode_text(&packed.root)?;
        let team = self.table.decode_text(&packed.team)?;
        let method = self.table.decode_text(&packed.method)?;
        let path = self.table.decode_text(&packed.folder)? + packed.rest;
        Ok(Call {
            id: packed.id,
            service,
            attempt_id: packed.attempt_id.to_owned(),
            remaining_ms: packed.remaining_ms,
            root,
            rank: packed.rank,
            is_repeat: packed.is_repeat,
            team,
            method,
            path,
            headers: self.unpack_headers(&packed.headers)?,
            body: Bytes::new(),
        })
    }

    fn unpack_answer(&mut self, packed: &PackedAnswer<'_>) -> Result<Frame, FrameError> {
        let answer = TargetAnswer {
            status: packed.status,
            has_failed_below: packed.has_failed_below,
            headers: self.unpack_headers(&packed.headers)?,
            body: Bytes::new(),
        };
        Ok(Frame::Answer { id: packed.id, end: CallEnd::Answered(answer), load: packed.load })
    }

    fn unpack_headers(&mut self, packed: &[PackedHeader<'_>]) -> Result<Vec<Header>, FrameError> {
        let mut headers = Vec::with_capacity(packed.len());
        for (name, value) in packed {
            let name = self.table.decode(name)?;
            headers.push(Header { name, value: self.table.decode(value)? });
        }
        Ok(headers)
    }
}
