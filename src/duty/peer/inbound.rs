//! Inbound connections from other nodes and the replies sent on them.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use nng::options::Options;
use nng::options::transport::tcp::BoundPort;
use nng::{Listener, Message as Frame, Pipe, PipeEvent, Protocol, Socket};

use super::dial::{OpenSocket, raw_socket, receive, url};
use super::envelope::{self, Content};
use super::error::{PeerError, SendError};
use super::event::{PeerEvent, ReturnPath};
use super::options::PeerOptions;
use super::shared::{Shared, lock};
use super::window::ReplyWindow;
use crate::call::Message;

/// All inbound connections.
pub(super) struct InboundConnections {
    /// The socket shared by all of them.
    socket: Socket,
    /// The same socket with its receive operation, once it listens.
    open: Mutex<Option<OpenSocket>>,
    /// The state of each connection.
    table: Mutex<ConnectionTable>,
    /// How many replies may be queued per connection.
    pending_max: usize,
}

/// The state of all inbound connections.
#[derive(Default)]
struct ConnectionTable {
    /// Open connections, with nng's ID once something was received.
    open: HashMap<Pipe, Option<u32>>,
    /// Connections on which something was received, by nng's ID.
    connections: HashMap<u32, Connection>,
}

/// One inbound connection.
struct Connection {
    /// nng's handle.
    pipe: Pipe,
    /// Limits the replies in flight.
    window: ReplyWindow,
    /// Replies queued until the window has room.
    pending: VecDeque<Frame>,
    /// When something was last received.
    received_at_us: u64,
    /// Whether this node is closing it.
    is_closing: bool,
}

/// Starts listening. Returns the address with the port that the system chose.
pub(super) fn listen(shared: &Arc<Shared>) -> Result<SocketAddr, PeerError> {
    let listen = shared.options.listen;
    start_listening(shared).map_err(|cause| PeerError::Listen { listen, cause })
}

/// Registers the callbacks, then listens.
fn start_listening(shared: &Arc<Shared>) -> nng::Result<SocketAddr> {
    let socket = shared.inbound.socket.clone();
    let weak_shared = Arc::downgrade(shared);
    socket.pipe_notify(move |pipe, event| {
        let Some(shared) = weak_shared.upgrade() else { return };
        let mut table = lock(&shared.inbound.table);
        match event {
            PipeEvent::AddPre => table.add(pipe),
            PipeEvent::RemovePost => table.remove(pipe),
            _ => (),
        }
    })?;
    let receiver_shared = Arc::downgrade(shared);
    let open = receive(socket.clone(), move |frame| {
        if let Some(shared) = receiver_shared.upgrade() {
            on_frame(&shared, frame);
        }
    })?;
    *lock(&shared.inbound.open) = Some(open);
    let listener = Listener::new(&socket, &url(shared.options.listen))?;
    let port = listener.get_opt::<BoundPort>()?;
    let mut address = shared.options.listen;
    address.set_port(port);
    Ok(address)
}

/// Handles one frame from another node. An invalid frame closes its connection.
fn on_frame(shared: &Arc<Shared>, mut frame: Frame) {
    let Some(pipe) = frame.pipe() else { return };
    let header = envelope::read_request_header(&frame);
    let content = envelope::unwrap(&frame, shared.options.body_max_bytes);
    let (Ok((pipe_id, request)), Ok(content)) = (header, content) else {
        shared.inbound.close_connection(pipe);
        return;
    };
    if !shared.inbound.record_received(pipe_id, pipe, shared.clock.now_us()) {
        return;
    }
    let path = ReturnPath { pipe: pipe_id, request };
    match content {
        Content::Acknowledge(received) => shared.inbound.acknowledge(path, received),
        Content::Message(Message::Ping { sequence, .. }) => send_pong(shared, path, sequence),
        Content::Message(message) => shared.emit(PeerEvent::Request { path, message }),
    }
}

/// Answers a ping. It bypasses the reply window: peers have only one unanswered ping at a time.
fn send_pong(shared: &Shared, return_path: ReturnPath, sequence: u64) {
    let load = (shared.options.load)();
    let message = Message::Pong { from: shared.options.node, sequence, load };
    let Ok(mut frame) = shared.wrap(&message) else { return };
    envelope::set_reply_header(&mut frame, return_path.pipe, return_path.request);
    // A pong that does not fit is dropped; the replies that fill the queue show liveness as well.
    let _ = shared.inbound.socket.try_send(frame);
}

