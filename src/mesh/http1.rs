//! HTTP/1.1 client that runs one exchange at a time on a persistent connection.
//!
//! hyper's client takes the next bytes on a connection as the answer to the last request. A target
//! may send a second, late answer to an earlier request on a kept connection, recognizable only by
//! the id in it, so this client matches answers before accepting them. Offers of one attempt have
//! the same id, so each needs a connection of its own.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use http::Method;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::Instant;

use crate::framing::{Framing, FramingError, parse_decimal};

use super::chunk;
use super::memory::{MemoryBudget, Reservation, Stage};
use super::socket;

/// The status codes that HTTP defines, by their first digit.
const STATUS_RANGE: RangeInclusive<u16> = 100..=599;
/// Maximum number of headers in an answer.
const HEADERS_MAX: usize = 96;
/// Maximum size of an answer's head, in bytes.
const HEAD_MAX_BYTES: usize = 64 * 1024;
/// Maximum size of an answer's body, in bytes, unless another one is set: a node buffers whole answers.
const BODY_MAX_BYTES: usize = 32 * 1024 * 1024;
/// Maximum size of all that is read in an exchange beside one body of the maximum size, in bytes.
const OVERHEAD_MAX_BYTES: usize = 32 * 1024 * 1024;
/// Maximum number of interim answers before the final one.
const INTERIM_MAX: usize = 16;
/// Maximum length of the line with the size and the extensions of a chunk, in bytes.
const CHUNK_LINE_MAX_BYTES: usize = 4 * 1024;
/// Maximum number of chunks in a body.
const CHUNKS_MAX: usize = 256 * 1024;
/// Size of a read, in bytes.
const READ_BYTES: usize = 16 * 1024;
/// Number of bytes after which a reader lets other tasks run.
const YIELD_BYTES: usize = 32 * 1024;
/// Step by which the reservation for a body of unknown length grows, in bytes.
const RESERVATION_STEP_BYTES: usize = 64 * 1024;
/// How long before the announced keep-alive timeout a connection counts as closed.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Keep-alive timeout assumed if the peer announces none.
const KEEP_ALIVE_DEFAULT: Duration = Duration::from_secs(4);
/// Maximum keep-alive timeout. A peer may announce any number of seconds, and an `Instant` overflows
/// with the largest ones.
const KEEP_ALIVE_MAX: Duration = Duration::from_secs(3_600);
/// Number of attempts that a connection remembers. Late answers arrive in front of the next one.
const CARRIED_MAX: usize = 64;
/// Maximum number of unrelated answers skipped before the right one.
const SKIPPED_MAX: usize = 4;

/// Why an exchange failed.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No connection could be established.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// The connection broke before the complete answer was read.
    #[error("broken off: {0}")]
    Broken(io::Error),
    /// The bytes are not a valid HTTP/1.1 answer.
    #[error("invalid HTTP response: {0}")]
    Malformed(&'static str),
    /// The answer does not tell where its body ends.
    #[error("invalid HTTP response: {0}")]
    Framing(#[from] FramingError),
    /// The body of the answer is longer than allowed.
    #[error("body of the HTTP response too long")]
    BodyTooLong,
    /// The body of the answer does not fit into memory.
    #[error("no memory for the body of the HTTP response")]
    NoMemory,
}

impl ExchangeError {
    /// Whether the connection was refused, as no process listens at the address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect(cause) if cause.kind() == io::ErrorKind::ConnectionRefused)
    }
}

/// A connection that carries one exchange at a time.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    memory: MemoryBudget,
    body_max_bytes: usize,
    usable_until: Instant,
    /// Hashes of the ids of the attempts last sent on it, oldest first.
    carried: VecDeque<u64>,
}

/// A complete answer.
#[derive(Debug)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// The headers, in the order received.
    pub headers: Vec<(Bytes, Bytes)>,
    /// The whole body.
    pub body: Bytes,
    /// Whether the body ended with the connection, so that it may be cut short.
    pub ended_with_connection: bool,
    /// Whether the connection can carry another exchange.
    pub is_reusable: bool,
}

impl Reply {
    /// The value of a header, if it is valid UTF-8 and no other field of this name has another one.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut values = self.values(name);
        let value = values.next()?;
        let is_unique = values.all(|other| other == value);
        std::str::from_utf8(value).ok().filter(|_| is_unique)
    }

    /// The values of all fields with a name.
    pub fn values(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        let is_named = move |key: &[u8]| key.eq_ignore_ascii_case(name.as_bytes());
        self.headers.iter().filter(move |(key, _)| is_named(key)).map(|(_, value)| &value[..])
    }

    /// Whether the peer closes the connection after this answer.
    fn closes_connection(&self) -> bool {
        let mut options =
            self.values("connection").flat_map(|value| value.split(|byte| *byte == b','));
        options.any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close"))
    }
}

