//! Which requests have ended targets that ran them, and how they may run since.
//!
//! When a target ends, any of the requests that it was running may be the cause. What tells is the next time:
//! a request that succeeds is cleared, whatever it has run beside; one beside which two targets have ended
//! without a success in between is a suspect, and runs with no other suspect on the same target. If that
//! target ends too, nobody else is as likely to be the cause, and the request is held back everywhere.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::{Notify, Semaphore, SemaphorePermit};
use tokio::time::Instant;

use super::fingerprint::Fingerprint;
use super::frame::{Crash, Suspicion};

/// A request beside which so many targets have ended is a suspect. One end says little: a whole target's
/// requests ran beside it, and those that run by themselves have to wait for each other.
const SUSPECT_AFTER: u32 = 2;
/// How long a request is held back the first time, before it may be tried on one target.
const HOLD_FIRST: Duration = Duration::from_secs(60);
/// How much longer it is held back each time that the trial ends a target.
const HOLD_GROWTH: u32 = 10;
/// The longest time for which a request is held back.
const HOLD_MAX: Duration = Duration::from_secs(24 * 60 * 60);
/// A suspicion is forgotten when no target has ended for so long with the request running.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// The most requests of which something is remembered; the least suspicious are forgotten first.
const RECORDS_MAX: usize = 4_096;

/// What is known of a request.
#[derive(Clone, Copy, Debug)]
struct Record {
    /// How many targets have ended with it running since it last succeeded.
    crashes: u32,
    /// How often it was held back.
    holds: u32,
    /// Until when it is held back.
    held_until: Instant,
    /// When a target last ended with it running.
    noted: Instant,
}

impl Record {
    fn new(now: Instant) -> Self {
        Self { crashes: 0, holds: 0, held_until: now, noted: now }
    }

    fn hold(&mut self, holds: u32, now: Instant) {
        self.holds = holds;
        self.crashes = self.crashes.max(SUSPECT_AFTER + 1);
        self.held_until = now + hold_time(holds);
        self.noted = now;
    }

    /// Whether it is still worth knowing.
    fn is_recent(&self, now: Instant) -> bool {
        now < self.held_until.max(self.noted) + FORGET_AFTER
    }
}

/// How long a request is held back that is so for the given time, the first being 1.
fn hold_time(holds: u32) -> Duration {
    let growth = HOLD_GROWTH.saturating_pow(holds.saturating_sub(1));
    HOLD_FIRST.saturating_mul(growth).min(HOLD_MAX)
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Like any other.
    Free,
    /// Where no other suspect runs.
    Suspect,
    /// Not at all, for this time at least.
    Held(Duration),
}

/// What became of a request that has succeeded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cleared {
    /// Whether it was a suspect, of which other nodes know.
    pub was_suspect: bool,
    /// Whether it had been held back.
    pub was_held: bool,
}

/// The requests that have run on targets as they ended.
#[derive(Debug)]
pub struct Quarantine {
    records: RefCell<HashMap<Fingerprint, Record>>,
    /// The right to run a suspect on the target beside this node.
    apart: Semaphore,
    /// Requests whose hold has begun or ended here, and is to be written down.
    unsaved: RefCell<Vec<Fingerprint>>,
    /// Wakes whoever writes holds down.
    pub to_save: Notify,
    /// How many targets were seen to end.
    crashes_seen: Cell<u64>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            records: RefCell::default(),
            apart: Semaphore::new(1),
            unsaved: RefCell::default(),
            to_save: Notify::new(),
            crashes_seen: Cell::default(),
        }
    }
}

