//! The cost of sending the next attempt to a target. The cheapest of the sampled targets is picked.

use super::record::ArmRecord;
use super::target::Target;
use crate::clock::US_PER_MS;

/// The cost reduction for an idle target in this node's failure domain, in units of utilisation.
const NEAR_BONUS: f64 = 0.5;
/// The utilisation at which the reduction for a near target reaches zero.
const NEAR_BONUS_UTILISATION_MAX: f64 = 0.8;
/// The penalty for a target that always fails, in addition to ejection. Such a target answers fast
/// and so looks idle; a healthy one is preferred until most of its slots are in use.
const ERROR_PENALTY: f64 = 30.0;
/// A target that is worse than the baseline by no more than this factor gets no extra cost.
const DEGRADATION_TOLERANCE: f64 = 1.5;
/// A target counts as degraded from this degradation on.
const DEGRADED_MIN: f64 = 2.0;
/// A target replaces the one whose turn it is if it is cheaper by more than this share of that
/// one's cost.
const COST_MARGIN: f64 = 0.15;
/// The fraction of its share that a target gets at the start of its warm-up.
const WARM_UP_START_SHARE: f64 = 0.1;
/// The fraction of its share that a readmitted target gets at first.
const READMITTED_START_SHARE: f64 = 0.25;
/// How long a readmitted target gets less than its share.
const READMITTED_RAMP_US: u64 = 1_000 * US_PER_MS;

/// The baseline of one service in one arm, against which its targets are compared.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Baseline {
    /// The lower median of the smoothed latencies, in microseconds; 0 if there is none.
    pub latency_us: f32,
    /// The lowest of the smoothed error rates.
    pub error_rate: f32,
}

/// The inputs to the cost that are the same for all targets of one attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct CostInput {
    /// The current time.
    pub now_us: u64,
    /// The index of the arm.
    pub arm: usize,
    /// The arm's share of the slots.
    pub arm_share: f64,
    /// How long targets of the service warm up.
    pub warm_up_us: u64,
    /// The baseline of the service.
    pub baseline: Baseline,
}

/// The cost of one target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cost {
    /// The cost, regardless of failure domains.
    pub total: f64,
    /// Calls at the target as a share of its capacity.
    pub utilisation: f64,
    /// How many times worse than the baseline the target is, at least 1.
    pub degradation: f64,
    /// Whether it is in this node's failure domain.
    near: bool,
}

impl Cost {
    /// The cost of sending the next attempt to `target`.
    ///
    /// A target that is faster than the baseline gets no advantage from it: otherwise one that
    /// fails fast would be the cheapest.
    pub fn of(target: &Target, input: &CostInput) -> Self {
        let unknown = ArmRecord::default();
        let record = target.record(input.arm).unwrap_or(&unknown);
        let arm_slots = f64::from(target.slots) * input.arm_share;
        let capacity = record.capacity(input.now_us, arm_slots);
        let utilisation = record.load(input.now_us) / capacity;
        let degradation = degradation_of(record, input)
            / (warm_up_fraction(target, input) * readmission_fraction(record, input.now_us));
        let total = (utilisation + 1.0 / capacity) * degradation;
        Self { total, utilisation, degradation, near: target.near }
    }

    /// The cost of a missing target.
    pub fn unavailable() -> Self {
        Self { total: f64::INFINITY, utilisation: 0.0, degradation: f64::INFINITY, near: false }
    }

    /// Whether a target of this cost is preferred to one of cost `other`.
    pub fn is_below(&self, other: &Cost) -> bool {
        self.total - self.near_bonus() < other.total - other.near_bonus()
    }

    /// Whether a target of this cost is preferred to one of cost `other` by more than the
    /// inaccuracy of the load reports.
    pub fn is_clearly_below(&self, other: &Cost) -> bool {
        let margin = COST_MARGIN * other.total;
        self.total - self.near_bonus() < other.total - other.near_bonus() - margin
    }

    /// Whether the target is so much worse than the baseline that it is not used just because it is
    /// its turn.
    pub fn is_degraded(&self) -> bool {
        self.degradation >= DEGRADED_MIN
    }

    /// The cost reduction for a near target: it falls with the utilisation, and a degraded target
    /// gets none.
    fn near_bonus(&self) -> f64 {
        if !self.near {
            return 0.0;
        }
        let idle = (1.0 - self.utilisation / NEAR_BONUS_UTILISATION_MAX).max(0.0);
        let health = (2.0 - self.degradation).clamp(0.0, 1.0);
        NEAR_BONUS * idle * health
    }
}

/// How many times worse than the baseline the target has been, at least 1.
///
/// Small differences are noise and are ignored. Otherwise they would decide every pick between idle
/// targets, and the target that looked slightly worse would get no calls that could correct this.
fn degradation_of(record: &ArmRecord, input: &CostInput) -> f64 {
    let measured =
        latency_factor(record, input) * error_factor(record, input) / DEGRADATION_TOLERANCE;
    1.0 + (measured - 1.0).max(0.0) * record.weight(input.now_us)
}

/// The latency as a multiple of the baseline, at least 1.
fn latency_factor(record: &ArmRecord, input: &CostInput) -> f64 {
    let baseline_us = input.baseline.latency_us;
    if baseline_us <= 0.0 {
        return 1.0;
    }
    f64::from(record.apparent_latency_us(input.now_us) / baseline_us).max(1.0)
}

/// A factor that grows with the square of the error rate above the baseline, at least 1: single
/// errors hardly count.
fn error_factor(record: &ArmRecord, input: &CostInput) -> f64 {
    let excess = f64::from(record.error_rate - input.baseline.error_rate).max(0.0);
    1.0 + ERROR_PENALTY * excess * excess
}

/// The fraction of its share that a new target may get.
fn warm_up_fraction(target: &Target, input: &CostInput) -> f64 {
    let age_us = input.now_us.saturating_sub(target.first_seen_us);
    linear_ramp(age_us, input.warm_up_us, WARM_UP_START_SHARE)
}

/// The fraction of its share that a readmitted target may get.
fn readmission_fraction(record: &ArmRecord, now_us: u64) -> f64 {
    let Some(readmitted_us) = record.readmitted_us else {
        return 1.0;
    };
    linear_ramp(now_us.saturating_sub(readmitted_us), READMITTED_RAMP_US, READMITTED_START_SHARE)
}

/// A linear ramp from `start` at age 0 to 1 at age `span_us`.
fn linear_ramp(age_us: u64, span_us: u64, start: f64) -> f64 {
    if age_us >= span_us {
        return 1.0;
    }
    start + (1.0 - start) * age_us as f64 / span_us as f64
}
