//! What happens at a node.

use aspenspring::call::{AttemptId, Doubt, Key, NodeId, Refusal, RefusalReason, Verdict};
use aspenspring::once::{Arrival, FenceReply, Fingerprint, Offer, RefusalScope, ReturnPath};

use super::node::Held;
use super::{CALL_US, Checked, End, Flaw, Message, Rule, World, answer_of, pick};

const REQUEST: Fingerprint = Fingerprint(1);
const NO_PATH: ReturnPath = ReturnPath(0);

impl World {
    pub(super) fn arrive(&mut self, index: usize, attempt: AttemptId, key: Key) -> Checked {
        let (now_us, unix_ms, flaw) = (self.now_us, self.unix_ms(index), self.flaw);
        let node = &mut self.nodes[index];
        node.seen.insert(attempt);
        match node.book.arrive(now_us, attempt, now_us + CALL_US, NO_PATH) {
            Arrival::New => {}
            Arrival::InProgress => return Ok(()),
            Arrival::Repeat(verdict) => {
                let is_forgotten = verdict == Verdict::MayHaveRun(Doubt::AnswerForgotten);
                self.tally.forgotten_attempts += u32::from(is_forgotten);
                return self.tell(index, attempt, verdict);
            }
            Arrival::Refused(refusal) => {
                self.tally.full_books += u32::from(refusal.reason == RefusalReason::NodeFull);
                return self.tell(index, attempt, Verdict::NotRun(refusal));
            }
        }
        if flaw == Some(Flaw::RefusesUnseen) && !node.queue.is_empty() {
            let refusal = Verdict::not_run(RefusalReason::QueueFull, 0);
            node.book.settle(now_us, attempt, &refusal);
            return self.tell(index, attempt, refusal);
        }
        let offered = match flaw {
            Some(Flaw::RunsAnyKey) => Key { owner: node.id, ..key },
            _ => key,
        };
        match node.ledger.offer(unix_ms, offered, REQUEST, attempt) {
            Offer::Run => node.queue.push(Held { attempt, key: offered }),
            Offer::Joined => self.tally.joined += 1,
            Offer::Settled(verdict) => {
                node.book.settle(now_us, attempt, &verdict);
                match &verdict {
                    Verdict::Answered(_) => self.tally.recorded_answers += 1,
                    Verdict::MayHaveRun(Doubt::KeyElsewhere) => self.tally.elsewhere += 1,
                    Verdict::MayHaveRun(Doubt::KeyExpired) => self.tally.expired_keys += 1,
                    Verdict::MayHaveRun(Doubt::AnswerForgotten) => {
                        self.tally.answers_dropped_from_ledgers += 1;
                    }
                    Verdict::NotRun(Refusal { reason: RefusalReason::NodeFull, .. }) => {
                        self.tally.full_ledgers += 1;
                    }
                    _ => {}
                }
                return self.tell(index, attempt, verdict);
            }
        }
        Ok(())
    }

