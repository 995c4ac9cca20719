//! What one arm's calls have shown about one target.

use super::floor::FloorMemory;
use super::health::Ejection;
use crate::call::LoadReport;
use crate::clock::US_PER_MS;

/// The weight of one answer in the smoothed latency.
const LATENCY_WEIGHT: f32 = 0.2;
/// The weight of one outcome in the smoothed share of errors.
const ERROR_WEIGHT: f32 = 0.125;
/// The weight of one report in the smoothed load of other senders. A single report is old by the
/// time of the next pick, and senders that all follow the latest one all go to the same target.
const REPORT_WEIGHT: f32 = 0.2;
/// After this time a reported load no longer counts.
const REPORT_FADE_US: u64 = 1_000 * US_PER_MS;

/// The time without news in which a bad record is forgiven. Without it a target that looked a
/// little worse than the others once would never be tried again while there is little to do.
const FORGIVE_US: u64 = 3_000 * US_PER_MS;

/// The state of one target in one arm.
#[derive(Clone, Debug, Default)]
pub(super) struct ArmRecord {
    /// Attempts sent and not yet settled.
    pub outstanding: u32,
    /// When the last attempt was settled, or the first of the outstanding ones was sent.
    pub progress_us: u64,
    /// The smoothed time from sending to a healthy answer, in microseconds.
    pub latency_us: f32,
    /// How many answers the latency is made of, up to a small number.
    pub samples: u8,
    /// The smoothed share of attempts that failed, from 0 to 1.
    pub errors: f32,
    /// Calls of other senders that the target runs or queues, smoothed over its reports.
    pub others: f32,
    /// The limit of the last report.
    pub limit: u32,
    /// When the last report came.
    pub reported_us: u64,
    /// The floors of the last reports.
    pub floors: FloorMemory,
    /// Set while the target gets only probes.
    pub ejection: Option<Ejection>,
    /// When the target was last let in again.
    pub readmitted_us: Option<u64>,
}

impl ArmRecord {
    /// Counts an attempt that was sent.
    pub fn sent(&mut self, now_us: u64) {
        if self.outstanding == 0 {
            self.progress_us = now_us;
        }
        self.outstanding += 1;
    }

    /// Counts an attempt that was settled.
    pub fn settled(&mut self, now_us: u64) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.progress_us = now_us;
    }

    /// Takes in the load of a report.
    pub fn report(&mut self, now_us: u64, load: &LoadReport) {
        let total = load.running.saturating_add(load.queued);
        let others = total.saturating_sub(self.outstanding) as f32;
        self.others += REPORT_WEIGHT * (others - self.others);
        self.limit = load.limit;
        self.reported_us = now_us;
    }

    /// Takes in the latency of a healthy answer.
    pub fn add_latency(&mut self, latency_us: u64) {
        let sample_us = latency_us as f32;
        if self.samples == 0 {
            self.latency_us = sample_us;
        } else {
            self.latency_us += LATENCY_WEIGHT * (sample_us - self.latency_us);
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Takes in a latency that is only known to be at least this long.
    pub fn add_latency_at_least(&mut self, latency_us: u64) {
        if latency_us as f32 > self.latency_us {
            self.add_latency(latency_us);
        }
    }

    /// Takes in an outcome, from 0 for a good one to 1 for a failure.
    pub fn add_error(&mut self, failure: f32) {
        self.errors += ERROR_WEIGHT * (failure - self.errors);
    }

    /// The smoothed latency, or the age of the oldest unanswered attempt where that is longer.
    pub fn apparent_latency_us(&self, now_us: u64) -> f32 {
        if self.outstanding == 0 {
            return self.latency_us;
        }
        let silent_us = now_us.saturating_sub(self.progress_us) as f32;
        self.latency_us.max(silent_us)
    }

    /// How much the latency and the errors still count, from 1 while there is news to 0.
    pub fn memory(&self, now_us: u64) -> f64 {
        if self.outstanding > 0 {
            return 1.0;
        }
        let age_us = now_us.saturating_sub(self.progress_us).min(FORGIVE_US);
        1.0 - age_us as f64 / FORGIVE_US as f64
    }

    /// Calls at the target now, as far as this sender can tell.
    pub fn load(&self, now_us: u64) -> f64 {
        f64::from(self.outstanding) + f64::from(self.others) * self.freshness(now_us)
    }

    /// How many calls of the arm the target runs at once, given its share of the slots.
    pub fn capacity(&self, now_us: u64, arm_slots: f64) -> f64 {
        let reported = self.limit > 0 && self.freshness(now_us) > 0.0;
        let capacity = if reported { arm_slots.min(f64::from(self.limit)) } else { arm_slots };
        capacity.max(1.0)
    }

    /// How much the last report still counts, from 1 to 0.
    fn freshness(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.reported_us).min(REPORT_FADE_US);
        1.0 - age_us as f64 / REPORT_FADE_US as f64
    }
}
