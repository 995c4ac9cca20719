//! Statistics of one target in one arm.

use super::floor::FloorReports;
use super::health::Ejection;
use crate::call::LoadReport;
use crate::clock::US_PER_MS;

/// The weight of one answer in the smoothed latency.
const LATENCY_WEIGHT: f32 = 0.2;
/// The weight of one outcome in the smoothed error rate.
const ERROR_WEIGHT: f32 = 0.125;
/// The weight of one report in the smoothed load of other senders. A single report is outdated by
/// the next pick, and senders that all followed the latest one would all pick the same target.
const REPORT_WEIGHT: f32 = 0.2;
/// The time over which a reported load decays to nothing.
const REPORT_DECAY_US: u64 = 1_000 * US_PER_MS;

/// The time over which the latency and error rate of an unused target lose their weight. Without
/// this, a target that once looked slightly worse than the others would never be tried again at low
/// load.
const RECORD_DECAY_US: u64 = 3_000 * US_PER_MS;

/// The statistics of one target in one arm.
#[derive(Clone, Debug, Default)]
pub(super) struct ArmRecord {
    /// Attempts sent and not yet settled.
    pub outstanding: u32,
    /// When an attempt was last settled, or sent while no other was outstanding.
    pub progress_us: u64,
    /// The smoothed time from sending to a healthy answer, in microseconds.
    pub latency_us: f32,
    /// The number of answers in the latency, saturating.
    pub samples: u8,
    /// The smoothed error rate of attempts, from 0 to 1.
    pub error_rate: f32,
    /// Calls of other senders that the target is running or has queued, smoothed over its reports.
    pub other_calls: f32,
    /// The limit of the last report.
    pub limit: u32,
    /// When the last report arrived.
    pub reported_us: u64,
    /// The floors of the last reports.
    pub floors: FloorReports,
    /// Set while the target is ejected and gets only probes.
    pub ejection: Option<Ejection>,
    /// When the target was last readmitted.
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

    /// Records a reported load.
    pub fn report(&mut self, now_us: u64, load: &LoadReport) {
        let total = load.running.saturating_add(load.queued);
        let other_calls = total.saturating_sub(self.outstanding) as f32;
        self.other_calls += REPORT_WEIGHT * (other_calls - self.other_calls);
        self.limit = load.limit;
        self.reported_us = now_us;
    }

    /// Records the latency of a healthy answer.
    pub fn add_latency(&mut self, latency_us: u64) {
        let sample_us = latency_us as f32;
        if self.samples == 0 {
            self.latency_us = sample_us;
        } else {
            self.latency_us += LATENCY_WEIGHT * (sample_us - self.latency_us);
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Records a latency that is only known to be at least this long.
    pub fn add_latency_at_least(&mut self, latency_us: u64) {
        if latency_us as f32 > self.latency_us {
            self.add_latency(latency_us);
        }
    }

    /// Records an outcome in the error rate, from 0 for success to 1 for failure.
    pub fn add_outcome(&mut self, failure: f32) {
        self.error_rate += ERROR_WEIGHT * (failure - self.error_rate);
    }

    /// The smoothed latency, or the time without progress on outstanding attempts if that is
    /// longer.
    pub fn apparent_latency_us(&self, now_us: u64) -> f32 {
        if self.outstanding == 0 {
            return self.latency_us;
        }
        let unanswered_us = now_us.saturating_sub(self.progress_us) as f32;
        self.latency_us.max(unanswered_us)
    }

    /// The weight of the latency and the error rate: 1 while attempts are outstanding, then falling
    /// to 0.
    pub fn weight(&self, now_us: u64) -> f64 {
        if self.outstanding > 0 {
            return 1.0;
        }
        let age_us = now_us.saturating_sub(self.progress_us).min(RECORD_DECAY_US);
        1.0 - age_us as f64 / RECORD_DECAY_US as f64
    }

    /// The estimated number of calls at the target.
    pub fn load(&self, now_us: u64) -> f64 {
        f64::from(self.outstanding) + f64::from(self.other_calls) * self.report_weight(now_us)
    }

    /// How many calls of the arm the target can run at the same time, given the arm's share of the
    /// slots.
    pub fn capacity(&self, now_us: u64, arm_slots: f64) -> f64 {
        let reported = self.limit > 0 && self.report_weight(now_us) > 0.0;
        let capacity = if reported { arm_slots.min(f64::from(self.limit)) } else { arm_slots };
        capacity.max(1.0)
    }

    /// The weight of the last report, falling from 1 to 0.
    fn report_weight(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.reported_us).min(REPORT_DECAY_US);
        1.0 - age_us as f64 / REPORT_DECAY_US as f64
    }
}
