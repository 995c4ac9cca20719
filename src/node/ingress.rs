//! Requests that arrive on the node's own listeners, from outside callers and the local target.

use rand::Rng;

use crate::call::{
    ArmId, AttemptId, ClassRank, HttpAnswer, Key, KeyLifetime, Level, NodeId, ParsedKey,
    RefusalReason, RootId, TraceContext, Verdict,
};
use crate::clock::US_PER_MS;
use crate::config::{ClassSettings, RetryRule};
use crate::retry::AttemptHistory;
use crate::routing::PickRequest;
use crate::telemetry::trace::is_sampled;

use super::event::{CallEnd, IncomingRequest, NodeAction, Ticket};
use super::hop::{Hop, HopId, HopKey, HopState};
use super::{Node, TimerKind};

/// The retry-after sent to callers while the node is not ready, in milliseconds.
const NOT_READY_RETRY_MS: u32 = 1_000;
/// Methods that HTTP defines as safe: they do not change the target's state.
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

impl Node {
    /// Handles a request of an outside caller.
    pub(super) fn on_caller_call(
        &mut self,
        now_us: u64,
        incoming: IncomingRequest,
        out: &mut Vec<NodeAction>,
    ) {
        let root = RootId(self.rng.random());
        let hop = match self.caller_hop(now_us, incoming, root) {
            Ok(hop) => hop,
            Err((ticket, verdict)) => {
                self.reply_without_hop(ticket, root, verdict, out);
                return;
            }
        };
        let policy = self.rules.policy_of(hop.arm);
        if let RetryRule::Bounded { allowance, .. } = policy.retry {
            self.allowances.open(now_us, root, allowance, hop.deadline_us);
        }
        self.start_hop(now_us, hop, out);
    }

    /// Handles a request that the target makes on behalf of the call identified by `token`.
    ///
    /// A call without a known parent gets no retry allowance.
    pub(super) fn on_target_call(
        &mut self,
        now_us: u64,
        incoming: IncomingRequest,
        token: Option<&str>,
        out: &mut Vec<NodeAction>,
    ) {
        let parent = token.and_then(|token| self.tokens.get(token)).copied();
        let result = match parent {
            Some(parent) => self.child_hop(now_us, incoming, parent),
            None => {
                let root = RootId(self.rng.random());
                self.caller_hop(now_us, incoming, root).map(|hop| Hop {
                    entry: None,
                    entry_address: None,
                    outside: false,
                    ..hop
                })
            }
        };
        match result {
            Ok(hop) => self.start_hop(now_us, hop, out),
            Err((ticket, verdict)) => self.reply_without_hop(ticket, RootId(0), verdict, out),
        }
    }

    /// Mints an idempotency key for a later request of an outside caller.
    pub(super) fn mint_key_for_caller(
        &mut self,
        now_us: u64,
        ticket: Ticket,
        service: &str,
        out: &mut Vec<NodeAction>,
    ) {
        let root = RootId(self.rng.random());
        let arm = self.rules.arm_for(root).id;
        let pick = PickRequest {
            service,
            arm: ArmId(arm),
            class: Level::HIGHEST.class(),
            level: Level::HIGHEST,
            avoid: &[],
        };
        let verdict = match self.router.pick(now_us, &pick, &mut self.rng) {
            Ok(owner) => {
                let key = self.mint_key(now_us, owner, KeyLifetime::Caller);
                let body = serde_json::json!({ "idempotency_key": key.to_string() });
                Verdict::Answered(HttpAnswer {
                    status: 201,
                    headers: vec![("content-type".to_owned(), "application/json".to_owned())],
                    body: body.to_string().into(),
                })
            }
            Err(refusal) => Verdict::NotRun(refusal),
        };
        self.reply_without_hop(ticket, root, verdict, out);
    }

    /// Mints a key with which only `owner` may run a request.
    pub(super) fn mint_key(&mut self, now_us: u64, owner: NodeId, lifetime: KeyLifetime) -> Key {
        Key::mint(owner, self.unix_ms(now_us), self.rng.random(), lifetime)
    }

    /// Builds the first hop of a root request; fails with the refusal.
    fn caller_hop(
        &mut self,
        now_us: u64,
        incoming: IncomingRequest,
        root: RootId,
    ) -> Result<Hop, (Ticket, Verdict)> {
        let ticket = incoming.ticket;
        let refuse = |reason, retry_after_ms| (ticket, Verdict::not_run(reason, retry_after_ms));
        if !self.cluster.is_ready() {
            return Err(refuse(RefusalReason::NotReady, NOT_READY_RETRY_MS));
        }
        if self.stop_after_us.is_some() {
            return Err(refuse(RefusalReason::Leaving, 0));
        }
        let rules = self.rules.clone();
        let class =
            rules.class_for(&incoming.service, &incoming.request.method, &incoming.request.path);
        let Some(class) = class else { return Err(refuse(RefusalReason::Malformed, 0)) };
        let key = match hop_key_of(class.at_most_once, incoming.key.as_deref()) {
            Ok(key) => key,
            Err(()) => return Err(refuse(RefusalReason::KeyInvalid, 0)),
        };
        let arm = ArmId(rules.arm_for(root).id);
        let rank = ClassRank(class.rank);
        let caller_span_id = incoming.trace.map_or(0, |trace| trace.parent_span_id);
        Ok(Hop {
            ticket,
            parent: None,
            root,
            entry: Some(self.identity.id),
            entry_address: Some(self.identity.peer_address),
            class: rank,
            at_most_once: class.at_most_once || key != HopKey::None,
            level: Level::new(rank, root),
            arm,
            depth: 0,
            trace: self.root_trace(root, incoming.trace),
            caller_span_id,
            outside: true,
            service: incoming.service,
            request: incoming.request,
            key,
            started_us: now_us,
            deadline_us: now_us + deadline_ms(class, incoming.deadline_ms) * US_PER_MS,
            retries: 0,
            tried: Vec::new(),
            history: AttemptHistory::default(),
            state: HopState::New,
        })
    }

