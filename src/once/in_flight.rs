//! The attempts that a node has sent and that have no verdict yet.

use std::collections::{BTreeSet, HashMap};

use crate::call::{AttemptId, NodeId};

/// The opaque ID of the call that an attempt belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallToken(pub u64);

/// One attempt in flight.
#[derive(Clone, Copy, Debug)]
struct Sent {
    /// The node it was sent to; answers from other nodes are ignored.
    to: NodeId,
    /// The call it belongs to.
    call: CallToken,
    /// When the sender stops waiting, in microseconds.
    deadline_us: u64,
}

/// An attempt that the sender no longer waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AbandonedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// The node it was sent to.
    pub to: NodeId,
    /// The call it belongs to.
    pub call: CallToken,
}

/// Matches answers to calls by the attempt and the answering node.
///
/// An answer is dropped if its attempt is not in flight or was sent to another node. A call may
/// have several attempts in flight, and an answer to any of them is accepted.
#[derive(Debug, Default)]
pub struct InFlightAttempts {
    /// The attempts in flight.
    sent: HashMap<AttemptId, Sent>,
    /// The attempts ordered by deadline.
    by_deadline: BTreeSet<(u64, AttemptId)>,
    /// The attempts ordered by the node they were sent to.
    by_node: BTreeSet<(NodeId, AttemptId)>,
    /// The attempts ordered by call.
    by_call: BTreeSet<(CallToken, AttemptId)>,
}

impl InFlightAttempts {
    /// Records that `attempt` of `call` was sent to the node `to`.
    pub fn record_sent(
        &mut self,
        attempt: AttemptId,
        to: NodeId,
        call: CallToken,
        deadline_us: u64,
    ) {
        self.remove(attempt);
        self.sent.insert(attempt, Sent { to, call, deadline_us });
        self.by_deadline.insert((deadline_us, attempt));
        self.by_node.insert((to, attempt));
        self.by_call.insert((call, attempt));
    }

    /// Removes the attempt that was answered and returns its call, or `None` if the answer must be
    /// dropped.
    pub fn take_answered(&mut self, from: NodeId, attempt: AttemptId) -> Option<CallToken> {
        if self.sent.get(&attempt)?.to != from {
            return None;
        }
        self.remove(attempt).map(|sent| sent.call)
    }

    /// The unanswered attempts that were sent to the node `to`; they are to be fenced over a new
    /// connection.
    ///
    /// They remain in flight, as the reply to the fence counts as an answer to the attempt.
    pub fn unanswered_by(&self, to: NodeId) -> Vec<AttemptId> {
        let first = AttemptId { origin: NodeId(0), sequence: 0, nonce: 0 };
        let from_first = self.by_node.range((to, first)..);
        from_first.take_while(|(node, _)| *node == to).map(|(_, attempt)| *attempt).collect()
    }

    /// Removes and returns all attempts of a call that has ended, so that they can be cancelled at
    /// the nodes they were sent to. Later answers to them are dropped.
    pub fn close(&mut self, call: CallToken) -> Vec<AbandonedAttempt> {
        let first = AttemptId { origin: NodeId(0), sequence: 0, nonce: 0 };
        let of_call = self.by_call.range((call, first)..);
        let open: Vec<AttemptId> =
            of_call.take_while(|(token, _)| *token == call).map(|(_, attempt)| *attempt).collect();
        self.abandon(&open)
    }

    /// Removes and returns the attempts whose deadline has passed; each may have run.
    pub fn expire(&mut self, now_us: u64) -> Vec<AbandonedAttempt> {
        let due = self.by_deadline.iter().take_while(|(deadline_us, _)| *deadline_us <= now_us);
        let due: Vec<AttemptId> = due.map(|(_, attempt)| *attempt).collect();
        self.abandon(&due)
    }

    /// When `expire` next has work to do, in microseconds.
    pub fn next_wake_us(&self) -> Option<u64> {
        self.by_deadline.first().map(|(deadline_us, _)| *deadline_us)
    }

    /// The number of attempts in flight.
    pub fn len(&self) -> usize {
        self.sent.len()
    }

    /// Whether no attempt is in flight.
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }

    /// Removes and returns the attempts in `attempts`.
    fn abandon(&mut self, attempts: &[AttemptId]) -> Vec<AbandonedAttempt> {
        let mut abandoned = Vec::with_capacity(attempts.len());
        for attempt in attempts.iter().copied() {
            let Some(Sent { to, call, .. }) = self.remove(attempt) else { continue };
            abandoned.push(AbandonedAttempt { attempt, to, call });
        }
        abandoned
    }

    /// Removes one attempt.
    fn remove(&mut self, attempt: AttemptId) -> Option<Sent> {
        let sent = self.sent.remove(&attempt)?;
        self.by_deadline.remove(&(sent.deadline_us, attempt));
        self.by_node.remove(&(sent.to, attempt));
        self.by_call.remove(&(sent.call, attempt));
        Some(sent)
    }
}
