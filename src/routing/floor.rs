//! Shedding floors reported by targets, which decay with age.

use crate::call::{ClassRank, Level};
use crate::clock::US_PER_MS;

/// The time for which a reported floor applies in full.
const FULL_US: u64 = 100 * US_PER_MS;
/// The time in which it then decays to nothing.
const DECAY_US: u64 = 500 * US_PER_MS;
/// The time after a target's last report in which reports of other targets of the service may keep
/// its floor from decaying.
const SHARED_US: u64 = 3_000 * US_PER_MS;

/// One reported floor.
#[derive(Clone, Copy, Debug)]
struct FloorReport {
    /// The class of the call whose answer reported it.
    class: ClassRank,
    level: Level,
    /// When it was reported.
    at_us: u64,
}

/// The latest reported floors of one target, or of any target of a service, by class.
///
/// Calls of one class take the same path downstream, so floors are kept by class.
#[derive(Clone, Debug, Default)]
pub(super) struct FloorReports {
    /// One report for each class.
    reports: Vec<FloorReport>,
}

impl FloorReports {
    /// Records the floor that came with an answer to a call of `class`.
    pub fn record(&mut self, now_us: u64, class: ClassRank, level: Level) {
        let report = FloorReport { class, level, at_us: now_us };
        match self.reports.iter_mut().find(|report| report.class == class) {
            Some(known) => *known = report,
            None if level > Level::LOWEST => self.reports.push(report),
            None => {}
        }
    }

    /// The highest decayed floor of any class.
    pub fn highest(&self, now_us: u64) -> Level {
        let mut highest = Level::LOWEST;
        for report in &self.reports {
            highest = highest.max(report.decayed(now_us));
        }
        highest
    }

    /// The floor reported for `class`.
    fn report(&self, class: ClassRank) -> Option<&FloorReport> {
        self.reports.iter().find(|report| report.class == class)
    }
}

/// The floors of one target, combined with those of its service.
///
/// A floor that is not refreshed decays, and calls just below it are sent again first. They act as
/// probes: each answer carries the current floor, so a target that has stopped shedding is detected
/// without separate probe traffic. While all targets of a service shed, one probe is enough for all
/// of them, because a target's floor decays no faster than the last one reported by any target.
#[derive(Clone, Copy, Debug)]
pub(super) struct TargetFloors<'a> {
    /// The floors that the target reported.
    pub own: &'a FloorReports,
    /// The floors last reported by any target of its service.
    pub shared: &'a FloorReports,
}

impl TargetFloors<'_> {
    /// The decayed floor for `class`.
    pub fn level(&self, now_us: u64, class: ClassRank) -> Level {
        let Some(own) = self.own.report(class) else {
            return Level::LOWEST;
        };
        let decayed = own.decayed(now_us);
        match self.shared.report(class).filter(|_| own.is_shared(now_us)) {
            Some(shared) => decayed.max(own.level.min(shared.decayed(now_us))),
            None => decayed,
        }
    }

    /// How long a call will be below the floor, in microseconds; 0 if it is not.
    pub fn wait_us(&self, now_us: u64, class: ClassRank, level: Level) -> u64 {
        if level >= self.level(now_us, class) {
            return 0;
        }
        let own = self.own.report(class).map_or(0, |own| own.admits_in_us(now_us, level));
        let shared =
            self.shared.report(class).map_or(0, |report| report.admits_in_us(now_us, level));
        own.max(shared).max(1)
    }
}

impl FloorReport {
    /// The floor, decayed by its age.
    fn decayed(&self, now_us: u64) -> Level {
        let age_us = now_us.saturating_sub(self.at_us);
        let decaying_us = age_us.saturating_sub(FULL_US);
        if decaying_us >= DECAY_US {
            return Level::LOWEST;
        }
        let left_us = DECAY_US - decaying_us;
        Level((u64::from(self.level.0) * left_us / DECAY_US) as u16)
    }

    /// Whether reports of other targets may still keep this floor from decaying.
    fn is_shared(&self, now_us: u64) -> bool {
        now_us.saturating_sub(self.at_us) < SHARED_US
    }

    /// How long until the decayed floor no longer exceeds `level`.
    fn admits_in_us(&self, now_us: u64, level: Level) -> u64 {
        if level >= self.level {
            return 0;
        }
        let missing = u64::from(self.level.0 - level.0);
        let decaying_us = (missing * DECAY_US).div_ceil(u64::from(self.level.0));
        let admits_at_us = self.at_us + FULL_US + decaying_us;
        admits_at_us.saturating_sub(now_us)
    }
}
