//! Timers of hops and of received attempts.

use std::collections::BTreeSet;

use crate::call::AttemptId;

use super::hop::HopId;

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerKind {
    /// The deadline of a hop.
    HopDeadline(HopId),
    /// The time-out of a hop's current state. A timer of an earlier state may still fire, so the
    /// handler compares it with the time-out in the state.
    HopTimeout(HopId),
    /// The deadline of an attempt that this node received.
    InboundDeadline(AttemptId),
}

/// Pending timers, ordered by time.
#[derive(Debug, Default)]
pub struct Timers {
    /// Pending timers with their times in microseconds, earliest first.
    queue: BTreeSet<(u64, TimerKind)>,
}

impl Timers {
    /// Sets a timer for `at_us`.
    pub fn set(&mut self, at_us: u64, kind: TimerKind) {
        self.queue.insert((at_us, kind));
    }

    /// Clears a timer that was set with the same arguments.
    pub fn clear(&mut self, at_us: u64, kind: TimerKind) {
        self.queue.remove(&(at_us, kind));
    }

    /// Removes and returns the earliest timer that is not later than `now_us`.
    pub fn pop(&mut self, now_us: u64) -> Option<TimerKind> {
        let (at_us, kind) = *self.queue.first()?;
        if at_us > now_us {
            return None;
        }
        self.queue.remove(&(at_us, kind));
        Some(kind)
    }

    /// When the earliest timer is due, in microseconds since the process started.
    pub fn next_us(&self) -> Option<u64> {
        self.queue.first().map(|(at_us, _)| *at_us)
    }
}
