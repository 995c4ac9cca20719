//! The outbound connection to one peer and its state machine.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use nng::Message as Frame;

use super::dial::OpenSocket;
use super::envelope::{self, Content};
use super::error::SendError;
use super::event::PeerEvent;
use super::liveness::{Liveness, LivenessAction, ReceivedKind};
use super::redial::RedialBackoff;
use super::shared::{Shared, lock};
use super::window::ReplyCount;
use crate::call::Message;
use crate::clock::US_PER_MS;

/// Messages that may be queued while a connection is being established.
const PENDING_MAX: usize = 64;

/// The outbound connection to one peer.
pub(super) struct Link {
    /// The address of the peer.
    peer: SocketAddr,
    /// The state of the connection.
    state: Mutex<LinkState>,
}

/// The state of a connection. Callbacks only record events here; the upkeep thread acts on them.
struct LinkState {
    /// The phase of the connection.
    phase: Phase,
    /// Number of sockets this link has had; events of earlier sockets are ignored.
    generation: u64,
    /// Whether the connection of the current socket has opened.
    is_opened: bool,
    /// Whether that connection has closed or carried an invalid frame.
    is_broken: bool,
    /// Messages queued until there is a connection.
    pending: VecDeque<Message>,
    /// The backoff between attempts to connect.
    redial: RedialBackoff,
    /// The number of the latest request.
    request: u32,
}

/// The phase of a connection.
enum Phase {
    /// Not connected; to be dialled in the next step.
    NotConnected,
    /// A connection is being established.
    Dialing {
        /// The socket, once it is open.
        open: Option<OpenSocket>,
        /// When it was started.
        started_at_us: u64,
    },
    /// The connection is established.
    Up(Connection),
    /// The last attempt failed; waiting before the next one.
    Backoff {
        /// When to dial again.
        until_us: u64,
    },
}

/// An established connection.
struct Connection {
    /// The socket.
    open: OpenSocket,
    /// Detects silence.
    liveness: Liveness,
    /// Counts the replies received, to acknowledge them.
    replies: ReplyCount,
    /// When it was established.
    connected_at_us: u64,
    /// Whether anything has been received.
    has_received: bool,
    /// Whether `LinkUp` has been reported.
    is_link_up_reported: bool,
}

/// What the upkeep thread has to do for a link after releasing its lock.
#[derive(Default)]
pub(super) struct LinkActions {
    /// Dial with a new socket of this generation.
    pub(super) dial: Option<u64>,
    /// Close this socket.
    pub(super) close: Option<OpenSocket>,
    /// Report these events.
    pub(super) events: Vec<PeerEvent>,
}

impl Link {
    /// A link to `peer`, not connected yet.
    pub(super) fn new(peer: SocketAddr, redial: RedialBackoff) -> Self {
        let state = LinkState {
            phase: Phase::NotConnected,
            generation: 0,
            is_opened: false,
            is_broken: false,
            pending: VecDeque::new(),
            redial,
            request: 0,
        };
        Self { peer, state: Mutex::new(state) }
    }

    /// The address of the peer.
    pub(super) fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Sends `frame`, the wrapped `message`, or queues the message until there is a connection.
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
            Phase::NotConnected | Phase::Dialing { .. } if state.pending.len() < PENDING_MAX => {
                state.pending.push_back(message.clone());
                Ok(())
            }
            Phase::NotConnected | Phase::Dialing { .. } => Err(SendError::RingFull),
            Phase::Backoff { .. } => Err(SendError::Unreachable),
        }
    }

    /// The connection of the socket of `generation` has opened.
    pub(super) fn on_open(&self, shared: &Shared, generation: u64) {
        let mut state = lock(&self.state);
        if state.generation != generation {
            return;
        }
        state.is_opened = true;
        drop(state);
        shared.wake();
    }

    /// The connection of the socket of `generation` has closed.
    pub(super) fn on_closed(&self, shared: &Shared, generation: u64) {
        let mut state = lock(&self.state);
        if state.generation != generation {
            return;
        }
        state.is_broken = true;
        drop(state);
        shared.wake();
    }

    /// The socket of `generation` has received a frame.
    pub(super) fn on_frame(&self, shared: &Shared, generation: u64, frame: Frame) {
        let content = envelope::unwrap(&frame, shared.options.body_max_bytes);
        let Ok(Content::Message(message)) = content else {
            return self.on_closed(shared, generation);
        };
        let is_first = self.record_reply(&message, shared.clock.now_us(), generation);
        if is_first {
            shared.wake();
        }
        shared.emit(PeerEvent::Reply { peer: self.peer, message });
    }

    /// Records a received message. Returns whether it is the first one of its connection.
    fn record_reply(&self, message: &Message, now_us: u64, generation: u64) -> bool {
        let mut state = lock(&self.state);
        if state.generation != generation {
            return false;
        }
        state.request = state.request.wrapping_add(1);
        let request = state.request;
        let Phase::Up(connection) = &mut state.phase else { return false };
        connection.liveness.record_received(now_us, received_kind(message));
        if !matches!(message, Message::Pong { .. }) {
            if let Some(received) = connection.replies.record_received() {
                connection.acknowledge(received, request);
            }
        }
        !std::mem::replace(&mut connection.has_received, true)
    }

    /// Stores the socket opened for `generation`, or returns it if it is no longer needed.
    pub(super) fn adopt_socket(&self, generation: u64, opened: OpenSocket) -> Option<OpenSocket> {
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

    /// Advances the state to `now_us`. Returns what has to be done without the lock.
    pub(super) fn step(&self, shared: &Shared, now_us: u64) -> LinkActions {
        let mut state = lock(&self.state);
        state.step(self.peer, shared, now_us)
    }

    /// Closes the connection permanently.
    pub(super) fn retire(&self) -> LinkActions {
        let mut state = lock(&self.state);
        state.generation += 1;
        let mut actions =
            LinkActions { events: state.drain_unsent(self.peer), ..LinkActions::default() };
        actions.close = state.take_socket();
        state.phase = Phase::Backoff { until_us: u64::MAX };
        actions
    }
}

