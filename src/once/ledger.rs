//! The ledger: the state of every idempotency key that this node may run.

use std::collections::{BTreeMap, VecDeque};

use bon::Builder;
use thiserror::Error;

use crate::call::{AttemptId, Doubt, HttpAnswer, Key, KeyLifetime, NodeId, RefusalReason, Verdict};
use crate::clock::US_PER_MS;

use super::fingerprint::Fingerprint;
use super::keyspace::{Entry, KeyState, Keyspace, LocalKey, RunningAttempt, SpaceId, answer_bytes};

/// The memory of one settled entry without its answer, in bytes. Measured; see
/// `docs/DESIGN-once.md`.
pub(super) const ENTRY_BYTES: usize = 72;

/// The limits of a ledger.
#[derive(Clone, Copy, Debug, Builder)]
pub struct LedgerOptions {
    /// How long after it was minted a caller's key can run, in milliseconds.
    #[builder(default = 2 * 3_600_000)]
    pub key_ttl_ms: u64,
    /// The minimum lifetime of callers' keys when the ledger is full, in milliseconds.
    #[builder(default = 15 * 60_000)]
    pub key_ttl_min_ms: u64,
    /// How long after it was minted a key for one request can run, in milliseconds. Should be the
    /// longest deadline plus twice `skew_max_ms`.
    #[builder(default = 120_000)]
    pub request_key_ttl_ms: u64,
    /// How far the clock of the minting node may be ahead of this node's, in milliseconds.
    #[builder(default = 10_000)]
    pub skew_max_ms: u64,
    /// The maximum memory of recorded answers, in bytes; the oldest are dropped beyond it.
    #[builder(default = 8 << 20)]
    pub answers_max_bytes: usize,
    /// The maximum number of recorded keys. Beyond it the oldest expire early, as far as
    /// `key_ttl_min_ms` allows, and never run again; after that, new keys are refused.
    #[builder(default = 200_000)]
    pub entries_max: usize,
    /// The maximum number of attempts that wait for the verdict of one key.
    #[builder(default = 64)]
    pub waiters_max: usize,
}

/// What to do with an attempt that has a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offer {
    /// Run it, then call `finished` or `refused` in every case.
    Run,
    /// Do not run it: this is its verdict.
    Settled(Verdict),
    /// Do not run it: the key is running, and `finished` or `refused` will return this attempt
    /// among those that get the same verdict.
    Joined,
}

/// Why a key cannot be delegated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DelegateError {
    /// This node does not hold the keys of the key's owner.
    #[error("the key is not held here")]
    NotHeld,
    /// A key cannot be delegated to the node that holds it.
    #[error("the key cannot be delegated to the node that holds it")]
    ToSelf,
    /// The key has expired, or its minting time is too far in the future.
    #[error("the key has expired or was minted in the future")]
    NotValid,
    /// The key is running or has run.
    #[error("the key may have run")]
    MayHaveRun,
    /// The key was delegated earlier, to the given node.
    #[error("the key was already delegated to {0}")]
    AlreadyDelegated(NodeId),
    /// There is no room to record the delegation.
    #[error("the ledger is full")]
    Full,
    /// All keys were handed over to the given node.
    #[error("all keys were handed over to {0}")]
    HandedOver(NodeId),
}

/// The state of the keys owned by one incarnation of a node, and of the keys it inherited.
///
/// All times are from one clock that never goes back (`Clock::unix_ms`).
#[derive(Debug)]
pub struct Ledger {
    /// The node that owns the ledger.
    pub(super) owner: NodeId,
    /// The limits.
    pub(super) options: LedgerOptions,
    /// The keys by owner and lifetime: the node's own, and those it took over from nodes that left.
    pub(super) spaces: BTreeMap<SpaceId, Keyspace>,
    /// The node to which all keys were handed over when this node left.
    pub(super) successor: Option<NodeId>,
    /// Keys with a recorded answer, oldest first; some may have been removed since.
    pub(super) answered: VecDeque<(SpaceId, LocalKey)>,
    /// The memory of the recorded answers, in bytes.
    pub(super) answers_bytes: usize,
}

