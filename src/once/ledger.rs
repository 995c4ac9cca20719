//! What became of every key that this node may run.

use std::collections::{BTreeMap, VecDeque};

use bon::Builder;
use thiserror::Error;

use crate::call::{AttemptId, Doubt, HttpAnswer, Key, KeyLifetime, NodeId, RefusalReason, Verdict};
use crate::clock::US_PER_MS;

use super::fingerprint::Fingerprint;
use super::keyspace::{Entry, Holder, Keyspace, Slot, SpaceId, State, answer_bytes};

/// The memory of one settled entry without its answer, in bytes, as measured for the design note.
pub(super) const ENTRY_BYTES: usize = 72;

/// The limits of a ledger.
#[derive(Clone, Copy, Debug, Builder)]
pub struct LedgerOptions {
    /// How long after its minting a caller's key can run, in milliseconds.
    #[builder(default = 2 * 3_600_000)]
    pub key_ttl_ms: u64,
    /// How far the lifetime of callers' keys may be cut short when the ledger is full, in
    /// milliseconds.
    #[builder(default = 15 * 60_000)]
    pub key_ttl_min_ms: u64,
    /// How long after its minting a key for one request can run, in milliseconds. It should be
    /// the longest deadline and twice `skew_max_ms`.
    #[builder(default = 120_000)]
    pub request_key_ttl_ms: u64,
    /// How far the clock of the minting node may be ahead, in milliseconds.
    #[builder(default = 10_000)]
    pub skew_max_ms: u64,
    /// How much memory recorded answers may take, in bytes; the oldest are dropped beyond it.
    #[builder(default = 8 << 20)]
    pub answers_max_bytes: usize,
    /// How many keys are remembered at most. Beyond it the oldest are forgotten early, as far as
    /// `key_ttl_min_ms` allows, and never run again; then new keys are refused.
    #[builder(default = 200_000)]
    pub entries_max: usize,
    /// How many attempts may wait for the verdict of one key.
    #[builder(default = 64)]
    pub waiters_max: usize,
}

/// What to do with an attempt that carries a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offer {
    /// Run it, and report to `finished` or `refused`, whatever happens.
    Run,
    /// Do not run it: this is its verdict.
    Settled(Verdict),
    /// Do not run it: the key is running, and `finished` or `refused` will name this attempt among
    /// those that get the same verdict.
    Joined,
}

/// Why a key cannot be delegated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DelegateError {
    /// The key belongs to a node whose keys are not held here.
    #[error("the key is not held here")]
    NotHeld,
    /// A key cannot be delegated to the node that holds it.
    #[error("the key is delegated to its own holder")]
    ToSelf,
    /// The key is too old to run, or from too far in the future.
    #[error("the key is not valid now")]
    NotValid,
    /// The key is running or has run.
    #[error("the key may have run")]
    MayHaveRun,
    /// The key was delegated before, to this node.
    #[error("the key was delegated to {0}")]
    AlreadyDelegated(NodeId),
    /// There is no room to remember the delegation.
    #[error("the ledger is full")]
    Full,
    /// All keys were handed over to this node.
    #[error("all keys were handed over to {0}")]
    HandedOver(NodeId),
}

/// What became of the keys that belong to one node life, and of those it inherited.
///
/// Times are those of one clock that never goes back (`Clock::unix_ms`).
#[derive(Debug)]
pub struct Ledger {
    /// The node whose keys these are.
    pub(super) owner: NodeId,
    /// The limits.
    pub(super) options: LedgerOptions,
    /// The keys by owner and lifetime: this node's own, and those of nodes that left it theirs.
    pub(super) spaces: BTreeMap<SpaceId, Keyspace>,
    /// Where all keys went when this node left.
    pub(super) heir: Option<NodeId>,
    /// Keys with a recorded answer, the oldest first; some may be gone by now.
    pub(super) answered: VecDeque<(SpaceId, Slot)>,
    /// The memory of the recorded answers, in bytes.
    pub(super) answers_bytes: usize,
}

