//! The shedding floor: the level below which calls are refused before they are queued.
//!
//! Based on DAGOR (Zhou et al., SoCC 2018): arrivals are counted by level, and when a window shows
//! overload the floor rises to where the calls at and above it fit the capacity. In windows without
//! overload it falls again, in steps that double, so that it is gone soon after the overload.

use super::histogram::Histogram;
use crate::call::Level;

/// A window shows overload when a larger share of its admitted calls than this is evicted.
const EVICTED_SHARE_MAX: f64 = 0.02;
/// A window with a larger share of evicted calls than this shows overload even if the floor was
/// raised just before it.
const SEVERE_EVICTED_SHARE: f64 = 0.2;
/// The floor is raised so that it admits at most this share of the arrivals admitted before.
const ADMITTED_SHRINK: f64 = 0.98;
/// The load, as a share of the capacity, that the floor is set to admit when it is derived from the
/// counted arrivals.
const ADMITTED_LOAD: f64 = 1.03;

/// The admitted load, as a share of the capacity, below which the target counts as idle.
const IDLE_LOAD: f64 = 0.85;
/// By how many standard deviations of the arrivals the admitted load must be below `IDLE_LOAD`.
const IDLE_DEVIATIONS: f64 = 1.5;
/// The factor by which downward steps grow.
const STEP_GROWTH: usize = 2;
/// The factor by which downward steps grow while the target is idle.
const IDLE_STEP_GROWTH: usize = 4;

/// The inputs to the floor at the end of a window, besides the arrivals.
#[derive(Clone, Copy, Debug)]
pub(super) struct WindowInput {
    /// The calls that the target can complete per microsecond.
    pub capacity_per_us: f64,
    /// Whether the limit was reached at some time in the window.
    pub was_full: bool,
    /// The queueing delay that counts as overload, in microseconds.
    pub delay_max_us: u64,
}

/// The floor of one arm.
#[derive(Clone, Debug, Default)]
pub(super) struct Floor {
    /// Calls below this level are shed.
    level: Level,
    arrivals: Histogram,
    /// How many indexes of the histogram the floor falls after the next window without overload.
    step: usize,
    /// Arrivals at or above the floor in this window.
    admitted: u32,
    /// Calls that were evicted from the queue or expired in it, in this window.
    evicted: u32,
    /// The sum of the queueing delays of calls that were started in this window, in microseconds.
    waited_us: u64,
    /// How many calls were started in this window.
    started: u32,
    /// Whether the floor was raised at the end of the last window.
    was_raised: bool,
    /// The highest level that was evicted, expired or delayed too long in this window.
    highest_overloaded: Option<Level>,
}

impl Floor {
    /// Calls below this level are shed.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Whether any call is shed.
    pub fn is_raised(&self) -> bool {
        self.level > Level::LOWEST
    }

    /// Removes the floor, for a policy that has none.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Counts an arrival, and returns whether it is admitted.
    pub fn admits(&mut self, level: Level) -> bool {
        self.arrivals.add(level);
        let admitted = level >= self.level;
        self.admitted += u32::from(admitted);
        admitted
    }

    /// Counts a call that was evicted from the queue or expired in it.
    pub fn record_evicted(&mut self, level: Level) {
        self.evicted += 1;
        self.highest_overloaded = self.highest_overloaded.max(Some(level));
    }

    /// Counts a call that was started after `waited_us` in the queue.
    pub fn record_started(&mut self, level: Level, waited_us: u64, delay_max_us: u64) {
        self.started += 1;
        self.waited_us += waited_us;
        if waited_us > delay_max_us {
            self.highest_overloaded = self.highest_overloaded.max(Some(level));
        }
    }

    /// The arrivals as a multiple of the capacity.
    pub fn load(&self, capacity_per_us: f64) -> f64 {
        let capacity = capacity_per_us * self.arrivals.time_us();
        if capacity > 0.0 { self.arrivals.total() / capacity } else { 1.0 }
    }

    /// How many windows without overload it takes until calls of this level are admitted.
    pub fn windows_until(&self, level: Level) -> u32 {
        if level >= self.level {
            return 0;
        }
        let distance = self.arrivals.index(self.level) - self.arrivals.index(level);
        let steps = distance / self.step.max(1) + 1;
        usize::BITS - steps.leading_zeros()
    }

    /// Closes a window of `window_us` and adjusts the floor.
    pub fn close_window(&mut self, window_us: u64, input: &WindowInput) {
        self.arrivals.close_window(window_us);
        let admitted = f64::from(std::mem::take(&mut self.admitted));
        let waited_us = self.waited_us / u64::from(self.started.max(1));
        let is_severe = f64::from(self.evicted) > SEVERE_EVICTED_SHARE * admitted;
        let is_overloaded = f64::from(self.evicted) > 1.0 + EVICTED_SHARE_MAX * admitted;
        if std::mem::take(&mut self.was_raised) && !is_severe {
            // Most calls that waited in this window arrived before the floor was raised.
        } else if is_overloaded || waited_us > input.delay_max_us {
            self.raise(input);
            self.was_raised = true;
        } else {
            let window_capacity = input.capacity_per_us * window_us as f64;
            self.lower(
                input,
                admitted < IDLE_LOAD * window_capacity - IDLE_DEVIATIONS * window_capacity.sqrt(),
            );
        }
        self.evicted = 0;
        self.waited_us = 0;
        self.started = 0;
        self.highest_overloaded = None;
    }

    /// Raises the floor to where the calls at and above it fit the capacity.
    fn raise(&mut self, input: &WindowInput) {
        self.step = 1;
        let current = self.arrivals.index(self.level);
        let capacity = input.capacity_per_us * self.arrivals.time_us() * ADMITTED_LOAD;
        let admitted = self.arrivals.total_from(current);
        let index = self.arrivals.lowest_index_within(capacity.min(admitted * ADMITTED_SHRINK));
        // A level whose calls were all started in time must not be shed, whatever the histogram
        // says.
        let above_overloaded =
            self.highest_overloaded.map_or(0, |level| self.arrivals.index(level) + 1);
        let index = index.min(above_overloaded).min(self.arrivals.highest_index()).max(current);
        self.level = self.arrivals.level(index);
    }

    /// Lowers the floor by a step.
    fn lower(&mut self, input: &WindowInput, is_idle: bool) {
        if !self.is_raised() {
            return;
        }
        let current = self.arrivals.index(self.level);
        let mut index = current.saturating_sub(self.step.max(1));
        if input.was_full {
            // Admits only as many of the arrivals counted below the floor as fit the capacity.
            let capacity = input.capacity_per_us * self.arrivals.time_us() * ADMITTED_LOAD;
            index = index.max(self.arrivals.lowest_index_within(capacity)).min(current - 1);
        }
        let fallen = current - index;
        let growth = if is_idle { IDLE_STEP_GROWTH } else { STEP_GROWTH };
        self.step = (fallen * growth).max(1);
        self.level = self.arrivals.level(index);
    }
}
