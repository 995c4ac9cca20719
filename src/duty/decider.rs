//! The decider thread: owns the node's state machine, feeds it events from one bounded ring and
//! dispatches the resulting actions.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use ::metrics::Counter;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError};
use tokio::sync::oneshot;

use crate::clock::{Clock, US_PER_S};
use crate::duty::note::NoteSink;
use crate::duty::operator::OperatorRequest;
use crate::duty::operator_responder::OperatorResponder;
use crate::duty::peer::PeerHandle;
use crate::duty::recorder::Recorder;
use crate::duty::store::{Certainty, StoreError, StoreEvent, StoreHandle, StoreRequest};
use crate::duty::target::TargetHandle;
use crate::node::{CallEnd, Node, NodeAction, NodeEvent, TargetOutcome, Ticket};

/// New work is refused once the ring is more than `1 / NEW_WORK_RING_DIVISOR` full, which reserves
/// room for the events that complete calls.
const NEW_WORK_RING_DIVISOR: usize = 2;
/// The most queued events handled before the wake-up time is computed again.
const BATCH_EVENTS_MAX: usize = 64;
/// The longest wait for an event, so that a paused clock in a test cannot block the thread forever.
const WAIT_MAX: Duration = Duration::from_secs(1);

/// One entry of the ring.
#[derive(Debug)]
enum Entry {
    /// An event without a reply.
    Event(NodeEvent),
    /// A request that is answered when its call ends.
    Call {
        /// Identifies the request.
        ticket: Ticket,
        /// The event that carries the request.
        event: NodeEvent,
        /// Receives the end of the call.
        reply: oneshot::Sender<CallEnd>,
    },
    /// An operator's request.
    Operator(OperatorRequest),
}

/// The ring was full, or the node has stopped; the event was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the node's event ring is full")]
pub struct RingFull;

/// Queues events for the decider thread.
#[derive(Clone, Debug)]
pub struct DeciderHandle {
    /// The sending end of the ring.
    ring: Sender<Entry>,
    /// The next ticket number.
    tickets: Arc<AtomicU64>,
    /// Counts new work that was refused because the ring was too full.
    refused: Counter,
}

impl DeciderHandle {
    /// Creates a ring of `entries`; returns its sending and its receiving end.
    pub fn ring(entries: usize) -> (Self, DeciderRing) {
        let (ring, receiver) = crossbeam_channel::bounded(entries);
        (Self { ring, tickets: Arc::default(), refused: Counter::noop() }, DeciderRing(receiver))
    }

    /// Counts refused new work in `refused`.
    pub fn with_refused_counter(self, refused: Counter) -> Self {
        Self { refused, ..self }
    }

    /// Queues new work unless the ring is too full.
    fn try_push(&self, entry: Entry) -> Result<(), RingFull> {
        let capacity = self.ring.capacity().unwrap_or(usize::MAX);
        let over_limit = self.ring.len() > capacity / NEW_WORK_RING_DIVISOR;
        if over_limit || self.ring.try_send(entry).is_err() {
            self.refused.increment(1);
            return Err(RingFull);
        }
        Ok(())
    }

    /// Queues a new request unless the ring is too full. Returns its ticket and the receiver of the
    /// call's end.
    pub fn submit_call(
        &self,
        make_event: impl FnOnce(Ticket) -> NodeEvent,
    ) -> Result<(Ticket, oneshot::Receiver<CallEnd>), RingFull> {
        let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        let (reply, end_receiver) = oneshot::channel();
        self.try_push(Entry::Call { ticket, event: make_event(ticket), reply })?;
        Ok((ticket, end_receiver))
    }

    /// Queues an event for new work, which may be refused.
    pub fn try_submit_event(&self, event: NodeEvent) -> Result<(), RingFull> {
        self.try_push(Entry::Event(event))
    }

    /// Queues an event that must not be lost, blocking while the ring is full. Returns false once the
    /// node has stopped.
    pub fn submit_event(&self, event: NodeEvent) -> bool {
        self.ring.send(Entry::Event(event)).is_ok()
    }

    /// Queues an operator's request, or returns it when the ring is full or the node has stopped.
    pub fn try_submit_operator(&self, request: OperatorRequest) -> Result<(), OperatorRequest> {
        match self.ring.try_send(Entry::Operator(request)) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(entry) | TrySendError::Disconnected(entry)) => match entry {
                Entry::Operator(request) => Err(request),
                // Unreachable: the channel returns the entry that was sent.
                Entry::Event(_) | Entry::Call { .. } => Ok(()),
            },
        }
    }

    /// The number of queued entries.
    pub fn queue_len(&self) -> usize {
        self.ring.len()
    }
}

/// The receiving end of the decider's ring.
#[derive(Debug)]
pub struct DeciderRing(Receiver<Entry>);

/// Handles of the I/O threads that execute the node's actions.
pub struct IoHandles {
    /// Sends messages to other nodes.
    pub peers: PeerHandle,
    /// Sends requests to the target.
    pub target: TargetHandle,
    /// Sends requests to the platform's table service.
    pub store: StoreHandle,
}

