//! The thread that owns the node: it takes events from one bounded ring and carries actions out.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use ::metrics::Counter;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError};
use tokio::sync::oneshot;

use crate::clock::{Clock, US_PER_S};
use crate::duty::desk::Desk;
use crate::duty::note::Notes;
use crate::duty::operator::OperatorRequest;
use crate::duty::peer::PeerHandle;
use crate::duty::recorder::Recorder;
use crate::duty::store::{Certainty, StoreError, StoreEvent, StoreHandle, StoreRequest};
use crate::duty::target::TargetHandle;
use crate::node::{CallEnd, Node, NodeAction, NodeEvent, TargetOutcome, Ticket};

/// New calls are refused when the ring is fuller than one part in this many, which leaves room for
/// the answers that end calls.
const CALL_SHARE_DIVISOR: usize = 2;
/// How many events are taken in one go before the wake-up time is computed again.
const BATCH: usize = 64;
/// The longest the thread sleeps, so that a stopped clock in a test cannot hold it for ever.
const SLEEP_MAX: Duration = Duration::from_secs(1);

/// One entry of the ring.
#[derive(Debug)]
enum Entry {
    /// Something that happened.
    Event(NodeEvent),
    /// A request that waits for its end.
    Call {
        /// Its ticket.
        ticket: Ticket,
        /// The event that carries it.
        event: NodeEvent,
        /// Where its end goes.
        reply: oneshot::Sender<CallEnd>,
    },
    /// A request of an operator.
    Operator(OperatorRequest),
}

/// The ring was full, or the node has stopped: the event was not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the node's ring is full")]
pub struct RingFull;

/// Puts events into the ring.
#[derive(Clone, Debug)]
pub struct DeciderHandle {
    /// The ring.
    ring: Sender<Entry>,
    /// Numbers tickets.
    tickets: Arc<AtomicU64>,
    /// Counts what the ring had no room for.
    refused: Counter,
}

impl DeciderHandle {
    /// A ring of `entries`, and the end the decider takes from.
    pub fn ring(entries: usize) -> (Self, DeciderRing) {
        let (ring, taken) = crossbeam_channel::bounded(entries);
        (Self { ring, tickets: Arc::default(), refused: Counter::noop() }, DeciderRing(taken))
    }

    /// The same handle, which counts what the ring has no room for.
    pub fn counting(self, refused: Counter) -> Self {
        Self { refused, ..self }
    }

    /// Puts something new into the ring, unless it is too full.
    fn put(&self, entry: Entry) -> Result<(), RingFull> {
        let capacity = self.ring.capacity().unwrap_or(usize::MAX);
        let crowded = self.ring.len() > capacity / CALL_SHARE_DIVISOR;
        if crowded || self.ring.try_send(entry).is_err() {
            self.refused.increment(1);
            return Err(RingFull);
        }
        Ok(())
    }

    /// Hands a new request in, unless the ring is too full, and returns its ticket and where its end
    /// will come.
    pub fn call(
        &self,
        make: impl FnOnce(Ticket) -> NodeEvent,
    ) -> Result<(Ticket, oneshot::Receiver<CallEnd>), RingFull> {
        let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        let (reply, end) = oneshot::channel();
        self.put(Entry::Call { ticket, event: make(ticket), reply })?;
        Ok((ticket, end))
    }

    /// Hands in something new that may be refused.
    pub fn offer(&self, event: NodeEvent) -> Result<(), RingFull> {
        self.put(Entry::Event(event))
    }

    /// Hands in something that must not be lost, waiting for room; false once the node has stopped.
    pub fn tell(&self, event: NodeEvent) -> bool {
        self.ring.send(Entry::Event(event)).is_ok()
    }

    /// Hands a request of an operator in, or gives it back where there is no room.
    pub fn ask(&self, request: OperatorRequest) -> Result<(), OperatorRequest> {
        match self.ring.try_send(Entry::Operator(request)) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(entry) | TrySendError::Disconnected(entry)) => match entry {
                Entry::Operator(request) => Err(request),
                // What was put in is what comes back.
                Entry::Event(_) | Entry::Call { .. } => Ok(()),
            },
        }
    }

    /// How many entries the ring holds now.
    pub fn fill(&self) -> usize {
        self.ring.len()
    }
}

/// The end of the ring that the decider takes from.
#[derive(Debug)]
pub struct DeciderRing(Receiver<Entry>);

/// The threads that carry actions out.
pub struct Hands {
    /// Carries messages to other nodes.
    pub peers: PeerHandle,
    /// Carries requests to the target.
    pub target: TargetHandle,
    /// Carries requests to the platform.
    pub store: StoreHandle,
}

/// Starts the thread; it ends when the node asks to be stopped.
pub fn start(
    mut node: Node,
    clock: Clock,
    ring: DeciderRing,
    hands: Hands,
    notes: Notes,
    recorder: Recorder,
) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name("decider".to_owned()).spawn(move || {
        let mut decider = Decider {
            clock,
            hands,
            notes,
            recorder,
            desk: Desk::default(),
            next_show_us: 0,
            waiting: HashMap::new(),
            stop: false,
        };
        decider.run(&mut node, &ring.0);
        decider.recorder.finish();
    })
}

