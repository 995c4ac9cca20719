//! The sending side: attempts, their answers, and the end of a hop.

use crate::call::{
    AnswerFrame, AttemptId, CallFrame, Doubt, Key, KeyLifetime, Message, NodeId, Refusal,
    RefusalReason, Verdict,
};
use crate::clock::US_PER_S;
use crate::event::LogEvent;
use crate::routing::{Observation, Outcome, PickRequest};
use crate::telemetry::metrics::CallSource;

use super::event::{CallEnd, NodeAction, Ticket};
use super::hop::{Hop, HopId, HopKey, HopState};
use super::note::{self, Note};
use super::{Due, LocalFrame, Node};

/// How much earlier than the sender the receiver gives up, so that its "not run" arrives in time.
const HOP_MARGIN_US: u64 = 3_000;
/// How long after a service was first asked about a call waits for the first of its nodes.
const RESOLVE_WAIT_US: u64 = 2 * US_PER_S;
/// The weight of one answer in a service's typical latency, as a divisor.
const LATENCY_SMOOTHING: u64 = 16;

impl Node {
    /// Makes the next attempt of a hop.
    pub(super) fn attempt(&mut self, now_us: u64, id: HopId, out: &mut Vec<NodeAction>) {
        let Some(hop) = self.hops.get(&id) else { return };
        if let HopKey::Foreign(text) = &hop.key {
            let text = text.clone();
            self.claim(now_us, id, &text, out);
            return;
        }
        let (node, key) = match self.choose(now_us, id) {
            Ok(chosen) => chosen,
            Err(verdict) => {
                if !self.resolve(now_us, id, &verdict) {
                    self.after_attempt(now_us, id, None, verdict, out);
                }
                return;
            }
        };
        let Some(frame) = self.frame(now_us, id, key) else { return };
        let attempt = frame.attempt;
        let Some(hop) = self.hops.get_mut(&id) else { return };
        let arm = hop.arm;
        hop.state = HopState::Sent { attempt, node, sent_us: now_us };
        hop.tried.push(node);
        self.outstanding.insert(attempt, id);
        self.router.sent(now_us, node, arm);
        let message = Message::Call(Box::new(frame));
        if !self.send(node, message, out) {
            let verdict = Verdict::not_run(RefusalReason::NoTarget, 0);
            self.end_attempt(now_us, id, attempt, node, verdict, out);
        }
    }

    /// Lets a hop wait whose service was asked about so lately that its nodes may not be known
    /// yet. Says whether it waits.
    fn resolve(&mut self, now_us: u64, id: HopId, verdict: &Verdict) -> bool {
        let Verdict::NotRun(Refusal { reason: RefusalReason::NoTarget, .. }) = verdict else {
            return false;
        };
        let Some(hop) = self.hops.get(&id) else { return false };
        let Some(wanted_us) = self.wanted.get(&hop.service) else { return false };
        let until_us = (wanted_us + RESOLVE_WAIT_US).min(hop.deadline_us);
        if until_us <= now_us {
            return false;
        }
        self.enter(id, HopState::Resolving { until_us });
        true
    }

    /// Makes the attempts that waited for a node of `service`.
    pub(super) fn resume_resolving(
        &mut self,
        now_us: u64,
        service: &str,
        out: &mut Vec<NodeAction>,
    ) {
        let mut resumed = Vec::new();
        for (id, hop) in &self.hops {
            if matches!(hop.state, HopState::Resolving { .. }) && hop.service == service {
                resumed.push(*id);
            }
        }
        resumed.sort_unstable();
        for id in resumed {
            self.attempt(now_us, id, out);
        }
    }

