//! Arrivals counted by level.

use crate::call::Level;

/// Levels in a class.
const LEVELS: usize = 256;
/// How much of the past stays when a window is added.
const KEEP: f64 = 0.8;
/// A window with this many times the arrivals of the past, or fewer by the same factor, replaces it.
const CHANGE: f64 = 1.5;
/// Arrivals a window needs before it can replace the past.
const CHANGE_ARRIVALS: u32 = 20;

/// The levels of one class.
#[derive(Clone, Debug)]
struct Band {
    /// The class.
    rank: u8,
    /// Arrivals in the present window.
    present: [u32; LEVELS],
    /// Arrivals of earlier windows, weighted.
    past: [f32; LEVELS],
}

/// Arrivals by level, the latest windows counting most.
///
/// Levels of the classes that were seen are numbered without gaps, from the lowest: the index. One
/// more than the last index stands for "above all levels".
#[derive(Clone, Debug, Default)]
pub(super) struct Histogram {
    /// The classes, from the lowest rank to the highest.
    bands: Vec<Band>,
    /// Arrivals in the present window.
    arrivals: u32,
    /// The time that the past stands for, in microseconds, weighted.
    time_us: f64,
    /// All arrivals of the past, weighted.
    total: f64,
}

impl Histogram {
    /// Counts an arrival.
    pub fn add(&mut self, level: Level) {
        let rank = level.class().0;
        let band = match self.bands.binary_search_by_key(&rank, |band| band.rank) {
            Ok(band) => band,
            Err(band) => {
                let new = Band { rank, present: [0; LEVELS], past: [0.0; LEVELS] };
                self.bands.insert(band, new);
                band
            }
        };
        self.bands[band].present[usize::from(level.0 & 0xff)] += 1;
        self.arrivals += 1;
    }

    /// Moves the present window into the past, and returns its arrivals.
    pub fn close_window(&mut self, window_us: u64) -> u32 {
        let keep = if self.has_changed(window_us) { 0.0 } else { KEEP };
        self.time_us = self.time_us * keep + window_us as f64;
        for band in &mut self.bands {
            for (past, present) in band.past.iter_mut().zip(&mut band.present) {
                *past = *past * keep as f32 + *present as f32;
                *present = 0;
            }
        }
        self.total = self.total_from(0);
        std::mem::take(&mut self.arrivals)
    }

    /// All arrivals that the past stands for.
    pub fn total(&self) -> f64 {
        self.total
    }

    /// The time that the counts stand for, in microseconds.
    pub fn time_us(&self) -> f64 {
        self.time_us
    }

    /// The index of a level; a level between the classes that were seen has the next one's.
    pub fn index(&self, level: Level) -> usize {
        let rank = level.class().0;
        match self.bands.binary_search_by_key(&rank, |band| band.rank) {
            Ok(band) => band * LEVELS + usize::from(level.0 & 0xff),
            Err(band) => band * LEVELS,
        }
    }

    /// The highest index.
    pub fn highest(&self) -> usize {
        (self.bands.len() * LEVELS).saturating_sub(1)
    }

    /// The level of an index; index 0 is the lowest of all.
    pub fn level(&self, index: usize) -> Level {
        if index == 0 {
            return Level::LOWEST;
        }
        match self.bands.get(index / LEVELS) {
            Some(band) => Level(u16::from(band.rank) << 8 | (index % LEVELS) as u16),
            None => Level::HIGHEST,
        }
    }

    /// Arrivals at an index and above.
    pub fn total_from(&self, index: usize) -> f64 {
        let mut total = 0.0;
        for (number, band) in self.bands.iter().enumerate() {
            let skip = index.saturating_sub(number * LEVELS).min(LEVELS);
            total += f64::from(band.past[skip..].iter().sum::<f32>());
        }
        total
    }

    /// The lowest index from which the arrivals upwards are no more than `room`.
    pub fn lowest_within(&self, room: f64) -> usize {
        let mut total = 0.0;
        for (number, band) in self.bands.iter().enumerate().rev() {
            for (level, arrivals) in band.past.iter().enumerate().rev() {
                total += f64::from(*arrivals);
                if total > room {
                    return number * LEVELS + level + 1;
                }
            }
        }
        0
    }

    /// Whether the present window is so different that the past says nothing about it.
    fn has_changed(&self, window_us: u64) -> bool {
        let expected = match self.time_us > 0.0 {
            true => self.total * window_us as f64 / self.time_us,
            false => 0.0,
        };
        let arrivals = f64::from(self.arrivals);
        let enough = f64::from(CHANGE_ARRIVALS);
        arrivals > enough.max(expected * CHANGE) || expected > enough.max(arrivals * CHANGE)
    }
}
