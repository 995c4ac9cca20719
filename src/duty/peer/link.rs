//! The connection to one peer, and what becomes of it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use nng::Message as Frame;

use super::dial::OpenSocket;
use super::envelope::{self, Content};
use super::error::SendError;
use super::event::PeerEvent;
use super::liveness::{Liveness, Sign, Step};
use super::redial::Redial;
use super::shared::{Shared, lock};
use super::window::ReplyCount;
use crate::call::Message;
use crate::clock::US_PER_MS;

/// Messages that may wait while a connection is being made.
const HELD_MAX: usize = 64;

/// The connection to one peer.
pub(super) struct Link {
    /// The other end.
    peer: SocketAddr,
    /// What becomes of it.
    state: Mutex<LinkState>,
}

/// The state of a connection. Callbacks only note things here; the upkeep thread acts.
struct LinkState {
    /// How far the connection is.
    phase: Phase,
    /// Counts the sockets this link has had, so that news of an earlier one are ignored.
    generation: u64,
    /// Whether the present socket has had its connection.
    opened: bool,
    /// Whether the present socket's connection has closed or carried what is not understood.
    broken: bool,
    /// Messages that wait for the connection.
    held: VecDeque<Message>,
    /// How long to wait before the next try to connect.
    redial: Redial,
    /// The number of the latest request.
    request: u32,
}

/// How far a connection is.
enum Phase {
    /// A connection is wanted.
    Wanted,
    /// A connection is being made.
    Dialing {
        /// The socket, once it is open.
        open: Option<OpenSocket>,
        /// When it was begun.
        since_us: u64,
    },
    /// There is a connection.
    Up(Connection),
    /// The last try failed; there will be another.
    Down {
        /// When.
        until_us: u64,
    },
}

/// A connection that has been made.
struct Connection {
    /// The socket.
    open: OpenSocket,
    /// Watches it for silence.
    liveness: Liveness,
    /// Counts the replies received.
    replies: ReplyCount,
    /// When it was made.
    since_us: u64,
    /// Whether anything has been received.
    heard: bool,
    /// Whether `LinkUp` has been reported.
    announced: bool,
}

/// What the upkeep thread has to do for a link, without its lock.
#[derive(Default)]
pub(super) struct Work {
    /// Open a socket of this generation.
    pub(super) dial: Option<u64>,
    /// Close this socket.
    pub(super) close: Option<OpenSocket>,
    /// Report these.
    pub(super) events: Vec<PeerEvent>,
}

impl Link {
    /// A link to `peer` that is to be connected.
    pub(super) fn new(peer: SocketAddr, redial: Redial) -> Self {
        let state = LinkState {
            phase: Phase::Wanted,
            generation: 0,
            opened: false,
            broken: false,
            held: VecDeque::new(),
            redial,
            request: 0,
        };
        Self { peer, state: Mutex::new(state) }
    }

    /// The other end.
    pub(super) fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Sends a message, which stands in `frame` as well, or keeps it until there is a connection.
    pub(super) fn send(
        &self,
        shared: &Shared,
        message: &Message,
        frame: Frame,
    ) -> Result<(), SendError> {
        let mut guard = lock(&self.state);
        let state = &mut *guard;
        state.request = state.request.wrapping_add(1);
        let request = state.request;
        match &mut state.phase {
            Phase::Up(connection) => {
                connection.send(frame, request)?;
                connection.expect_answer(message, shared.clock.now_us());
                Ok(())
            }
            Phase::Wanted | Phase::Dialing { .. } if state.held.len() < HELD_MAX => {
                state.held.push_back(message.clone());
                Ok(())
            }
            Phase::Wanted | Phase::Dialing { .. } => Err(SendError::RingFull),
            Phase::Down { .. } => Err(SendError::Unreachable),
        }
    }

    /// The socket of `generation` has its connection.
    pub(super) fn on_open(&self, shared: &Shared, generation: u64) {
        let mut state = lock(&self.state);
        if state.generation != generation {
            return;
        }
        state.opened = true;
        drop(state);
        shared.wake();
    }

    /// The connection of the socket of `generation` has closed.
    pub(super) fn on_closed(&self, shared: &Shared, generation: u64) {
        let mut state = lock(&self.state);
        if state.generation != generation {
            return;
        }
        state.broken = true;
        drop(state);
        shared.wake();
    }

    /// The socket of `generation` has received something.
    pub(super) fn on_frame(&self, shared: &Shared, generation: u64, frame: Frame) {
        let content = envelope::unwrap(&frame, shared.options.body_max_bytes);
        let Ok(Content::Message(message)) = content else {
            return self.on_closed(shared, generation);
        };
        let is_first = self.count(&message, shared.clock.now_us(), generation);
        if is_first {
            shared.wake();
        }
        shared.emit(PeerEvent::Reply { peer: self.peer, message });
    }

