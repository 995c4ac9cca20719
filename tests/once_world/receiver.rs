//! The receiving side of a simulated node: calls, fences, runs and verdicts.

use aspenspring::call::{AttemptId, Doubt, Key, NodeId, Refusal, RefusalReason, Verdict};
use aspenspring::once::{Arrival, FenceReply, Fingerprint, Offer, RefusalScope, ReturnPath};

use super::node::AdmittedAttempt;
use super::{CALL_US, Checked, End, Flaw, Invariant, Message, World, answer_of, pick};

const REQUEST: Fingerprint = Fingerprint(1);
const NO_PATH: ReturnPath = ReturnPath(0);

impl World {
    pub(super) fn receive_call(&mut self, index: usize, attempt: AttemptId, key: Key) -> Checked {
        let (now_us, unix_ms, flaw) = (self.now_us, self.unix_ms(index), self.flaw);
        let node = &mut self.nodes[index];
        node.seen.insert(attempt);
        match node.attempt_table.arrive(now_us, attempt, now_us + CALL_US, NO_PATH) {
            Arrival::New => {}
            Arrival::InProgress => return Ok(()),
            Arrival::Repeat(verdict) => {
                let is_forgotten = verdict == Verdict::MayHaveRun(Doubt::AnswerForgotten);
                self.counts.forgotten_attempts += u32::from(is_forgotten);
                return self.report(index, attempt, verdict);
            }
            Arrival::Refused(refusal) => {
                self.counts.full_attempt_tables +=
                    u32::from(refusal.reason == RefusalReason::NodeFull);
                return self.report(index, attempt, Verdict::NotRun(refusal));
            }
        }
        if flaw == Some(Flaw::RefusesBeforeLedger) && !node.queue.is_empty() {
            let refusal = Verdict::not_run(RefusalReason::QueueFull, 0);
            node.attempt_table.settle(now_us, attempt, &refusal);
            return self.report(index, attempt, refusal);
        }
        let offered_key = match flaw {
            Some(Flaw::RunsAnyKey) => Key { owner: node.id, ..key },
            _ => key,
        };
        match node.ledger.offer(unix_ms, offered_key, REQUEST, attempt) {
            Offer::Run => node.queue.push(AdmittedAttempt { attempt, key: offered_key }),
            Offer::Joined => self.counts.joined += 1,
            Offer::Settled(verdict) => {
                node.attempt_table.settle(now_us, attempt, &verdict);
                match &verdict {
                    Verdict::Answered(_) => self.counts.recorded_answers += 1,
                    Verdict::MayHaveRun(Doubt::KeyElsewhere) => {
                        self.counts.keys_held_elsewhere += 1
                    }
                    Verdict::MayHaveRun(Doubt::KeyExpired) => self.counts.expired_keys += 1,
                    Verdict::MayHaveRun(Doubt::AnswerForgotten) => {
                        self.counts.answers_dropped_from_ledgers += 1;
                    }
                    Verdict::NotRun(Refusal { reason: RefusalReason::NodeFull, .. }) => {
                        self.counts.full_ledgers += 1;
                    }
                    _ => {}
                }
                return self.report(index, attempt, verdict);
            }
        }
        Ok(())
    }

    pub(super) fn receive_fence(&mut self, index: usize, attempt: AttemptId) -> Checked {
        let node = &mut self.nodes[index];
        let is_unrecorded = self.flaw == Some(Flaw::UnrecordedFence);
        let reply = match is_unrecorded && !node.seen.contains(&attempt) {
            true => FenceReply::NowFenced,
            false => node.attempt_table.fence(self.now_us, attempt, self.now_us + CALL_US, NO_PATH),
        };
        match reply {
            FenceReply::InProgress => Ok(()),
            FenceReply::Settled(verdict) => self.report(index, attempt, verdict),
            FenceReply::NowFenced => {
                self.counts.fenced += 1;
                self.report(index, attempt, Verdict::not_run(RefusalReason::Fenced, 0))
            }
        }
    }

    pub(super) fn start(&mut self, node: u8, call: u8) -> Checked {
        let index = usize::from(node) % 3;
        let node = &mut self.nodes[index];
        let Some(call) = pick(call, node.queue.len()) else { return Ok(()) };
        if node.frozen {
            return Ok(());
        }
        let admitted = node.queue.remove(call);
        node.running.push(admitted);
        let is_inherited = admitted.key.owner != node.id;
        self.counts.runs += 1;
        self.counts.runs_of_inherited += u32::from(is_inherited);
        self.ran.insert(admitted.attempt);
        if self.reported_not_run.contains(&admitted.attempt) {
            self.violated(Invariant::RefusedAttemptStaysRefused)?;
        }
        let key_index = self.key_index_of(admitted.attempt);
        self.runs[key_index] += 1;
        self.counts.runs_of_delegated += u32::from(admitted.key != self.keys[key_index]);
        match self.runs[key_index] {
            1 => Ok(()),
            _ => self.violated(Invariant::OneRunOfKey),
        }
    }

