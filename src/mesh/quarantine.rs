//! Quarantine of requests that crash the targets that run them.
//!
//! When a target crashes, any of the requests it was running may be the cause. A request that
//! succeeds is cleared, whatever it ran beside. One that was running in two crashes without a
//! success in between becomes a suspect, and runs with no other suspect on the same target. If that
//! target crashes too, the suspect is the most likely cause, and the request is held back on all
//! nodes.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::{Notify, Semaphore, SemaphorePermit};
use tokio::time::Instant;

use super::fingerprint::Fingerprint;
use super::frame::{Crash, Suspicion};

/// A request becomes a suspect after this many crashes. One crash says little, as every request on
/// the target was running in it, and suspects run one at a time on a target and so have to wait for
/// each other.
const SUSPECT_CRASHES: u32 = 2;
/// How long a request is held back the first time, before it may be tried on one target.
const HOLD_INITIAL: Duration = Duration::from_secs(60);
/// The factor by which the hold grows each time the trial crashes a target.
const HOLD_GROWTH: u32 = 10;
/// The longest hold.
const HOLD_MAX: Duration = Duration::from_secs(24 * 60 * 60);
/// A record is dropped when no target has crashed with the request running for this long.
const RECORD_TTL: Duration = Duration::from_secs(600);
/// The most requests on record. The least suspicious are dropped first.
const RECORDS_MAX: usize = 4_096;

/// What is known of a request.
#[derive(Clone, Copy, Debug)]
struct Record {
    /// How many targets have crashed with it running since it last succeeded.
    crashes: u32,
    /// How often it was held back.
    holds: u32,
    /// When the current hold ends.
    held_until: Instant,
    /// When a target last crashed with it running.
    last_crash: Instant,
}

impl Record {
    fn new(now: Instant) -> Self {
        Self { crashes: 0, holds: 0, held_until: now, last_crash: now }
    }

    fn hold(&mut self, holds: u32, now: Instant) {
        self.holds = holds;
        self.crashes = self.crashes.max(SUSPECT_CRASHES + 1);
        self.held_until = now + hold_duration(holds);
        self.last_crash = now;
    }

    /// Whether the record is still relevant.
    fn is_relevant(&self, now: Instant) -> bool {
        now < self.held_until.max(self.last_crash) + RECORD_TTL
    }
}

/// The duration of the hold number `holds`, the first being 1.
fn hold_duration(holds: u32) -> Duration {
    let growth = HOLD_GROWTH.saturating_pow(holds.saturating_sub(1));
    HOLD_INITIAL.saturating_mul(growth).min(HOLD_MAX)
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Without restriction.
    Free,
    /// Only on a target that runs no other suspect.
    Suspect,
    /// Not at all, for at least this time.
    Held(Duration),
}

/// The record of a request that was cleared by a success.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cleared {
    /// Whether it was a suspect, which other nodes have been told.
    pub was_suspect: bool,
    /// Whether it had been held back.
    pub was_held: bool,
}

/// The requests that were running on targets that crashed.
#[derive(Debug)]
pub struct Quarantine {
    records: RefCell<HashMap<Fingerprint, Record>>,
    /// The permit to run a suspect on the target beside this node.
    isolation: Semaphore,
    /// Requests whose hold began or ended here and is still to be written to the store.
    unsaved: RefCell<Vec<Fingerprint>>,
    /// Wakes the task that writes holds to the store.
    pub to_save: Notify,
    /// How many crashes of targets were seen.
    crashes_seen: Cell<u64>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            records: RefCell::default(),
            isolation: Semaphore::new(1),
            unsaved: RefCell::default(),
            to_save: Notify::new(),
            crashes_seen: Cell::default(),
        }
    }
}

