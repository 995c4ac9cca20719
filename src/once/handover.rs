//! Handover of the complete ledger of a leaving node to its successor.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::call::{Doubt, HttpAnswer, NodeId};

use super::fingerprint::Fingerprint;
use super::keyspace::{Entry, KeyState, Keyspace, LocalKey, SpaceId, answer_bytes};
use super::ledger::{Ledger, state_bytes};

/// The complete key state of a leaving node.
///
/// A handover is never partial: for every key of the leaving node, it tells the successor whether
/// the key may have run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The node that left.
    pub from: NodeId,
    /// The only node that may adopt the handover.
    #[serde(rename = "heir")]
    pub successor: NodeId,
    /// The leaving node's own keys, and those it had inherited.
    spaces: Vec<SpaceRecord>,
}

/// The handover form of a keyspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SpaceRecord {
    /// The owner and lifetime of the keys.
    id: SpaceId,
    /// Keys minted at or before this time never run, in milliseconds since the Unix epoch.
    horizon_unix_ms: u64,
    /// The recorded keys, oldest first.
    entries: Vec<EntryRecord>,
}

/// The handover form of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EntryRecord {
    /// The key within its keyspace.
    #[serde(rename = "slot")]
    local_key: LocalKey,
    /// The fingerprint of the first request with this key; unused for a delegated key.
    fingerprint: Fingerprint,
    /// The state of the key.
    state: SettledState,
}

/// The state of a key that is not running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum SettledState {
    /// It ran, and this is its answer.
    Answered(HttpAnswer),
    /// It may have run, or it ran and its answer was dropped.
    Doubted(Doubt),
    /// It was permanently delegated to the given node.
    Delegated(NodeId),
}

/// Why a ledger cannot be handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HandoverError {
    /// This number of keys is still running; the node must finish them first.
    #[error("{0} keys are still running")]
    StillRunning(usize),
    /// The ledger was handed over earlier, to the given node.
    #[error("the ledger was already handed over to {0}")]
    AlreadyHandedOver(NodeId),
    /// A node cannot hand its keys over to itself.
    #[error("a node cannot be its own successor")]
    ToSelf,
    /// The ledger exceeds the size limit even without answers; its size in bytes.
    #[error("the ledger takes {0} bytes without answers, which exceeds the limit")]
    TooLarge(usize),
    /// The handover could not be encoded.
    #[error("the handover could not be encoded")]
    Encoding,
}

/// Why a handover cannot be adopted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AdoptError {
    /// The bytes are not exactly one handover.
    #[error("the bytes are not exactly one handover")]
    Malformed,
    /// The handover is meant for another node.
    #[error("the handover is meant for {0}")]
    OtherSuccessor(NodeId),
    /// This node has already handed its own ledger over to the given node.
    #[error("this node has already handed its ledger over to {0}")]
    HandedOver(NodeId),
    /// The ledger has no room for this number of keys.
    #[error("the ledger has no room for {0} more keys")]
    Full(usize),
}

impl Handover {
    /// Decodes a handover.
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

    /// The number of keys in the handover.
    pub fn len(&self) -> usize {
        self.spaces.iter().map(|space| space.entries.len()).sum()
    }

    /// Whether the handover holds no key. Even an empty one permits the successor to run the unused
    /// keys of the leaving node.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Ledger {
    /// Closes this ledger and returns its encoded handover to `successor`.
    ///
    /// No key runs here afterwards. A repeated call for the same successor returns the same bytes,
    /// so that a lost message can be sent again. If `max_bytes` is too small for all answers, the
    /// oldest are left out and their keys are handed over as having run.
    ///
    /// # Errors
    ///
    /// See `HandoverError`; the ledger is then unchanged.
    pub fn hand_over(
        &mut self,
        successor: NodeId,
        max_bytes: usize,
    ) -> Result<Vec<u8>, HandoverError> {
        if successor == self.owner {
            return Err(HandoverError::ToSelf);
        }
        if let Some(earlier) = self.successor.filter(|earlier| *earlier != successor) {
            return Err(HandoverError::AlreadyHandedOver(earlier));
        }
        let running = self.running();
        if running > 0 {
            return Err(HandoverError::StillRunning(running));
        }
        let without_answers_bytes = encode(&self.to_handover(successor, 0))?.len();
        let Some(answers_max_bytes) = max_bytes.checked_sub(without_answers_bytes) else {
            return Err(HandoverError::TooLarge(without_answers_bytes));
        };
        let encoded = encode(&self.to_handover(successor, answers_max_bytes))?;
        self.successor = Some(successor);
        Ok(encoded)
    }

