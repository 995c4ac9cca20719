//! Slots that lower classes must leave free for higher ones.

use crate::call::ClassRank;
use crate::clock::US_PER_S;
use crate::config::ClassSettings;

/// The time constant of the mean number of running calls, in microseconds.
const MEAN_TIME_CONSTANT_US: f64 = US_PER_S as f64;

/// One class and its running calls.
#[derive(Clone, Debug)]
struct Class {
    rank: ClassRank,
    /// The largest share of the limit that may be reserved.
    reserved_share: f64,
    /// Calls of the class that are running.
    running: u32,
    /// The mean number of running calls over about the last second.
    mean_running: f64,
}

/// The classes of one arm, from the lowest rank to the highest.
#[derive(Clone, Debug, Default)]
pub(super) struct Reserve {
    classes: Vec<Class>,
    /// When the means were last updated, in microseconds.
    means_updated_us: u64,
}

impl Reserve {
    /// Sets the reserved shares of the classes; running calls stay counted.
    pub fn set_classes(&mut self, settings: &[ClassSettings]) {
        for class in &mut self.classes {
            class.reserved_share = 0.0;
        }
        for class in settings {
            self.class_mut(ClassRank(class.rank)).reserved_share = class.reserved_share;
        }
    }

    /// Counts a call that starts.
    pub fn add(&mut self, rank: ClassRank) {
        self.class_mut(rank).running += 1;
    }

    /// Counts a call that ends.
    pub fn remove(&mut self, rank: ClassRank) {
        let class = self.class_mut(rank);
        class.running = class.running.saturating_sub(1);
    }

    /// Updates the mean numbers of running calls.
    pub fn update_means(&mut self, now_us: u64) {
        let age_us = now_us.saturating_sub(self.means_updated_us) as f64;
        self.means_updated_us = now_us;
        let weight = age_us / (age_us + MEAN_TIME_CONSTANT_US);
        for class in &mut self.classes {
            class.mean_running += weight * (f64::from(class.running) - class.mean_running);
        }
    }

    /// The free slots that calls of this rank must leave for higher classes.
    ///
    /// A class gets no more slots reserved than it has recently used on average: slots reserved for
    /// calls that do not come would be lost to all classes.
    pub fn reserved_above(&self, rank: ClassRank, limit: u32) -> u32 {
        let mut reserved = 0;
        for class in self.classes.iter().rev() {
            if class.rank <= rank {
                break;
            }
            let share = f64::from(limit) * class.reserved_share;
            let wanted = share.min(class.mean_running) as u32;
            reserved += wanted.saturating_sub(class.running);
        }
        reserved
    }

    /// The class of that rank, added if there is none.
    fn class_mut(&mut self, rank: ClassRank) -> &mut Class {
        let index = match self.classes.binary_search_by_key(&rank, |class| class.rank) {
            Ok(index) => index,
            Err(index) => {
                let class = Class { rank, reserved_share: 0.0, running: 0, mean_running: 0.0 };
                self.classes.insert(index, class);
                index
            }
        };
        &mut self.classes[index]
    }
}
