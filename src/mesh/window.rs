//! Learns a bound on the requests in flight of an entry node that reach one service.
//!
//! The entry node relates its requests in flight to the utilisation of the service's targets, and
//! derives the number that corresponds to the desired utilisation. Such a bound takes effect at
//! once when traffic rises, without updates from peers. An admission probability reacts only after
//! queues have grown, half a second later, and then oscillates around its set point.
//!
//! Utilisation here is the running and waiting requests of all targets as a share of what these
//! can run at once, so it exceeds 1 when requests queue.

use std::cell::Cell;
use std::collections::HashSet;

/// The desired utilisation.
const DESIRED_UTILISATION: f64 = 1.2;
/// Decay per adjustment of the sums of requests in flight and of utilisation. With adjustments
/// every 100 ms they are averages over about two seconds.
const DECAY: f64 = 0.95;
/// Minimum sum of utilisation at which the estimate is used without the fair share: a tenth of the
/// slots in use for two seconds.
const UTILISATION_SUM_MIN: f64 = 2.0;
/// Maximum utilisation at which samples are added to the sums. Above it queues grow, and requests
/// in flight reflect only the length of the queues.
const LEARN_UTILISATION_MAX: f64 = 1.0;
/// Rate at which the correction follows the measured utilisation, per adjustment.
const CORRECTION_RATE: f64 = 0.08;
/// The range of the correction.
const CORRECTION_RANGE: (f64, f64) = (0.1, 1.5);
/// Headroom for random variation of the requests in flight, in multiples of the square root of
/// their mean.
const DEVIATIONS: f64 = 2.0;
/// Additional requests that may be in flight while the service has ample capacity.
const SPARE_REQUESTS: f64 = 4.0;
/// Utilisation up to which the whole of `SPARE_REQUESTS` is granted.
const UTILISATION_LOW: f64 = 0.6;
/// Utilisation above which requests that are entitled to capacity get none of `SPARE_REQUESTS`.
const SPARE_UTILISATION_MAX: f64 = 2.0;
/// Fraction of the bound that each rank leaves to more important ranks.
const RESERVE_PER_RANK: f64 = 0.12;
/// Maximum fraction of the bound that the least important rank leaves to all others.
const RESERVE_MAX: f64 = 0.24;

/// Fraction of the bound that requests of each route may fill whatever their rank. Shedding a route
/// that uses less would free hardly any capacity, and no route is starved.
const RESERVED_SHARE: f64 = 0.10;

/// Desired fraction of the bound in use. Shedding by rank keeps the rest free, so that the bound
/// itself, which refuses requests of every rank, is rarely reached.
const DESIRED_FILL: f64 = 0.7;
/// Rate at which the level follows the deviation from `DESIRED_FILL`, per adjustment.
const LEVEL_RATE: f64 = 0.3;
/// Maximum change of the level per adjustment.
const LEVEL_STEP_MAX: f64 = 0.1;

/// The bound on requests in flight that reach one service.
#[derive(Clone, Debug)]
pub struct Window {
    /// Decaying sums of the requests in flight and of the utilisation at the same moments.
    in_flight_sum: f64,
    utilisation_sum: f64,
    /// Factor on the bound, which corrects it by the measured utilisation.
    correction: f64,
    /// The utilisation at the last adjustment.
    utilisation: f64,
    /// The level at which every rank is admitted.
    top: f64,
    /// The fair share of this entry node, in requests in flight.
    fair_share: f64,
    /// Ranks below the level are admitted; the rank that the level falls in is admitted with the
    /// probability of the level's fraction. Unknown before the first adjustment.
    level: Option<f64>,
    /// Whether a request was refused since the last adjustment.
    has_shed: Cell<bool>,
    /// The root routes of the requests that reach the service.
    roots: HashSet<String>,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            in_flight_sum: 0.0,
            utilisation_sum: 0.0,
            correction: 1.0,
            utilisation: 0.0,
            top: 1.0,
            fair_share: f64::INFINITY,
            level: None,
            has_shed: Cell::default(),
            roots: HashSet::new(),
        }
    }
}

