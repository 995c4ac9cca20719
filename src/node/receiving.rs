//! The receiving side: attempts from other nodes and their runs at the local target.

use crate::admission::{CancelResult, Candidate, End, TargetState};
use crate::call::{
    AttemptId, CallFrame, Doubt, LoadReport, Message, Refusal, RefusalReason, TraceContext, Verdict,
};
use crate::clock::{US_PER_MS, US_PER_S};
use crate::event::LogEvent;
use crate::once::{Arrival, FenceReply, Fingerprint, Offer, ReturnPath as TableReturnPath};

use super::event::{
    Announcement, LeaveRequester, NodeAction, ReplyPath, TargetCall, TargetOutcome,
};
use super::inbound::{Inbound, Stage};
use super::note::Note;
use super::{AnnouncedTarget, Node, TimerKind};

/// How long a target may go without an announcement before it counts as gone.
const TARGET_SILENCE_MAX_US: u64 = 10 * US_PER_S;
/// The retry-after sent while the node has no usable target, in milliseconds.
const NO_TARGET_RETRY_MS: u32 = 1_000;
/// A placeholder for the return paths of the attempt table, which are not used. The node keeps its
/// own list, because a reply may go to the node itself.
const NO_RETURN_PATH: TableReturnPath = TableReturnPath(0);
/// The maximum depth of a call chain; a deeper one is treated as a loop.
const DEPTH_MAX: u8 = 32;

impl Node {
    /// Handles a message that opens an exchange.
    pub(super) fn on_peer_request(
        &mut self,
        now_us: u64,
        path: ReplyPath,
        message: Message,
        out: &mut Vec<NodeAction>,
    ) {
        match message {
            Message::Call(frame) => self.on_call(now_us, path, *frame, out),
            Message::Cancel(attempt) => self.on_cancel(now_us, attempt, out),
            Message::Fence { attempt, asked, .. } if asked != self.identity.id => {
                // The attempt was sent to an earlier process at this address, whose verdicts are
                // lost.
                let verdict = Verdict::MayHaveRun(Doubt::ConnectionLost);
                self.answer_with(path, attempt, verdict, LoadReport::default(), out);
            }
            Message::Fence { attempt, remaining_us, .. } => {
                self.on_fence(now_us, path, attempt, remaining_us, out);
            }
            Message::AskRetry { root, failed } => {
                self.decide_retry(now_us, path, root, failed, out);
            }
            Message::Gossip(bytes) => self.on_gossip(now_us, &bytes, out),
            Message::Configuration(bytes) => self.on_configuration(now_us, &bytes, out),
            // Pings are answered by the connection; replies never open an exchange.
            _ => {}
        }
    }

    /// Handles an attempt.
    pub(super) fn on_call(
        &mut self,
        now_us: u64,
        path: ReplyPath,
        frame: CallFrame,
        out: &mut Vec<NodeAction>,
    ) {
        let attempt = frame.attempt;
        let deadline_us = now_us.saturating_add(frame.remaining_us);
        match self.attempt_table.arrive(now_us, attempt, deadline_us, NO_RETURN_PATH) {
            Arrival::New => {}
            Arrival::Repeat(verdict) => {
                self.answer(now_us, path, &frame, verdict, out);
                return;
            }
            Arrival::InProgress => {
                if let Some(inbound) = self.inbound.get_mut(&attempt) {
                    inbound.reply_paths.push(path);
                }
                return;
            }
            Arrival::Refused(refusal) => {
                self.answer(now_us, path, &frame, Verdict::NotRun(refusal), out);
                return;
            }
        }
        let refusal = self.precheck(&frame);
        self.insert_inbound(now_us, path, frame, deadline_us);
        self.offer(now_us, attempt, refusal, out);
    }

    /// The refusal of an attempt that cannot be offered to admission, if any.
    fn precheck(&self, frame: &CallFrame) -> Option<Refusal> {
        let refuse = |reason, retry_after_ms| Some(Refusal { reason, retry_after_ms });
        if frame.service != self.settings.node.service || frame.depth > DEPTH_MAX {
            return refuse(RefusalReason::Malformed, 0);
        }
        if self.stop_after_us.is_some() {
            return refuse(RefusalReason::Leaving, 0);
        }
        if self.target.is_none() || !self.cluster.is_ready() {
            return refuse(RefusalReason::NotReady, NO_TARGET_RETRY_MS);
        }
        None
    }

