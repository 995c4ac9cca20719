//! The node: one aggregate that joins all decisions, without I/O and without a clock.
//!
//! A node is told what happened and when, and answers with actions. One thread owns it (see
//! `duty::decider`); tests own several and carry the actions between them.

mod event;
pub mod header;
mod hop;
mod inbound;
mod intake;
mod links;
pub mod note;
mod platform;
mod receiving;
mod retrying;
mod roster;
mod sending;
mod settling;
mod span;
mod status;
mod timer;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use bon::Builder;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use crate::admission::{Admission, Decision};
use crate::call::{AnswerFrame, ArmId, AttemptId, CallFrame, Message, NodeId, Verdict};
use crate::config::{RetryRule, Rules, Settings};
use crate::configuration::BuildRules;
use crate::event::LogEvent;
use crate::once::{AttemptTable, Ledger};
use crate::retry::{RetryBudget, RootAllowances};
use crate::routing::Router;

pub use event::{
    Announcement, Asker, CallEnd, Intake, NodeAction, NodeEvent, ReplyPath, TargetCall,
    TargetOutcome, Ticket,
};
pub use hop::{Hop, HopId, HopKey, HopState};
pub use inbound::{Inbound, Stage};
pub use note::Note;
pub use status::NodeStatus;

use platform::Asked;
use roster::Roster;
use timer::{Due, Timers};

/// Who a node is.
#[derive(Clone, Debug, Builder, Serialize, Deserialize)]
pub struct NodeIdentity {
    /// This life of the node.
    pub id: NodeId,
    /// Where other nodes reach it.
    pub peer_address: SocketAddr,
    /// The seed of its random choices.
    pub seed: u64,
    /// The wall clock at moment zero, in milliseconds since the Unix epoch.
    pub origin_unix_ms: u64,
}

/// All state of one node.
pub struct Node {
    /// Who it is.
    identity: NodeIdentity,
    /// What it was told at its start.
    settings: Arc<Settings>,
    /// The rules in force.
    rules: Arc<Rules>,
    /// The random numbers of its choices.
    rng: SmallRng,
    /// Which calls the target may run.
    admission: Admission,
    /// Where calls are sent.
    router: Router,
    /// The retry allowances of roots that entered here.
    allowances: RootAllowances,
    /// The retry budgets of this node, by arm.
    budgets: HashMap<ArmId, RetryBudget>,
    /// What was run under keys of this node.
    ledger: Ledger,
    /// What became of attempts received.
    attempt_table: AttemptTable,
    /// The other nodes and the configuration in force.
    roster: Roster,
    /// Requests being sent on.
    hops: HashMap<HopId, Hop>,
    /// Which hop an attempt on its way belongs to.
    outstanding: HashMap<AttemptId, HopId>,
    /// Attempts received and not finished.
    inbound: HashMap<AttemptId, Inbound>,
    /// Which attempt a target's call belongs to.
    tokens: HashMap<String, AttemptId>,
    /// The target beside this node, once it has announced itself.
    target: Option<KnownTarget>,
    /// Typical latency of each service as senders see it, in microseconds.
    service_latency_us: HashMap<String, u64>,
    /// When each service was first asked about, in microseconds since the process started.
    wanted: HashMap<String, u64>,
    /// What is due when.
    timers: Timers,
    /// Frames this node sent to itself, not yet taken in.
    local: VecDeque<LocalFrame>,
    /// When the node may stop, once it leaves.
    leave_after_us: Option<u64>,
    /// Whether the node has asked to be stopped.
    exited: bool,
    /// What requests to the table service were for.
    asked: HashMap<u64, Asked>,
    /// Numbers hops, attempts and requests to the table service.
    sequence: u64,
}

/// The target beside the node.
#[derive(Clone, Debug)]
struct KnownTarget {
    /// What it said about itself.
    announcement: Announcement,
    /// When it said so last, in microseconds since the process started.
    heard_us: u64,
}

