//! The state machine of one node, without I/O or a clock.
//!
//! A [`Node`] handles events with their time and returns actions. One thread owns it (see
//! `duty::decider`); tests own several and deliver the actions between them.

mod cluster;
mod event;
pub mod header;
mod hop;
mod inbound;
mod ingress;
mod links;
pub mod note;
mod platform;
mod receiving;
mod retrying;
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
    Announcement, CallEnd, IncomingRequest, LeaveRequester, NodeAction, NodeEvent, ReplyPath,
    TargetCall, TargetOutcome, Ticket,
};
pub use hop::{Hop, HopId, HopKey, HopState};
pub use inbound::{Inbound, Stage};
pub use note::Note;
pub use status::NodeStatus;

use cluster::Cluster;
use platform::StoreRequestPurpose;
use timer::{TimerKind, Timers};

/// The identity of one node process.
#[derive(Clone, Debug, Builder, Serialize, Deserialize)]
pub struct NodeIdentity {
    /// A random id of this process; a restarted node has a new one.
    pub id: NodeId,
    /// The address at which other nodes reach it.
    pub peer_address: SocketAddr,
    /// The seed of its random number generators.
    pub seed: u64,
    /// The wall clock at time zero of the node, in milliseconds since the Unix epoch.
    pub origin_unix_ms: u64,
}

/// All state of one node.
pub struct Node {
    /// The identity of this process.
    identity: NodeIdentity,
    /// The settings it was started with.
    settings: Arc<Settings>,
    /// The rules in force.
    rules: Arc<Rules>,
    /// Random numbers for calls: ids, keys, routing and backoff.
    rng: SmallRng,
    /// Admission of calls to the target.
    admission: Admission,
    /// Selects the node for each attempt.
    router: Router,
    /// The retry allowances of root requests that entered at this node.
    allowances: RootAllowances,
    /// The retry budgets of this node, by arm.
    budgets: HashMap<ArmId, RetryBudget>,
    /// The idempotency keys owned by this node, with the results of their runs.
    ledger: Ledger,
    /// The verdicts of attempts received.
    attempt_table: AttemptTable,
    /// Membership and the configuration in force.
    cluster: Cluster,
    /// Requests being forwarded.
    hops: HashMap<HopId, Hop>,
    /// The hop of each attempt sent and not answered, and of each pending retry request.
    outstanding: HashMap<AttemptId, HopId>,
    /// Attempts received and not yet finished.
    inbound: HashMap<AttemptId, Inbound>,
    /// The running attempt for each token that was given to the target.
    tokens: HashMap<String, AttemptId>,
    /// The local target, once it has announced itself.
    target: Option<AnnouncedTarget>,
    /// Smoothed latency of each service as seen by this sender, in microseconds.
    service_latency_us: HashMap<String, u64>,
    /// When the members of each service were first requested, in microseconds since the process
    /// started.
    members_requested_us: HashMap<String, u64>,
    /// Pending timers.
    timers: Timers,
    /// Frames that this node sent to itself and has not processed yet.
    local_frames: VecDeque<LocalFrame>,
    /// When the node may stop; set once it is leaving.
    stop_after_us: Option<u64>,
    /// Whether [`NodeAction::Exit`] has been emitted.
    exit_requested: bool,
    /// The purpose of each pending request to the table service, by request id.
    store_requests: HashMap<u64, StoreRequestPurpose>,
    /// The last number given to a hop, an attempt or a request to the table service.
    sequence: u64,
}

/// The local target.
#[derive(Clone, Debug)]
struct AnnouncedTarget {
    /// Its latest announcement.
    announcement: Announcement,
    /// When it was last announced, in microseconds since the process started.
    announced_us: u64,
}

/// A frame that this node sent to itself.
#[derive(Debug)]
enum LocalFrame {
    /// An attempt.
    Call(Box<CallFrame>),
    /// The answer to an attempt.
    Answer(AnswerFrame),
    /// The sender cancelled an attempt.
    Cancel(AttemptId),
}