    pub(super) fn fence_arrives(&mut self, index: usize, attempt: AttemptId) -> Checked {
        let node = &mut self.nodes[index];
        let has_no_tombstone = self.flaw == Some(Flaw::NoTombstone);
        let reply = match has_no_tombstone && !node.seen.contains(&attempt) {
            true => FenceReply::NowFenced,
            false => node.book.fence(self.now_us, attempt, self.now_us + CALL_US, NO_PATH),
        };
        match reply {
            FenceReply::InProgress => Ok(()),
            FenceReply::Settled(verdict) => self.tell(index, attempt, verdict),
            FenceReply::NowFenced => {
                self.tally.fenced += 1;
                self.tell(index, attempt, Verdict::not_run(RefusalReason::Fenced, 0))
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
        let held = node.queue.remove(call);
        node.running.push(held);
        let is_inherited = held.key.owner != node.id;
        self.tally.runs += 1;
        self.tally.runs_of_inherited += u32::from(is_inherited);
        self.ran.insert(held.attempt);
        if self.told_not_run.contains(&held.attempt) {
            self.broken(Rule::RefusedAttemptStaysRefused)?;
        }
        let root = self.root_of(held.attempt);
        self.runs[root] += 1;
        self.tally.runs_of_delegated += u32::from(held.key != self.keys[root]);
        match self.runs[root] {
            1 => Ok(()),
            _ => self.broken(Rule::OneRunOfKey),
        }
    }

    pub(super) fn refuse(&mut self, node: u8, call: u8, delegate_to: Option<u8>) -> Checked {
        let index = usize::from(node) % 3;
        let unix_ms = self.unix_ms(index);
        let to = delegate_to.map(|to| self.nodes[usize::from(to) % 3].id);
        let is_remembered = self.flaw != Some(Flaw::ForgottenDelegation);
        let node = &mut self.nodes[index];
        let Some(call) = pick(call, node.queue.len()) else { return Ok(()) };
        if node.frozen {
            return Ok(());
        }
        let Held { attempt, key } = node.queue.remove(call);
        let mut told = vec![attempt];
        told.extend(node.ledger.refused(key, attempt));
        let mut reason = RefusalReason::Shed;
        if let Some(to) = to.filter(|to| *to != node.id) {
            if !is_remembered || node.ledger.delegate(unix_ms, key, to).is_ok() {
                reason = RefusalReason::KeyDelegated(to);
                self.tally.delegated += 1;
            }
        }
        self.settle_all(index, told, Verdict::not_run(reason, 0))
    }

    pub(super) fn finish(&mut self, node: u8, call: u8, end: End) -> Checked {
        let index = usize::from(node) % 3;
        let node = &mut self.nodes[index];
        let Some(call) = pick(call, node.running.len()) else { return Ok(()) };
        if node.frozen {
            return Ok(());
        }
        let Held { attempt, key } = node.running.remove(call);
        let root = self.root_of(attempt);
        let verdict = match end {
            End::Answered => Verdict::Answered(answer_of(root)),
            End::Broke => Verdict::MayHaveRun(Doubt::TargetBroke),
            End::Declined => {
                // The target did nothing, so this was no run.
                self.runs[root] -= 1;
                self.ran.remove(&attempt);
                Verdict::not_run(RefusalReason::TargetDeclined, 0)
            }
        };
        let mut told = vec![attempt];
        told.extend(self.nodes[index].ledger.finished(key, attempt, &verdict));
        self.settle_all(index, told, verdict)
    }

    /// The key that the request of `attempt` was made with, before any delegation.
    fn root_of(&self, attempt: AttemptId) -> usize {
        self.requests[self.request_of[&attempt]].root
    }

    /// The node life that `attempt` was sent to.
    pub(super) fn sent_to(&self, attempt: AttemptId) -> NodeId {
        let request = &self.requests[self.request_of[&attempt]];
        let (_, to, _) = request.attempts.iter().find(|(sent, ..)| *sent == attempt).unwrap();
        *to
    }

    fn settle_all(&mut self, index: usize, told: Vec<AttemptId>, verdict: Verdict) -> Checked {
        for attempt in told {
            self.nodes[index].book.settle(self.now_us, attempt, &verdict);
            self.tell(index, attempt, verdict.clone())?;
        }
        Ok(())
    }

    /// A node tells what became of an attempt.
    fn tell(&mut self, index: usize, attempt: AttemptId, verdict: Verdict) -> Checked {
        let from = self.nodes[index].id;
        // What a node says of an attempt that was sent to an earlier life counts for nothing.
        let is_addressee = self.sent_to(attempt) == from;
        if let Verdict::NotRun(Refusal { reason, .. }) = verdict
            && is_addressee
        {
            if self.ran.contains(&attempt) {
                self.broken(Rule::RunIsNotDenied)?;
            }
            // A repeated verdict is as old as the decision, and the key may have run since.
            let is_decision = self.told_not_run.insert(attempt);
            let request = &self.requests[self.request_of[&attempt]];
            if is_decision && RefusalScope::of(reason, true) == RefusalScope::Key {
                self.tally.keys_refused += 1;
                if self.runs[request.root] > 0 {
                    self.broken(Rule::RunOfKeyIsNotDenied)?;
                }
            }
        }
        self.network.push(Message::Answer { from, attempt, verdict });
        Ok(())
    }
}