impl Ledger {
    /// An empty ledger for the keys of `owner`.
    pub fn new(owner: NodeId, options: LedgerOptions) -> Self {
        let ids = [KeyLifetime::Caller, KeyLifetime::OneRequest];
        let ids = ids.map(|lifetime| SpaceId { owner, lifetime });
        let spaces = ids.into_iter().map(|id| (id, Keyspace::default())).collect();
        Self { owner, options, spaces, heir: None, answered: VecDeque::new(), answers_bytes: 0 }
    }

    /// Decides on an attempt that carries `key` and whose request has this `fingerprint`.
    ///
    /// After `Run` the key is held by `attempt` until `finished` or `refused` is called for it.
    pub fn offer(
        &mut self,
        unix_ms: u64,
        key: Key,
        fingerprint: Fingerprint,
        attempt: AttemptId,
    ) -> Offer {
        if let Some(heir) = self.heir {
            return settled_not_run(RefusalReason::KeyInherited(heir));
        }
        self.advance(unix_ms);
        let is_full = self.is_full();
        let waiters_max = self.options.waiters_max;
        let Some(space) = self.spaces.get_mut(&SpaceId::of(key)) else {
            return settled_doubt(Doubt::KeyElsewhere);
        };
        let slot = Slot::of(key);
        if let Some(entry) = space.entries.get_mut(&slot) {
            return offer_again(entry, fingerprint, attempt, waiters_max);
        }
        if space.is_expired(slot) {
            return settled_doubt(Doubt::KeyExpired);
        }
        if slot.minted_unix_ms > unix_ms.saturating_add(self.options.skew_max_ms) {
            return settled_not_run(RefusalReason::KeyInvalid);
        }
        if is_full && !self.make_room(unix_ms) {
            return settled_not_run(RefusalReason::NodeFull);
        }
        // Making room may have moved the horizon past this very key.
        let Some(space) = self.spaces.get_mut(&SpaceId::of(key)) else {
            return settled_doubt(Doubt::KeyElsewhere);
        };
        if space.is_expired(slot) {
            return settled_doubt(Doubt::KeyExpired);
        }
        let holder = Box::new(Holder { attempt, waiters: Vec::new() });
        let entry = Entry { fingerprint, state: State::Held(holder) };
        space.entries.insert(slot, entry);
        Offer::Run
    }

    /// Records that the attempt that holds `key` was refused before the target began.
    ///
    /// The key is free again. Returns the attempts that get the same refusal.
    pub fn refused(&mut self, key: Key, attempt: AttemptId) -> Vec<AttemptId> {
        self.release(key, attempt, None)
    }

    /// Records the verdict of the attempt that holds `key`.
    ///
    /// A "not run" frees the key; anything else is kept, and the key never runs again. Returns the
    /// attempts that get the same verdict. An attempt that does not hold the key changes nothing.
    pub fn finished(&mut self, key: Key, attempt: AttemptId, verdict: &Verdict) -> Vec<AttemptId> {
        match verdict {
            Verdict::NotRun(_) => self.release(key, attempt, None),
            Verdict::MayHaveRun(doubt) => self.release(key, attempt, Some(State::Doubted(*doubt))),
            Verdict::Answered(answer) => {
                let state = State::Answered(Box::new(answer.clone()));
                self.release(key, attempt, Some(state))
            }
        }
    }

    /// Ends the run of `key` by `attempt`, keeping `settled` or else freeing the key.
    fn release(&mut self, key: Key, attempt: AttemptId, settled: Option<State>) -> Vec<AttemptId> {
        let slot = Slot::of(key);
        let Some(space) = self.spaces.get_mut(&SpaceId::of(key)) else { return Vec::new() };
        let Some(entry) = space.entries.get_mut(&slot) else { return Vec::new() };
        let State::Held(holder) = &mut entry.state else { return Vec::new() };
        if holder.attempt != attempt {
            return Vec::new();
        }
        let waiters = std::mem::take(&mut holder.waiters);
        let Some(state) = settled else {
            space.entries.remove(&slot);
            return waiters;
        };
        let added_bytes = state_bytes(&state);
        entry.state = state;
        if added_bytes > 0 {
            self.answers_bytes += added_bytes;
            self.answered.push_back((SpaceId::of(key), slot));
            self.drop_oldest_answers();
        }
        waiters
    }