/// A frame on its way from this node to itself.
#[derive(Debug)]
enum LocalFrame {
    /// An attempt.
    Call(Box<CallFrame>),
    /// The answer to an attempt.
    Answer(AnswerFrame),
    /// The sender's loss of interest.
    Cancel(AttemptId),
}

impl Node {
    /// A node that knows nothing yet but its settings.
    ///
    /// `build` makes the site's rules from a submitted document.
    pub fn new(
        now_us: u64,
        identity: NodeIdentity,
        settings: Arc<Settings>,
        build: BuildRules,
    ) -> Self {
        let rules = Arc::new(settings.rules.clone());
        let own = &settings.node;
        let mut node = Self {
            rng: SmallRng::seed_from_u64(identity.seed),
            admission: Admission::new(now_us, &rules, &own.service),
            router: Router::new(identity.id, &own.failure_domain, &rules),
            allowances: RootAllowances::new(),
            budgets: HashMap::new(),
            ledger: settling::new_ledger(identity.id),
            attempt_table: settling::new_attempt_table(),
            roster: Roster::new(now_us, &identity, &settings, build),
            hops: HashMap::new(),
            outstanding: HashMap::new(),
            inbound: HashMap::new(),
            tokens: HashMap::new(),
            target: None,
            service_latency_us: HashMap::new(),
            wanted: HashMap::new(),
            timers: Timers::default(),
            local: VecDeque::new(),
            leave_after_us: None,
            exited: false,
            asked: HashMap::new(),
            sequence: 0,
            rules,
            settings,
            identity,
        };
        node.reset_budgets();
        node
    }

    /// Takes one event in and appends what is to be done to `out`.
    pub fn handle(&mut self, now_us: u64, event: NodeEvent, out: &mut Vec<NodeAction>) {
        self.take(now_us, event, out);
        self.run_local(now_us, out);
        self.run_due(now_us, out);
        self.run_local(now_us, out);
        self.check_left(now_us, out);
    }

    /// When the node wants to be told that time has passed.
    pub fn next_wake_us(&self) -> Option<u64> {
        let sources = [
            self.timers.next_us(),
            self.admission.next_wake_us(),
            self.roster.next_wake_us(),
            self.target_silent_us(),
            self.leave_after_us.filter(|_| !self.exited),
        ];
        sources.into_iter().flatten().min()
    }

    /// Who the node is.
    pub fn id(&self) -> NodeId {
        self.identity.id
    }

    /// The wall clock at `now_us`, in milliseconds since the Unix epoch.
    pub fn unix_ms(&self, now_us: u64) -> u64 {
        self.identity.origin_unix_ms + now_us / crate::clock::US_PER_MS
    }

    /// Takes one event in.
    fn take(&mut self, now_us: u64, event: NodeEvent, out: &mut Vec<NodeAction>) {
        match event {
            NodeEvent::CallerCall(intake) => self.take_caller_call(now_us, intake, out),
            NodeEvent::MintKey { ticket, service } => {
                self.mint_for_caller(now_us, ticket, &service, out);
            }
            NodeEvent::CallerGone { ticket } => self.take_caller_gone(now_us, ticket, out),
            NodeEvent::TargetCall { intake, token } => {
                self.take_target_call(now_us, intake, token.as_deref(), out);
            }
            NodeEvent::PeerRequest { path, message } => {
                self.take_request(now_us, ReplyPath::Peer(path), message, out);
            }
            NodeEvent::PeerReply { message, .. } => self.take_reply(now_us, message, out),
            NodeEvent::LinkLost { peer } => self.take_link_lost(now_us, peer, out),
            NodeEvent::LinkUp { peer } => self.take_link_up(now_us, peer, out),
            NodeEvent::SendFailed { message } => self.take_send_failed(now_us, message, out),
            NodeEvent::TargetEnded { attempt, outcome } => {
                self.take_target_ended(now_us, attempt, outcome, out);
            }
            NodeEvent::TargetAnnounced(announcement) => {
                self.take_announcement(now_us, announcement, out);
            }
            NodeEvent::Submit(submit) => self.take_submission(now_us, submit, out),
            NodeEvent::Leave { asked_by } => self.leave(now_us, asked_by, out),
            NodeEvent::Store(event) => self.take_store_event(now_us, event, out),
            NodeEvent::Tick => {}
        }
    }

