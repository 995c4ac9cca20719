//! Retries after failed attempts, which the entry node of the root request grants or refuses.

use crate::call::{ArmId, AttemptId, Message, RootId, Verdict};
use crate::retry::{Failure, RetryStep, next_step};
use crate::telemetry::metrics::RetryOutcome;

use super::Node;
use super::event::{NodeAction, ReplyPath};
use super::hop::{HopId, HopState};
use super::note::{self, Note};

impl Node {
    /// Retries a hop after an attempt has ended or none could be sent, or ends the hop.
    ///
    /// `failed` is the attempt; none if none was sent.
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
        self.credit_retry_budget(now_us, &verdict, arm);
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
            RetryStep::Never => self.finish_hop(now_us, id, verdict, out),
            RetryStep::After { backoff_us } => {
                self.back_off(now_us, id, verdict, backoff_us, out);
            }
            RetryStep::AfterGrant { backoff_us } => {
                self.request_retry(now_us, id, failed, verdict, backoff_us, out);
            }
        }
    }

    /// Credits the retry budget of an arm for a healthy answer.
    pub(super) fn credit_retry_budget(&mut self, now_us: u64, verdict: &Verdict, arm: ArmId) {
        let Verdict::Answered(answer) = verdict else { return };
        if answer.status >= 500 {
            return;
        }
        if let Some(budget) = self.budgets.get_mut(&arm) {
            budget.on_success(now_us);
        }
    }

    /// Requests a retry, first from this node's retry budget, then from the entry node.
    pub(super) fn request_retry(
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
            self.record_retry_decision(id, RetryOutcome::Budget, out);
        }
        let Some(entry) = entry.filter(|_| in_budget) else {
            self.finish_hop(now_us, id, last, out);
            return;
        };
        if entry == self.identity.id {
            let granted = self.allowances.take(now_us, root);
            self.apply_retry_decision(now_us, id, last, backoff_us, granted, out);
            return;
        }
        let failed =
            failed.unwrap_or(AttemptId { origin: self.identity.id, sequence: id.0, nonce: 0 });
        // The caller waits at the entry node, so a grant is of use as long as a retry can still end
        // before the deadline.
        let until_us = deadline_us.saturating_sub(self.expected_latency_us(&service)).max(now_us);
        let state =
            HopState::AwaitingRetryGrant { failed, last: last.clone(), backoff_us, until_us };
        self.set_state(id, state);
        self.outstanding.insert(failed, id);
        let message = Message::AskRetry { root, failed };
        match entry_address.or_else(|| self.router.address(entry)) {
            Some(to) => out.push(NodeAction::Send { to, message }),
            None => self.abandon_retry_request(now_us, id, out),
        }
    }

    /// Handles the entry node's decision on a retry.
    pub(super) fn on_retry_grant(
        &mut self,
        now_us: u64,
        failed: AttemptId,
        granted: bool,
        out: &mut Vec<NodeAction>,
    ) {
        let Some(id) = self.outstanding.remove(&failed) else { return };
        let Some(hop) = self.hops.get(&id) else { return };
        let HopState::AwaitingRetryGrant { last, backoff_us, .. } = hop.state.clone() else {
            return;
        };
        self.apply_retry_decision(now_us, id, last, backoff_us, granted, out);
    }

    /// Ends a hop whose entry node is unreachable or does not decide on its retry in time.
    pub(super) fn abandon_retry_request(
        &mut self,
        now_us: u64,
        id: HopId,
        out: &mut Vec<NodeAction>,
    ) {
        let Some(hop) = self.hops.get(&id) else { return };
        let HopState::AwaitingRetryGrant { failed, last, .. } = hop.state.clone() else { return };
        self.outstanding.remove(&failed);
        self.record_retry_decision(id, RetryOutcome::EntryAway, out);
        self.finish_hop(now_us, id, last, out);
    }

    /// Applies the entry node's decision: starts the backoff before a retry, or ends the hop.
    pub(super) fn apply_retry_decision(
        &mut self,
        now_us: u64,
        id: HopId,
        last: Verdict,
        backoff_us: u64,
        granted: bool,
        out: &mut Vec<NodeAction>,
    ) {
        if granted {
            self.record_retry_decision(id, RetryOutcome::Granted, out);
            self.back_off(now_us, id, last, backoff_us, out);
        } else {
            self.record_retry_decision(id, RetryOutcome::Allowance, out);
            self.finish_hop(now_us, id, last, out);
        }
    }

    /// Records the decision on a retry in the metrics.
    pub(super) fn record_retry_decision(
        &self,
        id: HopId,
        outcome: RetryOutcome,
        out: &mut Vec<NodeAction>,
    ) {
        let Some(hop) = self.hops.get(&id) else { return };
        let (service, arm) = (hop.service.clone(), hop.arm);
        out.push(NodeAction::Note(Note::RetryDecided { service, arm, outcome }));
    }

    /// Decides on another node's retry for a root that entered at this node.
    pub(super) fn decide_retry(
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

    /// Starts the backoff before a retry; retries immediately if it is 0.
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
        self.set_state(id, HopState::BackingOff { last, until_us: now_us + backoff_us });
    }

    /// Starts a granted retry.
    pub(super) fn retry(&mut self, now_us: u64, id: HopId, out: &mut Vec<NodeAction>) {
        let Some(hop) = self.hops.get_mut(&id) else { return };
        hop.retries = hop.retries.saturating_add(1);
        self.start_attempt(now_us, id, out);
    }
}