    /// The node that gets the next attempt, and the key it runs under.
    pub(super) fn choose(
        &mut self,
        now_us: u64,
        id: HopId,
    ) -> Result<(NodeId, Option<Key>), Verdict> {
        let Some(hop) = self.hops.get(&id) else {
            return Err(Verdict::not_run(RefusalReason::Cancelled, 0));
        };
        if let HopKey::Brought(key) = hop.key {
            let known = key.owner == self.identity.id || self.router.address(key.owner).is_some();
            let gone = Verdict::MayHaveRun(Doubt::KeyOwnerGone);
            return if known { Ok((key.owner, Some(key))) } else { Err(gone) };
        }
        let own = hop.key == HopKey::Own;
        let ask = PickRequest {
            service: &hop.service,
            arm: hop.arm,
            class: hop.class,
            level: hop.level,
            avoid: &hop.tried,
        };
        let picked = self.router.pick(now_us, &ask, &mut self.rng);
        // Where every target was tried, one that was is better than none.
        let node = match picked {
            Err(refusal) if refusal.reason == RefusalReason::NoTarget => {
                self.router.pick(now_us, &PickRequest { avoid: &[], ..ask }, &mut self.rng)
            }
            picked => picked,
        };
        let node = node.map_err(Verdict::NotRun)?;
        let key = own.then(|| self.mint(now_us, node, KeyLifetime::OneRequest));
        Ok((node, key))
    }

    /// The frame of a hop's next attempt.
    fn frame(&mut self, now_us: u64, id: HopId, key: Option<Key>) -> Option<CallFrame> {
        let sequence = self.next_sequence();
        let nonce = rand::Rng::random(&mut self.rng);
        let hop = self.hops.get(&id)?;
        let left_us = hop.deadline_us.saturating_sub(now_us);
        Some(CallFrame {
            attempt: AttemptId { origin: self.identity.id, sequence, nonce },
            root: hop.root,
            entry: hop.entry,
            entry_address: hop.entry_address,
            class: hop.class,
            level: hop.level,
            arm: hop.arm,
            remaining_us: left_us.saturating_sub(HOP_MARGIN_US),
            depth: hop.depth,
            retry: hop.retries,
            service: hop.service.clone(),
            key,
            trace: hop.trace,
            request: hop.request.clone(),
        })
    }

    /// Takes in a reply of another node.
    pub(super) fn take_reply(&mut self, now_us: u64, message: Message, out: &mut Vec<NodeAction>) {
        match message {
            Message::Answer(answer) => self.take_answer(now_us, answer, out),
            Message::RetryGrant { failed, granted } => {
                self.take_grant(now_us, failed, granted, out);
            }
            Message::Pong { from, load, .. } => self.take_pong(now_us, from, &load, out),
            // Nothing else is ever a reply.
            _ => {}
        }
    }

    /// Takes in the answer to an attempt; one that nobody waits for any more is dropped.
    pub(super) fn take_answer(
        &mut self,
        now_us: u64,
        answer: AnswerFrame,
        out: &mut Vec<NodeAction>,
    ) {
        let Some(id) = self.outstanding.get(&answer.attempt).copied() else { return };
        let Some(hop) = self.hops.get(&id) else { return };
        let (node, sent_us) = match hop.state {
            HopState::Sent { attempt, node, sent_us } if attempt == answer.attempt => {
                (node, sent_us)
            }
            HopState::Fencing { attempt, node, .. } if attempt == answer.attempt => (node, now_us),
            _ => return,
        };
        if answer.node != node {
            // Another life at the same address never saw the attempt; the one that was asked may
            // have run it. The hop goes on waiting, and ends in doubt.
            return;
        }
        let latency_us = now_us.saturating_sub(sent_us);
        self.note_latency(id, &answer.verdict, latency_us);
        self.outstanding.remove(&answer.attempt);
        let Some(hop) = self.hops.get(&id) else { return };
        let observation = Observation {
            arm: hop.arm,
            class: hop.class,
            latency_us,
            outcome: outcome_of(&answer.verdict),
            load: Some(answer.load),
        };
        self.router.observed(now_us, node, &observation);
        self.note_floor(now_us, id);
        self.after_attempt(now_us, id, Some(answer.attempt), answer.verdict, out);
    }

    /// Ends an attempt of which no answer came.
    pub(super) fn end_attempt(
        &mut self,
        now_us: u64,
        id: HopId,
        attempt: AttemptId,
        node: NodeId,
        verdict: Verdict,
        out: &mut Vec<NodeAction>,
    ) {
        self.outstanding.remove(&attempt);
        self.observe_lost(now_us, id, node);
        self.after_attempt(now_us, id, Some(attempt), verdict, out);
    }

