//! Quarantines requests that crash the targets that run them.
//!
//! When a target crashes, any of the requests it was running may be the cause. A request that
//! succeeds is cleared, whatever other requests were running. One that was running in two crashes
//! without a success in between becomes a suspect, and at most one suspect runs on a target at a
//! time. If that target crashes too, the suspect is the most likely cause and is quarantined on all
//! nodes.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::{Notify, Semaphore, SemaphorePermit};
use tokio::time::Instant;

use super::fingerprint::Fingerprint;
use super::frame::{Crash, Suspicion};

/// A request becomes a suspect after this many crashes. One crash is weak evidence, as it involves
/// every request that was running on the target, and suspects are delayed because they run one at a
/// time on a target.
const SUSPECT_CRASHES: u32 = 2;
/// Duration of the first quarantine of a request, after which it is tried on one target.
const QUARANTINE_INITIAL: Duration = Duration::from_secs(60);
/// Factor by which the duration grows each time the trial crashes a target.
const QUARANTINE_GROWTH: u32 = 10;
/// Maximum duration of a quarantine.
const QUARANTINE_MAX: Duration = Duration::from_secs(24 * 60 * 60);
/// Time from the last crash, or from the end of the quarantine, after which a record is dropped.
const RECORD_TTL: Duration = Duration::from_secs(600);
/// Maximum number of records. Those of the least suspicious requests are dropped first.
const RECORDS_MAX: usize = 4_096;

/// The crash record of a request.
#[derive(Clone, Copy, Debug)]
struct Record {
    /// Number of targets that crashed while running it since it last succeeded.
    crashes: u32,
    /// How often it was quarantined.
    quarantine_count: u32,
    /// When its quarantine ends; in the past if it is not quarantined.
    quarantined_until: Instant,
    /// When a target last crashed while running it.
    last_crash: Instant,
}

impl Record {
    fn new(now: Instant) -> Self {
        Self { crashes: 0, quarantine_count: 0, quarantined_until: now, last_crash: now }
    }

    fn quarantine(&mut self, count: u32, now: Instant) {
        self.quarantine_count = count;
        self.crashes = self.crashes.max(SUSPECT_CRASHES + 1);
        self.quarantined_until = now + quarantine_duration(count);
        self.last_crash = now;
    }

    /// Whether the record is still relevant.
    fn is_relevant(&self, now: Instant) -> bool {
        now < self.quarantined_until.max(self.last_crash) + RECORD_TTL
    }
}

/// The duration of quarantine number `count`, counted from 1.
fn quarantine_duration(count: u32) -> Duration {
    let growth = QUARANTINE_GROWTH.saturating_pow(count.saturating_sub(1));
    QUARANTINE_INITIAL.saturating_mul(growth).min(QUARANTINE_MAX)
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Without restriction.
    Unrestricted,
    /// Only on a target that runs no other suspect.
    Suspect,
    /// Not for at least this time.
    Quarantined(Duration),
}

/// The record of a request that was cleared by a success.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cleared {
    /// Whether it was a suspect, and is known as one to other nodes.
    pub was_suspect: bool,
    /// Whether it had been quarantined.
    pub was_quarantined: bool,
}

/// The requests that were running when targets crashed, and their quarantine.
#[derive(Debug)]
pub struct Quarantine {
    records: RefCell<HashMap<Fingerprint, Record>>,
    /// Grants the permit to run a suspect on the local target.
    isolation: Semaphore,
    /// Requests whose quarantine began or ended on this node and is not yet saved in the store.
    unsaved: RefCell<Vec<Fingerprint>>,
    /// Wakes the task that saves changes in the store.
    pub save_requested: Notify,
    /// Number of crashes of targets known to this node.
    crashes_seen: Cell<u64>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            records: RefCell::default(),
            isolation: Semaphore::new(1),
            unsaved: RefCell::default(),
            save_requested: Notify::new(),
            crashes_seen: Cell::default(),
        }
    }
}

