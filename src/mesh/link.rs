//! A connection to another node, which carries frames in both directions and tracks pending calls.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use super::caller_end::EndTimes;
use super::codec::{Decoder, Encoder, Received};
use super::condition;
use super::frame::{
    Call, CallEnd, Condition, Doubt, FEATURE_CALLER_END, FEATURE_CONDITION, Frame, NotRun,
    ServiceCalls,
};
use super::memory::MemoryBudget;

/// Size of a read on a busy link, in bytes.
const READ_BYTES: usize = 64 * 1024;
/// Size of a read on any other link, in bytes: a node has hundreds of links, most of them idle.
const READ_IDLE_BYTES: usize = 4 * 1024;
/// Size of the write queue above which calls are refused, in bytes.
const WRITE_QUEUE_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Capacity above which an empty buffer is freed, in bytes.
const KEPT_BUFFER_BYTES: usize = 32 * 1024;

/// A connection to another node.
#[derive(Debug)]
pub struct Link {
    encoder: RefCell<Encoder>,
    write_queue: RefCell<WriteQueue>,
    has_frames: Notify,
    pending: RefCell<HashMap<u64, oneshot::Sender<CallEnd>>>,
    /// The calls made for pending calls whose answers are about to arrive.
    tree_calls: RefCell<HashMap<u64, Vec<ServiceCalls>>>,
    /// The optional frames that the other node reads.
    peer_features: Cell<u32>,
    /// The condition last sent.
    sent_condition: Cell<(Condition, Instant)>,
    next_id: Cell<u64>,
    last_received: Cell<Instant>,
    has_received: Cell<bool>,
    /// When the oldest unanswered ping was sent.
    oldest_ping: Cell<Option<Instant>>,
    is_open: Cell<bool>,
    closed: Notify,
}

/// The bytes to be written.
#[derive(Debug, Default)]
struct WriteQueue {
    /// Written first: frames and large bodies, which are not copied.
    parts: VecDeque<Bytes>,
    /// Total size of `parts`, in bytes.
    parts_bytes: usize,
    /// Written after `parts`: the frames queued last.
    frames: BytesMut,
}

impl WriteQueue {
    /// Number of queued bytes.
    fn len(&self) -> usize {
        self.parts_bytes + self.frames.len()
    }

    /// Appends a body behind the queued frames.
    fn push_body(&mut self, body: Bytes) {
        let frames = self.frames.split().freeze();
        for part in [frames, body] {
            self.parts_bytes += part.len();
            self.parts.push_back(part);
        }
    }

    /// Removes the next part in front of the queued frames.
    fn pop_part(&mut self) -> Option<Bytes> {
        let part = self.parts.pop_front()?;
        self.parts_bytes -= part.len();
        Some(part)
    }
}

/// A call that waits for its answer. Dropping it cancels the call at the other node.
pub struct PendingCall {
    link: Rc<Link>,
    id: u64,
    end: oneshot::Receiver<CallEnd>,
    is_done: bool,
}

impl PendingCall {
    /// The calls that were made for this call, once it has ended.
    pub fn take_tree_calls(&self) -> Vec<ServiceCalls> {
        self.link.tree_calls.borrow_mut().remove(&self.id).unwrap_or_default()
    }

    /// Waits for the result of the call.
    pub async fn end(&mut self) -> CallEnd {
        let end = (&mut self.end).await;
        self.is_done = true;
        end.unwrap_or(CallEnd::MayHaveRun(Doubt::LinkLost))
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        self.link.tree_calls.borrow_mut().remove(&self.id);
        if self.is_done {
            return;
        }
        if self.link.pending.borrow_mut().remove(&self.id).is_some() {
            self.link.send(&Frame::Cancel { id: self.id });
        }
    }
}