    /// Tells the router that an attempt got no answer.
    fn observe_lost(&mut self, now_us: u64, id: HopId, node: NodeId) {
        let Some(hop) = self.hops.get(&id) else { return };
        let latency_us = match hop.state {
            HopState::Sent { sent_us, .. } => now_us.saturating_sub(sent_us),
            _ => 0,
        };
        let observation = Observation {
            arm: hop.arm,
            class: hop.class,
            latency_us,
            outcome: Outcome::Lost,
            load: None,
        };
        self.router.observed(now_us, node, &observation);
    }

    /// Puts a hop into a state that may end by itself.
    pub(super) fn enter(&mut self, id: HopId, state: HopState) {
        if let Some(until_us) = state.until_us() {
            self.timers.set(until_us, Due::HopStep(id));
        }
        if let Some(hop) = self.hops.get_mut(&id) {
            hop.state = state;
        }
    }

    /// The state of a hop ends by itself; a timer of an earlier state changes nothing.
    pub(super) fn hop_step(&mut self, now_us: u64, id: HopId, out: &mut Vec<NodeAction>) {
        let Some(hop) = self.hops.get(&id) else { return };
        if hop.state.until_us().is_none_or(|until_us| until_us > now_us) {
            return;
        }
        match hop.state.clone() {
            HopState::Resolving { .. } => self.attempt(now_us, id, out),
            HopState::BackingOff { .. } => self.retry(now_us, id, out),
            HopState::AskingRetry { .. } => self.give_up_asking(now_us, id, out),
            HopState::Fencing { attempt, node, .. } => {
                self.log(LogEvent::FenceUnsettled { attempt, peer: node }, out);
                let verdict = Verdict::MayHaveRun(Doubt::ConnectionLost);
                self.end_attempt(now_us, id, attempt, node, verdict, out);
            }
            HopState::New | HopState::Claiming | HopState::Sent { .. } => {}
        }
    }

    /// The deadline of a hop has passed: it gets its final answer at once.
    pub(super) fn hop_deadline(&mut self, now_us: u64, id: HopId, out: &mut Vec<NodeAction>) {
        let Some(hop) = self.hops.get(&id) else { return };
        let verdict = match hop.state.clone() {
            HopState::New | HopState::Resolving { .. } | HopState::Claiming => {
                Verdict::not_run(RefusalReason::Expired, 0)
            }
            HopState::Sent { .. } => Verdict::MayHaveRun(Doubt::Timeout),
            HopState::Fencing { .. } => Verdict::MayHaveRun(Doubt::ConnectionLost),
            HopState::AskingRetry { last, .. } | HopState::BackingOff { last, .. } => last,
        };
        self.give_up_attempt(now_us, id, out);
        self.conclude(now_us, id, verdict, out);
    }

    /// Cancels the request of a caller that waits no longer. What must run at most once goes on, so
    /// that its outcome is known when the caller asks again.
    pub(super) fn take_caller_gone(
        &mut self,
        now_us: u64,
        ticket: Ticket,
        out: &mut Vec<NodeAction>,
    ) {
        let found = self.hops.iter().find(|(_, hop)| hop.ticket == ticket && !hop.at_most_once);
        let Some(id) = found.map(|(id, _)| *id) else { return };
        self.cancel_hop(now_us, id, out);
    }

    /// Ends a hop nobody waits for any more.
    pub(super) fn cancel_hop(&mut self, now_us: u64, id: HopId, out: &mut Vec<NodeAction>) {
        let Some(hop) = self.hops.get(&id) else { return };
        let verdict = match hop.state.clone() {
            HopState::New | HopState::Resolving { .. } | HopState::Claiming => {
                Verdict::not_run(RefusalReason::Cancelled, 0)
            }
            HopState::Sent { .. } | HopState::Fencing { .. } => {
                Verdict::MayHaveRun(Doubt::Cancelled)
            }
            HopState::AskingRetry { last, .. } | HopState::BackingOff { last, .. } => last,
        };
        self.give_up_attempt(now_us, id, out);
        self.conclude(now_us, id, verdict, out);
    }