    /// Registers an attempt and sets its deadline timer.
    fn insert_inbound(&mut self, now_us: u64, path: ReplyPath, frame: CallFrame, deadline_us: u64) {
        let attempt = frame.attempt;
        let token = format!("{:032x}", rand::Rng::random::<u128>(&mut self.rng));
        let span_id = rand::Rng::random(&mut self.rng);
        let inbound = Inbound {
            frame,
            reply_paths: vec![path],
            arrived_us: now_us,
            deadline_us,
            stage: Stage::Queued,
            settled: false,
            children: Vec::new(),
            span_id,
            token,
        };
        self.inbound.insert(attempt, inbound);
        self.timers.set(deadline_us, TimerKind::InboundDeadline(attempt));
    }

    /// Offers an attempt to the ledger, if it has a key, and then to admission.
    ///
    /// The ledger comes first, because even a node that accepts no new calls must return the
    /// recorded answer of a key that has run.
    fn offer(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        refusal: Option<Refusal>,
        out: &mut Vec<NodeAction>,
    ) {
        let unix_ms = self.unix_ms(now_us);
        let Some(inbound) = self.inbound.get_mut(&attempt) else { return };
        if let Some(key) = inbound.frame.key {
            let fingerprint = Fingerprint::of(&inbound.frame.request);
            match self.ledger.offer(unix_ms, key, fingerprint, attempt) {
                Offer::Run => {}
                Offer::Joined => {
                    inbound.stage = Stage::Joined;
                    return;
                }
                Offer::Settled(verdict) => {
                    self.settle(now_us, attempt, verdict, out);
                    return;
                }
            }
        }
        if let Some(refusal) = refusal {
            self.refuse_inbound(now_us, attempt, refusal, out);
            return;
        }
        let Some(inbound) = self.inbound.get(&attempt) else { return };
        let candidate = Candidate {
            attempt,
            arm: inbound.frame.arm,
            level: inbound.frame.level,
            deadline_us: inbound.deadline_us,
        };
        let mut decisions = Vec::new();
        self.admission.offer(now_us, candidate, &mut decisions);
        self.apply_decisions(now_us, decisions, out);
    }

    /// Sends an admitted attempt to the target.
    pub(super) fn run_on_target(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        out: &mut Vec<NodeAction>,
    ) {
        let Some(target) = &self.target else {
            let refusal =
                Refusal { reason: RefusalReason::NotReady, retry_after_ms: NO_TARGET_RETRY_MS };
            self.free_slot(now_us, attempt, End::Cancelled, out);
            self.refuse_inbound(now_us, attempt, refusal, out);
            return;
        };
        let url = target.announcement.url.clone();
        let Some(inbound) = self.inbound.get_mut(&attempt) else {
            self.free_slot(now_us, attempt, End::Cancelled, out);
            return;
        };
        inbound.stage = Stage::Running { since_us: now_us };
        self.tokens.insert(inbound.token.clone(), attempt);
        let frame = &inbound.frame;
        let remaining_ms = inbound.deadline_us.saturating_sub(now_us) / US_PER_MS;
        let class = self.rules.class_of_rank(frame.class).map_or("", |class| &class.name);
        let arm = self.rules.arm(frame.arm).map_or("", |arm| &arm.name);
        let trace = TraceContext { parent_span_id: inbound.span_id, ..frame.trace }.header();
        let mut added_headers = vec![
            (super::header::CALL, inbound.token.clone()),
            (super::header::DEADLINE_MS, remaining_ms.to_string()),
            (super::header::CLASS, class.to_owned()),
            (super::header::ARM, arm.to_owned()),
            (super::header::TRACEPARENT, trace),
        ];
        if let Some(key) = frame.key {
            added_headers.push((super::header::IDEMPOTENCY_KEY, key.to_string()));
        }
        out.push(NodeAction::RunTarget(Box::new(TargetCall {
            attempt,
            url,
            token: inbound.token.clone(),
            request: frame.request.clone(),
            added_headers,
            deadline_us: inbound.deadline_us,
        })));
    }