impl Quarantine {
    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.borrow().is_empty()
    }

    /// Whether a request may run now.
    pub fn standing(&self, fingerprint: Fingerprint) -> Standing {
        let records = self.records.borrow();
        let Some(record) = records.get(&fingerprint) else { return Standing::Unrestricted };
        let now = Instant::now();
        if now < record.quarantined_until {
            return Standing::Quarantined(record.quarantined_until - now);
        }
        if record.crashes >= SUSPECT_CRASHES && record.is_relevant(now) {
            return Standing::Suspect;
        }
        Standing::Unrestricted
    }

    /// Whether a target has crashed while running the request, and the request has not succeeded
    /// since.
    pub fn has_crashed(&self, fingerprint: Fingerprint) -> bool {
        let records = self.records.borrow();
        records.get(&fingerprint).is_some_and(|record| record.is_relevant(Instant::now()))
    }

    /// Whether a request is quarantined.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        matches!(self.standing(fingerprint), Standing::Quarantined(_))
    }

    /// Waits until a request may run on the local target. A suspect gets a permit, and no other
    /// suspect runs until that is dropped. `None` if the request is quarantined.
    pub async fn admit(&self, fingerprint: Fingerprint) -> Option<Option<SemaphorePermit<'_>>> {
        match self.standing(fingerprint) {
            Standing::Unrestricted => return Some(None),
            Standing::Quarantined(_) => return None,
            Standing::Suspect => {}
        }
        let permit = self.isolation.acquire().await.ok();
        // The standing may have changed during the wait, by reports of other nodes.
        match self.standing(fingerprint) {
            Standing::Unrestricted => Some(None),
            Standing::Suspect => Some(permit),
            Standing::Quarantined(_) => None,
        }
    }

    /// Records that the local target crashed while it ran `requests`. Returns the report for the
    /// other nodes.
    pub fn record_crash(&self, mut requests: Vec<Fingerprint>) -> Crash {
        requests.sort_unstable();
        requests.dedup();
        let is_suspect = |request: &&Fingerprint| self.standing(**request) == Standing::Suspect;
        let mut suspects = requests.iter().filter(is_suspect);
        let likely_cause = suspects.next().copied().filter(|_| suspects.next().is_none());
        let crash = Crash { requests, held: likely_cause };
        self.apply_crash(&crash);
        if let Some(cause) = likely_cause {
            self.save(cause);
        }
        crash
    }

    /// Applies a crash of the local target or that of another node.
    pub fn apply_crash(&self, crash: &Crash) {
        let now = Instant::now();
        self.crashes_seen.set(self.crashes_seen.get() + 1);
        let mut records = self.records.borrow_mut();
        records.retain(|_, record| record.is_relevant(now));
        for request in &crash.requests {
            let record = records.entry(*request).or_insert_with(|| Record::new(now));
            record.crashes = record.crashes.saturating_add(1);
            record.last_crash = now;
        }
        if let Some(record) = crash.held.and_then(|cause| records.get_mut(&cause)) {
            record.quarantine(record.quarantine_count.saturating_add(1), now);
        }
        if records.len() > RECORDS_MAX {
            records.retain(|_, record| record.crashes >= SUSPECT_CRASHES);
        }
        if records.len() > RECORDS_MAX {
            records.retain(|_, record| record.quarantine_count > 0);
        }
    }

    /// Clears a request that has succeeded, that is, has not crashed the target that ran it.
    pub fn clear(&self, fingerprint: Fingerprint) -> Cleared {
        let Some(record) = self.records.borrow_mut().remove(&fingerprint) else {
            return Cleared::default();
        };
        Cleared {
            was_suspect: record.crashes >= SUSPECT_CRASHES,
            was_quarantined: record.quarantine_count > 0,
        }
    }

    /// The suspects and the quarantined requests, for a new peer.
    pub fn suspicions(&self) -> Vec<Suspicion> {
        let records = self.records.borrow();
        let suspects = records.iter().filter(|(_, record)| record.crashes >= SUSPECT_CRASHES);
        let to_suspicion = |(fingerprint, record): (&Fingerprint, &Record)| Suspicion {
            fingerprint: *fingerprint,
            crashes: record.crashes,
            holds: record.quarantine_count,
        };
        suspects.map(to_suspicion).collect()
    }

    /// Applies a suspicion of a peer or one read from the store. Returns whether the request was
    /// quarantined because of it.
    pub fn apply_suspicion(&self, suspicion: &Suspicion) -> bool {
        let now = Instant::now();
        let mut records = self.records.borrow_mut();
        if records.len() >= RECORDS_MAX {
            return false;
        }
        let record = records.entry(suspicion.fingerprint).or_insert_with(|| Record::new(now));
        record.crashes = record.crashes.max(suspicion.crashes);
        let is_newer = suspicion.holds > record.quarantine_count;
        if is_newer {
            record.quarantine(suspicion.holds, now);
        }
        is_newer
    }

    /// Queues the quarantine of a request, or its end, to be saved in the store.
    pub fn save(&self, fingerprint: Fingerprint) {
        self.unsaved.borrow_mut().push(fingerprint);
        self.save_requested.notify_one();
    }

    /// The next request to be saved in the store, and how often it was quarantined; 0 if it was
    /// cleared.
    pub fn next_unsaved(&self) -> Option<(Fingerprint, u32)> {
        let fingerprint = *self.unsaved.borrow().first()?;
        let records = self.records.borrow();
        Some((fingerprint, records.get(&fingerprint).map_or(0, |record| record.quarantine_count)))
    }

    /// Records that the request returned by `next_unsaved` has been saved.
    pub fn record_saved(&self) {
        self.unsaved.borrow_mut().remove(0);
    }

    /// Number of crashes of targets of any node known to this node.
    pub fn crashes_seen(&self) -> u64 {
        self.crashes_seen.get()
    }

    /// The number of suspects that are not quarantined, and of quarantined requests.
    pub fn counts(&self) -> (usize, usize) {
        let now = Instant::now();
        let records = self.records.borrow();
        let quarantined = records.values().filter(|record| now < record.quarantined_until).count();
        let suspects = records.values().filter(|record| record.crashes >= SUSPECT_CRASHES).count();
        (suspects - quarantined, quarantined)
    }
}
