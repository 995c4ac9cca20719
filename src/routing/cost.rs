//! What it would cost to send the next attempt to a target; the cheaper of the sampled ones wins.

use super::record::ArmRecord;
use super::target::Target;
use crate::clock::US_PER_MS;

/// What the own failure domain is worth while its targets are idle, as utilisation.
const NEAR_BONUS: f64 = 0.5;
/// The utilisation of a near target from which its nearness is worth nothing.
const NEAR_BONUS_ENDS: f64 = 0.8;
/// How much a target that always fails is made to look worse, beside being ejected. It answers fast
/// and so looks idle; a well one is preferred until most of its slots are taken.
const ERROR_FACTOR: f64 = 30.0;
/// A target that is worse than usual by no more than this factor is taken to be well.
const ILLNESS_TOLERANCE: f64 = 1.5;
/// How many times worse than usual a target is that is called ill.
const ILL_DEGRADATION: f64 = 2.0;
/// By what part of its cost a target must be undercut to lose its turn.
const CLEAR_MARGIN: f64 = 0.15;
/// The share a target gets at the very beginning of its warm-up.
const WARM_UP_START: f64 = 0.1;
/// The share a target gets at first when it is let in again.
const RAMP_START: f64 = 0.25;
/// How long a target that was let in again gets less than its share.
const RAMP_US: u64 = 1_000 * US_PER_MS;

/// What targets of one service usually show in one arm.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usual {
    /// The median of the smoothed latencies, in microseconds; 0 where there is none.
    pub latency_us: f32,
    /// The least of the smoothed shares of errors.
    pub errors: f32,
}

/// What is the same for all targets that one attempt may go to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Terms {
    /// The present time.
    pub now_us: u64,
    /// The place of the arm.
    pub arm: usize,
    /// The arm's share of the slots.
    pub arm_share: f64,
    /// How long targets of the service warm up.
    pub warm_up_us: u64,
    /// What targets of the service usually show.
    pub usual: Usual,
}

/// The cost of one target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cost {
    /// The cost without regard to failure domains.
    pub total: f64,
    /// Calls at the target as a share of what it can run.
    pub utilisation: f64,
    /// How much worse than usual the target is, 1 when it is not.
    pub degradation: f64,
    /// Whether it stands in the own failure domain.
    near: bool,
}

impl Cost {
    /// The cost of sending the next attempt to `target`.
    ///
    /// A target that is faster than usual gains nothing by it: one that fails fast would look best.
    pub fn of(target: &Target, terms: &Terms) -> Self {
        let unknown = ArmRecord::default();
        let record = target.record(terms.arm).unwrap_or(&unknown);
        let arm_slots = f64::from(target.slots) * terms.arm_share;
        let capacity = record.capacity(terms.now_us, arm_slots);
        let utilisation = record.load(terms.now_us) / capacity;
        let degradation =
            illness(record, terms) / (warmth(target, terms) * ramp(record, terms.now_us));
        let total = (utilisation + 1.0 / capacity) * degradation;
        Self { total, utilisation, degradation, near: target.near }
    }

    /// The cost of a target that is not there.
    pub fn never() -> Self {
        Self { total: f64::INFINITY, utilisation: 0.0, degradation: f64::INFINITY, near: false }
    }

    /// Whether a target of this cost is to be preferred to one of the cost `other`.
    pub fn beats(&self, other: &Cost) -> bool {
        self.total - self.near_bonus() < other.total - other.near_bonus()
    }

    /// Whether a target of this cost is better by more than the reports can be trusted.
    pub fn clearly_beats(&self, other: &Cost) -> bool {
        let margin = CLEAR_MARGIN * other.total;
        self.total - self.near_bonus() < other.total - other.near_bonus() - margin
    }

    /// Whether the target has been so much worse than usual that its turn means little.
    pub fn is_ill(&self) -> bool {
        self.degradation >= ILL_DEGRADATION
    }

    /// What nearness is worth: less the busier the target is, and nothing for one that is ill.
    fn near_bonus(&self) -> f64 {
        if !self.near {
            return 0.0;
        }
        let idle = (1.0 - self.utilisation / NEAR_BONUS_ENDS).max(0.0);
        let well = (2.0 - self.degradation).clamp(0.0, 1.0);
        NEAR_BONUS * idle * well
    }
}

/// How much worse than usual the target has been, at least 1.
///
/// Small differences are noise, and count nothing: between idle targets they would decide every
/// time, and the one that looked a little worse would get no call that could show otherwise.
fn illness(record: &ArmRecord, terms: &Terms) -> f64 {
    let seen = slowness(record, terms) * unreliability(record, terms) / ILLNESS_TOLERANCE;
    1.0 + (seen - 1.0).max(0.0) * record.memory(terms.now_us)
}

/// The latency as a multiple of the usual one, at least 1.
fn slowness(record: &ArmRecord, terms: &Terms) -> f64 {
    let usual_us = terms.usual.latency_us;
    if usual_us <= 0.0 {
        return 1.0;
    }
    f64::from(record.apparent_latency_us(terms.now_us) / usual_us).max(1.0)
}

/// A factor that grows with the square of errors beyond the usual share, at least 1: single errors
/// hardly count.
fn unreliability(record: &ArmRecord, terms: &Terms) -> f64 {
    let excess = f64::from(record.errors - terms.usual.errors).max(0.0);
    1.0 + ERROR_FACTOR * excess * excess
}

/// The share of its work that a new target may get, from just above 0 to 1.
fn warmth(target: &Target, terms: &Terms) -> f64 {
    let age_us = terms.now_us.saturating_sub(target.first_seen_us);
    rise(age_us, terms.warm_up_us, WARM_UP_START)
}

/// The share of its work that a target may get after it was let in again.
fn ramp(record: &ArmRecord, now_us: u64) -> f64 {
    let Some(readmitted_us) = record.readmitted_us else {
        return 1.0;
    };
    rise(now_us.saturating_sub(readmitted_us), RAMP_US, RAMP_START)
}

/// A straight line from `start` at age 0 to 1 at age `span_us`.
fn rise(age_us: u64, span_us: u64, start: f64) -> f64 {
    if age_us >= span_us {
        return 1.0;
    }
    start + (1.0 - start) * age_us as f64 / span_us as f64
}
