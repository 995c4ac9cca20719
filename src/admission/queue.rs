//! The calls that wait for a slot.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::event::Candidate;
use crate::call::{AttemptId, ClassRank, Level};

/// Where a call stands in the queue; the smallest place runs first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    /// The level, higher ones first; the same for all calls of a queue without order.
    level: Reverse<Level>,
    /// The deadline in microseconds; 0 for all calls of a queue without order.
    deadline_us: u64,
    /// The order of arrival.
    arrival: u64,
}

/// A call that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    /// The call.
    pub call: Candidate,
    /// When it was offered, in microseconds.
    pub since_us: u64,
}

/// Waiting calls, by level, then deadline, then arrival; or by arrival alone.
#[derive(Debug)]
pub(super) struct Queue {
    /// Whether levels and deadlines count.
    by_level: bool,
    /// The arrival number of the next call.
    next_arrival: u64,
    /// The calls in their order.
    waiting: BTreeMap<Place, Waiting>,
    /// Deadlines in microseconds with arrival numbers, for expiry.
    deadlines: BTreeSet<(u64, u64)>,
    /// Where each attempt stands.
    places: HashMap<AttemptId, Place>,
}

impl Queue {
    /// An empty queue.
    pub fn new(by_level: bool) -> Self {
        Self {
            by_level,
            next_arrival: 0,
            waiting: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            places: HashMap::new(),
        }
    }

    /// Changes the order; calls that wait already keep their order of arrival.
    pub fn set_order(&mut self, by_level: bool) {
        if self.by_level == by_level {
            return;
        }
        self.by_level = by_level;
        let mut waiting: Vec<(Place, Waiting)> = self.drain();
        waiting.sort_by_key(|(place, _)| place.arrival);
        for (_, entry) in waiting {
            self.push(entry);
        }
    }

    /// How many calls wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether the attempt waits here.
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.places.contains_key(&attempt)
    }

    /// Puts a call in its place.
    pub fn push(&mut self, entry: Waiting) {
        let place = self.place_of(&entry.call, self.next_arrival);
        self.next_arrival += 1;
        self.deadlines.insert((entry.call.deadline_us, place.arrival));
        self.places.insert(entry.call.attempt, place);
        self.waiting.insert(place, entry);
    }

    /// The class of the call that runs next.
    pub fn first_rank(&self) -> Option<ClassRank> {
        self.waiting.first_key_value().map(|(_, entry)| entry.call.level.class())
    }

    /// Takes the call that runs next.
    pub fn pop_first(&mut self) -> Option<Waiting> {
        let (place, entry) = self.waiting.pop_first()?;
        Some(self.forget(place, entry))
    }

    /// Takes the call that would run last.
    pub fn pop_last(&mut self) -> Option<Waiting> {
        let (place, entry) = self.waiting.pop_last()?;
        Some(self.forget(place, entry))
    }

    /// Takes one attempt out.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<Waiting> {
        let place = *self.places.get(&attempt)?;
        let entry = self.waiting.remove(&place)?;
        Some(self.forget(place, entry))
    }

    /// The earliest deadline of all waiting calls, in microseconds.
    pub fn earliest_deadline_us(&self) -> Option<u64> {
        self.deadlines.first().map(|(deadline_us, _)| *deadline_us)
    }

    /// Takes a call whose deadline is at or before `until_us`.
    pub fn pop_expired(&mut self, until_us: u64) -> Option<Waiting> {
        let (deadline_us, arrival) = *self.deadlines.first()?;
        if deadline_us > until_us {
            return None;
        }
        // The place cannot be made from the deadline alone; expiry is rare and the queue is short.
        let place = *self.waiting.keys().find(|place| place.arrival == arrival)?;
        let entry = self.waiting.remove(&place)?;
        Some(self.forget(place, entry))
    }

    /// How many waiting calls would run before a call that is pushed now.
    pub fn ahead_of(&self, call: &Candidate) -> usize {
        let place = self.place_of(call, self.next_arrival);
        self.waiting.range(..place).count()
    }

    /// Takes all calls.
    pub fn take_all(&mut self) -> Vec<Waiting> {
        self.drain().into_iter().map(|(_, entry)| entry).collect()
    }

    /// The place of a call that is pushed as number `arrival`.
    fn place_of(&self, call: &Candidate, arrival: u64) -> Place {
        if !self.by_level {
            return Place { level: Reverse(Level::LOWEST), deadline_us: 0, arrival };
        }
        Place { level: Reverse(call.level), deadline_us: call.deadline_us, arrival }
    }

    /// Empties everything and returns the calls in their order.
    fn drain(&mut self) -> Vec<(Place, Waiting)> {
        self.deadlines.clear();
        self.places.clear();
        std::mem::take(&mut self.waiting).into_iter().collect()
    }

    /// Drops the traces of a call that was taken out of `waiting`.
    fn forget(&mut self, place: Place, entry: Waiting) -> Waiting {
        self.deadlines.remove(&(entry.call.deadline_us, place.arrival));
        self.places.remove(&entry.call.attempt);
        entry
    }
}
