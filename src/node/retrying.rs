//! What follows a failed attempt: another one with the entry node's leave, or the end of the hop.

use crate::call::{ArmId, AttemptId, Message, RootId, Verdict};
use crate::retry::{Failure, RetryStep, next_step};
use crate::telemetry::metrics::RetryOutcome;

use super::Node;
use super::event::{NodeAction, ReplyPath};
use super::hop::{HopId, HopState};
use super::note::{self, Note};

impl Node {
    /// Decides what follows an attempt: another one, or the end of the hop.
    pub(super) fn after_attempt(
        &mut self,
        now_us: u64,
        id: HopId,
        failed: Option<AttemptId>,
        verdict: Verdict,
        out: &mut Vec<NodeAction>,
    ) {
        let Some(hop) = self.hops.get(&id) else { return };
        let arm = hop.arm;
        if failed.is_some() {
            out.push(NodeAction::Note(Note::AttemptEnded {
                service: hop.service.clone(),
                arm,
                outcome: note::outcome_of(&verdict),
            }));
        }
        self.note_success(now_us, &verdict, arm);
        let Some(hop) = self.hops.get(&id) else { return };
        let expected_us = self.expected_latency_us(&hop.service);
        let floor = self.router.floor(now_us, &hop.service, arm, hop.class);
        let failure = Failure::builder()
            .verdict(&verdict)
            .at_most_once(hop.at_most_once)
            .retry(hop.retries)
            .now_us(now_us)
            .deadline_us(hop.deadline_us)
            .expected_latency_us(expected_us)
            .other_target_open(hop.level >= floor)
            .build();
        let step = next_step(&self.rules.policy_of(arm).retry, &failure, &mut self.rng);
        match step {
            RetryStep::Never => self.conclude(now_us, id, verdict, out),
            RetryStep::After { backoff_us } => {
                self.back_off(now_us, id, verdict, backoff_us, out);
            }
            RetryStep::AfterGrant { backoff_us } => {
                self.ask_retry(now_us, id, failed, verdict, backoff_us, out);
            }
        }
    }

    /// Counts a good answer towards the retry budget of its arm.
    pub(super) fn note_success(&mut self, now_us: u64, verdict: &Verdict, arm: ArmId) {
        let Verdict::Answered(answer) = verdict else { return };
        if answer.status >= 500 {
            return;
        }
        if let Some(budget) = self.budgets.get_mut(&arm) {
            budget.on_success(now_us);
        }
    }

    /// Asks for leave to make one more attempt: this node's budget first, then the entry node.
    pub(super) fn ask_retry(
        &mut self,
        now_us: u64,
        id: HopId,
        failed: Option<AttemptId>,
        last: Verdict,
        backoff_us: u64,
        out: &mut Vec<NodeAction>,
    ) {
        let Some(hop) = self.hops.get(&id) else { return };
        let (root, entry, deadline_us) = (hop.root, hop.entry, hop.deadline_us);
        let entry_address = hop.entry_address;
        let service = hop.service.clone();
        let in_budget = self.budgets.get_mut(&hop.arm).is_some_and(|b| b.try_take(now_us));
        if !in_budget {
            self.note_retry(id, RetryOutcome::Budget, out);
        }
        let Some(entry) = entry.filter(|_| in_budget) else {
            self.conclude(now_us, id, last, out);
            return;
        };
        if entry == self.identity.id {
            let granted = self.allowances.take(now_us, root);
            self.follow_grant(now_us, id, last, backoff_us, granted, out);
            return;
        }
        let failed =
            failed.unwrap_or(AttemptId { origin: self.identity.id, sequence: id.0, nonce: 0 });
        // Whoever waits for the answer waits at the entry, so a grant is of use for as long as a retry is.
        let until_us = deadline_us.saturating_sub(self.expected_latency_us(&service)).max(now_us);
        let state = HopState::AskingRetry { failed, last: last.clone(), backoff_us, until_us };
        self.enter(id, state);
        self.outstanding.insert(failed, id);
        let message = Message::AskRetry { root, failed };
        match entry_address.or_else(|| self.router.address(entry)) {
            Some(to) => out.push(NodeAction::Send { to, message }),
            None => self.give_up_asking(now_us, id, out),
        }
    }

    /// Takes in the entry node's word on a retry.
    pub(super) fn take_grant(
        &mut self,
        now_us: u64,
        failed: AttemptId,
        granted: bool,
        out: &mut Vec<NodeAction>,
    ) {
        let Some(id) = self.outstanding.remove(&failed) else { return };
        let Some(hop) = self.hops.get(&id) else { return };
        let HopState::AskingRetry { last, backoff_us, .. } = hop.state.clone() else { return };
        self.follow_grant(now_us, id, last, backoff_us, granted, out);
    }

    /// Ends a hop whose entry node gives no word on a retry.
    pub(super) fn give_up_asking(&mut self, now_us: u64, id: HopId, out: &mut Vec<NodeAction>) {
        let Some(hop) = self.hops.get(&id) else { return };
        let HopState::AskingRetry { failed, last, .. } = hop.state.clone() else { return };
        self.outstanding.remove(&failed);
        self.note_retry(id, RetryOutcome::EntryAway, out);
        self.conclude(now_us, id, last, out);
    }

    /// Does what the entry node's word on a retry allows.
    pub(super) fn follow_grant(
        &mut self,
        now_us: u64,
        id: HopId,
        last: Verdict,
        backoff_us: u64,
        granted: bool,
        out: &mut Vec<NodeAction>,
    ) {
        if granted {
            self.note_retry(id, RetryOutcome::Granted, out);
            self.back_off(now_us, id, last, backoff_us, out);
        } else {
            self.note_retry(id, RetryOutcome::Allowance, out);
            self.conclude(now_us, id, last, out);
        }
    }

    /// Counts the wish for one more attempt.
    pub(super) fn note_retry(&self, id: HopId, outcome: RetryOutcome, out: &mut Vec<NodeAction>) {
        let Some(hop) = self.hops.get(&id) else { return };
        let (service, arm) = (hop.service.clone(), hop.arm);
        out.push(NodeAction::Note(Note::RetryDecided { service, arm, outcome }));
    }

    /// Answers a node that asks for leave to retry on behalf of a root that entered here.
    pub(super) fn grant_retry(
        &mut self,
        now_us: u64,
        path: ReplyPath,
        root: RootId,
        failed: AttemptId,
        out: &mut Vec<NodeAction>,
    ) {
        let granted = self.allowances.take(now_us, root);
        if let ReplyPath::Peer(path) = path {
            out.push(NodeAction::Return { path, message: Message::RetryGrant { failed, granted } });
        }
    }

    /// Waits for the moment of the next attempt.
    pub(super) fn back_off(
        &mut self,
        now_us: u64,
        id: HopId,
        last: Verdict,
        backoff_us: u64,
        out: &mut Vec<NodeAction>,
    ) {
        if let Some(hop) = self.hops.get_mut(&id) {
            hop.history.note(&last);
        }
        if backoff_us == 0 {
            self.retry(now_us, id, out);
            return;
        }
        self.enter(id, HopState::BackingOff { last, until_us: now_us + backoff_us });
    }

    /// Makes a retry that was granted.
    pub(super) fn retry(&mut self, now_us: u64, id: HopId, out: &mut Vec<NodeAction>) {
        let Some(hop) = self.hops.get_mut(&id) else { return };
        hop.retries = hop.retries.saturating_add(1);
        self.attempt(now_us, id, out);
    }
}