    /// Takes over the keys of a node that left.
    ///
    /// Idempotent: keyspaces that are already held here stay unchanged, as this node may have run
    /// some of their keys since.
    ///
    /// # Errors
    ///
    /// See `AdoptError`; the ledger is then unchanged.
    pub fn adopt(&mut self, unix_ms: u64, handover: Handover) -> Result<(), AdoptError> {
        if handover.successor != self.owner {
            return Err(AdoptError::OtherSuccessor(handover.successor));
        }
        if let Some(successor) = self.successor {
            return Err(AdoptError::HandedOver(successor));
        }
        let is_new = |space: &SpaceRecord| !self.spaces.contains_key(&space.id);
        let new: Vec<SpaceRecord> = handover.spaces.into_iter().filter(is_new).collect();
        let added: usize = new.iter().map(|space| space.entries.len()).sum();
        if self.len() + added > self.options.entries_max {
            return Err(AdoptError::Full(added));
        }
        // Answers at the front are dropped first, so the inherited ones go there.
        let own_answered = std::mem::take(&mut self.answered);
        for space in new {
            self.adopt_space(space);
        }
        self.answered.extend(own_answered);
        self.advance_horizons(unix_ms);
        self.drop_oldest_answers();
        Ok(())
    }

    /// Takes over one keyspace.
    fn adopt_space(&mut self, record: SpaceRecord) {
        let mut space = Keyspace { horizon_unix_ms: record.horizon_unix_ms, ..Keyspace::default() };
        for EntryRecord { local_key, fingerprint, state } in record.entries {
            let state = match state {
                SettledState::Answered(answer) => KeyState::Answered(Box::new(answer)),
                SettledState::Doubted(doubt) => KeyState::Doubted(doubt),
                SettledState::Delegated(to) => KeyState::Delegated(to),
            };
            let added_bytes = state_bytes(&state);
            if added_bytes > 0 {
                self.answers_bytes += added_bytes;
                self.answered.push_back((record.id, local_key));
            }
            space.entries.insert(local_key, Entry { fingerprint, state });
        }
        self.spaces.insert(record.id, space);
    }

    /// The number of running keys.
    pub fn running(&self) -> usize {
        let entries = self.spaces.values().flat_map(|space| space.entries.values());
        entries.filter(|entry| matches!(entry.state, KeyState::Running(_))).count()
    }

    /// Builds the handover to `successor`, with the newest answers that fit in `answers_max_bytes`.
    fn to_handover(&self, successor: NodeId, answers_max_bytes: usize) -> Handover {
        let first_kept_index = self.first_answer_within(answers_max_bytes);
        let kept: BTreeSet<(SpaceId, LocalKey)> =
            self.answered.iter().skip(first_kept_index).copied().collect();
        let mut spaces = Vec::with_capacity(self.spaces.len());
        for (id, space) in &self.spaces {
            let mut entries = Vec::with_capacity(space.entries.len());
            for (local_key, entry) in &space.entries {
                let keeps_answer = kept.contains(&(*id, *local_key));
                let Some(state) = settled_state(&entry.state, keeps_answer) else { continue };
                entries.push(EntryRecord {
                    local_key: *local_key,
                    fingerprint: entry.fingerprint,
                    state,
                });
            }
            let horizon_unix_ms = space.horizon_unix_ms;
            spaces.push(SpaceRecord { id: *id, horizon_unix_ms, entries });
        }
        Handover { from: self.owner, successor, spaces }
    }

    /// The index in `answered` from which all answers fit in `max_bytes`.
    fn first_answer_within(&self, max_bytes: usize) -> usize {
        let mut remaining_bytes = max_bytes;
        for (index, (id, local_key)) in self.answered.iter().enumerate().rev() {
            let entry = self.spaces.get(id).and_then(|space| space.entries.get(local_key));
            let Some(KeyState::Answered(answer)) = entry.map(|entry| &entry.state) else {
                continue;
            };
            // The memory of an answer exceeds its encoded size, so the limit holds.
            let Some(rest) = remaining_bytes.checked_sub(answer_bytes(answer)) else {
                return index + 1;
            };
            remaining_bytes = rest;
        }
        0
    }
}

/// The handover form of a key's state; `None` for a running key.
fn settled_state(state: &KeyState, keeps_answer: bool) -> Option<SettledState> {
    match state {
        KeyState::Running(_) => None,
        KeyState::Answered(answer) if keeps_answer => {
            Some(SettledState::Answered(HttpAnswer::clone(answer)))
        }
        KeyState::Answered(_) => Some(SettledState::Doubted(Doubt::AnswerForgotten)),
        KeyState::Doubted(doubt) => Some(SettledState::Doubted(*doubt)),
        KeyState::Delegated(to) => Some(SettledState::Delegated(*to)),
    }
}

/// Encodes a handover.
fn encode(handover: &Handover) -> Result<Vec<u8>, HandoverError> {
    postcard::to_allocvec(handover).map_err(|_| HandoverError::Encoding)
}
