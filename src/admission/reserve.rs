//! Slots that lower classes leave free for higher ones.

use crate::call::ClassRank;
use crate::clock::US_PER_S;
use crate::config::ClassSettings;

/// How long the mean of running calls looks back, in microseconds.
const MEAN_US: f64 = US_PER_S as f64;

/// One class and its calls.
#[derive(Clone, Debug)]
struct Class {
    /// The rank.
    rank: ClassRank,
    /// The most that may be kept free, as a share of the limit.
    reserved_share: f64,
    /// Calls of the class that run now.
    running: u32,
    /// The mean of running calls over the last second or so.
    mean: f64,
}

/// The classes of one arm, from the lowest rank to the highest.
#[derive(Clone, Debug, Default)]
pub(super) struct Reserve {
    /// The classes.
    classes: Vec<Class>,
    /// When the means were last brought up to date, in microseconds.
    mean_at_us: u64,
}

impl Reserve {
    /// Takes the shares of the classes; what runs stays counted.
    pub fn set_classes(&mut self, settings: &[ClassSettings]) {
        for class in &mut self.classes {
            class.reserved_share = 0.0;
        }
        for class in settings {
            self.class_mut(ClassRank(class.rank)).reserved_share = class.reserved_share;
        }
    }

    /// Counts calls that start.
    pub fn add(&mut self, rank: ClassRank) {
        self.class_mut(rank).running += 1;
    }

    /// Counts calls that end.
    pub fn remove(&mut self, rank: ClassRank) {
        let class = self.class_mut(rank);
        class.running = class.running.saturating_sub(1);
    }

    /// Brings the means up to date.
    pub fn tick(&mut self, now_us: u64) {
        let age_us = now_us.saturating_sub(self.mean_at_us) as f64;
        self.mean_at_us = now_us;
        let weight = age_us / (age_us + MEAN_US);
        for class in &mut self.classes {
            class.mean += weight * (f64::from(class.running) - class.mean);
        }
    }

    /// The slots that calls of this rank leave free.
    ///
    /// No more is kept for a class than it has used on average of late: slots kept for calls that do
    /// not come would be lost to everybody.
    pub fn kept_from(&self, rank: ClassRank, limit: u32) -> u32 {
        let mut kept = 0;
        for class in self.classes.iter().rev() {
            if class.rank <= rank {
                break;
            }
            let share = f64::from(limit) * class.reserved_share;
            let wanted = share.min(class.mean) as u32;
            kept += wanted.saturating_sub(class.running);
        }
        kept
    }

    /// The class of that rank, made where there is none.
    fn class_mut(&mut self, rank: ClassRank) -> &mut Class {
        let index = match self.classes.binary_search_by_key(&rank, |class| class.rank) {
            Ok(index) => index,
            Err(index) => {
                let class = Class { rank, reserved_share: 0.0, running: 0, mean: 0.0 };
                self.classes.insert(index, class);
                index
            }
        };
        &mut self.classes[index]
    }
}