    /// Handles the outcome of an attempt at the target.
    pub(super) fn on_target_ended(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        outcome: TargetOutcome,
        out: &mut Vec<NodeAction>,
    ) {
        let Some(inbound) = self.inbound.get(&attempt) else { return };
        let since_us = match inbound.stage {
            Stage::Running { since_us } | Stage::Aborting { since_us } => since_us,
            Stage::Joined | Stage::Queued => return,
        };
        let latency_us = now_us.saturating_sub(since_us);
        let end = match &outcome {
            TargetOutcome::Answered(answer) => {
                End::Answered { latency_us, healthy: answer.status < 500 }
            }
            TargetOutcome::NoRoom => End::Cancelled,
            TargetOutcome::Aborted => End::Cancelled,
            _ => End::Failed { latency_us },
        };
        let is_useful = matches!(end, End::Answered { healthy: true, .. }) && !inbound.settled;
        out.push(NodeAction::Note(Note::TargetEnded {
            class: inbound.frame.class,
            arm: inbound.frame.arm,
            took_us: latency_us,
            wasted: !is_useful,
        }));
        let verdict = verdict_of(outcome);
        self.finish_key(now_us, attempt, &verdict, out);
        self.settle(now_us, attempt, verdict, out);
        self.inbound.remove(&attempt);
        self.free_slot(now_us, attempt, end, out);
    }

    /// Releases the slot of an attempt and starts the calls that can now be admitted.
    fn free_slot(&mut self, now_us: u64, attempt: AttemptId, end: End, out: &mut Vec<NodeAction>) {
        let mut decisions = Vec::new();
        self.admission.finish(now_us, attempt, end, &mut decisions);
        self.apply_decisions(now_us, decisions, out);
    }

    /// Refuses a registered attempt that has not been sent to the target.
    pub(super) fn refuse_inbound(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        refusal: Refusal,
        out: &mut Vec<NodeAction>,
    ) {
        let verdict = Verdict::NotRun(refusal);
        self.finish_key(now_us, attempt, &verdict, out);
        self.settle(now_us, attempt, verdict, out);
        self.inbound.remove(&attempt);
    }

    /// Handles the cancellation of an attempt by its sender.
    pub(super) fn on_cancel(&mut self, now_us: u64, attempt: AttemptId, out: &mut Vec<NodeAction>) {
        let Some(inbound) = self.inbound.get(&attempt) else { return };
        if inbound.stage == Stage::Joined {
            if let Some(key) = inbound.frame.key {
                self.ledger.abandon_waiter(key, attempt);
            }
            self.settle(now_us, attempt, Verdict::MayHaveRun(Doubt::KeyRunning), out);
            self.inbound.remove(&attempt);
            return;
        }
        let keyed = inbound.frame.key.is_some();
        let mut decisions = Vec::new();
        match self.admission.cancel(now_us, attempt, &mut decisions) {
            CancelResult::WasQueued => self.apply_decisions(now_us, decisions, out),
            // An at-most-once call continues, because its outcome may be requested later.
            CancelResult::IsRunning if keyed => {}
            CancelResult::IsRunning => {
                self.abort_running(now_us, attempt, Doubt::Cancelled, out);
            }
            CancelResult::Unknown => {}
        }
    }

    /// Aborts an attempt at the target and answers it without waiting for the target.
    fn abort_running(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        doubt: Doubt,
        out: &mut Vec<NodeAction>,
    ) {
        let Some(inbound) = self.inbound.get_mut(&attempt) else { return };
        let Stage::Running { since_us } = inbound.stage else { return };
        inbound.stage = Stage::Aborting { since_us };
        out.push(NodeAction::AbortTarget { attempt });
        self.settle(now_us, attempt, Verdict::MayHaveRun(doubt), out);
    }

    /// Handles a fence: returns the verdict of an attempt. If the attempt has not arrived yet, it
    /// is refused permanently.
    fn on_fence(
        &mut self,
        now_us: u64,
        path: ReplyPath,
        attempt: AttemptId,
        remaining_us: u64,
        out: &mut Vec<NodeAction>,
    ) {
        let until_us = now_us.saturating_add(remaining_us);
        let verdict = match self.attempt_table.fence(now_us, attempt, until_us, NO_RETURN_PATH) {
            FenceReply::Settled(verdict) => verdict,
            FenceReply::NowFenced => Verdict::not_run(RefusalReason::Fenced, 0),
            FenceReply::InProgress => {
                if let Some(inbound) = self.inbound.get_mut(&attempt) {
                    inbound.reply_paths.push(path);
                }
                return;
            }
        };
        self.answer_with(path, attempt, verdict, LoadReport::default(), out);
    }

    /// Handles the expiry of an attempt's deadline.
    pub(super) fn on_inbound_deadline(
        &mut self,
        now_us: u64,
        attempt: AttemptId,
        out: &mut Vec<NodeAction>,
    ) {
        let Some(inbound) = self.inbound.get(&attempt) else { return };
        match inbound.stage {
            Stage::Joined | Stage::Queued => self.on_cancel(now_us, attempt, out),
            Stage::Running { .. } if inbound.frame.key.is_some() => {
                self.settle(now_us, attempt, Verdict::MayHaveRun(Doubt::Timeout), out);
            }
            Stage::Running { .. } => self.abort_running(now_us, attempt, Doubt::Timeout, out),
            Stage::Aborting { .. } => {}
        }
    }