impl Link {
    /// Starts a link over `stream` and returns it with the read half. A task of its own serves the
    /// write half until the link closes.
    pub fn start(stream: TcpStream) -> (Rc<Self>, OwnedReadHalf) {
        let (reader, writer) = stream.into_split();
        let link = Rc::new(Self {
            encoder: RefCell::default(),
            write_queue: RefCell::default(),
            has_frames: Notify::new(),
            pending: RefCell::default(),
            tree_calls: RefCell::default(),
            peer_features: Cell::default(),
            sent_condition: Cell::new((Condition::default(), Instant::now())),
            next_id: Cell::new(1),
            last_received: Cell::new(Instant::now()),
            has_received: Cell::default(),
            oldest_ping: Cell::default(),
            is_open: Cell::new(true),
            closed: Notify::new(),
        });
        tokio::task::spawn_local(Rc::clone(&link).write_all(writer));
        (link, reader)
    }

    /// Whether frames can still be sent.
    pub fn is_open(&self) -> bool {
        self.is_open.get()
    }

    /// When bytes were last received.
    pub fn last_received(&self) -> Instant {
        self.last_received.get()
    }

    /// Whether the other node has yet to send its first frame or the answer to a call.
    pub fn is_awaiting_frames(&self) -> bool {
        !self.has_received.get() || !self.pending.borrow().is_empty()
    }

    /// Sends a ping.
    pub fn ping(&self) {
        self.oldest_ping.set(Some(self.oldest_ping.get().unwrap_or_else(Instant::now)));
        self.send(&Frame::Ping);
    }

    /// How long the oldest ping has been unanswered.
    pub fn ping_age(&self) -> Duration {
        self.oldest_ping.get().map_or(Duration::ZERO, |oldest_ping| oldest_ping.elapsed())
    }

    /// Queues a frame.
    pub fn send(&self, frame: &Frame) {
        if !self.is_open.get() {
            return;
        }
        let mut queue = self.write_queue.borrow_mut();
        let body = self.encoder.borrow_mut().encode(frame, &mut queue.frames);
        if let Some(body) = body {
            queue.push_body(body);
        }
        self.has_frames.notify_one();
    }

    /// Sends a call and assigns its id.
    pub fn call(self: &Rc<Self>, mut call: Call) -> Result<PendingCall, NotRun> {
        if !self.is_open.get() || self.write_queue.borrow().len() > WRITE_QUEUE_MAX_BYTES {
            return Err(NotRun::Unsent);
        }
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        call.id = id;
        let (ended, end) = oneshot::channel();
        self.pending.borrow_mut().insert(id, ended);
        self.send(&Frame::Call(call));
        Ok(PendingCall { link: Rc::clone(self), id, end, is_done: false })
    }

    /// Records the optional frames that the other node reads.
    pub fn set_peer_features(&self, features: u32) {
        self.peer_features.set(features);
    }

    /// Whether the other node reads conditions and the reports that depend on them.
    pub fn peer_reads_conditions(&self) -> bool {
        self.peer_features.get() & FEATURE_CONDITION != 0
    }

    /// Announces the end of this process, if the other node reads that.
    pub fn announce_end(&self, times: EndTimes) {
        if self.peer_features.get() & FEATURE_CALLER_END == 0 {
            return;
        }
        let now = Instant::now();
        let left_ms = |until: Instant| until.saturating_duration_since(now).as_millis() as u32;
        let EndTimes { begin_by, ends_at } = times;
        self.send(&Frame::CallerEnd { begin_ms: left_ms(begin_by), ends_ms: left_ms(ends_at) });
    }

    /// Sends the condition of the local target if the other node reads it and it has changed.
    /// Returns whether it was sent.
    pub fn send_condition(&self, condition: Option<Condition>) -> bool {
        let Some(condition) = condition.filter(|_| self.peer_reads_conditions()) else {
            return false;
        };
        let (sent, sent_at) = self.sent_condition.get();
        let is_due = condition::is_due(sent, sent_at.elapsed(), condition);
        if is_due {
            self.sent_condition.set((condition, Instant::now()));
            self.send(&Frame::Condition(condition));
        }
        is_due
    }

