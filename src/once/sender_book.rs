//! The attempts a sending node has made and not seen settled.

use std::collections::{BTreeSet, HashMap};

use crate::call::{AttemptId, NodeId};

/// The call that attempts belong to; the book only hands it out again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallToken(pub u64);

/// One attempt on its way.
#[derive(Clone, Copy, Debug)]
struct Sent {
    /// The only node whose word about the attempt counts.
    to: NodeId,
    /// The call it was made for.
    call: CallToken,
    /// When the sender stops waiting, in microseconds.
    deadline_us: u64,
}

/// An attempt that was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUp {
    /// The attempt.
    pub attempt: AttemptId,
    /// The node it was sent to.
    pub to: NodeId,
    /// The call it was made for.
    pub call: CallToken,
}

/// Matches answers to calls, by the attempt and the node that answers.
///
/// An answer for an attempt that is not in the book, or from a node it was not sent to, belongs to
/// nobody and is dropped. An answer of an earlier attempt of the same call is as good as any.
#[derive(Debug, Default)]
pub struct SenderBook {
    /// The attempts on their way.
    sent: HashMap<AttemptId, Sent>,
    /// The same by deadline.
    by_deadline: BTreeSet<(u64, AttemptId)>,
    /// The same by the node they went to.
    by_node: BTreeSet<(NodeId, AttemptId)>,
    /// The same by call.
    by_call: BTreeSet<(CallToken, AttemptId)>,
}

impl SenderBook {
    /// Records that `attempt` of `call` goes to the node `to`.
    pub fn sent(&mut self, attempt: AttemptId, to: NodeId, call: CallToken, deadline_us: u64) {
        self.remove(attempt);
        self.sent.insert(attempt, Sent { to, call, deadline_us });
        self.by_deadline.insert((deadline_us, attempt));
        self.by_node.insert((to, attempt));
        self.by_call.insert((call, attempt));
    }

    /// Whose answer this is, once: the call, or none where the answer is to be dropped.
    pub fn answered(&mut self, from: NodeId, attempt: AttemptId) -> Option<CallToken> {
        if self.sent.get(&attempt)?.to != from {
            return None;
        }
        self.remove(attempt).map(|sent| sent.call)
    }

    /// The attempts that went to `to` and have no answer: to be fenced over a new connection.
    ///
    /// They stay in the book, as the answer to the fence is an answer to the attempt.
    pub fn unanswered_by(&self, to: NodeId) -> Vec<AttemptId> {
        let first = AttemptId { origin: NodeId(0), sequence: 0, nonce: 0 };
        let from_first = self.by_node.range((to, first)..);
        from_first.take_while(|(node, _)| *node == to).map(|(_, attempt)| *attempt).collect()
    }

    /// Takes out every attempt of a call that has ended, with the node each went to, so that it can
    /// be cancelled there. Their answers are dropped from now on.
    pub fn close(&mut self, call: CallToken) -> Vec<GivenUp> {
        let first = AttemptId { origin: NodeId(0), sequence: 0, nonce: 0 };
        let of_call = self.by_call.range((call, first)..);
        let open: Vec<AttemptId> =
            of_call.take_while(|(token, _)| *token == call).map(|(_, attempt)| *attempt).collect();
        self.give_up(&open)
    }

    /// Takes out the attempts whose deadline has passed; each may have run.
    pub fn expire(&mut self, now_us: u64) -> Vec<GivenUp> {
        let due = self.by_deadline.iter().take_while(|(deadline_us, _)| *deadline_us <= now_us);
        let due: Vec<AttemptId> = due.map(|(_, attempt)| *attempt).collect();
        self.give_up(&due)
    }

    /// When `expire` next has something to do, in microseconds.
    pub fn next_wake_us(&self) -> Option<u64> {
        self.by_deadline.first().map(|(deadline_us, _)| *deadline_us)
    }

    /// How many attempts are on their way.
    pub fn len(&self) -> usize {
        self.sent.len()
    }

    /// Whether no attempt is on its way.
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }

    /// Takes out the attempts in `attempts`.
    fn give_up(&mut self, attempts: &[AttemptId]) -> Vec<GivenUp> {
        let mut given_up = Vec::with_capacity(attempts.len());
        for attempt in attempts.iter().copied() {
            let Some(Sent { to, call, .. }) = self.remove(attempt) else { continue };
            given_up.push(GivenUp { attempt, to, call });
        }
        given_up
    }

    /// Takes out one attempt.
    fn remove(&mut self, attempt: AttemptId) -> Option<Sent> {
        let sent = self.sent.remove(&attempt)?;
        self.by_deadline.remove(&(sent.deadline_us, attempt));
        self.by_node.remove(&(sent.to, attempt));
        self.by_call.remove(&(sent.call, attempt));
        Some(sent)
    }
}