    /// Forgets a waiting attempt, whose caller gave up.
    pub fn abandon_waiter(&mut self, key: Key, attempt: AttemptId) {
        let Some(space) = self.spaces.get_mut(&SpaceId::of(key)) else { return };
        let Some(entry) = space.entries.get_mut(&Slot::of(key)) else { return };
        let State::Held(holder) = &mut entry.state else { return };
        holder.waiters.retain(|waiter| *waiter != attempt);
    }

    /// Gives `key` to the node `to`, once and for ever, and returns the key it has there.
    ///
    /// # Errors
    ///
    /// Everything but a key that never ran and is not running here; see `DelegateError`. The same
    /// delegation asked for twice is granted twice.
    pub fn delegate(&mut self, unix_ms: u64, key: Key, to: NodeId) -> Result<Key, DelegateError> {
        if let Some(heir) = self.heir {
            return Err(DelegateError::HandedOver(heir));
        }
        if to == self.owner {
            return Err(DelegateError::ToSelf);
        }
        self.advance(unix_ms);
        let is_full = self.is_full();
        let space = self.spaces.get_mut(&SpaceId::of(key)).ok_or(DelegateError::NotHeld)?;
        let slot = Slot::of(key);
        match space.entries.get(&slot).map(|entry| &entry.state) {
            Some(State::Delegated(earlier)) if *earlier == to => return Ok(key.delegated_to(to)),
            Some(State::Delegated(earlier)) => {
                return Err(DelegateError::AlreadyDelegated(*earlier));
            }
            Some(_) => return Err(DelegateError::MayHaveRun),
            None => {}
        }
        let newest_unix_ms = unix_ms.saturating_add(self.options.skew_max_ms);
        if space.is_expired(slot) || slot.minted_unix_ms > newest_unix_ms {
            return Err(DelegateError::NotValid);
        }
        if is_full {
            return Err(DelegateError::Full);
        }
        let entry = Entry { fingerprint: Fingerprint(0), state: State::Delegated(to) };
        space.entries.insert(slot, entry);
        Ok(key.delegated_to(to))
    }

    /// Forgets the keys that are too old to run and no longer running.
    pub fn expire(&mut self, unix_ms: u64) {
        self.advance(unix_ms);
        for space in self.spaces.values_mut() {
            for (_, entry) in space.take_expired() {
                self.answers_bytes -= state_bytes(&entry.state);
            }
        }
        self.trim_answered();
    }

    /// When `expire` next has something to do, in microseconds of the caller's clock, which shows
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

