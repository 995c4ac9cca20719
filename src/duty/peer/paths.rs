//! The connections that other nodes made, and the way back on each.

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

/// The connections that other nodes made.
pub(super) struct Paths {
    /// The socket all of them belong to.
    socket: Socket,
    /// The socket again with its receiving operation, once it listens.
    open: Mutex<Option<OpenSocket>>,
    /// What is known about each connection.
    table: Mutex<PathTable>,
    /// How many replies may wait for one connection.
    held_max: usize,
}

/// What is known about each connection.
#[derive(Default)]
struct PathTable {
    /// Connections that are open, with their number once something was received.
    open: HashMap<Pipe, Option<u32>>,
    /// Connections on which something was received, by nng's number.
    paths: HashMap<u32, Path>,
}

/// One connection that another node made.
struct Path {
    /// nng's handle of it.
    pipe: Pipe,
    /// Which replies may go.
    window: ReplyWindow,
    /// Replies that wait for the window.
    held: VecDeque<Frame>,
    /// When something was last received.
    received_at_us: u64,
    /// Whether it is being closed from this end.
    is_refused: bool,
}

/// Begins to listen. Returns the address with the port that the system chose.
pub(super) fn listen(shared: &Arc<Shared>) -> Result<SocketAddr, PeerError> {
    let listen = shared.options.listen;
    start_listening(shared).map_err(|cause| PeerError::Listen { listen, cause })
}

/// Registers the callbacks, then listens.
fn start_listening(shared: &Arc<Shared>) -> nng::Result<SocketAddr> {
    let socket = shared.paths.socket.clone();
    let watched = Arc::downgrade(shared);
    socket.pipe_notify(move |pipe, event| {
        let Some(shared) = watched.upgrade() else { return };
        let mut table = lock(&shared.paths.table);
        match event {
            PipeEvent::AddPre => table.add(pipe),
            PipeEvent::RemovePost => table.remove(pipe),
            _ => (),
        }
    })?;
    let receiver = Arc::downgrade(shared);
    let open = receive(socket.clone(), move |frame| {
        if let Some(shared) = receiver.upgrade() {
            on_frame(&shared, frame);
        }
    })?;
    *lock(&shared.paths.open) = Some(open);
    let listener = Listener::new(&socket, &url(shared.options.listen))?;
    let port = listener.get_opt::<BoundPort>()?;
    let mut address = shared.options.listen;
    address.set_port(port);
    Ok(address)
}

/// Handles one frame from another node. A connection that carries what is not understood is closed.
fn on_frame(shared: &Arc<Shared>, mut frame: Frame) {
    let Some(pipe) = frame.pipe() else { return };
    let header = envelope::read_request_header(&frame);
    let content = envelope::unwrap(&frame, shared.options.body_max_bytes);
    let (Ok((number, request)), Ok(content)) = (header, content) else {
        shared.paths.refuse(pipe);
        return;
    };
    if !shared.paths.heard(number, pipe, shared.clock.now_us()) {
        return;
    }
    let path = ReturnPath { pipe: number, request };
    match content {
        Content::Confirm(received) => shared.paths.confirm(path, received),
        Content::Message(Message::Ping { sequence, .. }) => pong(shared, path, sequence),
        Content::Message(message) => shared.emit(PeerEvent::Request { path, message }),
    }
}

/// Answers a ping, outside of the window: a ping comes only after the last one was answered.
fn pong(shared: &Shared, path: ReturnPath, sequence: u64) {
    let load = (shared.options.load)();
    let message = Message::Pong { from: shared.options.node, sequence, load };
    let Ok(mut frame) = shared.wrap(&message) else { return };
    envelope::set_reply_header(&mut frame, path.pipe, path.request);
    // A pong that finds no room is lost; the connection is full of replies, which do as well.
    let _ = shared.paths.socket.try_send(frame);
}

impl Paths {
    /// Opens the socket, not listening yet.
    pub(super) fn new(options: &PeerOptions) -> nng::Result<Self> {
        let socket = raw_socket(Protocol::Rep0, options)?;
        Ok(Self {
            socket,
            open: Mutex::new(None),
            table: Mutex::default(),
            held_max: options.ring_entries,
        })
    }