    /// Notes a sign of life. Returns whether it is the first one of its connection.
    fn count(&self, message: &Message, now_us: u64, generation: u64) -> bool {
        let mut state = lock(&self.state);
        if state.generation != generation {
            return false;
        }
        state.request = state.request.wrapping_add(1);
        let request = state.request;
        let Phase::Up(connection) = &mut state.phase else { return false };
        connection.liveness.received(now_us, sign_of(message));
        if !matches!(message, Message::Pong { .. }) {
            if let Some(received) = connection.replies.received() {
                connection.confirm(received, request);
            }
        }
        !std::mem::replace(&mut connection.heard, true)
    }

    /// Keeps the socket that was opened for `generation`, or gives it back when it is not wanted.
    pub(super) fn keep(&self, generation: u64, opened: OpenSocket) -> Option<OpenSocket> {
        let mut guard = lock(&self.state);
        let state = &mut *guard;
        match &mut state.phase {
            Phase::Dialing { open, .. } if state.generation == generation => {
                *open = Some(opened);
                None
            }
            _ => Some(opened),
        }
    }

    /// Moves on at `now_us`. Returns what has to be done without the lock.
    pub(super) fn step(&self, shared: &Shared, now_us: u64) -> Work {
        let mut state = lock(&self.state);
        state.step(self.peer, shared, now_us)
    }

    /// Gives the connection up for good.
    pub(super) fn retire(&self) -> Work {
        let mut state = lock(&self.state);
        state.generation += 1;
        let mut work = Work { events: state.give_back(self.peer), ..Work::default() };
        work.close = state.take_socket();
        state.phase = Phase::Down { until_us: u64::MAX };
        work
    }
}

impl LinkState {
    /// Moves on at `now_us`.
    fn step(&mut self, peer: SocketAddr, shared: &Shared, now_us: u64) -> Work {
        match &mut self.phase {
            Phase::Wanted => self.begin_dial(now_us),
            Phase::Dialing { open: Some(_), .. } if self.opened && !self.broken => {
                self.begin_connection(peer, shared, now_us)
            }
            Phase::Dialing { since_us, .. } => {
                let within_us = shared.options.connect_within_ms * US_PER_MS;
                let is_late = now_us.saturating_sub(*since_us) >= within_us;
                if self.broken || is_late {
                    return self.fail(peer, now_us);
                }
                Work::default()
            }
            Phase::Up(_) if self.broken => self.fail(peer, now_us),
            Phase::Up(connection) => {
                self.request = self.request.wrapping_add(1);
                let Some(events) = connection.watch(peer, shared, now_us, self.request) else {
                    return self.fail(peer, now_us);
                };
                if self.has_worked(now_us) {
                    self.redial.succeeded();
                }
                Work { events, ..Work::default() }
            }
            Phase::Down { until_us } if now_us >= *until_us => self.begin_dial(now_us),
            Phase::Down { .. } => Work::default(),
        }
    }

    /// Begins to connect with a new socket.
    fn begin_dial(&mut self, now_us: u64) -> Work {
        self.generation += 1;
        self.opened = false;
        self.broken = false;
        self.phase = Phase::Dialing { open: None, since_us: now_us };
        Work { dial: Some(self.generation), ..Work::default() }
    }

    /// Sends what has waited for the connection.
    fn begin_connection(&mut self, peer: SocketAddr, shared: &Shared, now_us: u64) -> Work {
        let Some(open) = self.take_socket() else { return Work::default() };
        let mut connection = Connection {
            open,
            liveness: Liveness::new(shared.options.liveness(), now_us),
            replies: ReplyCount::default(),
            since_us: now_us,
            heard: false,
            announced: false,
        };
        let mut events = Vec::new();
        for message in self.held.drain(..) {
            self.request = self.request.wrapping_add(1);
            if connection.send_held(shared, &message, self.request).is_err() {
                events.push(PeerEvent::Unsent { peer, message });
                continue;
            }
            connection.expect_answer(&message, now_us);
        }
        self.phase = Phase::Up(connection);
        Work { events, ..Work::default() }
    }

    /// Gives the connection up. One that worked for a while is replaced at once, otherwise there is
    /// a wait first.
    fn fail(&mut self, peer: SocketAddr, now_us: u64) -> Work {
        // Something may have been sent on any connection that was made.
        let is_news = matches!(self.phase, Phase::Up(_)) || !self.redial.is_failing();
        let has_worked = self.has_worked(now_us);
        let mut work = Work { events: self.give_back(peer), ..Work::default() };
        work.close = self.take_socket();
        if is_news {
            work.events.push(PeerEvent::LinkLost { peer });
        }
        if has_worked {
            self.redial.succeeded();
            work.dial = self.begin_dial(now_us).dial;
            return work;
        }
        // From here on news of the socket that is being closed are ignored.
        self.generation += 1;
        let until_us = now_us + self.redial.failed();
        self.phase = Phase::Down { until_us };
        work
    }

