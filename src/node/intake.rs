//! How requests of outside callers and of the target become hops.

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

use super::event::{CallEnd, Intake, NodeAction, Ticket};
use super::hop::{Hop, HopId, HopKey, HopState};
use super::{Due, Node};

/// When a caller should come back to a node that is not ready, in milliseconds.
const NOT_READY_RETRY_MS: u32 = 1_000;
/// Methods that change nothing at the target by the rules of HTTP.
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

impl Node {
    /// Takes in a request of an outside caller.
    pub(super) fn take_caller_call(
        &mut self,
        now_us: u64,
        intake: Intake,
        out: &mut Vec<NodeAction>,
    ) {
        let root = RootId(self.rng.random());
        let hop = match self.caller_hop(now_us, intake, root) {
            Ok(hop) => hop,
            Err((ticket, verdict)) => {
                self.reply_unstarted(ticket, root, verdict, out);
                return;
            }
        };
        let policy = self.rules.policy_of(hop.arm);
        if let RetryRule::Bounded { allowance, .. } = policy.retry {
            self.allowances.open(now_us, root, allowance, hop.deadline_us);
        }
        self.begin(now_us, hop, out);
    }

    /// Takes in a request that the target makes on behalf of the call named by `token`.
    ///
    /// A call that names no known parent gets no retry allowance.
    pub(super) fn take_target_call(
        &mut self,
        now_us: u64,
        intake: Intake,
        token: Option<&str>,
        out: &mut Vec<NodeAction>,
    ) {
        let parent = token.and_then(|token| self.tokens.get(token)).copied();
        let made = match parent {
            Some(parent) => self.child_hop(now_us, intake, parent),
            None => {
                let root = RootId(self.rng.random());
                self.caller_hop(now_us, intake, root).map(|hop| Hop {
                    entry: None,
                    entry_address: None,
                    outside: false,
                    ..hop
                })
            }
        };
        match made {
            Ok(hop) => self.begin(now_us, hop, out),
            Err((ticket, verdict)) => self.reply_unstarted(ticket, RootId(0), verdict, out),
        }
    }

    /// Gives an outside caller a key for a later request.
    pub(super) fn mint_for_caller(
        &mut self,
        now_us: u64,
        ticket: Ticket,
        service: &str,
        out: &mut Vec<NodeAction>,
    ) {
        let root = RootId(self.rng.random());
        let arm = self.rules.arm_for(root).id;
        let ask = PickRequest {
            service,
            arm: ArmId(arm),
            class: Level::HIGHEST.class(),
            level: Level::HIGHEST,
            avoid: &[],
        };
        let verdict = match self.router.pick(now_us, &ask, &mut self.rng) {
            Ok(owner) => {
                let key = self.mint(now_us, owner, KeyLifetime::Caller);
                let body = serde_json::json!({ "idempotency_key": key.to_string() });
                Verdict::Answered(HttpAnswer {
                    status: 201,
                    headers: vec![("content-type".to_owned(), "application/json".to_owned())],
                    body: body.to_string().into(),
                })
            }
            Err(refusal) => Verdict::NotRun(refusal),
        };
        self.reply_unstarted(ticket, root, verdict, out);
    }

    /// A key that only `owner` may run.
    pub(super) fn mint(&mut self, now_us: u64, owner: NodeId, lifetime: KeyLifetime) -> Key {
        Key::mint(owner, self.unix_ms(now_us), self.rng.random(), lifetime)
    }

