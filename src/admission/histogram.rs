//! Decaying counts of arrivals by level.

use crate::call::Level;

/// The number of levels in a class.
const LEVELS_PER_CLASS: usize = 256;
/// The weight that earlier windows keep when a window is added.
const PAST_WEIGHT: f64 = 0.8;
/// A window whose number of arrivals differs from the expected one by more than this factor
/// replaces the past windows.
const CHANGE_FACTOR: f64 = 1.5;
/// A window replaces the past windows only if it has, or was expected to have, more arrivals than
/// this.
const CHANGE_ARRIVALS_MIN: u32 = 20;

/// The arrivals of one class.
#[derive(Clone, Debug)]
struct ClassCounts {
    rank: u8,
    /// Arrivals in the current window.
    current: [u32; LEVELS_PER_CLASS],
    /// Arrivals in earlier windows, weighted.
    past: [f32; LEVELS_PER_CLASS],
}

/// Arrivals by level, with the latest windows weighted most.
///
/// The levels of the classes seen so far are numbered without gaps, from the lowest: the index. One
/// more than the last index stands for "above all levels".
#[derive(Clone, Debug, Default)]
pub(super) struct Histogram {
    /// The classes seen so far, from the lowest rank to the highest.
    classes: Vec<ClassCounts>,
    /// Arrivals in the current window.
    arrivals: u32,
    /// The weighted length of the past windows, in microseconds.
    time_us: f64,
    /// All arrivals in the past windows, weighted.
    total: f64,
}

impl Histogram {
    /// Counts an arrival.
    pub fn add(&mut self, level: Level) {
        let rank = level.class().0;
        let class = match self.classes.binary_search_by_key(&rank, |class| class.rank) {
            Ok(class) => class,
            Err(class) => {
                let new = ClassCounts {
                    rank,
                    current: [0; LEVELS_PER_CLASS],
                    past: [0.0; LEVELS_PER_CLASS],
                };
                self.classes.insert(class, new);
                class
            }
        };
        self.classes[class].current[usize::from(level.0 & 0xff)] += 1;
        self.arrivals += 1;
    }

    /// Adds the current window to the past ones, and returns the number of its arrivals.
    pub fn close_window(&mut self, window_us: u64) -> u32 {
        let past_weight = if self.has_changed(window_us) { 0.0 } else { PAST_WEIGHT };
        self.time_us = self.time_us * past_weight + window_us as f64;
        for class in &mut self.classes {
            for (past, current) in class.past.iter_mut().zip(&mut class.current) {
                *past = *past * past_weight as f32 + *current as f32;
                *current = 0;
            }
        }
        self.total = self.total_from(0);
        std::mem::take(&mut self.arrivals)
    }

    /// All arrivals in the past windows, weighted.
    pub fn total(&self) -> f64 {
        self.total
    }

    /// The weighted length of the past windows, in microseconds.
    pub fn time_us(&self) -> f64 {
        self.time_us
    }

    /// The index of a level. A level of a class that was not seen has the index at which the next
    /// class begins.
    pub fn index(&self, level: Level) -> usize {
        let rank = level.class().0;
        match self.classes.binary_search_by_key(&rank, |class| class.rank) {
            Ok(class) => class * LEVELS_PER_CLASS + usize::from(level.0 & 0xff),
            Err(class) => class * LEVELS_PER_CLASS,
        }
    }

    /// The highest index of a level; 0 if no class was seen.
    pub fn highest_index(&self) -> usize {
        (self.classes.len() * LEVELS_PER_CLASS).saturating_sub(1)
    }

    /// The level of an index; index 0 gives the lowest level of all.
    pub fn level(&self, index: usize) -> Level {
        if index == 0 {
            return Level::LOWEST;
        }
        match self.classes.get(index / LEVELS_PER_CLASS) {
            Some(class) => Level(u16::from(class.rank) << 8 | (index % LEVELS_PER_CLASS) as u16),
            None => Level::HIGHEST,
        }
    }

    /// Past arrivals at an index and above.
    pub fn total_from(&self, index: usize) -> f64 {
        let mut total = 0.0;
        for (number, class) in self.classes.iter().enumerate() {
            let skip = index.saturating_sub(number * LEVELS_PER_CLASS).min(LEVELS_PER_CLASS);
            total += f64::from(class.past[skip..].iter().sum::<f32>());
        }
        total
    }

    /// The lowest index at and above which there are no more than `max_arrivals` past arrivals.
    pub fn lowest_index_within(&self, max_arrivals: f64) -> usize {
        let mut total = 0.0;
        for (number, class) in self.classes.iter().enumerate().rev() {
            for (level, arrivals) in class.past.iter().enumerate().rev() {
                total += f64::from(*arrivals);
                if total > max_arrivals {
                    return number * LEVELS_PER_CLASS + level + 1;
                }
            }
        }
        0
    }

    /// Whether the arrivals of the current window differ too much from those of the past windows.
    fn has_changed(&self, window_us: u64) -> bool {
        let expected = match self.time_us > 0.0 {
            true => self.total * window_us as f64 / self.time_us,
            false => 0.0,
        };
        let arrivals = f64::from(self.arrivals);
        let arrivals_min = f64::from(CHANGE_ARRIVALS_MIN);
        arrivals > arrivals_min.max(expected * CHANGE_FACTOR)
            || expected > arrivals_min.max(arrivals * CHANGE_FACTOR)
    }
}