    /// Sends a reply, or keeps it until the window has room.
    pub(super) fn reply(&self, to: ReturnPath, mut frame: Frame) -> Result<(), SendError> {
        let mut table = lock(&self.table);
        let path = table.paths.get_mut(&to.pipe).ok_or(SendError::PathGone)?;
        if path.held.len() >= self.held_max {
            return Err(SendError::RingFull);
        }
        envelope::set_reply_header(&mut frame, to.pipe, to.request);
        path.held.push_back(frame);
        path.pump(&self.socket);
        Ok(())
    }

    /// Sends what waits, and closes connections on which nothing was received since
    /// `idle_since_us`.
    pub(super) fn sweep(&self, idle_since_us: u64) {
        let mut table = lock(&self.table);
        for path in table.paths.values_mut() {
            path.pump(&self.socket);
            if path.received_at_us < idle_since_us {
                path.refuse();
            }
        }
    }

    /// Replies that have been handed over but that their receivers have not confirmed.
    pub(super) fn unconfirmed(&self) -> u64 {
        let table = lock(&self.table);
        table.paths.values().map(|path| path.window.under_way() + path.held.len() as u64).sum()
    }

    /// Closes the socket with all connections.
    pub(super) fn close(&self) {
        let open = lock(&self.open).take();
        match open {
            Some(open) => open.close(),
            None => self.socket.close(),
        }
    }

    /// Notes that something was received on a connection. Returns false when it has closed since.
    fn heard(&self, number: u32, pipe: Pipe, now_us: u64) -> bool {
        let mut table = lock(&self.table);
        let Some(known) = table.open.get_mut(&pipe) else { return false };
        *known = Some(number);
        let path = table.paths.entry(number).or_insert_with(|| Path::new(pipe));
        path.received_at_us = now_us;
        !path.is_refused
    }

    /// Notes that replies have arrived, and sends what waited for that.
    fn confirm(&self, on: ReturnPath, received: u64) {
        let mut table = lock(&self.table);
        let Some(path) = table.paths.get_mut(&on.pipe) else { return };
        if !path.window.confirm(received) {
            path.refuse();
            return;
        }
        path.pump(&self.socket);
    }

    /// Closes a connection that carries what is not understood.
    ///
    /// The crate panics on a connection that has closed already. While the table is locked, one
    /// that stands in it has not: nng waits for the callback that takes it out.
    fn refuse(&self, pipe: Pipe) {
        let mut table = lock(&self.table);
        let Some(&number) = table.open.get(&pipe) else { return };
        match number.and_then(|number| table.paths.get_mut(&number)) {
            Some(path) => path.refuse(),
            None => pipe.close(),
        }
    }
}

impl PathTable {
    /// A connection is being opened.
    fn add(&mut self, pipe: Pipe) {
        self.open.insert(pipe, None);
    }

    /// A connection has closed.
    fn remove(&mut self, pipe: Pipe) {
        if let Some(Some(number)) = self.open.remove(&pipe) {
            self.paths.remove(&number);
        }
    }
}

impl Path {
    /// A connection on which nothing was sent yet.
    fn new(pipe: Pipe) -> Self {
        Self {
            pipe,
            window: ReplyWindow::default(),
            held: VecDeque::new(),
            received_at_us: 0,
            is_refused: false,
        }
    }

    /// Closes the connection. The table must be locked, and the path must stand in it.
    fn refuse(&mut self) {
        if !std::mem::replace(&mut self.is_refused, true) {
            self.pipe.close();
        }
    }

    /// Sends as many waiting replies as the window has room for.
    fn pump(&mut self, socket: &Socket) {
        while self.window.has_room() {
            let Some(frame) = self.held.pop_front() else { return };
            if let Err((frame, _)) = socket.try_send(frame) {
                self.held.push_front(frame);
                return;
            }
            self.window.sent();
        }
    }
}
