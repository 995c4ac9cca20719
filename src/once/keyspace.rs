//! The keys of one owner and lifetime, and what became of each.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::call::{AttemptId, Doubt, HttpAnswer, Key, KeyLifetime, NodeId};

use super::fingerprint::Fingerprint;

/// The keys that are remembered together: those of one owner and one lifetime.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct SpaceId {
    /// The owner of the keys.
    pub owner: NodeId,
    /// Their lifetime.
    pub lifetime: KeyLifetime,
}

impl SpaceId {
    /// The keyspace of `key`.
    pub fn of(key: Key) -> Self {
        Self { owner: key.owner, lifetime: key.lifetime() }
    }
}

/// A key within its keyspace, ordered by the time of minting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct Slot {
    /// When the key was minted, in milliseconds since the Unix epoch.
    pub minted_unix_ms: u64,
    /// The random part of the key.
    pub nonce: u64,
}

impl Slot {
    /// The place of `key` in its keyspace.
    pub fn of(key: Key) -> Self {
        Self { minted_unix_ms: key.minted_unix_ms, nonce: key.nonce }
    }
}

/// The attempt that runs a key, and those that wait for its verdict.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    /// The attempt that was told to run.
    pub attempt: AttemptId,
    /// Attempts with the same key that get the same verdict.
    pub waiters: Vec<AttemptId>,
}

/// What became of a key. A key without an entry never ran, or is past the horizon.
#[derive(Clone, Debug)]
pub(super) enum State {
    /// An attempt was told to run it, and its verdict is not known yet.
    Held(Box<Holder>),
    /// It ran, and this is its answer.
    Answered(Box<HttpAnswer>),
    /// It may have run, or it ran and its answer is no longer held.
    Doubted(Doubt),
    /// It never ran here and never will: it was handed to this node for ever.
    Delegated(NodeId),
}

/// One remembered key.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// The request that used the key first; without meaning for a delegated key.
    pub fingerprint: Fingerprint,
    /// What became of it.
    pub state: State,
}

/// All remembered keys of one owner and lifetime.
///
/// A key is forgotten only when the horizon has passed its time of minting, and a key behind the
/// horizon never runs. So a key that is neither remembered nor behind the horizon never ran.
#[derive(Clone, Debug, Default)]
pub(super) struct Keyspace {
    /// The remembered keys, the oldest first.
    pub entries: BTreeMap<Slot, Entry>,
    /// Keys minted at this time or before never run, in milliseconds since the Unix epoch.
    pub horizon_unix_ms: u64,
}

impl Keyspace {
    /// Whether `slot` is too old to run.
    pub fn is_expired(&self, slot: Slot) -> bool {
        slot.minted_unix_ms <= self.horizon_unix_ms
    }

    /// Moves the horizon forward, never back.
    pub fn advance(&mut self, horizon_unix_ms: u64) {
        self.horizon_unix_ms = self.horizon_unix_ms.max(horizon_unix_ms);
    }

    /// Takes out all entries behind the horizon, except for those that are still running.
    pub fn take_expired(&mut self) -> Vec<(Slot, Entry)> {
        let end = Slot { minted_unix_ms: self.horizon_unix_ms, nonce: u64::MAX };
        let settled: Vec<Slot> = self
            .entries
            .range(..=end)
            .filter(|(_, entry)| !matches!(entry.state, State::Held(_)))
            .map(|(slot, _)| *slot)
            .collect();
        let mut taken = Vec::with_capacity(settled.len());
        for slot in settled {
            let Some(entry) = self.entries.remove(&slot) else { continue };
            taken.push((slot, entry));
        }
        taken
    }

    /// The earliest time of minting among the keys that are no longer running.
    pub fn oldest_settled_unix_ms(&self) -> Option<u64> {
        let is_settled = |entry: &Entry| !matches!(entry.state, State::Held(_));
        let (slot, _) = self.entries.iter().find(|(_, entry)| is_settled(entry))?;
        Some(slot.minted_unix_ms)
    }
}

/// What an answer takes beside its content, in bytes: its place in the order of answers, the shared
/// part of its body and the spare room of both, as measured for the design note.
const ANSWER_OVERHEAD_BYTES: usize = 64;

/// The memory a remembered answer takes, in bytes.
pub(super) fn answer_bytes(answer: &HttpAnswer) -> usize {
    let headers: usize = answer.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
    size_of::<HttpAnswer>()
        + ANSWER_OVERHEAD_BYTES
        + answer.body.len()
        + headers
        + answer.headers.len() * size_of::<(String, String)>()
}
