//! The whole ledger of a node that leaves in an orderly way, for the node that takes its place.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::call::{Doubt, HttpAnswer, NodeId};

use super::fingerprint::Fingerprint;
use super::keyspace::{Entry, Keyspace, Slot, SpaceId, State, answer_bytes};
use super::ledger::{Ledger, state_bytes};

/// Everything a leaving node knew about keys. There is no such thing as a part of one: a heir that
/// holds it knows for every key of the leaver whether it may have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The node that left.
    pub from: NodeId,
    /// The only node that may use it.
    pub heir: NodeId,
    /// The leaver's own keys, and those it had inherited.
    spaces: Vec<SpaceRecord>,
}

/// The keys of one owner and lifetime.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SpaceRecord {
    /// Which keys these are.
    id: SpaceId,
    /// Keys minted at this time or before never run, in milliseconds since the Unix epoch.
    horizon_unix_ms: u64,
    /// The remembered keys, the oldest first.
    entries: Vec<EntryRecord>,
}

/// What became of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EntryRecord {
    /// The key within its keyspace.
    slot: Slot,
    /// The request that used it first.
    fingerprint: Fingerprint,
    /// What became of it.
    state: SettledState,
}

/// What became of a key that is not running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum SettledState {
    /// It ran, and this is its answer.
    Answered(HttpAnswer),
    /// It may have run.
    Doubted(Doubt),
    /// It was delegated to this node.
    Delegated(NodeId),
}

/// Why a ledger cannot be handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HandoverError {
    /// Keys are still running; the node has to finish them first.
    #[error("{0} keys are still running")]
    StillRunning(usize),
    /// The ledger was handed over before, to this node.
    #[error("the ledger was handed over to {0}")]
    AlreadyHandedOver(NodeId),
    /// A node cannot leave its keys to itself.
    #[error("a node cannot be its own heir")]
    ToSelf,
    /// The ledger does not fit in the limit, even without the answers.
    #[error("the ledger needs {0} bytes without any answers")]
    TooLarge(usize),
    /// The handover could not be encoded.
    #[error("the handover cannot be encoded")]
    Encoding,
}

/// Why a handover cannot be taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AdoptError {
    /// The bytes are not one whole handover.
    #[error("the bytes are not one whole handover")]
    Malformed,
    /// The handover is meant for another node.
    #[error("the handover is meant for {0}")]
    OtherHeir(NodeId),
    /// This node has handed over its own ledger already.
    #[error("this node has handed its ledger over to {0}")]
    HandedOver(NodeId),
    /// The keys do not fit in the ledger.
    #[error("the ledger has no room for {0} more keys")]
    Full(usize),
}

impl Handover {
    /// Reads an encoded handover.
    ///
    /// # Errors
    ///
    /// `Malformed` unless the bytes are exactly one handover.
    pub fn decode(bytes: &[u8]) -> Result<Self, AdoptError> {
        let decoded = postcard::take_from_bytes(bytes).map_err(|_| AdoptError::Malformed)?;
        let (handover, rest): (Self, &[u8]) = decoded;
        if !rest.is_empty() {
            return Err(AdoptError::Malformed);
        }
        Ok(handover)
    }

    /// How many keys it holds.
    pub fn len(&self) -> usize {
        self.spaces.iter().map(|space| space.entries.len()).sum()
    }

    /// Whether it holds no key. Even then it lets the heir run the leaver's unused keys.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Ledger {
    /// Ends this ledger and returns it, encoded, for `heir`.
    ///
    /// From now on no key runs here. Asked again for the same heir, it returns the same again, so
    /// that a lost message can be repeated. Where `max_bytes` is too small for all answers, the
    /// oldest are left out; their keys are handed over as having run.
    ///
    /// # Errors
    ///
    /// See `HandoverError`; the ledger then goes on as before.
    pub fn hand_over(&mut self, heir: NodeId, max_bytes: usize) -> Result<Vec<u8>, HandoverError> {
        if heir == self.owner {
            return Err(HandoverError::ToSelf);
        }
        if let Some(earlier) = self.heir.filter(|earlier| *earlier != heir) {
            return Err(HandoverError::AlreadyHandedOver(earlier));
        }
        let running = self.running();
        if running > 0 {
            return Err(HandoverError::StillRunning(running));
        }
        let bare_bytes = encode(&self.record(heir, 0))?.len();
        let Some(answers_max_bytes) = max_bytes.checked_sub(bare_bytes) else {
            return Err(HandoverError::TooLarge(bare_bytes));
        };
        let encoded = encode(&self.record(heir, answers_max_bytes))?;
        self.heir = Some(heir);
        Ok(encoded)
    }