/// Starts the decider thread; it ends when the node requests its exit.
pub fn start(
    mut node: Node,
    clock: Clock,
    ring: DeciderRing,
    io: IoHandles,
    note_sink: NoteSink,
    recorder: Recorder,
) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name("decider".to_owned()).spawn(move || {
        let mut decider = Decider {
            clock,
            io,
            note_sink,
            recorder,
            operators: OperatorResponder::default(),
            next_load_sample_us: 0,
            pending_calls: HashMap::new(),
            stopping: false,
        };
        decider.run(&mut node, &ring.0);
        decider.recorder.finish();
    })
}

/// The state of the decider thread other than the node.
struct Decider {
    /// Records the node's input events, if recording is enabled.
    recorder: Recorder,
    /// The clock that stamps events.
    clock: Clock,
    /// The I/O threads.
    io: IoHandles,
    /// Receives the node's notes: log events, metrics and spans.
    note_sink: NoteSink,
    /// Answers operators' requests.
    operators: OperatorResponder,
    /// When the load metrics are updated next, in microseconds.
    next_load_sample_us: u64,
    /// The reply channels of calls in flight.
    pending_calls: HashMap<Ticket, oneshot::Sender<CallEnd>>,
    /// Whether the node has requested its exit.
    stopping: bool,
}

impl Decider {
    /// Handles events until the node requests its exit.
    fn run(&mut self, node: &mut Node, ring: &Receiver<Entry>) {
        while !self.stopping {
            let wait = self.time_until_wake(node);
            match ring.recv_timeout(wait) {
                Ok(entry) => self.handle_entry(node, entry),
                Err(RecvTimeoutError::Timeout) => self.handle(node, NodeEvent::Tick),
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for entry in ring.try_iter().take(BATCH_EVENTS_MAX) {
                self.handle_entry(node, entry);
            }
            self.record_loads(node);
        }
    }

    /// Updates the load metrics of the arms once per second.
    fn record_loads(&mut self, node: &Node) {
        let now_us = self.clock.now_us();
        if now_us < self.next_load_sample_us {
            return;
        }
        self.next_load_sample_us = now_us + US_PER_S;
        self.note_sink.record_loads(&node.loads(now_us));
    }

    /// How long the thread may wait until the node's next deadline.
    fn time_until_wake(&self, node: &Node) -> Duration {
        let Some(at_us) = node.next_wake_us() else { return WAIT_MAX };
        Duration::from_micros(at_us.saturating_sub(self.clock.now_us())).min(WAIT_MAX)
    }

    /// Handles one entry of the ring.
    fn handle_entry(&mut self, node: &mut Node, entry: Entry) {
        match entry {
            Entry::Event(event) => self.handle(node, event),
            Entry::Call { ticket, event, reply } => {
                self.pending_calls.insert(ticket, reply);
                self.handle(node, event);
            }
            Entry::Operator(request) => {
                let event = self.operators.handle(self.clock.now_us(), node, request);
                if let Some(event) = event {
                    self.handle(node, event);
                }
            }
        }
    }

    /// Passes an event to the node and executes the resulting actions. Actions that fail are fed back
    /// as events.
    fn handle(&mut self, node: &mut Node, event: NodeEvent) {
        let mut actions = Vec::new();
        let now_us = self.clock.now_us();
        self.recorder.record(now_us, &event);
        node.handle(now_us, event, &mut actions);
        let mut failed = Vec::new();
        for action in actions {
            self.execute(action, &mut failed);
        }
        for event in failed {
            self.handle(node, event);
        }
    }

    /// Executes one action; a failure is added to `failed` as an event.
    fn execute(&mut self, action: NodeAction, failed: &mut Vec<NodeEvent>) {
        match action {
            NodeAction::Reply { ticket, end } => self.reply(ticket, end),
            NodeAction::Send { to, message } => {
                if self.io.peers.send(to, &message).is_err() {
                    failed.push(NodeEvent::SendFailed { message });
                }
            }
            NodeAction::Return { path, message } => {
                // If the reply cannot be sent, the sender's deadline or fence settles the attempt.
                let _ = self.io.peers.reply(path, &message);
            }
            NodeAction::Forget { peer } => self.io.peers.disconnect(peer),
            NodeAction::RunTarget(call) => {
                let attempt = call.attempt;
                if self.io.target.run(*call).is_err() {
                    let outcome = TargetOutcome::NoRoom;
                    failed.push(NodeEvent::TargetEnded { attempt, outcome });
                }
            }
            NodeAction::AbortTarget { attempt } => self.io.target.abort(attempt),
            NodeAction::Store(request) => self.submit_to_store(request, failed),
            NodeAction::Submitted { submission, outcome } => {
                self.operators.complete_submission(submission, outcome);
            }
            NodeAction::Note(note) => self.note_sink.record(note),
            NodeAction::Exit => self.stopping = true,
        }
    }

    /// Queues a request to the table service; a full queue is reported as an event.
    fn submit_to_store(&self, request: StoreRequest, failed: &mut Vec<NodeEvent>) {
        let id = request.id;
        if self.io.store.try_submit(request).is_ok() {
            return;
        }
        let cause = "the ring to the store thread is full".to_owned();
        let error = StoreError { certainty: Certainty::NotApplied, cause };
        failed.push(NodeEvent::Store(StoreEvent { id, outcome: Err(error) }));
    }

    /// Completes a request of one of the node's own listeners.
    fn reply(&mut self, ticket: Ticket, end: CallEnd) {
        if let Some(reply) = self.pending_calls.remove(&ticket) {
            // The caller may have disconnected; its slot and allowance are already released.
            let _ = reply.send(end);
        }
    }
}
