//! Simulates several nodes with their ledgers and attempt tables and a network that loses,
//! duplicates and reorders messages, and checks the invariants in each step. A [`Flaw`] disables
//! one mechanism.

mod node;
mod receiver;
mod step;

use std::collections::{HashMap, HashSet};

use aspenspring::call::{
    AttemptId, HttpAnswer, Key, KeyLifetime, NodeId, Refusal, RefusalReason, Verdict,
};
use aspenspring::once::{CallToken, Handover, InFlightAttempts, Outcome};

use node::{Node, new_attempt_table, new_ledger};
pub use step::{End, EventCounts, Flaw, Invariant, Op, RunOutcome, Trace};

const START_UNIX_MS: u64 = 1_000_000_000;
const CALL_US: u64 = 1_000_000;
const HANDOVER_MAX_BYTES: usize = 4_096;
/// The clock offset of each node, in milliseconds.
const CLOCK_OFFSETS_MS: [u64; 3] = [0, 400, 900];

#[derive(Clone, Debug)]
enum Message {
    Call { to: NodeId, attempt: AttemptId, key: Key },
    Fence { to: NodeId, attempt: AttemptId },
    Answer { from: NodeId, attempt: AttemptId, verdict: Verdict },
    Handover { to: NodeId, bytes: Vec<u8> },
}

/// One request of a caller with its attempts.
struct Request {
    sender: usize,
    key_index: usize,
    /// The attempts, each with the incarnation it was sent to and the key it was sent with.
    attempts: Vec<(AttemptId, NodeId, Key)>,
    outcome: Outcome,
    /// The last verdict that was reported to the caller.
    reported: Option<String>,
}

pub struct World {
    flaw: Option<Flaw>,
    /// The only invariant that is checked; `None` to check all.
    only: Option<Invariant>,
    pub counts: EventCounts,
    now_us: u64,
    last_id: u64,
    nodes: Vec<Node>,
    /// The index in `nodes` of each incarnation, also of past ones.
    index_by_incarnation: HashMap<NodeId, usize>,
    /// The node, the last sequence number and the attempts in flight of each sender.
    senders: Vec<(NodeId, u64, InFlightAttempts)>,
    /// The messages in flight.
    network: Vec<Message>,
    keys: Vec<Key>,
    /// How often each key ran.
    runs: Vec<u32>,
    requests: Vec<Request>,
    /// The index of the request that each attempt belongs to.
    request_of: HashMap<AttemptId, usize>,
    /// The attempts that ran.
    ran: HashSet<AttemptId>,
    reported_not_run: HashSet<AttemptId>,
}

/// The result of a step: the invariant that it violated, if any.
type Checked = Result<(), Invariant>;

impl World {
    pub fn new(flaw: Option<Flaw>) -> Self {
        let nodes: Vec<Node> = (0..3).map(|index| Node::new(NodeId(100 + index))).collect();
        let index_by_incarnation =
            nodes.iter().enumerate().map(|(index, node)| (node.id, index)).collect();
        let sender = |index| (NodeId(index), 0, InFlightAttempts::default());
        let mut world = Self {
            flaw,
            only: flaw.map(Flaw::violates),
            counts: EventCounts::default(),
            now_us: 0,
            last_id: 200,
            nodes,
            index_by_incarnation,
            senders: (1..3).map(sender).collect(),
            network: Vec::new(),
            keys: Vec::new(),
            runs: Vec::new(),
            requests: Vec::new(),
            request_of: HashMap::new(),
            ran: HashSet::new(),
            reported_not_run: HashSet::new(),
        };
        world.mint(0, KeyLifetime::Caller);
        world.mint(1, KeyLifetime::Caller);
        world
    }

    /// Performs one step and checks the invariants that it affects.
    pub fn step(&mut self, op: Op) -> Checked {
        match op {
            Op::Mint { node } => self.mint(node, KeyLifetime::Caller),
            Op::MintForRequest { node } => self.mint(node, KeyLifetime::OneRequest),
            Op::Send { sender, key, recipient } => self.send(sender, key, recipient),
            Op::Deliver { message, duplicated } => return self.deliver(message, duplicated),
            Op::Lose { message } => {
                if let Some(index) = pick(message, self.network.len()) {
                    self.network.swap_remove(index);
                }
            }
            Op::Start { node, call } => return self.start(node, call),
            Op::Refuse { node, call } => return self.refuse(node, call, None),
            Op::Delegate { node, call, to } => return self.refuse(node, call, Some(to)),
            Op::Finish { node, call, end } => return self.finish(node, call, end),
            Op::Fence { attempt } => self.fence(attempt),
            Op::Crash { node } => self.crash(usize::from(node) % 3),
            Op::Freeze { node, frozen } => self.nodes[usize::from(node) % 3].frozen = frozen,
            Op::Leave { node, successor } => self.leave(node, successor),
            Op::Wait { ms } => self.now_us += u64::from(ms) * 1_000,
            Op::Expire { node } => self.expire(usize::from(node) % 3),
        }
        Ok(())
    }