/// What the thread keeps beside the node.
struct Decider {
    /// Writes down what the node is told, where that is wanted.
    recorder: Recorder,
    /// The time.
    clock: Clock,
    /// The other threads.
    hands: Hands,
    /// Where notes go.
    notes: Notes,
    /// Who waits among operators.
    desk: Desk,
    /// When the loads are shown next, in microseconds.
    next_show_us: u64,
    /// Where the ends of requests go.
    waiting: HashMap<Ticket, oneshot::Sender<CallEnd>>,
    /// Whether the node has asked to be stopped.
    stop: bool,
}

impl Decider {
    /// Takes events until the node asks to be stopped.
    fn run(&mut self, node: &mut Node, ring: &Receiver<Entry>) {
        while !self.stop {
            let wait = self.time_to_wake(node);
            match ring.recv_timeout(wait) {
                Ok(entry) => self.take(node, entry),
                Err(RecvTimeoutError::Timeout) => self.handle(node, NodeEvent::Tick),
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for entry in ring.try_iter().take(BATCH) {
                self.take(node, entry);
            }
            self.show_loads(node);
        }
    }

    /// Shows the loads of the arms now and then.
    fn show_loads(&mut self, node: &Node) {
        let now_us = self.clock.now_us();
        if now_us < self.next_show_us {
            return;
        }
        self.next_show_us = now_us + US_PER_S;
        self.notes.show_loads(&node.loads(now_us));
    }

    /// How long nothing is due.
    fn time_to_wake(&self, node: &Node) -> Duration {
        let Some(at_us) = node.next_wake_us() else { return SLEEP_MAX };
        Duration::from_micros(at_us.saturating_sub(self.clock.now_us())).min(SLEEP_MAX)
    }

    /// Takes one entry of the ring.
    fn take(&mut self, node: &mut Node, entry: Entry) {
        match entry {
            Entry::Event(event) => self.handle(node, event),
            Entry::Call { ticket, event, reply } => {
                self.waiting.insert(ticket, reply);
                self.handle(node, event);
            }
            Entry::Operator(request) => {
                let event = self.desk.take(self.clock.now_us(), node, request);
                if let Some(event) = event {
                    self.handle(node, event);
                }
            }
        }
    }

    /// Lets the node decide and carries its actions out.
    fn handle(&mut self, node: &mut Node, event: NodeEvent) {
        let mut actions = Vec::new();
        let now_us = self.clock.now_us();
        self.recorder.take(now_us, &event);
        node.handle(now_us, event, &mut actions);
        let mut failed = Vec::new();
        for action in actions {
            self.carry_out(action, &mut failed);
        }
        for event in failed {
            self.handle(node, event);
        }
    }

    /// Carries one action out; what could not be done comes back as an event.
    fn carry_out(&mut self, action: NodeAction, failed: &mut Vec<NodeEvent>) {
        match action {
            NodeAction::Reply { ticket, end } => self.reply(ticket, end),
            NodeAction::Send { to, message } => {
                if self.hands.peers.send(to, &message).is_err() {
                    failed.push(NodeEvent::SendFailed { message });
                }
            }
            NodeAction::Return { path, message } => {
                // A reply that cannot be sent is settled by the sender's own deadline or fence.
                let _ = self.hands.peers.reply(path, &message);
            }
            NodeAction::Forget { peer } => self.hands.peers.disconnect(peer),
            NodeAction::RunTarget(call) => {
                let attempt = call.attempt;
                if self.hands.target.run(*call).is_err() {
                    let outcome = TargetOutcome::NoRoom;
                    failed.push(NodeEvent::TargetEnded { attempt, outcome });
                }
            }
            NodeAction::AbortTarget { attempt } => self.hands.target.abort(attempt),
            NodeAction::Store(request) => self.submit(request, failed),
            NodeAction::Submitted { submission, outcome } => {
                self.desk.submitted(submission, outcome);
            }
            NodeAction::Note(note) => self.notes.take(note),
            NodeAction::Exit => self.stop = true,
        }
    }

    /// Hands a request to the thread that talks to the platform.
    fn submit(&self, request: StoreRequest, failed: &mut Vec<NodeEvent>) {
        let id = request.id;
        if self.hands.store.try_submit(request).is_ok() {
            return;
        }
        let cause = "the ring to the table service's thread is full".to_owned();
        let error = StoreError { certainty: Certainty::NotApplied, cause };
        failed.push(NodeEvent::Store(StoreEvent { id, outcome: Err(error) }));
    }

    /// Ends a request of one of the node's own listeners.
    fn reply(&mut self, ticket: Ticket, end: CallEnd) {
        if let Some(reply) = self.waiting.remove(&ticket) {
            // The caller may have gone; its slot and allowance are free already.
            let _ = reply.send(end);
        }
    }
}
