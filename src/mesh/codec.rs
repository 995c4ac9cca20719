//! Encodes and decodes the frames on a link.
//!
//! A frame is a length prefix of four bytes, followed by postcard. In calls and answers, strings
//! that both ends already know are replaced by numbers (see `words`), which reduces a call to a
//! fifth of its plain size.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::frame::{Call, CallEnd, Frame, Header, Hello, Load, TargetAnswer};
use super::words::{DecoderTable, EncoderTable, Word};

/// Size of the length prefix.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Longest accepted frame: the longest body a caller may send, with its headers.
pub const FRAME_MAX_BYTES: usize = 80 * 1024 * 1024;
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
}

/// Name and value of a header, as encoded.
type PackedHeader<'a> = (Word<'a>, Word<'a>);

/// A frame, as encoded.
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
    body: &'a [u8],
}

#[derive(Serialize, Deserialize)]
struct PackedAnswer<'a> {
    id: u64,
    load: Load,
    status: u16,
    has_failed_below: bool,
    #[serde(borrow)]
    headers: Vec<PackedHeader<'a>>,
    body: &'a [u8],
}

/// Encodes the frames of one direction of a link.
#[derive(Debug, Default)]
pub struct Encoder {
    table: EncoderTable,
}

impl Encoder {
    /// Appends a frame to `out`.
    pub fn encode(&mut self, frame: &Frame, out: &mut BytesMut) {
        let start = out.len();
        out.put_u32(0);
        let written = match frame {
            Frame::Call(call) => write(&PackedFrame::Call(self.pack_call(call)), out),
            Frame::Answer { id, end: CallEnd::Answered(answer), load } => {
                write(&PackedFrame::Answer(self.pack_answer(*id, *load, answer)), out)
            }
            Frame::Hello(hello) => write(&(OTHER_VARIANT, frame, hello.features), out),
            // Writes the index of `Other` itself, so that the frame need not be cloned.
            frame => write(&(OTHER_VARIANT, frame), out),
        };
        debug_assert!(written.is_ok(), "writing to memory cannot fail");
        let length = (out.len() - start - LENGTH_PREFIX_BYTES) as u32;
        out[start..start + LENGTH_PREFIX_BYTES].copy_from_slice(&length.to_be_bytes());
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
            body: &call.body,
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
            body: &answer.body,
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
#[derive(Debug, Default)]
pub struct Decoder {
    table: DecoderTable,
}

impl Decoder {
    /// Removes the first complete frame from `buffer` and returns it, if there is one.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        if buffer.len() < LENGTH_PREFIX_BYTES {
            return Ok(None);
        }
        let length = u32::from_be_bytes([buffer[0], buffer[1], buffer[2], buffer[3]]) as usize;
        if length > FRAME_MAX_BYTES {
            return Err(FrameError::TooLong(length));
        }
        if buffer.len() < LENGTH_PREFIX_BYTES + length {
            buffer.reserve(LENGTH_PREFIX_BYTES + length - buffer.len());
            return Ok(None);
        }
        let (packed, rest) =
            postcard::take_from_bytes(&buffer[LENGTH_PREFIX_BYTES..LENGTH_PREFIX_BYTES + length])?;
        let frame = match packed {
            PackedFrame::Call(call) => Frame::Call(self.unpack_call(&call)?),
            PackedFrame::Answer(answer) => self.unpack_answer(&answer)?,
            PackedFrame::Other(Frame::Hello(hello)) => {
                Frame::Hello(Hello { features: postcard::from_bytes(rest).unwrap_or(0), ..hello })
            }
            PackedFrame::Other(frame) => frame,
        };
        buffer.advance(LENGTH_PREFIX_BYTES + length);
        Ok(Some(frame))
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
            body: Bytes::copy_from_slice(packed.body),
        })
    }

    fn unpack_answer(&mut self, packed: &PackedAnswer<'_>) -> Result<Frame, FrameError> {
        let answer = TargetAnswer {
            status: packed.status,
            has_failed_below: packed.has_failed_below,
            headers: self.unpack_headers(&packed.headers)?,
            body: Bytes::copy_from_slice(packed.body),
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
