//! The queue of calls that wait for a slot.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::event::Candidate;
use crate::call::{AttemptId, ClassRank, Level};

/// The position of a call in the queue; the lowest one runs first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    /// The level, higher ones first; the same for all calls of a FIFO queue.
    level: Reverse<Level>,
    /// The deadline in microseconds; 0 for all calls of a FIFO queue.
    deadline_us: u64,
    /// The arrival number.
    arrival: u64,
}

/// A queued call.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedCall {
    pub call: Candidate,
    /// When it was offered, in microseconds.
    pub since_us: u64,
}

/// Queued calls, by level, then deadline, then arrival; or by arrival alone (FIFO).
#[derive(Debug)]
pub(super) struct Queue {
    /// Whether calls are ordered by level and deadline before arrival.
    by_level: bool,
    /// The arrival number of the next call.
    next_arrival: u64,
    /// The calls in the order in which they run.
    calls: BTreeMap<Position, QueuedCall>,
    /// Deadlines in microseconds with arrival numbers, for expiry.
    deadlines: BTreeSet<(u64, u64)>,
    /// The position of each attempt.
    positions: HashMap<AttemptId, Position>,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(by_level: bool) -> Self {
        Self {
            by_level,
            next_arrival: 0,
            calls: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            positions: HashMap::new(),
        }
    }

    /// Changes the order; calls that are already queued keep their order of arrival.
    pub fn set_order(&mut self, by_level: bool) {
        if self.by_level == by_level {
            return;
        }
        self.by_level = by_level;
        let mut entries: Vec<(Position, QueuedCall)> = self.take_entries();
        entries.sort_by_key(|(position, _)| position.arrival);
        for (_, entry) in entries {
            self.push(entry);
        }
    }

    /// The number of queued calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call is queued.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether the attempt is queued here.
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.positions.contains_key(&attempt)
    }

    /// Adds a call.
    pub fn push(&mut self, entry: QueuedCall) {
        let position = self.position_of(&entry.call, self.next_arrival);
        self.next_arrival += 1;
        self.deadlines.insert((entry.call.deadline_us, position.arrival));
        self.positions.insert(entry.call.attempt, position);
        self.calls.insert(position, entry);
    }

    /// The class of the call that runs next.
    pub fn first_rank(&self) -> Option<ClassRank> {
        self.calls.first_key_value().map(|(_, entry)| entry.call.level.class())
    }

    /// Removes the call that runs next.
    pub fn pop_first(&mut self) -> Option<QueuedCall> {
        let (position, entry) = self.calls.pop_first()?;
        Some(self.remove_from_indexes(position, entry))
    }

    /// Removes the call that would run last.
    pub fn pop_last(&mut self) -> Option<QueuedCall> {
        let (position, entry) = self.calls.pop_last()?;
        Some(self.remove_from_indexes(position, entry))
    }

    /// Removes an attempt.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<QueuedCall> {
        let position = *self.positions.get(&attempt)?;
        let entry = self.calls.remove(&position)?;
        Some(self.remove_from_indexes(position, entry))
    }

    /// The earliest deadline of all queued calls, in microseconds.
    pub fn earliest_deadline_us(&self) -> Option<u64> {
        self.deadlines.first().map(|(deadline_us, _)| *deadline_us)
    }

    /// Removes a call whose deadline is at or before `until_us`.
    pub fn pop_expired(&mut self, until_us: u64) -> Option<QueuedCall> {
        let (deadline_us, arrival) = *self.deadlines.first()?;
        if deadline_us > until_us {
            return None;
        }
        // The position cannot be derived from the deadline alone; a scan is enough because expiry
        // is rare and the queue is short.
        let position = *self.calls.keys().find(|position| position.arrival == arrival)?;
        let entry = self.calls.remove(&position)?;
        Some(self.remove_from_indexes(position, entry))
    }

    /// How many queued calls would run before a call that is pushed now.
    pub fn count_ahead(&self, call: &Candidate) -> usize {
        let position = self.position_of(call, self.next_arrival);
        self.calls.range(..position).count()
    }

    /// Removes all calls, in their order.
    pub fn take_all(&mut self) -> Vec<QueuedCall> {
        self.take_entries().into_iter().map(|(_, entry)| entry).collect()
    }

    /// The position of a call with the arrival number `arrival`.
    fn position_of(&self, call: &Candidate, arrival: u64) -> Position {
        if !self.by_level {
            return Position { level: Reverse(Level::LOWEST), deadline_us: 0, arrival };
        }
        Position { level: Reverse(call.level), deadline_us: call.deadline_us, arrival }
    }

    /// Empties the queue and returns the calls in their order.
    fn take_entries(&mut self) -> Vec<(Position, QueuedCall)> {
        self.deadlines.clear();
        self.positions.clear();
        std::mem::take(&mut self.calls).into_iter().collect()
    }

    /// Removes the index entries of a call that was taken out of `calls`.
    fn remove_from_indexes(&mut self, position: Position, entry: QueuedCall) -> QueuedCall {
        self.deadlines.remove(&(entry.call.deadline_us, position.arrival));
        self.positions.remove(&entry.call.attempt);
        entry
    }
}