impl InboundConnections {
    /// Opens the socket without listening yet.
    pub(super) fn new(options: &PeerOptions) -> nng::Result<Self> {
        let socket = raw_socket(Protocol::Rep0, options)?;
        Ok(Self {
            socket,
            open: Mutex::new(None),
            table: Mutex::default(),
            pending_max: options.ring_entries,
        })
    }

    /// Sends a reply, or queues it until the window has room.
    pub(super) fn reply(&self, to: ReturnPath, mut frame: Frame) -> Result<(), SendError> {
        let mut table = lock(&self.table);
        let connection = table.connections.get_mut(&to.pipe).ok_or(SendError::ConnectionClosed)?;
        if connection.pending.len() >= self.pending_max {
            return Err(SendError::RingFull);
        }
        envelope::set_reply_header(&mut frame, to.pipe, to.request);
        connection.pending.push_back(frame);
        connection.flush(&self.socket);
        Ok(())
    }

    /// Sends queued replies, and closes connections on which nothing was received since
    /// `idle_since_us`.
    pub(super) fn flush_and_close_idle(&self, idle_since_us: u64) {
        let mut table = lock(&self.table);
        for connection in table.connections.values_mut() {
            connection.flush(&self.socket);
            if connection.received_at_us < idle_since_us {
                connection.close();
            }
        }
    }

    /// Replies accepted for sending that their receivers have not acknowledged.
    pub(super) fn unacknowledged(&self) -> u64 {
        let table = lock(&self.table);
        table
            .connections
            .values()
            .map(|connection| connection.window.in_flight() + connection.pending.len() as u64)
            .sum()
    }

    /// Closes the socket and all connections.
    pub(super) fn close(&self) {
        let open = lock(&self.open).take();
        match open {
            Some(open) => open.close(),
            None => self.socket.close(),
        }
    }

    /// Records that something was received on a connection. Returns false if it has closed or is
    /// closing.
    fn record_received(&self, pipe_id: u32, pipe: Pipe, now_us: u64) -> bool {
        let mut table = lock(&self.table);
        let Some(known) = table.open.get_mut(&pipe) else { return false };
        *known = Some(pipe_id);
        let connection = table.connections.entry(pipe_id).or_insert_with(|| Connection::new(pipe));
        connection.received_at_us = now_us;
        !connection.is_closing
    }

    /// Records an acknowledgement of replies and sends queued ones. An impossible count closes the
    /// connection.
    fn acknowledge(&self, to: ReturnPath, received: u64) {
        let mut table = lock(&self.table);
        let Some(connection) = table.connections.get_mut(&to.pipe) else { return };
        if !connection.window.acknowledge(received) {
            connection.close();
            return;
        }
        connection.flush(&self.socket);
    }

    /// Closes a connection that carried an invalid frame.
    ///
    /// The nng crate panics on closing a connection twice. While the table is locked, a connection
    /// listed in it is still open: nng waits for the callback that removes it.
    fn close_connection(&self, pipe: Pipe) {
        let mut table = lock(&self.table);
        let Some(&pipe_id) = table.open.get(&pipe) else { return };
        match pipe_id.and_then(|pipe_id| table.connections.get_mut(&pipe_id)) {
            Some(connection) => connection.close(),
            None => pipe.close(),
        }
    }
}

impl ConnectionTable {
    /// Adds a connection that is being opened.
    fn add(&mut self, pipe: Pipe) {
        self.open.insert(pipe, None);
    }

    /// Removes a connection that has closed.
    fn remove(&mut self, pipe: Pipe) {
        if let Some(Some(pipe_id)) = self.open.remove(&pipe) {
            self.connections.remove(&pipe_id);
        }
    }
}

impl Connection {
    /// A connection on which nothing has been sent yet.
    fn new(pipe: Pipe) -> Self {
        Self {
            pipe,
            window: ReplyWindow::default(),
            pending: VecDeque::new(),
            received_at_us: 0,
            is_closing: false,
        }
    }

    /// Closes the connection once. The table must be locked and must contain the connection.
    fn close(&mut self) {
        if !std::mem::replace(&mut self.is_closing, true) {
            self.pipe.close();
        }
    }

    /// Sends as many queued replies as the window has room for.
    fn flush(&mut self, socket: &Socket) {
        while self.window.has_room() {
            let Some(frame) = self.pending.pop_front() else { return };
            if let Err((frame, _)) = socket.try_send(frame) {
                self.pending.push_front(frame);
                return;
            }
            self.window.record_sent();
        }
    }
}