impl LinkState {
    /// Advances the state to `now_us`.
    fn step(&mut self, peer: SocketAddr, shared: &Shared, now_us: u64) -> LinkActions {
        match &mut self.phase {
            Phase::NotConnected => self.start_dial(now_us),
            Phase::Dialing { open: Some(_), .. } if self.is_opened && !self.is_broken => {
                self.on_connected(peer, shared, now_us)
            }
            Phase::Dialing { started_at_us, .. } => {
                let connect_timeout_us = shared.options.connect_within_ms * US_PER_MS;
                let is_late = now_us.saturating_sub(*started_at_us) >= connect_timeout_us;
                if self.is_broken || is_late {
                    return self.drop_connection(peer, now_us);
                }
                LinkActions::default()
            }
            Phase::Up(_) if self.is_broken => self.drop_connection(peer, now_us),
            Phase::Up(connection) => {
                self.request = self.request.wrapping_add(1);
                let Some(events) = connection.check(peer, shared, now_us, self.request) else {
                    return self.drop_connection(peer, now_us);
                };
                if self.is_stable(now_us) {
                    self.redial.record_success();
                }
                LinkActions { events, ..LinkActions::default() }
            }
            Phase::Backoff { until_us } if now_us >= *until_us => self.start_dial(now_us),
            Phase::Backoff { .. } => LinkActions::default(),
        }
    }

    /// Starts connecting with a new socket.
    fn start_dial(&mut self, now_us: u64) -> LinkActions {
        self.generation += 1;
        self.is_opened = false;
        self.is_broken = false;
        self.phase = Phase::Dialing { open: None, started_at_us: now_us };
        LinkActions { dial: Some(self.generation), ..LinkActions::default() }
    }

    /// Sends the queued messages on the new connection.
    fn on_connected(&mut self, peer: SocketAddr, shared: &Shared, now_us: u64) -> LinkActions {
        let Some(open) = self.take_socket() else { return LinkActions::default() };
        let mut connection = Connection {
            open,
            liveness: Liveness::new(shared.options.liveness(), now_us),
            replies: ReplyCount::default(),
            connected_at_us: now_us,
            has_received: false,
            is_link_up_reported: false,
        };
        let mut events = Vec::new();
        for message in self.pending.drain(..) {
            self.request = self.request.wrapping_add(1);
            if connection.wrap_and_send(shared, &message, self.request).is_err() {
                events.push(PeerEvent::Unsent { peer, message });
                continue;
            }
            connection.expect_answer(&message, now_us);
        }
        self.phase = Phase::Up(connection);
        LinkActions { events, ..LinkActions::default() }
    }

    /// Drops the connection. A stable one is replaced at once, any other one after a backoff.
    fn drop_connection(&mut self, peer: SocketAddr, now_us: u64) -> LinkActions {
        // An established connection is always reported: something may have been sent on it.
        let is_new_loss = matches!(self.phase, Phase::Up(_)) || !self.redial.is_failing();
        let is_stable = self.is_stable(now_us);
        let mut actions = LinkActions { events: self.drain_unsent(peer), ..LinkActions::default() };
        actions.close = self.take_socket();
        if is_new_loss {
            actions.events.push(PeerEvent::LinkLost { peer });
        }
        if is_stable {
            self.redial.record_success();
            actions.dial = self.start_dial(now_us).dial;
            return actions;
        }
        // Later events of the socket that is being closed are ignored.
        self.generation += 1;
        let until_us = now_us + self.redial.record_failure();
        self.phase = Phase::Backoff { until_us };
        actions
    }