    /// Ends all queued and running calls, after which every attempt must have a verdict.
    pub fn drain(&mut self) -> Checked {
        for node in 0..3 {
            self.nodes[node].frozen = false;
            while !self.nodes[node].queue.is_empty() {
                self.refuse(node as u8, 0, None)?;
            }
            while !self.nodes[node].running.is_empty() {
                self.finish(node as u8, 0, End::Answered)?;
            }
            if self.nodes[node].attempt_table.in_progress() > 0 {
                self.violated(Invariant::EveryAttemptIsSettled)?;
            }
        }
        Ok(())
    }

    /// Returns the violated invariant as an error, unless only another one is checked.
    fn violated(&self, invariant: Invariant) -> Checked {
        match self.only {
            Some(only) if only != invariant => Ok(()),
            _ => Err(invariant),
        }
    }

    fn unix_ms(&self, node: usize) -> u64 {
        START_UNIX_MS + self.now_us / 1_000 + CLOCK_OFFSETS_MS[node]
    }

    fn mint(&mut self, node: u8, lifetime: KeyLifetime) {
        let node = usize::from(node) % 3;
        self.last_id += 1;
        let key = Key::mint(self.nodes[node].id, self.unix_ms(node), self.last_id, lifetime);
        self.runs.push(0);
        self.keys.push(key);
    }

    fn send(&mut self, sender: u8, key: u8, recipient: u8) {
        let sender = usize::from(sender) % self.senders.len();
        let key_index = usize::from(key) % self.keys.len();
        let key = self.keys[key_index];
        let to = match recipient {
            0 => key.owner,
            other => self.nodes[usize::from(other) % 3].id,
        };
        let outcome = Outcome::default();
        self.requests.push(Request {
            sender,
            key_index,
            attempts: Vec::new(),
            outcome,
            reported: None,
        });
        self.attempt(self.requests.len() - 1, to, key);
    }

    fn attempt(&mut self, request: usize, to: NodeId, key: Key) {
        let (origin, sequence, in_flight) = &mut self.senders[self.requests[request].sender];
        *sequence += 1;
        let attempt = AttemptId { origin: *origin, sequence: *sequence, nonce: 0 };
        in_flight.record_sent(attempt, to, CallToken(request as u64), self.now_us + CALL_US);
        self.requests[request].attempts.push((attempt, to, key));
        self.request_of.insert(attempt, request);
        self.network.push(Message::Call { to, attempt, key });
    }

    fn fence(&mut self, attempt: u8) {
        let attempts: Vec<(AttemptId, NodeId)> =
            self.requests.iter().flat_map(|r| &r.attempts).map(|(a, to, _)| (*a, *to)).collect();
        let Some(index) = pick(attempt, attempts.len()) else { return };
        let (attempt, to) = attempts[index];
        self.network.push(Message::Fence { to, attempt });
    }

    fn crash(&mut self, node: usize) {
        self.last_id += 1;
        let id = match self.flaw {
            Some(Flaw::SameIdentity) => self.nodes[node].id,
            _ => NodeId(self.last_id),
        };
        self.nodes[node] = Node::new(id);
        self.index_by_incarnation.insert(id, node);
    }

    fn leave(&mut self, node: u8, successor: u8) {
        let (node, successor) = (usize::from(node) % 3, usize::from(successor) % 3);
        let to = self.nodes[successor].id;
        let flaw = self.flaw;
        let leaving = &mut self.nodes[node];
        if leaving.frozen {
            return;
        }
        let bytes = match flaw {
            Some(Flaw::EmptyHandover) if leaving.ledger.running() == 0 => {
                new_ledger(leaving.id).hand_over(to, HANDOVER_MAX_BYTES)
            }
            Some(Flaw::OpenAfterHandover) if leaving.ledger.running() == 0 => {
                let mut copy = new_ledger(leaving.id);
                copy.hand_over(to, HANDOVER_MAX_BYTES)
            }
            _ => leaving.ledger.hand_over(to, HANDOVER_MAX_BYTES),
        };
        if let Ok(bytes) = bytes {
            self.network.push(Message::Handover { to, bytes });
        }
    }

    fn expire(&mut self, node: usize) {
        let (now_us, unix_ms, flaw) = (self.now_us, self.unix_ms(node), self.flaw);
        let node = &mut self.nodes[node];
        if node.frozen {
            return;
        }
        match flaw {
            Some(Flaw::LedgerForgets) if node.ledger.running() == 0 => {
                node.ledger = new_ledger(node.id);
            }
            Some(Flaw::AttemptTableForgets) if node.attempt_table.in_progress() == 0 => {
                node.attempt_table = new_attempt_table()
            }
            _ => {}
        }
        node.ledger.expire(unix_ms);
        node.attempt_table.expire(now_us);
    }