impl Node {
    /// Creates a node from its settings, without any known members.
    ///
    /// `build` builds the site's rules from a submitted document.
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
            cluster: Cluster::new(now_us, &identity, &settings, build),
            hops: HashMap::new(),
            outstanding: HashMap::new(),
            inbound: HashMap::new(),
            tokens: HashMap::new(),
            target: None,
            service_latency_us: HashMap::new(),
            members_requested_us: HashMap::new(),
            timers: Timers::default(),
            local_frames: VecDeque::new(),
            stop_after_us: None,
            exit_requested: false,
            store_requests: HashMap::new(),
            sequence: 0,
            rules,
            settings,
            identity,
        };
        node.reset_budgets();
        node
    }

    /// Handles one event, runs the timers that are due and appends the resulting actions to `out`.
    pub fn handle(&mut self, now_us: u64, event: NodeEvent, out: &mut Vec<NodeAction>) {
        self.dispatch(now_us, event, out);
        self.process_local_frames(now_us, out);
        self.run_timers(now_us, out);
        self.process_local_frames(now_us, out);
        self.exit_when_drained(now_us, out);
    }

    /// When the node next needs a [`NodeEvent::Tick`], in microseconds since the process started.
    pub fn next_wake_us(&self) -> Option<u64> {
        let sources = [
            self.timers.next_us(),
            self.admission.next_wake_us(),
            self.cluster.next_wake_us(),
            self.target_expiry_us(),
            self.stop_after_us.filter(|_| !self.exit_requested),
        ];
        sources.into_iter().flatten().min()
    }

    /// The id of this process.
    pub fn id(&self) -> NodeId {
        self.identity.id
    }

    /// The wall clock at `now_us`, in milliseconds since the Unix epoch.
    pub fn unix_ms(&self, now_us: u64) -> u64 {
        self.identity.origin_unix_ms + now_us / crate::clock::US_PER_MS
    }

    /// Passes an event to its handler.
    fn dispatch(&mut self, now_us: u64, event: NodeEvent, out: &mut Vec<NodeAction>) {
        match event {
            NodeEvent::CallerCall(incoming) => self.on_caller_call(now_us, incoming, out),
            NodeEvent::MintKey { ticket, service } => {
                self.mint_key_for_caller(now_us, ticket, &service, out);
            }
            NodeEvent::CallerGone { ticket } => self.on_caller_gone(now_us, ticket, out),
            NodeEvent::TargetCall { incoming, token } => {
                self.on_target_call(now_us, incoming, token.as_deref(), out);
            }
            NodeEvent::PeerRequest { path, message } => {
                self.on_peer_request(now_us, ReplyPath::Peer(path), message, out);
            }
            NodeEvent::PeerReply { message, .. } => self.on_peer_reply(now_us, message, out),
            NodeEvent::LinkLost { peer } => self.on_link_lost(now_us, peer, out),
            NodeEvent::LinkUp { peer } => self.on_link_up(now_us, peer, out),
            NodeEvent::SendFailed { message } => self.on_send_failed(now_us, message, out),
            NodeEvent::TargetEnded { attempt, outcome } => {
                self.on_target_ended(now_us, attempt, outcome, out);
            }
            NodeEvent::TargetAnnounced(announcement) => {
                self.on_target_announced(now_us, announcement, out);
            }
            NodeEvent::Submit(submit) => self.on_submit(now_us, submit, out),
            NodeEvent::Leave { asked_by } => self.start_leaving(now_us, asked_by, out),
            NodeEvent::Store(event) => self.on_store_event(now_us, event, out),
            NodeEvent::Tick => {}
        }
    }

    /// Processes the frames that this node sent to itself.
    fn process_local_frames(&mut self, now_us: u64, out: &mut Vec<NodeAction>) {
        while let Some(frame) = self.local_frames.pop_front() {
            match frame {
                LocalFrame::Call(call) => self.on_call(now_us, ReplyPath::Local, *call, out),
                LocalFrame::Answer(answer) => self.on_answer(now_us, answer, out),
                LocalFrame::Cancel(attempt) => self.on_cancel(now_us, attempt, out),
            }
        }
    }

    /// Runs the timers that are due and the periodic work of all components.
    fn run_timers(&mut self, now_us: u64, out: &mut Vec<NodeAction>) {
        while let Some(timer) = self.timers.pop(now_us) {
            match timer {
                TimerKind::HopDeadline(hop) => self.on_hop_deadline(now_us, hop, out),
                TimerKind::HopTimeout(hop) => self.on_hop_timeout(now_us, hop, out),
                TimerKind::InboundDeadline(attempt) => {
                    self.on_inbound_deadline(now_us, attempt, out);
                }
            }
            // A local answer produced by this timer must be processed before later timers.
            // Otherwise a request refused in the queue would reach its sender's deadline first and
            // end as "may have run".
            self.process_local_frames(now_us, out);
        }
        let mut decisions = Vec::new();
        self.admission.poll(now_us, &mut decisions);
        self.apply_decisions(now_us, decisions, out);
        self.expire_target(now_us, out);
        self.tick_cluster(now_us, out);
        self.allowances.expire(now_us);
        self.attempt_table.expire(now_us);
        self.ledger.expire(self.unix_ms(now_us));
    }

    /// Applies the decisions of admission.
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

    /// Sends a message to another node or to this one. Returns false where the node's address is
    /// unknown.
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
            Message::Call(call) => self.local_frames.push_back(LocalFrame::Call(call)),
            Message::Cancel(attempt) => self.local_frames.push_back(LocalFrame::Cancel(attempt)),
            // No other message is addressed to this node itself: its allowances and attempt table
            // are read directly, and there is no connection to lose.
            _ => {}
        }
    }

    /// Emits a log event.
    fn log(&self, event: LogEvent, out: &mut Vec<NodeAction>) {
        out.push(NodeAction::Note(Note::Event(Box::new(event))));
    }

    /// The next number for a hop, an attempt or a request to the table service.
    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Applies the rules in force to the retry budgets; each arm keeps its credit.
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
