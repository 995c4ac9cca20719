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

/// The part of a key that identifies it within its keyspace. Ordered by the time of minting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct LocalKey {
    /// When the key was minted, in milliseconds since the Unix epoch.
    pub minted_unix_ms: u64,
    /// The random part of the key.
    pub nonce: u64,
}

impl LocalKey {
    /// Returns the part of `key` that identifies it in its keyspace.
    pub fn of(key: Key) -> Self {
        Self { minted_unix_ms: key.minted_unix_ms, nonce: key.nonce }
    }
}

/// The attempt that runs a key, and the attempts that wait for its verdict.
#[derive(Clone, Debug)]
pub(super) struct RunningAttempt {
    /// The attempt that was allowed to run.
    pub attempt: AttemptId,
    /// Attempts with the same key, which get the same verdict.
    pub waiters: Vec<AttemptId>,
}

/// The state of a recorded key.
#[derive(Clone, Debug)]
pub(super) enum KeyState {
    /// An attempt was allowed to run it and has no verdict yet.
    Running(Box<RunningAttempt>),
    /// It ran, and this is its answer.
    Answered(Box<HttpAnswer>),
    /// It may have run, or it ran and its answer was dropped; this is the doubt to report.
    Doubted(Doubt),
    /// It never ran here and never will: it was permanently delegated to the given node.
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
    pub entries: BTreeMap<LocalKey, Entry>,
    /// Keys minted at or before this time never run, in milliseconds since the Unix epoch.
    pub horizon_unix_ms: u64,
}

impl Keyspace {
    /// Whether `local_key` is behind the horizon.
    pub fn is_expired(&self, local_key: LocalKey) -> bool {
        local_key.minted_unix_ms <= self.horizon_unix_ms
    }

    /// Moves the horizon forward; an earlier time has no effect.
    pub fn advance_horizon(&mut self, horizon_unix_ms: u64) {
        self.horizon_unix_ms = self.horizon_unix_ms.max(horizon_unix_ms);
    }

    /// Removes and returns all entries behind the horizon, except for running keys.
    pub fn take_expired(&mut self) -> Vec<(LocalKey, Entry)> {
        let end = LocalKey { minted_unix_ms: self.horizon_unix_ms, nonce: u64::MAX };
        let expired: Vec<LocalKey> = self
            .entries
            .range(..=end)
            .filter(|(_, entry)| !matches!(entry.state, KeyState::Running(_)))
            .map(|(local_key, _)| *local_key)
            .collect();
        let mut taken = Vec::with_capacity(expired.len());
        for local_key in expired {
            let Some(entry) = self.entries.remove(&local_key) else { continue };
            taken.push((local_key, entry));
        }
        taken
    }

    /// The earliest minting time of the keys that are not running.
    pub fn oldest_settled_unix_ms(&self) -> Option<u64> {
        let is_settled = |entry: &Entry| !matches!(entry.state, KeyState::Running(_));
        let (local_key, _) = self.entries.iter().find(|(_, entry)| is_settled(entry))?;
        Some(local_key.minted_unix_ms)
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