impl Connection {
    /// Connects to `address`. The bodies of answers are reserved in `memory`.
    pub async fn open(address: SocketAddr, memory: &MemoryBudget) -> Result<Self, ExchangeError> {
        let stream = socket::connect(address).await.map_err(ExchangeError::Connect)?;
        Ok(Self::new(stream, memory, BODY_MAX_BYTES))
    }

    /// A connection on a connected socket. The bodies of answers are reserved in `memory`, and each
    /// is at most `body_max_bytes` long.
    pub fn new(stream: TcpStream, memory: &MemoryBudget, body_max_bytes: usize) -> Self {
        let usable_until = Instant::now() + KEEP_ALIVE_DEFAULT;
        let (buffer, memory) = (BytesMut::new(), memory.clone());
        Self { stream, buffer, memory, body_max_bytes, usable_until, carried: VecDeque::new() }
    }

    /// Records that a request with this attempt id is sent on the connection.
    pub fn record_attempt(&mut self, attempt_id: &str) {
        if self.carried.len() >= CARRIED_MAX {
            self.carried.pop_front();
        }
        self.carried.push_back(hash(attempt_id));
    }

    /// Whether the connection has carried a request with this attempt id. It must not carry another
    /// one: a late copy of the answer to the first could not be told from the answer to the second.
    pub fn has_carried(&self, attempt_id: &str) -> bool {
        !self.carried.is_empty() && self.carried.contains(&hash(attempt_id))
    }

    /// Whether another request can be written: the peer has not closed the connection, has sent no
    /// unsolicited bytes, and is not about to close it.
    pub fn is_usable(&self) -> bool {
        if !self.buffer.is_empty() || Instant::now() >= self.usable_until {
            return false;
        }
        let mut probe = [0; 1];
        matches!(self.stream.try_read(&mut probe), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Writes a request and reads answers until `accepts` accepts one. `accepts` is called with the
    /// head of each answer, before its body is read.
    ///
    /// After an error, or if the future is dropped, the connection must not be used again.
    pub async fn exchange(
        &mut self,
        method: &Method,
        head: &[u8],
        body: &[u8],
        accepts: impl Fn(&Reply) -> bool,
    ) -> Result<Reply, ExchangeError> {
        let (mut reader, mut writer) = self.stream.split();
        let (report_written, written) = oneshot::channel();
        let write = async {
            let result = write_request(&mut writer, head, body).await;
            // The reader needs the result only for an answer that ends with the connection.
            let copy = result.as_ref().copied().map_err(io::Error::kind);
            report_written.send(copy).ok();
            result
        };
        let mut reader = AnswerReader {
            stream: &mut reader,
            buffer: &mut self.buffer,
            memory: &self.memory,
            body_max_bytes: self.body_max_bytes,
            written,
            read_bytes: 0,
            unyielded_bytes: 0,
        };
        let read = reader.read_answer(method, accepts);
        let reply = write_and_read(write, read).await?;
        self.usable_until = Instant::now() + keep_alive_time(&reply);
        Ok(reply)
    }
}

/// Whether a request states the length of its body: without one, the length may be left out for
/// methods that have no body.
pub fn states_length(method: &str, body: &[u8]) -> bool {
    !body.is_empty() || !matches!(method, "GET" | "HEAD" | "DELETE" | "OPTIONS")
}

fn hash(attempt_id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    attempt_id.hash(&mut hasher);
    hasher.finish()
}

/// Writes a request while its answer is read, which may arrive before the request is fully written.
///
/// A peer that answers early may stop reading, so an answer whose end is known counts even if
/// writing fails. The connection is reused only if the whole request was written, as the peer could
/// take the rest of it for another request.
pub async fn write_and_read(
    write: impl Future<Output = io::Result<()>>,
    read: impl Future<Output = Result<Reply, ExchangeError>>,
) -> Result<Reply, ExchangeError> {
    tokio::pin!(write);
    tokio::pin!(read);
    let mut written = None;
    let mut reply = loop {
        tokio::select! {
            biased;
            reply = &mut read => break reply?,
            result = &mut write, if written.is_none() => written = Some(result),
        }
    };
    reply.is_reusable &= matches!(written, Some(Ok(())));
    Ok(reply)
}

/// Writes a request.
async fn write_request(
    writer: &mut (impl AsyncWriteExt + Unpin),
    head: &[u8],
    body: &[u8],
) -> io::Result<()> {
    if body.len() <= READ_BYTES {
        let whole = [head, body].concat();
        return writer.write_all(&whole).await;
    }
    writer.write_all(head).await?;
    writer.write_all(body).await
}

/// How long a connection can be kept after an answer.
fn keep_alive_time(reply: &Reply) -> Duration {
    let Some(text) = reply.header("keep-alive") else { return KEEP_ALIVE_DEFAULT };
    let parameters = text.split(',');
    let timeout_s = parameters
        .filter_map(|parameter| parameter.trim().strip_prefix("timeout="))
        .find_map(|value| parse_decimal(value.trim().as_bytes()));
    timeout_s.map_or(KEEP_ALIVE_DEFAULT, |seconds| {
        Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN).min(KEEP_ALIVE_MAX)
    })
}

/// Reads the answers of one exchange. All that a peer may send is bounded in size and number, and
/// other tasks run while it is read.
struct AnswerReader<'a, R> {
    stream: &'a mut R,
    buffer: &'a mut BytesMut,
    memory: &'a MemoryBudget,
    body_max_bytes: usize,
    /// Receives the result of writing the request.
    written: oneshot::Receiver<Result<(), io::ErrorKind>>,
    /// Bytes read in this exchange.
    read_bytes: usize,
    /// Bytes read since other tasks could last run.
    unyielded_bytes: usize,
}

