//! How many requests an entry may have in flight that reach one service.
//!
//! The bound is learnt: requests in flight here, by the work of the service's targets as a share of
//! what they can run, tell how many this entry may have when that share is as wanted. A bound on what
//! is in flight holds at once when more comes, and needs no news from elsewhere for that; a probability
//! of admission must first see the queues grow, half a second later, and then swings around its goal.

use std::cell::Cell;
use std::collections::HashSet;

/// The work that targets should have, as a share of what they can run.
const WORK_WANTED: f64 = 1.2;
/// What is kept of the sums that tell how many requests in flight make how much work, at each
/// adjustment of 100 ms: averages over about two seconds.
const KEPT: f64 = 0.95;
/// From this sum of work on, what was learnt is believed: a tenth of the slots at work for two seconds.
const LEARNT_MIN: f64 = 2.0;
/// Above this work queues grow, and requests in flight tell how long these are and nothing else.
const WORK_LEARNT_MAX: f64 = 1.0;
/// How fast the correction follows the work that is found, for each adjustment.
const CORRECTION_RATE: f64 = 0.08;
/// The least and the most correction.
const CORRECTIONS: (f64, f64) = (0.1, 1.5);
/// By how many times its square root a number of requests in flight may exceed its mean by chance.
const CHANCE: f64 = 2.0;
/// How many more may be in flight while the service has much room.
const SPARE: f64 = 4.0;
/// Below this work nothing is refused.
const WORK_LOW: f64 = 0.6;
/// The part of the bound that each rank leaves to those above it.
const LEFT_PER_RANK: f64 = 0.12;
/// The part of the bound that is left to all ranks above the least important one, at most.
const LEFT_TO_ALL: f64 = 0.24;

/// The part of the bound that requests of each route may fill whatever their rank. Refusing a route
/// that uses less makes hardly any room for others, and no route is starved.
const RESERVED_SHARE: f64 = 0.10;

/// How full the bound should be: refusals by rank leave so much of it free that there is hardly ever
/// one for want of room in it, which spares no rank.
const FILLED_WANTED: f64 = 0.7;
/// How fast the level follows that, for each adjustment.
const LEVEL_RATE: f64 = 0.3;
/// The most that the level changes at once.
const LEVEL_STEP_MAX: f64 = 0.1;

/// How many requests may be in flight that reach one service.
#[derive(Clone, Debug)]
pub struct Window {
    /// Sums over the recent past of requests in flight, and of the work at the same moments.
    in_flight_sum: f64,
    work_sum: f64,
    /// By how much the bound is corrected, as the work found differs from the work wanted.
    correction: f64,
    /// The work found last.
    work: f64,
    /// The level at which every rank passes.
    top: f64,
    /// What is a fair number of requests in flight for this entry.
    fair_share: f64,
    /// Requests of a rank below it pass, those of the rank that it cuts with the probability of its
    /// fraction. Unknown before the first adjustment.
    level: Option<f64>,
    /// Whether a request was refused since the last adjustment.
    has_refused: Cell<bool>,
    /// The routes that reach the service.
    roots: HashSet<String>,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            in_flight_sum: 0.0,
            work_sum: 0.0,
            correction: 1.0,
            work: 0.0,
            top: 1.0,
            fair_share: f64::INFINITY,
            level: None,
            has_refused: Cell::default(),
            roots: HashSet::new(),
        }
    }
}

impl Window {
    /// Takes in the work found at the service, and the requests in flight at that moment.
    ///
    /// `top` is the level at which every rank passes, `fair_share` what is a fair number of requests
    /// in flight for this entry as long as hardly anything was learnt.
    pub fn adjust(&mut self, work: f64, in_flight: f64, top: f64, fair_share: f64) {
        self.work = work;
        self.top = top;
        self.fair_share = fair_share;
        let filled = in_flight / self.bound(0).max(1.0);
        let change = (FILLED_WANTED - filled) * LEVEL_RATE;
        let level = self.level.unwrap_or(top) + change.clamp(-LEVEL_STEP_MAX, LEVEL_STEP_MAX);
        self.level = Some(level.clamp(0.0, top));
        if work <= WORK_LEARNT_MAX {
            self.in_flight_sum = self.in_flight_sum * KEPT + in_flight;
            self.work_sum = self.work_sum * KEPT + work;
        }
        if self.has_refused.replace(false) || work > WORK_WANTED {
            let change = (WORK_WANTED - work).clamp(-1.0, 0.5) * CORRECTION_RATE;
            self.correction *= 1.0 + change;
        } else {
            // What was learnt of a rush does not hold once it is over.
            self.correction += (1.0 - self.correction) * (1.0 - KEPT);
        }
        self.correction = self.correction.clamp(CORRECTIONS.0, CORRECTIONS.1);
    }

    /// Notes which routes reach the service.
    pub fn set_roots<'a>(&mut self, roots: impl Iterator<Item = &'a String>) {
        self.roots.clear();
        self.roots.extend(roots.cloned());
    }

    /// The routes that reach the service.
    pub fn roots(&self) -> impl Iterator<Item = &String> {
        self.roots.iter()
    }

    /// Whether requests of `route` reach the service.
    pub fn is_reached_by(&self, route: &str) -> bool {
        self.roots.contains(route)
    }

    /// Notes that a request was refused.
    pub fn note_refusal(&self) {
        self.has_refused.set(true);
    }

    /// How many requests may be in flight for one of `rank` to be admitted.
    fn bound(&self, rank: u8) -> f64 {
        // A fair share is corrected like what was learnt: after a restart of all nodes under load nothing can
        // be learnt while queues grow, and an uncorrected share would keep them full.
        let learnt = self.in_flight_sum / self.work_sum.max(0.1) * WORK_WANTED;
        let size = if self.work_sum < LEARNT_MIN { learnt.max(self.fair_share) } else { learnt };
        let size = size * self.correction;
        let steps = (self.top - 1.0).max(1.0);
        let left = 1.0 - LEFT_PER_RANK.min(LEFT_TO_ALL / steps) * f64::from(rank);
        (size + CHANCE * size.sqrt()) * left + self.spare()
    }

    /// How many more may be in flight while the service has room: an entry with few requests has
    /// several at once by mere chance.
    fn spare(&self) -> f64 {
        let room = (WORK_WANTED - self.work) / (WORK_WANTED - WORK_LOW);
        SPARE * room.clamp(0.0, 1.0)
    }

    /// The probability of admission of a request of `rank` while so many are in flight.
    pub fn passing(&self, in_flight: f64, rank: u8) -> f64 {
        let by_level = self.level.map_or(1.0, |level| level - f64::from(rank));
        by_level.min(self.bound(rank) - in_flight).clamp(0.0, 1.0)
    }

    /// The probability of admission of a request, whatever its rank, while so many of its route are
    /// in flight.
    pub fn passing_by_reserve(&self, in_flight: f64) -> f64 {
        (self.bound(0) * RESERVED_SHARE - in_flight).clamp(0.0, 1.0)
    }
}