    /// Takes over the keys of a node that left.
    ///
    /// A handover that arrives twice is taken over once: the keys of an owner that are already held
    /// here are left as they are, as this node may have run some of them since.
    ///
    /// # Errors
    ///
    /// See `AdoptError`; nothing is taken over then.
    pub fn adopt(&mut self, unix_ms: u64, handover: Handover) -> Result<(), AdoptError> {
        if handover.heir != self.owner {
            return Err(AdoptError::OtherHeir(handover.heir));
        }
        if let Some(heir) = self.heir {
            return Err(AdoptError::HandedOver(heir));
        }
        let is_new = |space: &SpaceRecord| !self.spaces.contains_key(&space.id);
        let new: Vec<SpaceRecord> = handover.spaces.into_iter().filter(is_new).collect();
        let added: usize = new.iter().map(|space| space.entries.len()).sum();
        if self.len() + added > self.options.entries_max {
            return Err(AdoptError::Full(added));
        }
        // The oldest answers are the first to be dropped, so the inherited ones go to the front.
        let own_answered = std::mem::take(&mut self.answered);
        for space in new {
            self.adopt_space(space);
        }
        self.answered.extend(own_answered);
        self.advance(unix_ms);
        self.drop_oldest_answers();
        Ok(())
    }

    /// Takes over the keys of one owner and lifetime.
    fn adopt_space(&mut self, record: SpaceRecord) {
        let mut space = Keyspace { horizon_unix_ms: record.horizon_unix_ms, ..Keyspace::default() };
        for EntryRecord { slot, fingerprint, state } in record.entries {
            let state = match state {
                SettledState::Answered(answer) => State::Answered(Box::new(answer)),
                SettledState::Doubted(doubt) => State::Doubted(doubt),
                SettledState::Delegated(to) => State::Delegated(to),
            };
            let added_bytes = state_bytes(&state);
            if added_bytes > 0 {
                self.answers_bytes += added_bytes;
                self.answered.push_back((record.id, slot));
            }
            space.entries.insert(slot, Entry { fingerprint, state });
        }
        self.spaces.insert(record.id, space);
    }

    /// How many keys are running.
    pub fn running(&self) -> usize {
        let entries = self.spaces.values().flat_map(|space| space.entries.values());
        entries.filter(|entry| matches!(entry.state, State::Held(_))).count()
    }

    /// The ledger as it is handed over, with the newest answers that fit in `answers_max_bytes`.
    fn record(&self, heir: NodeId, answers_max_bytes: usize) -> Handover {
        let first_kept = self.first_answer_within(answers_max_bytes);
        let kept: BTreeSet<(SpaceId, Slot)> =
            self.answered.iter().skip(first_kept).copied().collect();
        let mut spaces = Vec::with_capacity(self.spaces.len());
        for (id, space) in &self.spaces {
            let mut entries = Vec::with_capacity(space.entries.len());
            for (slot, entry) in &space.entries {
                let keeps_answer = kept.contains(&(*id, *slot));
                let Some(state) = settled_state(&entry.state, keeps_answer) else { continue };
                entries.push(EntryRecord { slot: *slot, fingerprint: entry.fingerprint, state });
            }
            let horizon_unix_ms = space.horizon_unix_ms;
            spaces.push(SpaceRecord { id: *id, horizon_unix_ms, entries });
        }
        Handover { from: self.owner, heir, spaces }
    }

    /// The place in `answered` from which all answers fit in `max_bytes`.
    fn first_answer_within(&self, max_bytes: usize) -> usize {
        let mut left_bytes = max_bytes;
        for (index, (id, slot)) in self.answered.iter().enumerate().rev() {
            let entry = self.spaces.get(id).and_then(|space| space.entries.get(slot));
            let Some(State::Answered(answer)) = entry.map(|entry| &entry.state) else { continue };
            // The memory taken is more than the encoded size, so the limit holds.
            let Some(rest) = left_bytes.checked_sub(answer_bytes(answer)) else { return index + 1 };
            left_bytes = rest;
        }
        0
    }
}

/// The state of a key as it is handed over; none for a key that is running.
fn settled_state(state: &State, keeps_answer: bool) -> Option<SettledState> {
    match state {
        State::Held(_) => None,
        State::Answered(answer) if keeps_answer => {
            Some(SettledState::Answered(HttpAnswer::clone(answer)))
        }
        State::Answered(_) => Some(SettledState::Doubted(Doubt::AnswerForgotten)),
        State::Doubted(doubt) => Some(SettledState::Doubted(*doubt)),
        State::Delegated(to) => Some(SettledState::Delegated(*to)),
    }
}

/// Encodes a handover.
fn encode(handover: &Handover) -> Result<Vec<u8>, HandoverError> {
    postcard::to_allocvec(handover).map_err(|_| HandoverError::Encoding)
}