impl Quarantine {
    /// Whether no request is known to have run on a target as it ended.
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
        if record.crashes >= SUSPECT_AFTER && record.is_recent(now) {
            return Standing::Suspect;
        }
        Standing::Free
    }

    /// Whether a target has ended with the request running, and it has not succeeded since.
    pub fn has_crashed(&self, fingerprint: Fingerprint) -> bool {
        let records = self.records.borrow();
        records.get(&fingerprint).is_some_and(|record| record.is_recent(Instant::now()))
    }

    /// Whether a request is held back.
    pub fn is_held(&self, fingerprint: Fingerprint) -> bool {
        matches!(self.standing(fingerprint), Standing::Held(_))
    }

    /// Waits until a request may run on the target beside this node; a suspect gets the right to be the only
    /// one, until that is dropped. None where the request is held back.
    pub async fn admit(&self, fingerprint: Fingerprint) -> Option<Option<SemaphorePermit<'_>>> {
        match self.standing(fingerprint) {
            Standing::Free => return Some(None),
            Standing::Held(_) => return None,
            Standing::Suspect => {}
        }
        let permit = self.apart.acquire().await.ok();
        // It may have run elsewhere in the meantime.
        match self.standing(fingerprint) {
            Standing::Free => Some(None),
            Standing::Suspect => Some(permit),
            Standing::Held(_) => None,
        }
    }

    /// Takes in that the target beside this node has ended while it ran `requests`. Gives what the other nodes
    /// are to be told.
    pub fn note_crash(&self, mut requests: Vec<Fingerprint>) -> Crash {
        requests.sort_unstable();
        requests.dedup();
        let is_suspect = |request: &&Fingerprint| self.standing(**request) == Standing::Suspect;
        let mut suspects = requests.iter().filter(is_suspect);
        let only = suspects.next().copied().filter(|_| suspects.next().is_none());
        let crash = Crash { requests, held: only };
        self.take_crash(&crash);
        if let Some(held) = only {
            self.save(held);
        }
        crash
    }

    /// Takes in that a target has ended, here or beside another node.
    pub fn take_crash(&self, crash: &Crash) {
        let now = Instant::now();
        self.crashes_seen.set(self.crashes_seen.get() + 1);
        let mut records = self.records.borrow_mut();
        records.retain(|_, record| record.is_recent(now));
        for request in &crash.requests {
            let record = records.entry(*request).or_insert_with(|| Record::new(now));
            record.crashes += 1;
            record.noted = now;
        }
        if let Some(record) = crash.held.and_then(|held| records.get_mut(&held)) {
            record.hold(record.holds + 1, now);
        }
        if records.len() > RECORDS_MAX {
            records.retain(|_, record| record.crashes >= SUSPECT_AFTER);
        }
        if records.len() > RECORDS_MAX {
            records.retain(|_, record| record.holds > 0);
        }
    }

    /// Takes in that a request has succeeded: it has not ended the target that ran it.
    pub fn clear(&self, fingerprint: Fingerprint) -> Cleared {
        let Some(record) = self.records.borrow_mut().remove(&fingerprint) else {
            return Cleared::default();
        };
        Cleared { was_suspect: record.crashes >= SUSPECT_AFTER, was_held: record.holds > 0 }
    }

    /// What a node is told that does not know it yet: suspects, and what is held back.
    pub fn suspicions(&self) -> Vec<Suspicion> {
        let records = self.records.borrow();
        let worth_telling = records.iter().filter(|(_, record)| record.crashes >= SUSPECT_AFTER);
        let tell = |(fingerprint, record): (&Fingerprint, &Record)| Suspicion {
            fingerprint: *fingerprint,
            crashes: record.crashes,
            holds: record.holds,
        };
        worth_telling.map(tell).collect()
    }

    /// Takes in what another node knows, or what was written down. Says whether the request is held back now
    /// and was not before.
    pub fn take_suspicion(&self, told: &Suspicion) -> bool {
        let now = Instant::now();
        let mut records = self.records.borrow_mut();
        if records.len() >= RECORDS_MAX {
            return false;
        }
        let record = records.entry(told.fingerprint).or_insert_with(|| Record::new(now));
        record.crashes = record.crashes.max(told.crashes);
        let is_news = told.holds > record.holds;
        if is_news {
            record.hold(told.holds, now);
        }
        is_news
    }

    /// Has it written down whether a request is held back.
    pub fn save(&self, fingerprint: Fingerprint) {
        self.unsaved.borrow_mut().push(fingerprint);
        self.to_save.notify_one();
    }

    /// The next request of which it is to be written down how often it was held back; 0 where it was cleared.
    pub fn next_unsaved(&self) -> Option<(Fingerprint, u32)> {
        let fingerprint = *self.unsaved.borrow().first()?;
        let records = self.records.borrow();
        Some((fingerprint, records.get(&fingerprint).map_or(0, |record| record.holds)))
    }

    /// Takes in that the next one was written down.
    pub fn note_saved(&self) {
        self.unsaved.borrow_mut().remove(0);
    }

    /// How many targets were seen to end, beside any node.
    pub fn crashes_seen(&self) -> u64 {
        self.crashes_seen.get()
    }

    /// How many requests are suspects, and how many are held back.
    pub fn counts(&self) -> (usize, usize) {
        let now = Instant::now();
        let records = self.records.borrow();
        let held = records.values().filter(|record| now < record.held_until).count();
        let suspects = records.values().filter(|record| record.crashes >= SUSPECT_AFTER).count();
        (suspects - held, held)
    }
}