    pub(super) fn refuse(&mut self, node: u8, call: u8, delegate_to: Option<u8>) -> Checked {
        let index = usize::from(node) % 3;
        let unix_ms = self.unix_ms(index);
        let to = delegate_to.map(|to| self.nodes[usize::from(to) % 3].id);
        let is_recorded = self.flaw != Some(Flaw::UnrecordedDelegation);
        let node = &mut self.nodes[index];
        let Some(call) = pick(call, node.queue.len()) else { return Ok(()) };
        if node.frozen {
            return Ok(());
        }
        let AdmittedAttempt { attempt, key } = node.queue.remove(call);
        let mut attempts = vec![attempt];
        attempts.extend(node.ledger.refused(key, attempt));
        let mut reason = RefusalReason::Shed;
        if let Some(to) = to.filter(|to| *to != node.id) {
            if !is_recorded || node.ledger.delegate(unix_ms, key, to).is_ok() {
                reason = RefusalReason::KeyDelegated(to);
                self.counts.delegated += 1;
            }
        }
        self.settle_all(index, attempts, Verdict::not_run(reason, 0))
    }

    pub(super) fn finish(&mut self, node: u8, call: u8, end: End) -> Checked {
        let index = usize::from(node) % 3;
        let node = &mut self.nodes[index];
        let Some(call) = pick(call, node.running.len()) else { return Ok(()) };
        if node.frozen {
            return Ok(());
        }
        let AdmittedAttempt { attempt, key } = node.running.remove(call);
        let key_index = self.key_index_of(attempt);
        let verdict = match end {
            End::Answered => Verdict::Answered(answer_of(key_index)),
            End::Broke => Verdict::MayHaveRun(Doubt::TargetBroke),
            End::Declined => {
                // The target declined before it did anything, so this does not count as a run.
                self.runs[key_index] -= 1;
                self.ran.remove(&attempt);
                Verdict::not_run(RefusalReason::TargetDeclined, 0)
            }
        };
        let mut attempts = vec![attempt];
        attempts.extend(self.nodes[index].ledger.finished(key, attempt, &verdict));
        self.settle_all(index, attempts, verdict)
    }

    /// The index of the original key of the request that `attempt` belongs to, before any
    /// delegation.
    fn key_index_of(&self, attempt: AttemptId) -> usize {
        self.requests[self.request_of[&attempt]].key_index
    }

    /// The incarnation that `attempt` was sent to.
    pub(super) fn sent_to(&self, attempt: AttemptId) -> NodeId {
        let request = &self.requests[self.request_of[&attempt]];
        let (_, to, _) = request.attempts.iter().find(|(sent, ..)| *sent == attempt).unwrap();
        *to
    }

    fn settle_all(&mut self, index: usize, attempts: Vec<AttemptId>, verdict: Verdict) -> Checked {
        for attempt in attempts {
            self.nodes[index].attempt_table.settle(self.now_us, attempt, &verdict);
            self.report(index, attempt, verdict.clone())?;
        }
        Ok(())
    }

    /// Sends the verdict of an attempt to its sender.
    fn report(&mut self, index: usize, attempt: AttemptId, verdict: Verdict) -> Checked {
        let from = self.nodes[index].id;
        // The sender ignores a verdict from another incarnation than the one it sent the attempt
        // to.
        let is_recipient = self.sent_to(attempt) == from;
        if let Verdict::NotRun(Refusal { reason, .. }) = verdict
            && is_recipient
        {
            if self.ran.contains(&attempt) {
                self.violated(Invariant::RunIsNotDenied)?;
            }
            // A repeated verdict refers to the time of the decision; the key may have run since.
            let is_first_report = self.reported_not_run.insert(attempt);
            let request = &self.requests[self.request_of[&attempt]];
            if is_first_report && RefusalScope::of(reason, true) == RefusalScope::Key {
                self.counts.keys_refused += 1;
                if self.runs[request.key_index] > 0 {
                    self.violated(Invariant::RunOfKeyIsNotDenied)?;
                }
            }
        }
        self.network.push(Message::Answer { from, attempt, verdict });
        Ok(())
    }
}
