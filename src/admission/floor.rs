//! The level below which calls are refused before they wait.
//!
//! After DAGOR (Zhou et al., SoCC 2018): arrivals are counted by level, and when a window shows
//! overload the floor goes to where the calls above it fit the capacity. In windows without overload
//! it goes down again, by steps that double, so that it is gone soon after its cause.

use super::histogram::Histogram;
use crate::call::Level;

/// The part of arrivals that may be pushed out in a window without being called overload.
const PUSHED_PART: f64 = 0.02;
/// The part of arrivals that, when pushed out, is overload whatever was done before.
const FLOODED_PART: f64 = 0.2;
/// The part of the calls admitted so far that may still be admitted after a window with overload.
const SHRINK: f64 = 0.98;
/// The load that is admitted, as a share of the capacity, where arrivals below the floor are seen.
const FILL: f64 = 1.03;

/// The admitted load, as a share of the capacity, below which the target counts as idle.
const IDLE: f64 = 0.85;
/// How many standard deviations of the arrivals the admitted load must be below that share.
const IDLE_CHANCE: f64 = 1.5;
/// The factor by which steps downwards grow.
const GROWTH: usize = 2;
/// The factor by which they grow while the target is idle.
const IDLE_GROWTH: usize = 4;

/// What the floor is decided from, besides the arrivals.
#[derive(Clone, Copy, Debug)]
pub(super) struct Surroundings {
    /// Calls the target can end, for each microsecond.
    pub capacity_per_us: f64,
    /// Whether all slots were taken at some time in the window.
    pub was_full: bool,
    /// The waiting time that counts as overload, in microseconds.
    pub delay_max_us: u64,
}

/// The floor of one arm.
#[derive(Clone, Debug, Default)]
pub(super) struct Floor {
    /// Calls below are refused.
    level: Level,
    /// Arrivals by level.
    arrivals: Histogram,
    /// By how many levels the floor goes down after the next window without overload.
    step: usize,
    /// Calls at or above the floor that came in this window.
    admitted: u32,
    /// Calls that were pushed out or expired while waiting, in this window.
    pushed: u32,
    /// The sum of the waiting times of calls that were started, in microseconds, in this window.
    waited_us: u64,
    /// How many calls were started, in this window.
    started: u32,
    /// Whether the floor was raised at the end of the last window.
    was_raised: bool,
    /// The highest level that was pushed out or waited too long in this window.
    hurt: Option<Level>,
}

impl Floor {
    /// Calls below this level are refused.
    pub fn level(&self) -> Level {
        self.level
    }

    /// Whether anything is refused.
    pub fn is_raised(&self) -> bool {
        self.level > Level::LOWEST
    }

    /// Gives the floor up, for a policy without one.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Counts a call that came, and returns whether it is admitted.
    pub fn admits(&mut self, level: Level) -> bool {
        self.arrivals.add(level);
        let admitted = level >= self.level;
        self.admitted += u32::from(admitted);
        admitted
    }

    /// Counts a call that did not get its turn.
    pub fn note_pushed(&mut self, level: Level) {
        self.pushed += 1;
        self.hurt = self.hurt.max(Some(level));
    }

    /// Counts a call that was started after waiting.
    pub fn note_started(&mut self, level: Level, waited_us: u64, delay_max_us: u64) {
        self.started += 1;
        self.waited_us += waited_us;
        if waited_us > delay_max_us {
            self.hurt = self.hurt.max(Some(level));
        }
    }

    /// How many times the arrivals are of what fits.
    pub fn load(&self, capacity_per_us: f64) -> f64 {
        let fits = capacity_per_us * self.arrivals.time_us();
        if fits > 0.0 { self.arrivals.total() / fits } else { 1.0 }
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

    /// Ends a window of `window_us` and moves the floor.
    pub fn close_window(&mut self, window_us: u64, around: &Surroundings) {
        self.arrivals.close_window(window_us);
        let admitted = f64::from(std::mem::take(&mut self.admitted));
        let waited_us = self.waited_us / u64::from(self.started.max(1));
        let flooded = f64::from(self.pushed) > FLOODED_PART * admitted;
        let pushed = f64::from(self.pushed) > 1.0 + PUSHED_PART * admitted;
        if std::mem::take(&mut self.was_raised) && !flooded {
            // What waited in this window came largely before the floor was raised.
        } else if pushed || waited_us > around.delay_max_us {
            self.raise(around);
            self.was_raised = true;
        } else {
            let room = around.capacity_per_us * window_us as f64;
            self.lower(around, admitted < IDLE * room - IDLE_CHANCE * room.sqrt());
        }
        self.pushed = 0;
        self.waited_us = 0;
        self.started = 0;
        self.hurt = None;
    }

    /// Moves the floor up to where the calls above it fit the capacity.
    fn raise(&mut self, around: &Surroundings) {
        self.step = 1;
        let present = self.arrivals.index(self.level);
        let fits = around.capacity_per_us * self.arrivals.time_us() * FILL;
        let admitted = self.arrivals.total_from(present);
        let index = self.arrivals.lowest_within(fits.min(admitted * SHRINK));
        // A level that had its turn in time is not to be refused, whatever the histogram says.
        let above_hurt = self.hurt.map_or(0, |level| self.arrivals.index(level) + 1);
        let index = index.min(above_hurt).min(self.arrivals.highest()).max(present);
        self.level = self.arrivals.level(index);
    }

    /// Moves the floor down a step.
    fn lower(&mut self, around: &Surroundings, idle: bool) {
        if !self.is_raised() {
            return;
        }
        let present = self.arrivals.index(self.level);
        let mut index = present.saturating_sub(self.step.max(1));
        if around.was_full {
            // As far as arrivals below the floor are seen, no more are let in than fit.
            let fits = around.capacity_per_us * self.arrivals.time_us() * FILL;
            index = index.max(self.arrivals.lowest_within(fits)).min(present - 1);
        }
        let moved = present - index;
        let growth = if idle { IDLE_GROWTH } else { GROWTH };
        self.step = (moved * growth).max(1);
        self.level = self.arrivals.level(index);
    }
}