impl Ledger {
    /// Creates an empty ledger for the keys of `owner`.
    pub fn new(owner: NodeId, options: LedgerOptions) -> Self {
        let ids = [KeyLifetime::Caller, KeyLifetime::OneRequest];
        let ids = ids.map(|lifetime| SpaceId { owner, lifetime });
        let spaces = ids.into_iter().map(|id| (id, Keyspace::default())).collect();
        Self {
            owner,
            options,
            spaces,
            successor: None,
            answered: VecDeque::new(),
            answers_bytes: 0,
        }
    }

    /// Decides on an attempt with `key` whose request has this `fingerprint`.
    ///
    /// After `Run` the key is running until `finished` or `refused` is called for `attempt`.
    pub fn offer(
        &mut self,
        unix_ms: u64,
        key: Key,
        fingerprint: Fingerprint,
        attempt: AttemptId,
    ) -> Offer {
        if let Some(successor) = self.successor {
            return settled_not_run(RefusalReason::KeyInherited(successor));
        }
        self.advance_horizons(unix_ms);
        let is_full = self.is_full();
        let waiters_max = self.options.waiters_max;
        let Some(space) = self.spaces.get_mut(&SpaceId::of(key)) else {
            return settled_doubt(Doubt::KeyElsewhere);
        };
        let local_key = LocalKey::of(key);
        if let Some(entry) = space.entries.get_mut(&local_key) {
            return offer_known_key(entry, fingerprint, attempt, waiters_max);
        }
        if space.is_expired(local_key) {
            return settled_doubt(Doubt::KeyExpired);
        }
        if local_key.minted_unix_ms > unix_ms.saturating_add(self.options.skew_max_ms) {
            return settled_not_run(RefusalReason::KeyInvalid);
        }
        if is_full && !self.make_room(unix_ms) {
            return settled_not_run(RefusalReason::NodeFull);
        }
        // `make_room` may have moved the horizon past this key.
        let Some(space) = self.spaces.get_mut(&SpaceId::of(key)) else {
            return settled_doubt(Doubt::KeyElsewhere);
        };
        if space.is_expired(local_key) {
            return settled_doubt(Doubt::KeyExpired);
        }
        let running = Box::new(RunningAttempt { attempt, waiters: Vec::new() });
        let entry = Entry { fingerprint, state: KeyState::Running(running) };
        space.entries.insert(local_key, entry);
        Offer::Run
    }

    /// Records that the attempt that was to run `key` was refused before the target started it.
    ///
    /// The key can run again. Returns the attempts that get the same refusal.
    pub fn refused(&mut self, key: Key, attempt: AttemptId) -> Vec<AttemptId> {
        self.release(key, attempt, None)
    }

    /// Records the verdict of the attempt that runs `key`.
    ///
    /// After "not run" the key can run again; any other verdict is kept and the key never runs
    /// again. Returns the attempts that get the same verdict. An attempt that does not run the key
    /// changes nothing.
    pub fn finished(&mut self, key: Key, attempt: AttemptId, verdict: &Verdict) -> Vec<AttemptId> {
        match verdict {
            Verdict::NotRun(_) => self.release(key, attempt, None),
            Verdict::MayHaveRun(doubt) => {
                self.release(key, attempt, Some(KeyState::Doubted(*doubt)))
            }
            Verdict::Answered(answer) => {
                let state = KeyState::Answered(Box::new(answer.clone()));
                self.release(key, attempt, Some(state))
            }
        }
    }

    /// Ends the run of `key` by `attempt`: records the state `settled`, or removes the key if it is
    /// `None`. Returns the attempts that wait for the verdict.
    fn release(
        &mut self,
        key: Key,
        attempt: AttemptId,
        settled: Option<KeyState>,
    ) -> Vec<AttemptId> {
        let local_key = LocalKey::of(key);
        let Some(space) = self.spaces.get_mut(&SpaceId::of(key)) else { return Vec::new() };
        let Some(entry) = space.entries.get_mut(&local_key) else { return Vec::new() };
        let KeyState::Running(running) = &mut entry.state else { return Vec::new() };
        if running.attempt != attempt {
            return Vec::new();
        }
        let waiters = std::mem::take(&mut running.waiters);
        let Some(state) = settled else {
            space.entries.remove(&local_key);
            return waiters;
        };
        let added_bytes = state_bytes(&state);
        entry.state = state;
        if added_bytes > 0 {
            self.answers_bytes += added_bytes;
            self.answered.push_back((SpaceId::of(key), local_key));
            self.drop_oldest_answers();
        }
        waiters
    }