    /// Tells the receiving node that an attempt on its way is of no more use.
    fn give_up_attempt(&mut self, now_us: u64, id: HopId, out: &mut Vec<NodeAction>) {
        let Some(hop) = self.hops.get(&id) else { return };
        match hop.state {
            HopState::Sent { attempt, node, .. } => {
                self.outstanding.remove(&attempt);
                self.observe_lost(now_us, id, node);
                self.send(node, Message::Cancel(attempt), out);
            }
            HopState::Fencing { attempt, node, .. } => {
                self.outstanding.remove(&attempt);
                self.observe_lost(now_us, id, node);
            }
            HopState::AskingRetry { failed, .. } => {
                self.outstanding.remove(&failed);
            }
            HopState::New
            | HopState::Resolving { .. }
            | HopState::Claiming
            | HopState::BackingOff { .. } => {}
        }
    }

    /// Ends a hop and answers whoever waits for it.
    pub(super) fn conclude(
        &mut self,
        now_us: u64,
        id: HopId,
        verdict: Verdict,
        out: &mut Vec<NodeAction>,
    ) {
        let Some(mut hop) = self.hops.remove(&id) else { return };
        let verdict = hop.history.conclude(verdict);
        self.timers.clear(hop.deadline_us, Due::HopDeadline(id));
        if let Some(above) = hop.parent.and_then(|parent| self.inbound.get_mut(&parent)) {
            above.children.retain(|child| *child != id);
        }
        if hop.parent.is_none() {
            self.allowances.close(hop.root);
        }
        out.push(NodeAction::Note(Note::CallEnded {
            from: if hop.outside { CallSource::Caller } else { CallSource::Target },
            class: hop.class,
            arm: hop.arm,
            outcome: note::outcome_of(&verdict),
            took_us: now_us.saturating_sub(hop.started_us),
        }));
        self.trace_hop(now_us, &hop, &verdict, out);
        let end = self.call_end(now_us, &hop, verdict);
        out.push(NodeAction::Reply { ticket: hop.ticket, end });
    }

    /// What whoever waits for a hop is told.
    pub(super) fn call_end(&self, now_us: u64, hop: &Hop, verdict: Verdict) -> CallEnd {
        let class = self.rules.class_of_rank(hop.class).map_or("", |class| &class.name);
        let arm = self.rules.arm(hop.arm).map_or("", |arm| &arm.name);
        CallEnd {
            verdict,
            root: hop.root,
            class: class.to_owned(),
            arm: arm.to_owned(),
            attempts: hop.retries.saturating_add(1),
            elapsed_us: now_us.saturating_sub(hop.started_us),
            outside: hop.outside,
        }
    }

    /// Learns the typical latency of a service.
    fn note_latency(&mut self, id: HopId, verdict: &Verdict, latency_us: u64) {
        if !matches!(verdict, Verdict::Answered(_)) {
            return;
        }
        let Some(hop) = self.hops.get(&id) else { return };
        let Some(known_us) = self.service_latency_us.get_mut(&hop.service) else {
            self.service_latency_us.insert(hop.service.clone(), latency_us);
            return;
        };
        *known_us = *known_us - *known_us / LATENCY_SMOOTHING + latency_us / LATENCY_SMOOTHING;
    }

    /// The typical latency of a service; 0 where none is known.
    pub(super) fn expected_latency_us(&self, service: &str) -> u64 {
        self.service_latency_us.get(service).copied().unwrap_or(0)
    }

    /// Passes the floor of a service that was called on to those who call this node.
    fn note_floor(&mut self, now_us: u64, id: HopId) {
        let Some(hop) = self.hops.get(&id) else { return };
        if hop.parent.is_none() {
            return;
        }
        let floor = self.router.floor(now_us, &hop.service, hop.arm, hop.class);
        self.admission.note_downstream(now_us, hop.arm, hop.class, &hop.service, floor);
    }

    /// Answers an attempt of this node itself.
    pub(super) fn answer_local(&mut self, answer: AnswerFrame) {
        self.local.push_back(LocalFrame::Answer(answer));
    }
}

/// How the router sees a verdict.
fn outcome_of(verdict: &Verdict) -> Outcome {
    match verdict {
        Verdict::Answered(answer) => Outcome::Answered { healthy: answer.status < 500 },
        Verdict::NotRun(Refusal { reason, .. }) => Outcome::Refused(*reason),
        Verdict::MayHaveRun(_) => Outcome::Lost,
    }
}