impl<R: AsyncReadExt + Unpin> AnswerReader<'_, R> {
    /// Reads answers until `accepts` accepts one.
    async fn read_answer(
        &mut self,
        method: &Method,
        accepts: impl Fn(&Reply) -> bool,
    ) -> Result<Reply, ExchangeError> {
        for _ in 0..=SKIPPED_MAX {
            let reply = self.read_final_head().await?;
            let framing = framing(&reply, method)?;
            let is_accepted = accepts(&reply);
            let reply = self.read_body(framing, reply).await?;
            if is_accepted {
                return Ok(reply);
            }
            if !reply.is_reusable {
                break;
            }
        }
        Err(ExchangeError::Malformed("only answers to other requests"))
    }

    /// Reads the head of an answer, skipping interim ones.
    async fn read_final_head(&mut self) -> Result<Reply, ExchangeError> {
        for _ in 0..=INTERIM_MAX {
            let reply = self.read_head().await?;
            match reply.status {
                // What follows is of another protocol. No request asks for one.
                101 => return Err(ExchangeError::Malformed("unsolicited switch of protocols")),
                100..200 => {}
                _ => return Ok(reply),
            }
        }
        Err(ExchangeError::Malformed("too many interim answers"))
    }

    async fn read_head(&mut self) -> Result<Reply, ExchangeError> {
        loop {
            if let Some(reply) = parse_head(self.buffer)? {
                return Ok(reply);
            }
            if self.buffer.len() > HEAD_MAX_BYTES {
                return Err(ExchangeError::Malformed("head too long"));
            }
            // A head that arrives in many small parts is not parsed again for each of them.
            let parse_at = self.buffer.len() + self.buffer.len() / 8;
            loop {
                let searched = self.buffer.len().saturating_sub(3);
                self.fill_buffer().await?;
                if self.buffer.len() >= parse_at || has_empty_line(&self.buffer[searched..]) {
                    break;
                }
            }
        }
    }

    /// Reads the body of the answer whose head is `reply`.
    async fn read_body(
        &mut self,
        framing: Framing,
        mut reply: Reply,
    ) -> Result<Reply, ExchangeError> {
        reply.ended_with_connection = framing == Framing::UntilClose;
        reply.is_reusable &= !reply.ended_with_connection;
        reply.body = match framing {
            Framing::Length(0) => Bytes::new(),
            Framing::Length(length) if length > self.body_max_bytes as u64 => {
                return Err(ExchangeError::BodyTooLong);
            }
            Framing::Length(length) => self.read_fixed(length as usize).await?,
            Framing::Chunked => self.read_chunks().await?,
            Framing::UntilClose => self.read_to_end().await?,
        };
        Ok(reply)
    }

    /// Reads a body of known length; waits until there is memory for it.
    async fn read_fixed(&mut self, length: usize) -> Result<Bytes, ExchangeError> {
        let reservation = self.memory.reserve(Stage::Answer, length).await;
        let reservation = reservation.ok_or(ExchangeError::NoMemory)?;
        let mut body = BytesMut::with_capacity(length);
        body.put((&mut *self.buffer).take(length));
        while body.len() < length {
            let missing = length - body.len();
            let read = self.stream.read_buf(&mut (&mut body).limit(missing)).await;
            self.record_read(read, false).await?;
        }
        Ok(reservation.attach(body))
    }

    async fn read_chunks(&mut self) -> Result<Bytes, ExchangeError> {
        let mut body = GrowingBody::new(self.memory)?;
        for _ in 0..CHUNKS_MAX {
            let size = self.read_chunk_size().await?;
            if size == 0 {
                return self.read_trailers().await.map(|()| body.finish());
            }
            if size > (self.body_max_bytes - body.bytes.len()) as u64 {
                return Err(ExchangeError::BodyTooLong);
            }
            let mut missing = size as usize;
            while missing > 0 {
                if self.buffer.is_empty() {
                    self.fill_buffer().await?;
                }
                let length = missing.min(self.buffer.len());
                body.reserve(length)?;
                body.bytes.extend_from_slice(&self.buffer[..length]);
                self.buffer.advance(length);
                missing -= length;
            }
            while self.buffer.len() < 2 {
                self.fill_buffer().await?;
            }
            if !self.buffer.starts_with(b"\r\n") {
                return Err(ExchangeError::Malformed("chunk without terminator"));
            }
            self.buffer.advance(2);
        }
        Err(ExchangeError::Malformed("too many chunks"))
    }

    /// Reads the line in front of a chunk and returns the size of the chunk.
    async fn read_chunk_size(&mut self) -> Result<u64, ExchangeError> {
        loop {
            let line = &self.buffer[..self.buffer.len().min(CHUNK_LINE_MAX_BYTES)];
            if let Some(end) = line.windows(2).position(|pair| pair == b"\r\n") {
                let size = chunk::parse_line(&line[..end]);
                self.buffer.advance(end + 2);
                return size.ok_or(ExchangeError::Malformed("invalid chunk size or extension"));
            }
            if line.len() == CHUNK_LINE_MAX_BYTES {
                return Err(ExchangeError::Malformed("chunk extension too long"));
            }
            self.fill_buffer().await?;
        }
    }

    /// Reads and discards the trailers of a chunked body.
    async fn read_trailers(&mut self) -> Result<(), ExchangeError> {
        let (mut count, mut length) = (0, 0);
        loop {
            while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let is_trailer = chunk::is_trailer(&self.buffer[..end]);
                self.buffer.advance(end + 2);
                if end == 0 {
                    return Ok(());
                }
                if !is_trailer {
                    return Err(ExchangeError::Malformed("invalid trailer"));
                }
                count += 1;
                length += end;
                if count > HEADERS_MAX || length > HEAD_MAX_BYTES {
                    return Err(ExchangeError::Malformed("too many trailers"));
                }
            }
            if self.buffer.len() > HEAD_MAX_BYTES {
                return Err(ExchangeError::Malformed("trailers too long"));
            }
            self.fill_buffer().await?;
        }
    }

    /// Reads a body that ends with the connection.
    async fn read_to_end(&mut self) -> Result<Bytes, ExchangeError> {
        let mut body = GrowingBody::new(self.memory)?;
        body.reserve(self.buffer.len())?;
        body.bytes.put(self.buffer.split());
        loop {
            if body.bytes.len() > self.body_max_bytes {
                return Err(ExchangeError::BodyTooLong);
            }
            body.reserve(READ_BYTES)?;
            body.bytes.reserve(READ_BYTES);
            let read = self.stream.read_buf(&mut (&mut body.bytes).limit(READ_BYTES)).await;
            if self.record_read(read, true).await? == 0 {
                self.expect_written().await?;
                return Ok(body.finish());
            }
        }
    }

    /// Waits until the request has been written. A socket reports a reset once; if the write gets it,
    /// the stream of the answer ends as if the peer had closed the connection.
    async fn expect_written(&mut self) -> Result<(), ExchangeError> {
        let written = (&mut self.written).await.unwrap_or(Err(io::ErrorKind::BrokenPipe));
        written.map_err(|kind| ExchangeError::Broken(kind.into()))
    }

    async fn fill_buffer(&mut self) -> Result<(), ExchangeError> {
        if self.buffer.capacity() - self.buffer.len() < READ_BYTES / 4 {
            self.buffer.reserve(READ_BYTES);
        }
        let read = self.stream.read_buf(self.buffer).await;
        self.record_read(read, false).await.map(|_| ())
    }

    /// Counts the bytes of a read, and lets other tasks run now and then. The end of the stream is
    /// an error unless the body may end there.
    async fn record_read(
        &mut self,
        read: io::Result<usize>,
        may_end: bool,
    ) -> Result<usize, ExchangeError> {
        let length = read.map_err(ExchangeError::Broken)?;
        if length == 0 && !may_end {
            return Err(ExchangeError::Broken(io::ErrorKind::UnexpectedEof.into()));
        }
        self.read_bytes += length;
        if self.read_bytes > self.body_max_bytes.saturating_add(OVERHEAD_MAX_BYTES) {
            return Err(ExchangeError::Malformed("too many bytes"));
        }
        self.unyielded_bytes += length;
        if self.unyielded_bytes > YIELD_BYTES {
            self.unyielded_bytes = 0;
            yield_now().await;
        }
        Ok(length)
    }
}

