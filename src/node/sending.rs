//! The sending side of a hop: its attempts, their answers and its end.

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
use super::{LocalFrame, Node, TimerKind};

/// How much earlier the receiver's deadline is than the sender's, which leaves time for the
/// receiver's "not run" to arrive.
const HOP_MARGIN_US: u64 = 3_000;
/// How long after the first request for a service's members a call waits for a member.
const MEMBERS_WAIT_US: u64 = 2 * US_PER_S;
/// The divisor that gives the weight of one answer in a service's smoothed latency.
const LATENCY_SMOOTHING_DIVISOR: u64 = 16;

impl Node {
    /// Starts the next attempt of a hop.
    pub(super) fn start_attempt(&mut self, now_us: u64, id: HopId, out: &mut Vec<NodeAction>) {
        let Some(hop) = self.hops.get(&id) else { return };
        if let HopKey::CallerSupplied(text) = &hop.key {
            let text = text.clone();
            self.claim_key(now_us, id, &text, out);
            return;
        }
        let (node, key) = match self.select_node(now_us, id) {
            Ok(chosen) => chosen,
            Err(verdict) => {
                if !self.wait_for_members(now_us, id, &verdict) {
                    self.after_attempt(now_us, id, None, verdict, out);
                }
                return;
            }
        };
        let Some(frame) = self.build_frame(now_us, id, key) else { return };
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
            self.fail_attempt(now_us, id, attempt, node, verdict, out);
        }
    }

    /// Makes a hop wait if its service was first requested so recently that its members may not be
    /// known yet. Returns whether it waits.
    fn wait_for_members(&mut self, now_us: u64, id: HopId, verdict: &Verdict) -> bool {
        let Verdict::NotRun(Refusal { reason: RefusalReason::NoTarget, .. }) = verdict else {
            return false;
        };
        let Some(hop) = self.hops.get(&id) else { return false };
        let Some(requested_us) = self.members_requested_us.get(&hop.service) else { return false };
        let until_us = (requested_us + MEMBERS_WAIT_US).min(hop.deadline_us);
        if until_us <= now_us {
            return false;
        }
        self.set_state(id, HopState::AwaitingMembers { until_us });
        true
    }

    /// Starts the attempts that waited for a member of `service`.
    pub(super) fn resume_waiting_for_members(
        &mut self,
        now_us: u64,
        service: &str,
        out: &mut Vec<NodeAction>,
    ) {
        let mut resumed = Vec::new();
        for (id, hop) in &self.hops {
            if matches!(hop.state, HopState::AwaitingMembers { .. }) && hop.service == service {
                resumed.push(*id);
            }
        }
        resumed.sort_unstable();
        for id in resumed {
            self.start_attempt(now_us, id, out);
        }
    }

    /// Selects the node for the next attempt and the key it runs under.
    pub(super) fn select_node(
        &mut self,
        now_us: u64,
        id: HopId,
    ) -> Result<(NodeId, Option<Key>), Verdict> {
        let Some(hop) = self.hops.get(&id) else {
            return Err(Verdict::not_run(RefusalReason::Cancelled, 0));
        };
        if let HopKey::Minted(key) = hop.key {
            let is_known =
                key.owner == self.identity.id || self.router.address(key.owner).is_some();
            let owner_gone = Verdict::MayHaveRun(Doubt::KeyOwnerGone);
            return if is_known { Ok((key.owner, Some(key))) } else { Err(owner_gone) };
        }
        let is_per_attempt = hop.key == HopKey::PerAttempt;
        let pick = PickRequest {
            service: &hop.service,
            arm: hop.arm,
            class: hop.class,
            level: hop.level,
            avoid: &hop.tried,
        };
        let picked = self.router.pick(now_us, &pick, &mut self.rng);
        // If every node was tried, one of them is tried again.
        let node = match picked {
            Err(refusal) if refusal.reason == RefusalReason::NoTarget => {
                self.router.pick(now_us, &PickRequest { avoid: &[], ..pick }, &mut self.rng)
            }
            picked => picked,
        };
        let node = node.map_err(Verdict::NotRun)?;
        let key = is_per_attempt.then(|| self.mint_key(now_us, node, KeyLifetime::OneRequest));
        Ok((node, key))
    }

    /// Builds the frame of a hop's next attempt.
    fn build_frame(&mut self, now_us: u64, id: HopId, key: Option<Key>) -> Option<CallFrame> {
        let sequence = self.next_sequence();
        let nonce = rand::Rng::random(&mut self.rng);
        let hop = self.hops.get(&id)?;
        let remaining_us = hop.deadline_us.saturating_sub(now_us);
        Some(CallFrame {
            attempt: AttemptId { origin: self.identity.id, sequence, nonce },
            root: hop.root,
            entry: hop.entry,
            entry_address: hop.entry_address,
            class: hop.class,
            level: hop.level,
            arm: hop.arm,
            remaining_us: remaining_us.saturating_sub(HOP_MARGIN_US),
            depth: hop.depth,
            retry: hop.retries,
            service: hop.service.clone(),
            key,
            trace: hop.trace,
            request: hop.request.clone(),
        })
    }

    /// Handles a reply from another node.
    pub(super) fn on_peer_reply(
        &mut self,
        now_us: u64,
        message: Message,
        out: &mut Vec<NodeAction>,
    ) {
        match message {
            Message::Answer(answer) => self.on_answer(now_us, answer, out),
            Message::RetryGrant { failed, granted } => {
                self.on_retry_grant(now_us, failed, granted, out);
            }
            Message::Pong { from, load, .. } => self.on_pong(now_us, from, &load, out),
            // No other message is a reply.
            _ => {}
        }
    }

    /// Handles the answer to an attempt; an answer to an abandoned attempt is dropped.
    pub(super) fn on_answer(
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
            // A new process at the same address never received the attempt, but the process it was
            // sent to may have run it. The hop keeps waiting and ends as "may have run".
            return;
        }
        let latency_us = now_us.saturating_sub(sent_us);
        self.record_latency(id, &answer.verdict, latency_us);
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
        self.propagate_floor(now_us, id);
        self.after_attempt(now_us, id, Some(answer.attempt), answer.verdict, out);
    }

    /// Ends an attempt that got no answer.
    pub(super) fn fail_attempt(
        &mut self,
        now_us: u64,
        id: HopId,
        attempt: AttemptId,
        node: NodeId,
        verdict: Verdict,
        out: &mut Vec<NodeAction>,
    ) {
        self.outstanding.remove(&attempt);
        self.report_lost(now_us, id, node);
        self.after_attempt(now_us, id, Some(attempt), verdict, out);
    }

    /// Reports to the router that an attempt got no answer.
    fn report_lost(&mut self, now_us: u64, id: HopId, node: NodeId) {
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

    /// Sets the state of a hop, with a timer if the state can time out.
    pub(super) fn set_state(&mut self, id: HopId, state: HopState) {
        if let Some(until_us) = state.until_us() {
            self.timers.set(until_us, TimerKind::HopTimeout(id));
        }
        if let Some(hop) = self.hops.get_mut(&id) {
            hop.state = state;
        }
    }

    /// Handles the time-out of a hop's state; a timer of an earlier state has no effect.
    pub(super) fn on_hop_timeout(&mut self, now_us: u64, id: HopId, out: &mut Vec<NodeAction>) {
        let Some(hop) = self.hops.get(&id) else { return };
        if hop.state.until_us().is_none_or(|until_us| until_us > now_us) {
            return;
        }
        match hop.state.clone() {
            HopState::AwaitingMembers { .. } => self.start_attempt(now_us, id, out),
            HopState::BackingOff { .. } => self.retry(now_us, id, out),
            HopState::AwaitingRetryGrant { .. } => self.abandon_retry_request(now_us, id, out),
            HopState::Fencing { attempt, node, .. } => {
                self.log(LogEvent::FenceUnsettled { attempt, peer: node }, out);
                let verdict = Verdict::MayHaveRun(Doubt::ConnectionLost);
                self.fail_attempt(now_us, id, attempt, node, verdict, out);
            }
            HopState::New | HopState::Claiming | HopState::Sent { .. } => {}
        }
    }

    /// Ends a hop whose deadline has passed.
    pub(super) fn on_hop_deadline(&mut self, now_us: u64, id: HopId, out: &mut Vec<NodeAction>) {
        let Some(hop) = self.hops.get(&id) else { return };
        let verdict = match hop.state.clone() {
            HopState::New | HopState::AwaitingMembers { .. } | HopState::Claiming => {
                Verdict::not_run(RefusalReason::Expired, 0)
            }
            HopState::Sent { .. } => Verdict::MayHaveRun(Doubt::Timeout),
            HopState::Fencing { .. } => Verdict::MayHaveRun(Doubt::ConnectionLost),
            HopState::AwaitingRetryGrant { last, .. } | HopState::BackingOff { last, .. } => last,
        };
        self.abandon_attempt(now_us, id, out);
        self.finish_hop(now_us, id, verdict, out);
    }

    /// Cancels the request of a caller that no longer waits. An at-most-once request continues,
    /// because the caller may repeat it to obtain its outcome.
    pub(super) fn on_caller_gone(
        &mut self,
        now_us: u64,
        ticket: Ticket,
        out: &mut Vec<NodeAction>,
    ) {
        let found = self.hops.iter().find(|(_, hop)| hop.ticket == ticket && !hop.at_most_once);
        let Some(id) = found.map(|(id, _)| *id) else { return };
        self.cancel_hop(now_us, id, out);
    }

    /// Ends a hop whose answer is no longer needed.
    pub(super) fn cancel_hop(&mut self, now_us: u64, id: HopId, out: &mut Vec<NodeAction>) {
        let Some(hop) = self.hops.get(&id) else { return };
        let verdict = match hop.state.clone() {
            HopState::New | HopState::AwaitingMembers { .. } | HopState::Claiming => {
                Verdict::not_run(RefusalReason::Cancelled, 0)
            }
            HopState::Sent { .. } | HopState::Fencing { .. } => {
                Verdict::MayHaveRun(Doubt::Cancelled)
            }
            HopState::AwaitingRetryGrant { last, .. } | HopState::BackingOff { last, .. } => last,
        };
        self.abandon_attempt(now_us, id, out);
        self.finish_hop(now_us, id, verdict, out);
    }

    /// Stops tracking the current attempt or retry request, and cancels an attempt at its receiver.
    fn abandon_attempt(&mut self, now_us: u64, id: HopId, out: &mut Vec<NodeAction>) {
        let Some(hop) = self.hops.get(&id) else { return };
        match hop.state {
            HopState::Sent { attempt, node, .. } => {
                self.outstanding.remove(&attempt);
                self.report_lost(now_us, id, node);
                self.send(node, Message::Cancel(attempt), out);
            }
            HopState::Fencing { attempt, node, .. } => {
                self.outstanding.remove(&attempt);
                self.report_lost(now_us, id, node);
            }
            HopState::AwaitingRetryGrant { failed, .. } => {
                self.outstanding.remove(&failed);
            }
            HopState::New
            | HopState::AwaitingMembers { .. }
            | HopState::Claiming
            | HopState::BackingOff { .. } => {}
        }
    }

    /// Ends a hop and answers its request.
    pub(super) fn finish_hop(
        &mut self,
        now_us: u64,
        id: HopId,
        verdict: Verdict,
        out: &mut Vec<NodeAction>,
    ) {
        let Some(mut hop) = self.hops.remove(&id) else { return };
        let verdict = hop.history.conclude(verdict);
        self.timers.clear(hop.deadline_us, TimerKind::HopDeadline(id));
        if let Some(parent_inbound) = hop.parent.and_then(|parent| self.inbound.get_mut(&parent)) {
            parent_inbound.children.retain(|child| *child != id);
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
        self.emit_hop_span(now_us, &hop, &verdict, out);
        let end = self.call_end(now_us, &hop, verdict);
        out.push(NodeAction::Reply { ticket: hop.ticket, end });
    }

    /// The result of a hop for the listener that waits for it.
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

    /// Updates the smoothed latency of a service.
    fn record_latency(&mut self, id: HopId, verdict: &Verdict, latency_us: u64) {
        if !matches!(verdict, Verdict::Answered(_)) {
            return;
        }
        let Some(hop) = self.hops.get(&id) else { return };
        let Some(smoothed_us) = self.service_latency_us.get_mut(&hop.service) else {
            self.service_latency_us.insert(hop.service.clone(), latency_us);
            return;
        };
        *smoothed_us = *smoothed_us - *smoothed_us / LATENCY_SMOOTHING_DIVISOR
            + latency_us / LATENCY_SMOOTHING_DIVISOR;
    }

    /// The smoothed latency of a service in microseconds; 0 if none is known.
    pub(super) fn expected_latency_us(&self, service: &str) -> u64 {
        self.service_latency_us.get(service).copied().unwrap_or(0)
    }

    /// Passes the admission floor of a downstream service to admission, which reports it to the
    /// callers of this node.
    fn propagate_floor(&mut self, now_us: u64, id: HopId) {
        let Some(hop) = self.hops.get(&id) else { return };
        if hop.parent.is_none() {
            return;
        }
        let floor = self.router.floor(now_us, &hop.service, hop.arm, hop.class);
        self.admission.note_downstream(now_us, hop.arm, hop.class, &hop.service, floor);
    }

    /// Queues the answer to an attempt that this node sent to itself.
    pub(super) fn answer_local(&mut self, answer: AnswerFrame) {
        self.local_frames.push_back(LocalFrame::Answer(answer));
    }
}

/// Converts a verdict to an outcome for the router.
fn outcome_of(verdict: &Verdict) -> Outcome {
    match verdict {
        Verdict::Answered(answer) => Outcome::Answered { healthy: answer.status < 500 },
        Verdict::NotRun(Refusal { reason, .. }) => Outcome::Refused(*reason),
        Verdict::MayHaveRun(_) => Outcome::Lost,
    }
}
