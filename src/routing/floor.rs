//! The floors that targets have told, which lose their force as they grow old.

use crate::call::{ClassRank, Level};
use crate::clock::US_PER_MS;

/// How long a floor holds in full after it was told.
const HOLD_US: u64 = 100 * US_PER_MS;
/// How long it then takes to sink to nothing.
const FADE_US: u64 = 500 * US_PER_MS;
/// How long a target's floor is taken to be still there because others of the service tell theirs.
const SHARED_US: u64 = 3_000 * US_PER_MS;

/// One floor as it was told.
#[derive(Clone, Copy, Debug)]
struct Told {
    /// The class of the call whose answer told it.
    class: ClassRank,
    /// The floor.
    level: Level,
    /// When it was told.
    at_us: u64,
}

/// The latest floor of one target, or of any target of a service, for each class.
///
/// A class stands for the way its calls take further down, which is why floors are kept by class.
#[derive(Clone, Debug, Default)]
pub(super) struct FloorMemory {
    /// One entry for each class that was answered.
    told: Vec<Told>,
}

impl FloorMemory {
    /// Keeps the floor told on an answer to a call of `class`.
    pub fn tell(&mut self, now_us: u64, class: ClassRank, level: Level) {
        let told = Told { class, level, at_us: now_us };
        match self.told.iter_mut().find(|entry| entry.class == class) {
            Some(entry) => *entry = told,
            None if level > Level::LOWEST => self.told.push(told),
            None => {}
        }
    }

    /// The highest floor of any class as far as it still counts.
    pub fn highest(&self, now_us: u64) -> Level {
        let mut highest = Level::LOWEST;
        for entry in &self.told {
            highest = highest.max(entry.faded(now_us));
        }
        highest
    }

    /// The floor told for `class`.
    fn entry(&self, class: ClassRank) -> Option<&Told> {
        self.told.iter().find(|entry| entry.class == class)
    }
}

/// The floors of one target, seen together with those of its service.
///
/// A floor that is not renewed sinks, so that the calls just below it are sent again first. They
/// are the probes: each brings back the present floor, and targets that no longer shed are found
/// out without any probe traffic of its own. While all targets of a service shed, one probe speaks
/// for all of them: a target's floor sinks no faster than the last one told by any target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Floors<'a> {
    /// What the target told.
    pub own: &'a FloorMemory,
    /// What any target of its service told last.
    pub shared: &'a FloorMemory,
}

impl Floors<'_> {
    /// The floor for `class` as far as it still counts.
    pub fn level(&self, now_us: u64, class: ClassRank) -> Level {
        let Some(own) = self.own.entry(class) else {
            return Level::LOWEST;
        };
        let faded = own.faded(now_us);
        match self.shared.entry(class).filter(|_| own.is_shared(now_us)) {
            Some(shared) => faded.max(own.level.min(shared.faded(now_us))),
            None => faded,
        }
    }

    /// How long a call is below the floor, in microseconds; 0 when it is not.
    pub fn closed_for_us(&self, now_us: u64, class: ClassRank, level: Level) -> u64 {
        if level >= self.level(now_us, class) {
            return 0;
        }
        let own = self.own.entry(class).map_or(0, |own| own.opens_in_us(now_us, level));
        let shared = self.shared.entry(class).map_or(0, |told| told.opens_in_us(now_us, level));
        own.max(shared).max(1)
    }
}

impl Told {
    /// The floor with its age taken into account.
    fn faded(&self, now_us: u64) -> Level {
        let age_us = now_us.saturating_sub(self.at_us);
        let sunk_us = age_us.saturating_sub(HOLD_US);
        if sunk_us >= FADE_US {
            return Level::LOWEST;
        }
        let left_us = FADE_US - sunk_us;
        Level((u64::from(self.level.0) * left_us / FADE_US) as u16)
    }

    /// Whether later floors of other targets may keep this one from sinking.
    fn is_shared(&self, now_us: u64) -> bool {
        now_us.saturating_sub(self.at_us) < SHARED_US
    }

    /// How long until the faded floor no longer exceeds `level`.
    fn opens_in_us(&self, now_us: u64, level: Level) -> u64 {
        if level >= self.level {
            return 0;
        }
        let missing = u64::from(self.level.0 - level.0);
        let sunk_us = (missing * FADE_US).div_ceil(u64::from(self.level.0));
        let opens_us = self.at_us + HOLD_US + sunk_us;
        opens_us.saturating_sub(now_us)
    }
}