/// A body of unknown length, with the memory that it takes.
struct GrowingBody {
    bytes: BytesMut,
    reservation: Reservation,
    reserved_bytes: usize,
}

impl GrowingBody {
    fn new(memory: &MemoryBudget) -> Result<Self, ExchangeError> {
        let reservation = memory.try_reserve(Stage::Answer, 0).ok_or(ExchangeError::NoMemory)?;
        Ok(Self { bytes: BytesMut::new(), reservation, reserved_bytes: 0 })
    }

    /// Reserves memory for `length` more bytes. Doesn't wait: bodies that wait for each other's
    /// memory would never end.
    fn reserve(&mut self, length: usize) -> Result<(), ExchangeError> {
        let needed_bytes = self.bytes.len() + length;
        if needed_bytes <= self.reserved_bytes {
            return Ok(());
        }
        self.reserved_bytes = needed_bytes.next_multiple_of(RESERVATION_STEP_BYTES);
        if self.reservation.try_grow_to(self.reserved_bytes) {
            Ok(())
        } else {
            Err(ExchangeError::NoMemory)
        }
    }

    fn finish(self) -> Bytes {
        self.reservation.attach(self.bytes)
    }
}

fn has_empty_line(bytes: &[u8]) -> bool {
    bytes.windows(2).any(|pair| pair == b"\n\n") || bytes.windows(3).any(|part| part == b"\n\r\n")
}