    /// The first hop of a request.
    fn caller_hop(
        &mut self,
        now_us: u64,
        intake: Intake,
        root: RootId,
    ) -> Result<Hop, (Ticket, Verdict)> {
        let ticket = intake.ticket;
        let refuse = |reason, retry_after_ms| (ticket, Verdict::not_run(reason, retry_after_ms));
        if !self.roster.is_ready() {
            return Err(refuse(RefusalReason::NotReady, NOT_READY_RETRY_MS));
        }
        if self.leave_after_us.is_some() {
            return Err(refuse(RefusalReason::Leaving, 0));
        }
        let rules = self.rules.clone();
        let found = rules.class_for(&intake.service, &intake.request.method, &intake.request.path);
        let Some(class) = found else { return Err(refuse(RefusalReason::Malformed, 0)) };
        let key = match hop_key(class.at_most_once, intake.key.as_deref()) {
            Ok(key) => key,
            Err(()) => return Err(refuse(RefusalReason::KeyInvalid, 0)),
        };
        let arm = ArmId(rules.arm_for(root).id);
        let rank = ClassRank(class.rank);
        let caller_span_id = intake.trace.map_or(0, |trace| trace.parent_span_id);
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
            trace: self.root_trace(root, intake.trace),
            caller_span_id,
            outside: true,
            service: intake.service,
            request: intake.request,
            key,
            started_us: now_us,
            deadline_us: now_us + deadline_ms(class, intake.deadline_ms) * US_PER_MS,
            retries: 0,
            tried: Vec::new(),
            history: AttemptHistory::default(),
            state: HopState::New,
        })
    }

    /// The hop of a call that the target makes while it runs `parent`.
    fn child_hop(
        &mut self,
        now_us: u64,
        intake: Intake,
        parent: AttemptId,
    ) -> Result<Hop, (Ticket, Verdict)> {
        let ticket = intake.ticket;
        let refuse = |reason| (ticket, Verdict::not_run(reason, 0));
        let Some(above) = self.inbound.get(&parent) else {
            return Err(refuse(RefusalReason::Cancelled));
        };
        if self.rules.service(&intake.service).is_none() {
            return Err(refuse(RefusalReason::Malformed));
        }
        let frame = &above.frame;
        let class = self.rules.class_of_rank(frame.class);
        let runs_once = frame.key.is_some() || class.is_some_and(|class| class.at_most_once);
        let at_most_once = runs_once && !SAFE_METHODS.contains(&intake.request.method.as_str());
        let asked_us = intake.deadline_ms.map_or(u64::MAX, |ms| ms.saturating_mul(US_PER_MS));
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
            caller_span_id: above.span_id,
            outside: false,
            service: intake.service,
            request: intake.request,
            key: if at_most_once { HopKey::Own } else { HopKey::None },
            started_us: now_us,
            deadline_us: above.deadline_us.min(now_us.saturating_add(asked_us)),
            retries: 0,
            tried: Vec::new(),
            history: AttemptHistory::default(),
            state: HopState::New,
        })
    }

    /// Registers a hop and makes its first attempt.
    fn begin(&mut self, now_us: u64, hop: Hop, out: &mut Vec<NodeAction>) {
        let id = HopId(self.next_sequence());
        if let Some(above) = hop.parent.and_then(|parent| self.inbound.get_mut(&parent)) {
            above.children.push(id);
        }
        self.timers.set(hop.deadline_us, Due::HopDeadline(id));
        self.want_service(now_us, &hop.service, out);
        self.hops.insert(id, hop);
        self.attempt(now_us, id, out);
    }

    /// The trace of a request, which is the caller's own where it brought one.
    fn root_trace(&mut self, root: RootId, brought: Option<TraceContext>) -> TraceContext {
        let own_span_id = self.rng.random();
        let trace_id = brought.map_or(root.0, |trace| trace.trace_id);
        let sampled = is_sampled(&self.settings.telemetry, brought.as_ref(), trace_id);
        TraceContext { trace_id, parent_span_id: own_span_id, sampled }
    }

    /// Answers a request that never became a hop.
    fn reply_unstarted(
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

/// The deadline of a request: what the caller asks for, within what its class allows.
fn deadline_ms(class: &ClassSettings, asked_ms: Option<u64>) -> u64 {
    asked_ms.unwrap_or(class.deadline_ms).min(class.deadline_max_ms)
}

/// How a caller's request is kept from running twice.
fn hop_key(at_most_once: bool, brought: Option<&str>) -> Result<HopKey, ()> {
    let Some(text) = brought else {
        return Ok(if at_most_once { HopKey::Own } else { HopKey::None });
    };
    match ParsedKey::parse(text) {
        Ok(ParsedKey::Minted(key)) => Ok(HopKey::Brought(key)),
        Ok(ParsedKey::Foreign(text)) => Ok(HopKey::Foreign(text.to_owned())),
        Err(_) => Err(()),
    }
}