    /// Removes a waiting attempt whose caller gave up.
    pub fn abandon_waiter(&mut self, key: Key, attempt: AttemptId) {
        let Some(space) = self.spaces.get_mut(&SpaceId::of(key)) else { return };
        let Some(entry) = space.entries.get_mut(&LocalKey::of(key)) else { return };
        let KeyState::Running(running) = &mut entry.state else { return };
        running.waiters.retain(|waiter| *waiter != attempt);
    }

    /// Delegates `key` permanently to the node `to`, and returns the key that replaces it there.
    ///
    /// Idempotent: a repeat of the same delegation succeeds.
    ///
    /// # Errors
    ///
    /// See `DelegateError`; only a key that never ran and is not running here can be delegated.
    pub fn delegate(&mut self, unix_ms: u64, key: Key, to: NodeId) -> Result<Key, DelegateError> {
        if let Some(successor) = self.successor {
            return Err(DelegateError::HandedOver(successor));
        }
        if to == self.owner {
            return Err(DelegateError::ToSelf);
        }
        self.advance_horizons(unix_ms);
        let is_full = self.is_full();
        let space = self.spaces.get_mut(&SpaceId::of(key)).ok_or(DelegateError::NotHeld)?;
        let local_key = LocalKey::of(key);
        match space.entries.get(&local_key).map(|entry| &entry.state) {
            Some(KeyState::Delegated(earlier)) if *earlier == to => return Ok(key.delegated_to(to)),
            Some(KeyState::Delegated(earlier)) => {
                return Err(DelegateError::AlreadyDelegated(*earlier));
            }
            Some(_) => return Err(DelegateError::MayHaveRun),
            None => {}
        }
        let minted_max_unix_ms = unix_ms.saturating_add(self.options.skew_max_ms);
        if space.is_expired(local_key) || local_key.minted_unix_ms > minted_max_unix_ms {
            return Err(DelegateError::NotValid);
        }
        if is_full {
            return Err(DelegateError::Full);
        }
        let entry = Entry { fingerprint: Fingerprint(0), state: KeyState::Delegated(to) };
        space.entries.insert(local_key, entry);
        Ok(key.delegated_to(to))
    }

    /// Removes the expired keys that are not running.
    pub fn expire(&mut self, unix_ms: u64) {
        self.advance_horizons(unix_ms);
        for space in self.spaces.values_mut() {
            for (_, entry) in space.take_expired() {
                self.answers_bytes -= state_bytes(&entry.state);
            }
        }
        self.trim_answered();
    }

    /// When `expire` next has work to do, in microseconds of the caller's clock, which reads
    /// `now_us` at `unix_ms`.
    pub fn next_wake_us(&self, now_us: u64, unix_ms: u64) -> Option<u64> {
        let wakes = self.spaces.iter().filter_map(|(id, space)| {
            let oldest_unix_ms = space.oldest_settled_unix_ms()?;
            Some(oldest_unix_ms.saturating_add(self.ttl_ms(id.lifetime)))
        });
        let wake_unix_ms = wakes.min()?;
        let wait_ms = wake_unix_ms.saturating_sub(unix_ms);
        Some(now_us.saturating_add(wait_ms.saturating_mul(US_PER_MS)))
    }

    /// The number of recorded keys.
    pub fn len(&self) -> usize {
        self.spaces.values().map(|space| space.entries.len()).sum()
    }

    /// Whether no key is recorded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The node to which all keys were handed over, if any.
    pub fn successor(&self) -> Option<NodeId> {
        self.successor
    }

    /// The approximate memory of the ledger, in bytes.
    pub fn approx_bytes(&self) -> usize {
        self.len() * ENTRY_BYTES + self.answers_bytes
    }

    /// Moves the horizon of every keyspace to where it must be at `unix_ms`.
    pub(super) fn advance_horizons(&mut self, unix_ms: u64) {
        let LedgerOptions { key_ttl_ms, request_key_ttl_ms, .. } = self.options;
        for (id, space) in &mut self.spaces {
            let ttl_ms = match id.lifetime {
                KeyLifetime::Caller => key_ttl_ms,
                KeyLifetime::OneRequest => request_key_ttl_ms,
            };
            space.advance_horizon(unix_ms.saturating_sub(ttl_ms));
        }
    }