    /// Whether the connection has received something and has lasted long enough.
    fn is_stable(&self, now_us: u64) -> bool {
        let Phase::Up(connection) = &self.phase else { return false };
        let age_us = now_us.saturating_sub(connection.connected_at_us);
        connection.has_received && age_us >= self.redial.stable_after_us()
    }

    /// Removes all queued messages and returns the events that report them as unsent.
    fn drain_unsent(&mut self, peer: SocketAddr) -> Vec<PeerEvent> {
        self.pending.drain(..).map(|message| PeerEvent::Unsent { peer, message }).collect()
    }

    /// Takes the socket, leaving the link not connected.
    fn take_socket(&mut self) -> Option<OpenSocket> {
        match std::mem::replace(&mut self.phase, Phase::NotConnected) {
            Phase::Dialing { open, .. } => open,
            Phase::Up(connection) => Some(connection.open),
            Phase::NotConnected | Phase::Backoff { .. } => None,
        }
    }
}

impl Connection {
    /// Puts a frame into the connection's send queue.
    fn send(&self, mut frame: Frame, request: u32) -> Result<(), SendError> {
        envelope::set_request_header(&mut frame, request);
        self.open.socket.try_send(frame).map_err(|_| SendError::RingFull)
    }

    /// Wraps and sends a message.
    fn wrap_and_send(
        &self,
        shared: &Shared,
        message: &Message,
        request: u32,
    ) -> Result<(), SendError> {
        let frame = shared.wrap(message)?;
        self.send(frame, request)
    }

    /// Acknowledges replies. If the send queue is full, a later reply or tick retries it.
    fn acknowledge(&mut self, received: u64, request: u32) {
        let frame = envelope::wrap_acknowledgement(received);
        if self.send(frame, request).is_ok() {
            self.replies.record_acknowledged(received);
        }
    }

    /// Records that an answer to `message`, sent at `now_us`, is expected.
    fn expect_answer(&mut self, message: &Message, now_us: u64) {
        if let Some(answer_timeout_us) = answer_timeout_us(message) {
            self.liveness.expect_answer(now_us, answer_timeout_us);
        }
    }

    /// Sends pings and acknowledgements that are due. Returns events to report, or `None` if the
    /// connection is silent.
    fn check(
        &mut self,
        peer: SocketAddr,
        shared: &Shared,
        now_us: u64,
        request: u32,
    ) -> Option<Vec<PeerEvent>> {
        match self.liveness.step(now_us) {
            LivenessAction::Silent => return None,
            LivenessAction::Ping(sequence) => {
                let message = Message::Ping { from: shared.options.node, sequence };
                // A ping that does not fit counts as sent: a queue that stays full is silence too.
                let _ = self.wrap_and_send(shared, &message, request);
            }
            LivenessAction::Wait => (),
        }
        if let Some(received) = self.replies.unacknowledged() {
            self.acknowledge(received, request);
        }
        let mut events = Vec::new();
        if self.has_received && !self.is_link_up_reported {
            self.is_link_up_reported = true;
            events.push(PeerEvent::LinkUp { peer });
        }
        Some(events)
    }
}

/// How long the answer to a message may take; `None` if there is no answer.
fn answer_timeout_us(message: &Message) -> Option<u64> {
    /// How long an entry node may take to grant or refuse a retry, which it does from memory.
    const RETRY_GRANT_TIMEOUT_US: u64 = 1_000_000;
    match message {
        Message::Call(call) => Some(call.remaining_us),
        Message::Fence { remaining_us, .. } => Some(*remaining_us),
        Message::AskRetry { .. } => Some(RETRY_GRANT_TIMEOUT_US),
        Message::Answer(_)
        | Message::Cancel(_)
        | Message::RetryGrant { .. }
        | Message::Gossip(_)
        | Message::Configuration(_)
        | Message::Ping { .. }
        | Message::Pong { .. } => None,
    }
}

/// Classifies a received message for the liveness check.
fn received_kind(message: &Message) -> ReceivedKind {
    match message {
        Message::Answer(_) | Message::RetryGrant { .. } => ReceivedKind::Answer,
        Message::Pong { .. } => ReceivedKind::Pong,
        _ => ReceivedKind::Other,
    }
}

/// Performs the actions returned by [`Link::step`], holding no lock.
pub(super) fn perform(shared: &Arc<Shared>, link: &Arc<Link>, actions: LinkActions) {
    if let Some(open) = actions.close {
        open.close();
    }
    for event in actions.events {
        shared.emit(event);
    }
    let Some(generation) = actions.dial else { return };
    let opened = super::dial::dial(shared, link, generation);
    match opened {
        Ok(opened) => {
            if let Some(unused) = link.adopt_socket(generation, opened) {
                unused.close();
            }
        }
        // Out of file descriptors or memory; treated as a failed attempt to connect.
        Err(_) => link.on_closed(shared, generation),
    }
    shared.wake();
}