    fn deliver(&mut self, message: u8, duplicated: bool) -> Checked {
        let Some(index) = pick(message, self.network.len()) else { return Ok(()) };
        let message = self.network[index].clone();
        let to = match &message {
            Message::Call { to, .. } | Message::Fence { to, .. } => Some(*to),
            Message::Handover { to, .. } => Some(*to),
            Message::Answer { .. } => None,
        };
        // Other messages than calls are sent over a new connection if necessary, and so may reach
        // the next incarnation of the node. A call is lost with the connection to its incarnation.
        let is_bound_to_incarnation = matches!(message, Message::Call { .. })
            && self.flaw != Some(Flaw::CallsOutliveConnections);
        let is_reachable =
            |node: &usize| !is_bound_to_incarnation || Some(self.nodes[*node].id) == to;
        let node = to.map(|to| self.index_by_incarnation[&to]).filter(is_reachable);
        if node.is_some_and(|node| self.nodes[node].frozen) {
            return Ok(());
        }
        if !duplicated {
            self.network.swap_remove(index);
        }
        match (message, node) {
            (Message::Call { attempt, key, .. }, Some(node)) => {
                self.receive_call(node, attempt, key)
            }
            (Message::Fence { attempt, .. }, Some(node)) => self.receive_fence(node, attempt),
            (Message::Handover { bytes, .. }, Some(node)) => {
                let unix_ms = self.unix_ms(node);
                let handover =
                    Handover::decode(&bytes).map_err(|_| Invariant::HandoverIsReadable)?;
                let adopted = self.nodes[node].ledger.adopt(unix_ms, handover);
                self.counts.adopted += u32::from(adopted.is_ok());
                Ok(())
            }
            (Message::Answer { from, attempt, verdict }, _) => {
                self.receive_answer(from, attempt, verdict)
            }
            (_, None) => Ok(()),
        }
    }

    fn receive_answer(&mut self, from: NodeId, attempt: AttemptId, verdict: Verdict) -> Checked {
        let index = self.request_of[&attempt];
        let sender = self.requests[index].sender;
        let from = match self.flaw {
            Some(Flaw::AnyIncarnationMayAnswer) => self.sent_to(attempt),
            _ => from,
        };
        let Some(token) = self.senders[sender].2.take_answered(from, attempt) else {
            self.counts.dropped_answers += 1;
            return Ok(());
        };
        let request = &mut self.requests[token.0 as usize];
        let (_, _, key) = *request.attempts.iter().find(|(sent, ..)| *sent == attempt).unwrap();
        request.outcome.record(attempt, &verdict);
        let request = &self.requests[token.0 as usize];
        if let Verdict::Answered(answer) = &verdict {
            if *answer != answer_of(request.key_index) {
                self.violated(Invariant::OwnAnswer)?;
            }
        }
        let concluded = match self.flaw {
            Some(Flaw::LastRefusalWins) => verdict.clone(),
            _ => request.outcome.conclude(verdict.clone()),
        };
        let reported = match &concluded {
            Verdict::Answered(_) => "answered".to_string(),
            Verdict::NotRun(refusal) => format!("not run: {:?}", refusal.reason),
            Verdict::MayHaveRun(doubt) => format!("may have run: {doubt:?}"),
        };
        let has_run = request.attempts.iter().any(|(sent, ..)| self.ran.contains(sent));
        if concluded.is_not_run() && has_run {
            self.violated(Invariant::RunOfRequestIsNotDenied)?;
        }
        self.requests[token.0 as usize].reported = Some(reported);
        let Verdict::NotRun(Refusal { reason, .. }) = verdict else {
            // The sender retries a request that may have run, up to three attempts in total.
            return self.retry(token, verdict, key);
        };
        match reason {
            RefusalReason::KeyDelegated(to) => {
                self.attempt(token.0 as usize, to, key.delegated_to(to));
            }
            RefusalReason::KeyInherited(to) => self.attempt(token.0 as usize, to, key),
            _ => {}
        }
        Ok(())
    }

    fn retry(&mut self, token: CallToken, verdict: Verdict, key: Key) -> Checked {
        let index = token.0 as usize;
        let may_have_run = matches!(verdict, Verdict::MayHaveRun(_));
        if may_have_run && self.requests[index].attempts.len() < 3 {
            self.attempt(index, key.owner, key);
        }
        Ok(())
    }
}

/// The answer to requests with the key at `key_index`, different for each key.
fn answer_of(key_index: usize) -> HttpAnswer {
    let body = format!("run of key {key_index}").into_bytes().into();
    HttpAnswer { status: 200, headers: Vec::new(), body }
}

/// Maps `choice` to an index below `count`; `None` if `count` is 0.
fn pick(choice: u8, count: usize) -> Option<usize> {
    (count > 0).then(|| usize::from(choice) % count.max(1))
}

/// Performs all steps, drains the nodes and returns the event counts and the outcome.
pub fn run_ops(flaw: Option<Flaw>, ops: &[Op]) -> Result<(EventCounts, RunOutcome), Invariant> {
    let mut world = World::new(flaw);
    for op in ops {
        world.step(*op)?;
    }
    world.drain()?;
    let last_verdicts = world.requests.into_iter().map(|request| request.reported).collect();
    Ok((world.counts, RunOutcome { runs_of_keys: world.runs, last_verdicts }))
}