    /// How long after it was minted a key of this lifetime can run, in milliseconds.
    fn ttl_ms(&self, lifetime: KeyLifetime) -> u64 {
        match lifetime {
            KeyLifetime::Caller => self.options.key_ttl_ms,
            KeyLifetime::OneRequest => self.options.request_key_ttl_ms,
        }
    }

    /// Whether there is no room for one more key.
    fn is_full(&self) -> bool {
        self.len() >= self.options.entries_max
    }

    /// Expires the oldest callers' keys early and moves their horizon, so that they never run
    /// again. Returns whether there is room now.
    fn make_room(&mut self, unix_ms: u64) -> bool {
        let minted_max_unix_ms = unix_ms.saturating_sub(self.options.key_ttl_min_ms);
        let mut oldest: Option<(u64, SpaceId)> = None;
        for (id, space) in &self.spaces {
            let Some(minted_unix_ms) = space.oldest_settled_unix_ms() else { continue };
            if id.lifetime == KeyLifetime::OneRequest || minted_unix_ms > minted_max_unix_ms {
                continue;
            }
            if oldest.is_none_or(|(oldest_unix_ms, _)| minted_unix_ms < oldest_unix_ms) {
                oldest = Some((minted_unix_ms, *id));
            }
        }
        let Some((minted_unix_ms, id)) = oldest else { return false };
        let Some(space) = self.spaces.get_mut(&id) else { return false };
        space.advance_horizon(minted_unix_ms);
        for (_, entry) in space.take_expired() {
            self.answers_bytes -= state_bytes(&entry.state);
        }
        self.trim_answered();
        !self.is_full()
    }

    /// Removes keys that are no longer recorded from the front of `answered`.
    fn trim_answered(&mut self) {
        while let Some((id, local_key)) = self.answered.front() {
            let is_recorded =
                self.spaces.get(id).is_some_and(|s| s.entries.contains_key(local_key));
            if is_recorded {
                return;
            }
            self.answered.pop_front();
        }
    }

    /// Drops the oldest answers beyond the limit. Their keys stay recorded as having run.
    pub(super) fn drop_oldest_answers(&mut self) {
        while self.answers_bytes > self.options.answers_max_bytes {
            let Some((id, local_key)) = self.answered.pop_front() else { return };
            let Some(space) = self.spaces.get_mut(&id) else { continue };
            let Some(entry) = space.entries.get_mut(&local_key) else { continue };
            self.answers_bytes -= state_bytes(&entry.state);
            entry.state = KeyState::Doubted(Doubt::AnswerForgotten);
        }
    }
}

/// Decides on an attempt whose key is recorded.
fn offer_known_key(
    entry: &mut Entry,
    fingerprint: Fingerprint,
    attempt: AttemptId,
    waiters_max: usize,
) -> Offer {
    if let KeyState::Delegated(to) = entry.state {
        return settled_not_run(RefusalReason::KeyDelegated(to));
    }
    if entry.fingerprint != fingerprint {
        return settled_not_run(RefusalReason::KeyMismatch);
    }
    match &mut entry.state {
        KeyState::Running(running) => join(running, attempt, waiters_max),
        KeyState::Answered(answer) => Offer::Settled(Verdict::Answered(HttpAnswer::clone(answer))),
        KeyState::Doubted(doubt) => settled_doubt(*doubt),
        KeyState::Delegated(to) => settled_not_run(RefusalReason::KeyDelegated(*to)),
    }
}

/// Adds `attempt` to those that wait for the verdict of the running attempt.
fn join(running: &mut RunningAttempt, attempt: AttemptId, waiters_max: usize) -> Offer {
    if running.attempt == attempt || running.waiters.contains(&attempt) {
        return Offer::Joined;
    }
    if running.waiters.len() >= waiters_max {
        return settled_doubt(Doubt::KeyRunning);
    }
    running.waiters.push(attempt);
    Offer::Joined
}

/// The memory of the answer in `state`, in bytes; 0 if there is none.
pub(super) fn state_bytes(state: &KeyState) -> usize {
    match state {
        KeyState::Answered(answer) => answer_bytes(answer),
        _ => 0,
    }
}

/// Settles an offer with a refusal that has no Retry-After.
fn settled_not_run(reason: RefusalReason) -> Offer {
    Offer::Settled(Verdict::not_run(reason, 0))
}

/// Settles an offer with a doubt.
fn settled_doubt(doubt: Doubt) -> Offer {
    Offer::Settled(Verdict::MayHaveRun(doubt))
}