    /// Sends the calls made for the call `id`, if there are any and the other node reads them.
    pub fn send_tree_calls(&self, id: u64, calls: Vec<ServiceCalls>) {
        if !calls.is_empty() && self.peer_reads_conditions() {
            self.send(&Frame::TreeCalls { id, calls });
        }
    }

    /// Keeps the calls made for a pending call until its answer arrives.
    pub fn keep_tree_calls(&self, id: u64, calls: Vec<ServiceCalls>) {
        if self.pending.borrow().contains_key(&id) {
            self.tree_calls.borrow_mut().insert(id, calls);
        }
    }

    /// Completes a pending call; does nothing if it was cancelled.
    pub fn end_call(&self, id: u64, end: CallEnd) {
        if let Some(pending) = self.pending.borrow_mut().remove(&id) {
            drop(pending.send(end));
        }
    }

    /// Closes the link. Pending calls may have run.
    pub fn close(&self) {
        if !self.is_open.replace(false) {
            return;
        }
        self.pending.borrow_mut().clear();
        self.closed.notify_waiters();
        self.has_frames.notify_one();
    }

    /// Reads frames and passes them to `take` until the link closes; returns the cause.
    pub async fn read_all(
        &self,
        mut reader: OwnedReadHalf,
        memory: &MemoryBudget,
        mut take: impl FnMut(Received),
    ) -> io::Error {
        let mut buffer = BytesMut::new();
        let mut is_busy = false;
        let mut decoder = Decoder::new(memory.clone());
        let error = loop {
            match decoder.decode(&mut buffer) {
                Ok(Some(received)) => {
                    take(received);
                    continue;
                }
                Ok(None) => {}
                Err(error) => break io::Error::new(io::ErrorKind::InvalidData, error),
            }
            if buffer.is_empty() && buffer.capacity() > KEPT_BUFFER_BYTES && !is_busy {
                buffer = BytesMut::new();
            }
            if !self.is_open.get() {
                break io::ErrorKind::ConnectionAborted.into();
            }
            buffer.reserve(if is_busy { READ_BYTES } else { READ_IDLE_BYTES });
            let capacity = buffer.capacity() - buffer.len();
            let read = tokio::select! {
                read = reader.read_buf(&mut buffer) => read,
                () = self.closed.notified() => Err(io::ErrorKind::ConnectionAborted.into()),
            };
            match read {
                Ok(0) => break io::ErrorKind::UnexpectedEof.into(),
                Ok(length) => {
                    is_busy = length == capacity;
                    self.record_received();
                }
                Err(error) => break error,
            }
        };
        self.close();
        error
    }

    fn record_received(&self) {
        self.last_received.set(Instant::now());
        self.has_received.set(true);
        self.oldest_ping.set(None);
    }

    /// Writes queued frames, batching those that are queued at the same time.
    async fn write_all(self: Rc<Self>, mut writer: OwnedWriteHalf) {
        let mut batch = BytesMut::new();
        loop {
            self.has_frames.notified().await;
            while self.is_open.get() {
                let part = self.write_queue.borrow_mut().pop_part();
                if part.is_none() {
                    std::mem::swap(&mut batch, &mut self.write_queue.borrow_mut().frames);
                    if batch.is_empty() {
                        break;
                    }
                }
                let bytes = part.as_deref().unwrap_or(&batch);
                let written = tokio::select! {
                    written = writer.write_all(bytes) => written,
                    () = self.closed.notified() => return,
                };
                if written.is_err() {
                    self.close();
                    return;
                }
                batch.clear();
                if batch.capacity() > KEPT_BUFFER_BYTES {
                    batch = BytesMut::new();
                }
            }
            if !self.is_open.get() {
                return;
            }
        }
    }
}