impl Window {
    /// Applies the utilisation of the service, and the requests in flight at that moment.
    ///
    /// `top` is the level at which every rank is admitted; `fair_share` is the fair share of this
    /// entry node in requests in flight, which is used while there are too few samples.
    pub fn adjust(&mut self, utilisation: f64, in_flight: f64, top: f64, fair_share: f64) {
        self.utilisation = utilisation;
        self.top = top;
        self.fair_share = fair_share;
        let fill = in_flight / self.bound(0).max(1.0);
        let change = (DESIRED_FILL - fill) * LEVEL_RATE;
        let level = self.level.unwrap_or(top) + change.clamp(-LEVEL_STEP_MAX, LEVEL_STEP_MAX);
        self.level = Some(level.clamp(0.0, top));
        if utilisation <= LEARN_UTILISATION_MAX {
            self.in_flight_sum = self.in_flight_sum * DECAY + in_flight;
            self.utilisation_sum = self.utilisation_sum * DECAY + utilisation;
        }
        if self.has_shed.replace(false) || utilisation > DESIRED_UTILISATION {
            let change = (DESIRED_UTILISATION - utilisation).clamp(-1.0, 0.5) * CORRECTION_RATE;
            self.correction *= 1.0 + change;
        } else {
            // The correction learned in a burst does not apply once it is over.
            self.correction += (1.0 - self.correction) * (1.0 - DECAY);
        }
        self.correction = self.correction.clamp(CORRECTION_RANGE.0, CORRECTION_RANGE.1);
    }

    /// Sets the root routes of the requests that reach the service.
    pub fn set_roots<'a>(&mut self, roots: impl Iterator<Item = &'a String>) {
        self.roots.clear();
        self.roots.extend(roots.cloned());
    }

    /// The root routes of the requests that reach the service.
    pub fn roots(&self) -> impl Iterator<Item = &String> {
        self.roots.iter()
    }

    /// Whether requests of `route` reach the service.
    pub fn is_reached_by(&self, route: &str) -> bool {
        self.roots.contains(route)
    }

    /// Records that a request was refused.
    pub fn record_refusal(&self) {
        self.has_shed.set(true);
    }

    /// Number of requests in flight up to which requests of `rank` are admitted.
    pub fn bound(&self, rank: u8) -> f64 {
        // The correction applies to the fair share too: after a restart of all nodes under load,
        // there are no samples while queues grow, and an uncorrected fair share would keep the
        // queues full.
        let estimate = self.in_flight_sum / self.utilisation_sum.max(0.1) * DESIRED_UTILISATION;
        let size = if self.utilisation_sum < UTILISATION_SUM_MIN {
            estimate.max(self.fair_share)
        } else {
            estimate
        };
        let size = size * self.correction;
        let steps = (self.top - 1.0).max(1.0);
        let unreserved = 1.0 - RESERVE_PER_RANK.min(RESERVE_MAX / steps) * f64::from(rank);
        (size + DEVIATIONS * size.sqrt()) * unreserved + self.spare()
    }

    /// Number of requests in flight up to which requests that are entitled to capacity are admitted.
    /// They get the whole of `SPARE_REQUESTS` up to the desired utilisation: without it, 7% of them
    /// were refused at entry nodes with few requests in flight. Above it these fade, as the spare
    /// requests of all entry nodes together may exceed the slots: 85 x 4 = 340 on 210 slots.
    pub fn protected_bound(&self) -> f64 {
        let range = SPARE_UTILISATION_MAX - DESIRED_UTILISATION;
        let headroom = (SPARE_UTILISATION_MAX - self.utilisation) / range;
        self.bound(0) - self.spare() + SPARE_REQUESTS * headroom.clamp(0.0, 1.0)
    }

    /// Additional requests that may be in flight while the service has capacity. An entry node with
    /// little traffic often has several in flight by chance.
    fn spare(&self) -> f64 {
        let headroom =
            (DESIRED_UTILISATION - self.utilisation) / (DESIRED_UTILISATION - UTILISATION_LOW);
        SPARE_REQUESTS * headroom.clamp(0.0, 1.0)
    }

    /// The probability that a request of `rank` is admitted with `in_flight` requests in flight.
    pub fn admission_probability(&self, in_flight: f64, rank: u8) -> f64 {
        let by_level = self.level.map_or(1.0, |level| level - f64::from(rank));
        by_level.min(self.bound(rank) - in_flight).clamp(0.0, 1.0)
    }

    /// The probability that a request is admitted whatever its rank, with `in_flight` requests of
    /// its route in flight.
    pub fn admission_probability_by_reserve(&self, in_flight: f64) -> f64 {
        (self.bound(0) * RESERVED_SHARE - in_flight).clamp(0.0, 1.0)
    }
}