    /// Takes in the frames this node sent to itself.
    fn run_local(&mut self, now_us: u64, out: &mut Vec<NodeAction>) {
        while let Some(frame) = self.local.pop_front() {
            match frame {
                LocalFrame::Call(call) => self.receive_call(now_us, ReplyPath::Local, *call, out),
                LocalFrame::Answer(answer) => self.take_answer(now_us, answer, out),
                LocalFrame::Cancel(attempt) => self.receive_cancel(now_us, attempt, out),
            }
        }
    }

    /// Does everything that is due.
    fn run_due(&mut self, now_us: u64, out: &mut Vec<NodeAction>) {
        while let Some(due) = self.timers.pop(now_us) {
            match due {
                Due::HopDeadline(hop) => self.hop_deadline(now_us, hop, out),
                Due::HopStep(hop) => self.hop_step(now_us, hop, out),
                Due::InboundDeadline(attempt) => self.inbound_deadline(now_us, attempt, out),
            }
            // An answer that this timer gave to the node itself counts before later timers: else a
            // request refused in the queue would end in doubt by its sender's own deadline.
            self.run_local(now_us, out);
        }
        let mut decisions = Vec::new();
        self.admission.poll(now_us, &mut decisions);
        self.apply_decisions(now_us, decisions, out);
        self.check_target(now_us, out);
        self.run_roster(now_us, out);
        self.allowances.expire(now_us);
        self.attempt_table.expire(now_us);
        self.ledger.expire(self.unix_ms(now_us));
    }

    /// Carries out what admission decided.
    fn apply_decisions(
        &mut self,
        now_us: u64,
        decisions: Vec<Decision>,
        out: &mut Vec<NodeAction>,
    ) {
        for decision in decisions {
            match decision {
                Decision::Run { attempt } => self.run_on_target(now_us, attempt, out),
                Decision::Refuse { attempt, refusal } => {
                    self.refuse_inbound(now_us, attempt, refusal, out);
                }
            }
        }
    }

    /// Sends a message to another node, or to this one.
    fn send(&mut self, to: NodeId, message: Message, out: &mut Vec<NodeAction>) -> bool {
        if to == self.identity.id {
            self.send_local(message);
            return true;
        }
        let Some(address) = self.router.address(to) else { return false };
        out.push(NodeAction::Send { to: address, message });
        true
    }

    /// Queues a message for this node itself.
    fn send_local(&mut self, message: Message) {
        match message {
            Message::Call(call) => self.local.push_back(LocalFrame::Call(call)),
            Message::Cancel(attempt) => self.local.push_back(LocalFrame::Cancel(attempt)),
            // Nothing else is ever addressed to oneself: a node's own allowance and book are read
            // directly, and its connection to itself cannot be lost.
            _ => {}
        }
    }

    /// Writes an event to the log.
    fn log(&self, event: LogEvent, out: &mut Vec<NodeAction>) {
        out.push(NodeAction::Note(Note::Event(Box::new(event))));
    }

    /// The number of the next hop or attempt.
    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Makes the retry budgets those of the rules in force; what an arm has earned stays.
    fn reset_budgets(&mut self) {
        let mut kept = std::mem::take(&mut self.budgets);
        for arm in &self.rules.arms {
            let id = ArmId(arm.id);
            let share = match self.rules.policy_of(id).retry {
                RetryRule::Bounded { budget_share, .. } => budget_share,
                RetryRule::None | RetryRule::Naive { .. } => 0.0,
            };
            let mut budget = kept.remove(&id).unwrap_or_else(|| RetryBudget::new(share));
            budget.set_share(share);
            self.budgets.insert(id, budget);
        }
    }
}