    /// Builds the hop of a call that the target makes while it runs `parent`; fails with the
    /// refusal.
    fn child_hop(
        &mut self,
        now_us: u64,
        incoming: IncomingRequest,
        parent: AttemptId,
    ) -> Result<Hop, (Ticket, Verdict)> {
        let ticket = incoming.ticket;
        let refuse = |reason| (ticket, Verdict::not_run(reason, 0));
        let Some(parent_inbound) = self.inbound.get(&parent) else {
            return Err(refuse(RefusalReason::Cancelled));
        };
        if self.rules.service(&incoming.service).is_none() {
            return Err(refuse(RefusalReason::Malformed));
        }
        let frame = &parent_inbound.frame;
        let class = self.rules.class_of_rank(frame.class);
        let runs_once = frame.key.is_some() || class.is_some_and(|class| class.at_most_once);
        let at_most_once = runs_once && !SAFE_METHODS.contains(&incoming.request.method.as_str());
        let requested_us = incoming.deadline_ms.map_or(u64::MAX, |ms| ms.saturating_mul(US_PER_MS));
        let trace = TraceContext { parent_span_id: self.rng.random(), ..frame.trace };
        Ok(Hop {
            ticket,
            parent: Some(parent),
            root: frame.root,
            entry: frame.entry,
            entry_address: frame.entry_address,
            class: frame.class,
            at_most_once,
            level: frame.level,
            arm: frame.arm,
            depth: frame.depth.saturating_add(1),
            trace,
            caller_span_id: parent_inbound.span_id,
            outside: false,
            service: incoming.service,
            request: incoming.request,
            key: if at_most_once { HopKey::PerAttempt } else { HopKey::None },
            started_us: now_us,
            deadline_us: parent_inbound.deadline_us.min(now_us.saturating_add(requested_us)),
            retries: 0,
            tried: Vec::new(),
            history: AttemptHistory::default(),
            state: HopState::New,
        })
    }

    /// Registers a hop and starts its first attempt.
    fn start_hop(&mut self, now_us: u64, hop: Hop, out: &mut Vec<NodeAction>) {
        let id = HopId(self.next_sequence());
        if let Some(parent_inbound) = hop.parent.and_then(|parent| self.inbound.get_mut(&parent)) {
            parent_inbound.children.push(id);
        }
        self.timers.set(hop.deadline_us, TimerKind::HopDeadline(id));
        self.request_members(now_us, &hop.service, out);
        self.hops.insert(id, hop);
        self.start_attempt(now_us, id, out);
    }

    /// The trace context of a request; it continues the caller's trace if there is one.
    fn root_trace(&mut self, root: RootId, caller_trace: Option<TraceContext>) -> TraceContext {
        let own_span_id = self.rng.random();
        let trace_id = caller_trace.map_or(root.0, |trace| trace.trace_id);
        let sampled = is_sampled(&self.settings.telemetry, caller_trace.as_ref(), trace_id);
        TraceContext { trace_id, parent_span_id: own_span_id, sampled }
    }

    /// Answers a request for which no hop was created.
    fn reply_without_hop(
        &self,
        ticket: Ticket,
        root: RootId,
        verdict: Verdict,
        out: &mut Vec<NodeAction>,
    ) {
        let end = CallEnd {
            verdict,
            root,
            class: String::new(),
            arm: String::new(),
            attempts: 0,
            elapsed_us: 0,
            outside: true,
        };
        out.push(NodeAction::Reply { ticket, end });
    }
}

/// The deadline of a request: the caller's or the default of its class, capped by the maximum.
fn deadline_ms(class: &ClassSettings, requested_ms: Option<u64>) -> u64 {
    requested_ms.unwrap_or(class.deadline_ms).min(class.deadline_max_ms)
}

/// How duplicate runs of a caller's request are prevented; fails if the caller's key is invalid.
fn hop_key_of(at_most_once: bool, caller_key: Option<&str>) -> Result<HopKey, ()> {
    let Some(text) = caller_key else {
        return Ok(if at_most_once { HopKey::PerAttempt } else { HopKey::None });
    };
    match ParsedKey::parse(text) {
        Ok(ParsedKey::Minted(key)) => Ok(HopKey::Minted(key)),
        Ok(ParsedKey::CallerSupplied(text)) => Ok(HopKey::CallerSupplied(text.to_owned())),
        Err(_) => Err(()),
    }
}
