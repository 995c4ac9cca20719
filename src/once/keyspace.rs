//! The idempotency keys of one owner and lifetime, with the state of each.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::call::{AttemptId, Doubt, HttpAnswer, Key, KeyLifetime, NodeId};

use super::fingerprint::Fingerprint;

/// Identifies a keyspace: the keys of one owner and one lifetime.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct SpaceId {
    /// The owner of the keys.
    pub owner: NodeId,
    /// Their lifetime.
    pub lifetime: KeyLifetime,
}

impl SpaceId {
    /// Returns the keyspace of `key`.
    pub fn of(key: Key) -> Self {
        Self { owner: key.owner, lifetime: key.lifetime() }
    }
}

/// Identifies a key within its keyspace. Slots are ordered by the time of minting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct Slot {
    /// When the key was minted, in milliseconds since the Unix epoch.
    pub minted_unix_ms: u64,
    /// The random part of the key.
    pub nonce: u64,
}

impl Slot {
    /// Returns the slot of `key` in its keyspace.
    pub fn of(key: Key) -> Self {
        Self { minted_unix_ms: key.minted_unix_ms, nonce: key.nonce }
    }
}

/// The attempt that runs a key, with the attempts that wait for its verdict.
#[derive(Clone, Debug)]
pub(super) struct RunningAttempt {
    /// The attempt that was allowed to run.
    pub attempt: AttemptId,
    /// Attempts with the same key, which get the same verdict.
    pub waiters: Vec<AttemptId>,
}

/// The state of a key. A key without an entry never ran or is behind the horizon.
#[derive(Clone, Debug)]
pub(super) enum KeyState {
    /// An attempt was allowed to run it and has no verdict yet.
    Running(Box<RunningAttempt>),
    /// It ran, and this is its answer.
    Answered(Box<HttpAnswer>),
    /// It may have run, or it ran and its answer was dropped.
    Doubted(Doubt),
    /// It never ran here and never will: it was permanently delegated to this node.
    Delegated(NodeId),
}

/// One recorded key.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// The fingerprint of the first request with this key; unused for a delegated key.
    pub fingerprint: Fingerprint,
    /// The state of the key.
    pub state: KeyState,
}

/// All recorded keys of one owner and lifetime.
///
/// The horizon is the minting time up to which keys have expired. A key is removed only once it is
/// behind the horizon, and a key behind the horizon never runs. So a key that is neither recorded
/// nor behind the horizon never ran.
#[derive(Clone, Debug, Default)]
pub(super) struct Keyspace {
    /// The recorded keys, oldest first.
    pub entries: BTreeMap<Slot, Entry>,
    /// Keys minted at or before this time never run, in milliseconds since the Unix epoch.
    pub horizon_unix_ms: u64,
}

impl Keyspace {
    /// Whether `slot` is behind the horizon.
    pub fn is_expired(&self, slot: Slot) -> bool {
        slot.minted_unix_ms <= self.horizon_unix_ms
    }

    /// Moves the horizon forward; an earlier time has no effect.
    pub fn advance_horizon(&mut self, horizon_unix_ms: u64) {
        self.horizon_unix_ms = self.horizon_unix_ms.max(horizon_unix_ms);
    }

    /// Removes and returns all entries behind the horizon, except for running keys.
    pub fn take_expired(&mut self) -> Vec<(Slot, Entry)> {
        let end = Slot { minted_unix_ms: self.horizon_unix_ms, nonce: u64::MAX };
        let expired: Vec<Slot> = self
            .entries
            .range(..=end)
            .filter(|(_, entry)| !matches!(entry.state, KeyState::Running(_)))
            .map(|(slot, _)| *slot)
            .collect();
        let mut taken = Vec::with_capacity(expired.len());
        for slot in expired {
            let Some(entry) = self.entries.remove(&slot) else { continue };
            taken.push((slot, entry));
        }
        taken
    }

    /// The earliest minting time of the keys that are not running.
    pub fn oldest_settled_unix_ms(&self) -> Option<u64> {
        let is_settled = |entry: &Entry| !matches!(entry.state, KeyState::Running(_));
        let (slot, _) = self.entries.iter().find(|(_, entry)| is_settled(entry))?;
        Some(slot.minted_unix_ms)
    }
}

/// The memory overhead of a recorded answer, in bytes: its entry in the queue of answers, the
/// shared part of its body and the spare capacity of both. Measured; see `docs/DESIGN-once.md`.
const ANSWER_OVERHEAD_BYTES: usize = 64;

/// The memory of a recorded answer, in bytes.
pub(super) fn answer_bytes(answer: &HttpAnswer) -> usize {
    let headers: usize = answer.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
    size_of::<HttpAnswer>()
        + ANSWER_OVERHEAD_BYTES
        + answer.body.len()
        + headers
        + answer.headers.len() * size_of::<(String, String)>()
}
