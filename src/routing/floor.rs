//! The floors a target has told, which lose their force as they grow old.

use crate::call::{ClassRank, Level};
use crate::clock::US_PER_MS;

/// How long a floor holds in full after it was told.
const HOLD_US: u64 = 200 * US_PER_MS;
/// How long it then takes to sink to nothing.
const FADE_US: u64 = 800 * US_PER_MS;

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

/// The latest floor of one target and arm for each class.
///
/// A class stands for the way its calls take further down, which is why floors are kept by class.
/// A floor that is not renewed sinks, so that the calls just below it are sent again first. They
/// are the probes: each brings back the present floor, and a target that no longer sheds is found
/// out without any probe traffic of its own.
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

    /// The floor for `class` as far as it still counts.
    pub fn level(&self, now_us: u64, class: ClassRank) -> Level {
        for entry in &self.told {
            if entry.class == class {
                return entry.faded(now_us);
            }
        }
        Level::LOWEST
    }

    /// The highest floor of any class as far as it still counts.
    pub fn highest(&self, now_us: u64) -> Level {
        let mut highest = Level::LOWEST;
        for entry in &self.told {
            highest = highest.max(entry.faded(now_us));
        }
        highest
    }

    /// How long it takes until the floor has sunk to `level`, in microseconds.
    pub fn opens_in_us(&self, now_us: u64, class: ClassRank, level: Level) -> u64 {
        for entry in &self.told {
            if entry.class == class {
                return entry.opens_in_us(now_us, level);
            }
        }
        0
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

    /// How long until the faded floor no longer exceeds `level`.
    fn opens_in_us(&self, now_us: u64, level: Level) -> u64 {
        if level >= self.faded(now_us) {
            return 0;
        }
        let missing = u64::from(self.level.0 - level.0);
        let sunk_us = (missing * FADE_US).div_ceil(u64::from(self.level.0));
        let opens_us = self.at_us + HOLD_US + sunk_us;
        opens_us.saturating_sub(now_us).max(1)
    }
}