impl Quarantine {
    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.borrow().is_empty()
    }

    /// How a request may run now.
    pub fn standing(&self, fingerprint: Fingerprint) -> Standing {
        let records = self.records.borrow();
        let Some(record) = records.get(&fingerprint) else { return Standing::Free };
        let now = Instant::now();
        if now < record.held_until {
            return Standing::Held(record.held_until - now);
        }
        if record.crashes >= SUSPECT_CRASHES && record.is_relevant(now) {
            return Standing::Suspect;
        }
        Standing::Free
    }

    /// Whether a target crashed with the request running and the request has not succeeded since.
    pub fn has_crashed(&self, fingerprint: Fingerprint) -> bool {
        let records = self.records.borrow();
        records.get(&fingerprint).is_some_and(|record| record.is_relevant(Instant::now()))
    }

    /// Whether a request is held back.
    pub fn is_held(&self, fingerprint: Fingerprint) -> bool {
        matches!(self.standing(fingerprint), Standing::Held(_))
    }

    /// Waits until a request may run on the target beside this node. A suspect gets a permit, and
    /// no other suspect runs until that is dropped. None where the request is held back.
    pub async fn admit(&self, fingerprint: Fingerprint) -> Option<Option<SemaphorePermit<'_>>> {
        match self.standing(fingerprint) {
            Standing::Free => return Some(None),
            Standing::Held(_) => return None,
            Standing::Suspect => {}
        }
        let permit = self.isolation.acquire().await.ok();
        // ~The standing may have changed on other nodes during the wait.
        match self.standing(fingerprint) {
            Standing::Free => Some(None),
            Standing::Suspect => Some(permit),
            Standing::Held(_) => None,
        }
    }

    /// Records that the target beside this node crashed while it ran `requests`. Returns what the
    /// other nodes are to be told.
    pub fn note_crash(&self, mut requests: Vec<Fingerprint>) -> Crash {
        requests.sort_unstable();
        requests.dedup();
        let is_suspect = |request: &&Fingerprint| self.standing(**request) == Standing::Suspect;
        let mut suspects = requests.iter().filter(is_suspect);
        let likely_cause = suspects.next().copied().filter(|_| suspects.next().is_none());
        let crash = Crash { requests, held: likely_cause };
        self.apply_crash(&crash);
        if let Some(held) = likely_cause {
            self.save(held);
        }
        crash
    }

    /// Applies a crash of a target beside this node or a peer.
    pub fn apply_crash(&self, crash: &Crash) {
        let now = Instant::now();
        self.crashes_seen.set(self.crashes_seen.get() + 1);
        let mut records = self.records.borrow_mut();
        records.retain(|_, record| record.is_relevant(now));
        for request in &crash.requests {
            let record = records.entry(*request).or_insert_with(|| Record::new(now));
            record.crashes += 1;
            record.last_crash = now;
        }
        if let Some(record) = crash.held.and_then(|held| records.get_mut(&held)) {
            record.hold(record.holds + 1, now);
        }
        if records.len() > RECORDS_MAX {
            records.retain(|_, record| record.crashes >= SUSPECT_CRASHES);
        }
        if records.len() > RECORDS_MAX {
            records.retain(|_, record| record.holds > 0);
        }
    }

    /// Clears a request that has succeeded, that is, has not crashed the target that ran it.
    pub fn clear(&self, fingerprint: Fingerprint) -> Cleared {
        let Some(record) = self.records.borrow_mut().remove(&fingerprint) else {
            return Cleared::default();
        };
        Cleared { was_suspect: record.crashes >= SUSPECT_CRASHES, was_held: record.holds > 0 }
    }

    /// What a new peer is told: the suspects and the requests held back.
    pub fn suspicions(&self) -> Vec<Suspicion> {
        let records = self.records.borrow();
        let worth_telling = records.iter().filter(|(_, record)| record.crashes >= SUSPECT_CRASHES);
        let tell = |(fingerprint, record): (&Fingerprint, &Record)| Suspicion {
            fingerprint: *fingerprint,
            crashes: record.crashes,
            holds: record.holds,
        };
        worth_telling.map(tell).collect()
    }

    /// Applies a suspicion of a peer or one read from the store. Returns whether it put a new hold
    /// on the request.
    pub fn apply_suspicion(&self, suspicion: &Suspicion) -> bool {
        let now = Instant::now();
        let mut records = self.records.borrow_mut();
        if records.len() >= RECORDS_MAX {
            return false;
        }
        let record = records.entry(suspicion.fingerprint).or_insert_with(|| Record::new(now));
        record.crashes = record.crashes.max(suspicion.crashes);
        let is_new_hold = suspicion.holds > record.holds;
        if is_new_hold {
            record.hold(suspicion.holds, now);
        }
        is_new_hold
    }

    /// Queues the hold of a request, or the end of it, to be written to the store.
    pub fn save(&self, fingerprint: Fingerprint) {
        self.unsaved.borrow_mut().push(fingerprint);
        self.to_save.notify_one();
    }

    /// The next request whose hold is to be written to the store, and how often it was held back; 0
    /// where it was cleared.
    pub fn next_unsaved(&self) -> Option<(Fingerprint, u32)> {
        let fingerprint = *self.unsaved.borrow().first()?;
        let records = self.records.borrow();
        Some((fingerprint, records.get(&fingerprint).map_or(0, |record| record.holds)))
    }

    /// Records that the next one has been written.
    pub fn note_saved(&self) {
        self.unsaved.borrow_mut().remove(0);
    }

    /// How many crashes of targets were seen, beside any node.
    pub fn crashes_seen(&self) -> u64 {
        self.crashes_seen.get()
    }

    /// The number of suspects that are not held back, and of requests that are.
    pub fn counts(&self) -> (usize, usize) {
        let now = Instant::now();
        let records = self.records.borrow();
        let held = records.values().filter(|record| now < record.held_until).count();
        let suspects = records.values().filter(|record| record.crashes >= SUSPECT_CRASHES).count();
        (suspects - held, held)
    }
}
