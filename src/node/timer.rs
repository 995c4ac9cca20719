//! The node's own timers.

use std::collections::BTreeSet;

use crate::call::AttemptId;

use super::hop::HopId;

/// What is due at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// The deadline of a hop.
    HopDeadline(HopId),
    /// Whatever a hop's present state waits for; stale ones are told by the state's own moment.
    HopStep(HopId),
    /// The deadline of an attempt that this node received.
    InboundDeadline(AttemptId),
}

/// Moments in order.
#[derive(Debug, Default)]
pub struct Timers {
    /// What is due, earliest first.
    queue: BTreeSet<(u64, Due)>,
}

impl Timers {
    /// Makes `due` come up at `at_us`.
    pub fn set(&mut self, at_us: u64, due: Due) {
        self.queue.insert((at_us, due));
    }

    /// Takes back what was set with the same arguments.
    pub fn clear(&mut self, at_us: u64, due: Due) {
        self.queue.remove(&(at_us, due));
    }

    /// The next due item that is not later than `now_us`.
    pub fn pop(&mut self, now_us: u64) -> Option<Due> {
        let (at_us, due) = *self.queue.first()?;
        if at_us > now_us {
            return None;
        }
        self.queue.remove(&(at_us, due));
        Some(due)
    }

    /// When something is due next, in microseconds since the process started.
    pub fn next_us(&self) -> Option<u64> {
        self.queue.first().map(|(at_us, _)| *at_us)
    }
}