    /// Handles an announcement of the local target.
    pub(super) fn on_target_announced(
        &mut self,
        now_us: u64,
        announcement: Announcement,
        out: &mut Vec<NodeAction>,
    ) {
        if announcement.service != self.settings.node.service {
            return;
        }
        let (slots, connections) = (announcement.slots, announcement.connections);
        let is_changed =
            self.target.as_ref().is_none_or(|known| known.announcement != announcement);
        let (url, service) = (announcement.url.clone(), announcement.service.clone());
        self.target = Some(AnnouncedTarget { announcement, announced_us: now_us });
        if !is_changed {
            return;
        }
        let state = TargetState::Warming { since_us: now_us };
        self.admission.set_target(now_us, state, slots, connections);
        self.log(LogEvent::TargetAnnounced { url, service, slots, connections }, out);
        self.announce_target(now_us, slots, connections, out);
    }

    /// When the target counts as gone unless it announces itself before, in microseconds since the
    /// process started.
    pub(super) fn target_expiry_us(&self) -> Option<u64> {
        self.target.as_ref().map(|target| target.announced_us + TARGET_SILENCE_MAX_US)
    }

    /// Removes the target if it has been silent for too long.
    pub(super) fn expire_target(&mut self, now_us: u64, out: &mut Vec<NodeAction>) {
        if self.target_expiry_us().is_none_or(|at_us| at_us > now_us) {
            return;
        }
        if let Some(gone) = self.target.take() {
            let silent_ms = now_us.saturating_sub(gone.announced_us) / US_PER_MS;
            let url = gone.announcement.url;
            self.log(LogEvent::TargetGone { url, silent_ms }, out);
        }
        self.admission.set_target(now_us, TargetState::Down, 0, 0);
        self.announce_target(now_us, 0, 0, out);
    }

    /// Starts to leave: the node accepts no new calls and finishes those in flight.
    pub(super) fn start_leaving(
        &mut self,
        now_us: u64,
        asked_by: LeaveRequester,
        out: &mut Vec<NodeAction>,
    ) {
        if self.stop_after_us.is_some() {
            return;
        }
        let in_flight = (self.hops.len() + self.inbound.len()) as u64;
        self.log(LogEvent::LeavingStarted { asked_by: asked_by.name(), in_flight }, out);
        self.stop_after_us = Some(now_us + self.settings.node.leave_ms * US_PER_MS);
        self.announce_leaving(now_us, out);
    }

    /// Requests the exit once the leave time is over and nothing is in flight.
    pub(super) fn exit_when_drained(&mut self, now_us: u64, out: &mut Vec<NodeAction>) {
        let due = self.stop_after_us.is_some_and(|at_us| at_us <= now_us);
        if !due || self.exit_requested || !self.hops.is_empty() || !self.inbound.is_empty() {
            return;
        }
        self.exit_requested = true;
        let stop_after_us = self.stop_after_us.unwrap_or(now_us);
        let leave_ms = self.settings.node.leave_ms;
        let took_ms = now_us.saturating_sub(stop_after_us) / US_PER_MS + leave_ms;
        self.log(LogEvent::LeavingFinished { took_ms, cut_off: 0 }, out);
        out.push(NodeAction::Exit);
    }
}

/// The verdict for an outcome at the target.
fn verdict_of(outcome: TargetOutcome) -> Verdict {
    match outcome {
        TargetOutcome::Answered(answer) => Verdict::Answered(answer),
        TargetOutcome::Declined => {
            Verdict::not_run(RefusalReason::TargetDeclined, NO_TARGET_RETRY_MS)
        }
        TargetOutcome::Unreachable => {
            Verdict::not_run(RefusalReason::TargetUnreachable, NO_TARGET_RETRY_MS)
        }
        TargetOutcome::NoRoom => Verdict::not_run(RefusalReason::NodeFull, NO_TARGET_RETRY_MS),
        TargetOutcome::Broke => Verdict::MayHaveRun(Doubt::TargetBroke),
        TargetOutcome::TooLong => Verdict::MayHaveRun(Doubt::AnswerTooLong),
        TargetOutcome::Aborted => Verdict::MayHaveRun(Doubt::Cancelled),
    }
}