/// Whether a line ends with a line feed alone. RFC 9112, section 2.2, allows to accept it, but a stray
/// one may end a head early, and the rest of the head would be the body.
fn has_single_line_feed(head: &[u8]) -> bool {
    head.windows(2).any(|pair| pair[1] == b'\n' && pair[0] != b'\r')
}

fn parse_head(buffer: &mut BytesMut) -> Result<Option<Reply>, ExchangeError> {
    // `httparse` skips empty lines, which HTTP allows in front of requests only.
    if matches!(buffer.first(), Some(b'\r' | b'\n')) {
        return Err(ExchangeError::Malformed("empty line before the status line"));
    }
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut head = httparse::Response::new(&mut headers);
    let parsed = head.parse(buffer).map_err(|_| ExchangeError::Malformed("invalid head"))?;
    let httparse::Status::Complete(length) = parsed else { return Ok(None) };
    if has_single_line_feed(&buffer[..length]) {
        return Err(ExchangeError::Malformed("line feed without a carriage return"));
    }
    // `httparse` accepts any three digits.
    let status = head.code.filter(|status| STATUS_RANGE.contains(status));
    let status = status.ok_or(ExchangeError::Malformed("invalid status code"))?;
    let is_http_11 = head.version == Some(1);
    // The head is copied once; names and values are slices of the copy.
    let bytes = Bytes::copy_from_slice(&buffer[..length]);
    let start = buffer.as_ptr() as usize;
    let view = |part: &[u8]| {
        let at = part.as_ptr() as usize - start;
        bytes.slice(at..at + part.len())
    };
    let mut copied = Vec::with_capacity(head.headers.len());
    for header in head.headers.iter() {
        let value = if header.value.is_empty() { Bytes::new() } else { view(header.value) };
        copied.push((view(header.name.as_bytes()), value));
    }
    buffer.advance(length);
    let mut reply = Reply {
        status,
        headers: copied,
        body: Bytes::new(),
        ended_with_connection: false,
        is_reusable: is_http_11,
    };
    if !is_http_11 && reply.values("transfer-encoding").next().is_some() {
        return Err(ExchangeError::Malformed("transfer coding in an answer of HTTP/1.0"));
    }
    reply.is_reusable &= !reply.closes_connection();
    Ok(Some(reply))
}

/// How the end of an answer's body is determined. The fields are checked even if the answer has no body.
fn framing(reply: &Reply, method: &Method) -> Result<Framing, ExchangeError> {
    let framing = Framing::of(reply.headers.iter().map(|(name, value)| (&name[..], &value[..])))?;
    let has_no_body = method == Method::HEAD || matches!(reply.status, 204 | 304);
    Ok(if has_no_body { Framing::Length(0) } else { framing })
}