    /// Whether there is a connection that has worked for a while.
    fn has_worked(&self, now_us: u64) -> bool {
        let Phase::Up(connection) = &self.phase else { return false };
        let age_us = now_us.saturating_sub(connection.since_us);
        connection.heard && age_us >= self.redial.success_after_us()
    }

    /// Reports all waiting messages as unsent.
    fn give_back(&mut self, peer: SocketAddr) -> Vec<PeerEvent> {
        self.held.drain(..).map(|message| PeerEvent::Unsent { peer, message }).collect()
    }

    /// Takes the socket out, leaving the link without one.
    fn take_socket(&mut self) -> Option<OpenSocket> {
        match std::mem::replace(&mut self.phase, Phase::Wanted) {
            Phase::Dialing { open, .. } => open,
            Phase::Up(connection) => Some(connection.open),
            Phase::Wanted | Phase::Down { .. } => None,
        }
    }
}

impl Connection {
    /// Puts a frame on the connection's ring.
    fn send(&self, mut frame: Frame, request: u32) -> Result<(), SendError> {
        envelope::set_request_header(&mut frame, request);
        self.open.socket.try_send(frame).map_err(|_| SendError::RingFull)
    }

    /// Sends a message that has waited for the connection.
    fn send_held(&self, shared: &Shared, message: &Message, request: u32) -> Result<(), SendError> {
        let frame = shared.wrap(message)?;
        self.send(frame, request)
    }

    /// Confirms replies; when there is no room the next reply or tick will do it.
    fn confirm(&mut self, received: u64, request: u32) {
        let frame = envelope::wrap_confirmation(received);
        if self.send(frame, request).is_ok() {
            self.replies.confirmed(received);
        }
    }

    /// Notes that `message`, sent at `now_us`, is to be answered.
    fn expect_answer(&mut self, message: &Message, now_us: u64) {
        if let Some(answer_within_us) = answer_within_us(message) {
            self.liveness.expect(now_us, answer_within_us);
        }
    }

    /// Pings and confirms when it is time to. Returns events to report, or nothing when the
    /// connection is silent.
    fn watch(
        &mut self,
        peer: SocketAddr,
        shared: &Shared,
        now_us: u64,
        request: u32,
    ) -> Option<Vec<PeerEvent>> {
        match self.liveness.step(now_us) {
            Step::Silent => return None,
            Step::Ping(sequence) => {
                let message = Message::Ping { from: shared.options.node, sequence };
                // A ping that finds no room still counts: a full ring that stays full is silence.
                let _ = self.send_held(shared, &message, request);
            }
            Step::Wait => (),
        }
        if let Some(received) = self.replies.unconfirmed() {
            self.confirm(received, request);
        }
        let mut events = Vec::new();
        if self.heard && !self.announced {
            self.announced = true;
            events.push(PeerEvent::LinkUp { peer });
        }
        Some(events)
    }
}

/// How long the answer to a message may take, or nothing when there will be none.
fn answer_within_us(message: &Message) -> Option<u64> {
    /// How long an entry node may take for its leave, which it gives from memory.
    const RETRY_GRANT_US: u64 = 1_000_000;
    /// How long an heir may take with the keys of a node that leaves.
    const HANDOVER_US: u64 = 2_000_000;
    match message {
        Message::Call(call) => Some(call.remaining_us),
        Message::Fence { remaining_us, .. } => Some(*remaining_us),
        Message::AskRetry { .. } => Some(RETRY_GRANT_US),
        Message::Handover { .. } => Some(HANDOVER_US),
        Message::Answer(_)
        | Message::Cancel(_)
        | Message::RetryGrant { .. }
        | Message::HandoverTaken { .. }
        | Message::Gossip(_)
        | Message::Configuration(_)
        | Message::Ping { .. }
        | Message::Pong { .. } => None,
    }
}

/// What a received message says about what was sent.
fn sign_of(message: &Message) -> Sign {
    match message {
        Message::Answer(_) | Message::RetryGrant { .. } | Message::HandoverTaken { .. } => {
            Sign::Answer
        }
        Message::Pong { .. } => Sign::Pong,
        _ => Sign::Other,
    }
}

/// Carries out what [`Link::step`] found, holding no lock.
pub(super) fn carry_out(shared: &Arc<Shared>, link: &Arc<Link>, work: Work) {
    if let Some(open) = work.close {
        open.close();
    }
    for event in work.events {
        shared.emit(event);
    }
    let Some(generation) = work.dial else { return };
    let opened = super::dial::dial(shared, link, generation);
    match opened {
        Ok(opened) => {
            if let Some(unwanted) = link.keep(generation, opened) {
                unwanted.close();
            }
        }
        // Out of files or memory: counted as a connection that could not be made.
        Err(_) => link.on_closed(shared, generation),
    }
    shared.wake();
}