    /// How many keys are remembered.
    pub fn len(&self) -> usize {
        self.spaces.values().map(|space| space.entries.len()).sum()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Where all keys went, once they were handed over.
    pub fn heir(&self) -> Option<NodeId> {
        self.heir
    }

    /// Roughly the memory taken, in bytes.
    pub fn approx_bytes(&self) -> usize {
        self.len() * ENTRY_BYTES + self.answers_bytes
    }

    /// Moves the horizon of every keyspace up to the present.
    pub(super) fn advance(&mut self, unix_ms: u64) {
        let LedgerOptions { key_ttl_ms, request_key_ttl_ms, .. } = self.options;
        for (id, space) in &mut self.spaces {
            let ttl_ms = match id.lifetime {
                KeyLifetime::Caller => key_ttl_ms,
                KeyLifetime::OneRequest => request_key_ttl_ms,
            };
            space.advance(unix_ms.saturating_sub(ttl_ms));
        }
    }

    /// How long after its minting a key of this lifetime can run, in milliseconds.
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

    /// Forgets the oldest caller's keys early, and moves their horizon so that they never run
    /// again. Says whether there is room now.
    fn make_room(&mut self, unix_ms: u64) -> bool {
        let newest_unix_ms = unix_ms.saturating_sub(self.options.key_ttl_min_ms);
        let mut oldest: Option<(u64, SpaceId)> = None;
        for (id, space) in &self.spaces {
            let Some(minted_unix_ms) = space.oldest_settled_unix_ms() else { continue };
            if id.lifetime == KeyLifetime::OneRequest || minted_unix_ms > newest_unix_ms {
                continue;
            }
            if oldest.is_none_or(|(earliest, _)| minted_unix_ms < earliest) {
                oldest = Some((minted_unix_ms, *id));
            }
        }
        let Some((minted_unix_ms, id)) = oldest else { return false };
        let Some(space) = self.spaces.get_mut(&id) else { return false };
        space.advance(minted_unix_ms);
        for (_, entry) in space.take_expired() {
            self.answers_bytes -= state_bytes(&entry.state);
        }
        self.trim_answered();
        !self.is_full()
    }

    /// Takes keys that are gone off the front of the order of answers.
    fn trim_answered(&mut self) {
        while let Some((id, slot)) = self.answered.front() {
            let is_held = self.spaces.get(id).is_some_and(|s| s.entries.contains_key(slot));
            if is_held {
                return;
            }
            self.answered.pop_front();
        }
    }

    /// Drops the oldest answers beyond the limit; their keys stay, as having run.
    pub(super) fn drop_oldest_answers(&mut self) {
        while self.answers_bytes > self.options.answers_max_bytes {
            let Some((id, slot)) = self.answered.pop_front() else { return };
            let Some(space) = self.spaces.get_mut(&id) else { continue };
            let Some(entry) = space.entries.get_mut(&slot) else { continue };
            self.answers_bytes -= state_bytes(&entry.state);
            entry.state = State::Doubted(Doubt::AnswerForgotten);
        }
    }
}

/// Decides on an attempt whose key is remembered.
fn offer_again(
    entry: &mut Entry,
    fingerprint: Fingerprint,
    attempt: AttemptId,
    waiters_max: usize,
) -> Offer {
    if let State::Delegated(to) = entry.state {
        return settled_not_run(RefusalReason::KeyDelegated(to));
    }
    if entry.fingerprint != fingerprint {
        return settled_not_run(RefusalReason::KeyMismatch);
    }
    match &mut entry.state {
        State::Held(holder) => join(holder, attempt, waiters_max),
        State::Answered(answer) => Offer::Settled(Verdict::Answered(HttpAnswer::clone(answer))),
        State::Doubted(doubt) => settled_doubt(*doubt),
        State::Delegated(to) => settled_not_run(RefusalReason::KeyDelegated(*to)),
    }
}

/// Lets `attempt` wait for the verdict of the holder.
fn join(holder: &mut Holder, attempt: AttemptId, waiters_max: usize) -> Offer {
    if holder.attempt == attempt || holder.waiters.contains(&attempt) {
        return Offer::Joined;
    }
    if holder.waiters.len() >= waiters_max {
        return settled_doubt(Doubt::KeyRunning);
    }
    holder.waiters.push(attempt);
    Offer::Joined
}

/// The memory of the answer in `state`, in bytes.
pub(super) fn state_bytes(state: &State) -> usize {
    match state {
        State::Answered(answer) => answer_bytes(answer),
        _ => 0,
    }
}

/// An offer settled with a refusal, after which waiting does not help.
fn settled_not_run(reason: RefusalReason) -> Offer {
    Offer::Settled(Verdict::not_run(reason, 0))
}

/// An offer settled with a doubt.
fn settled_doubt(doubt: Doubt) -> Offer {
    Offer::Settled(Verdict::MayHaveRun(doubt))
}
