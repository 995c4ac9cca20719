//! Outlier ejection: which targets get only probes until they have recovered.

use super::cost::Baseline;
use super::record::ArmRecord;
use crate::clock::US_PER_MS;

/// A target is a straggler if its latency is this many times the baseline, and exceeds it by at
/// least `STRAGGLER_EXCESS_US`.
const STRAGGLER_RATIO: f32 = 3.0;
/// The minimum by which the latency of a straggler exceeds the baseline, in microseconds.
const STRAGGLER_EXCESS_US: f32 = 2_000.0;
/// An error rate this far above the lowest one ejects a target. The smoothed rates of targets that
/// all fail half of their calls differ by less.
const ERROR_EXCESS: f32 = 0.5;
/// The number of answers needed to judge a latency.
const LATENCY_SAMPLES_MIN: u8 = 2;
/// Missing answers eject a target only while at least this many attempts are outstanding; a single
/// one may just take long.
const UNANSWERED_ATTEMPTS_MIN: u32 = 3;
/// A probe is good if it is answered within this many times the baseline latency, or within
/// `STRAGGLER_EXCESS_US` more than it.
const GOOD_PROBE_RATIO: f32 = 2.0;
/// The consecutive good probes that readmit a target.
const GOOD_PROBES: u8 = 3;
/// The initial interval between two probes.
const PROBE_INTERVAL_MIN_US: u64 = 100 * US_PER_MS;
/// The longest interval between two probes, reached after several bad ones.
const PROBE_INTERVAL_MAX_US: u64 = 1_000 * US_PER_MS;

/// The state of an ejected target, which gets only probes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ejection {
    /// When the next probe may be sent.
    pub next_probe_us: u64,
    /// The interval from the next probe to the one after it.
    interval_us: u64,
    /// Consecutive good probes.
    good_probes: u8,
}

impl Ejection {
    /// Starts an ejection.
    pub fn start(now_us: u64) -> Self {
        Self {
            next_probe_us: now_us + PROBE_INTERVAL_MIN_US,
            interval_us: PROBE_INTERVAL_MIN_US,
            good_probes: 0,
        }
    }

    /// Records that a probe is sent. The interval to the next one doubles unless this one turns out
    /// good.
    pub fn record_probe(&mut self, now_us: u64) {
        self.interval_us = (self.interval_us * 2).min(PROBE_INTERVAL_MAX_US);
        self.next_probe_us = now_us + self.interval_us;
    }

    /// Records a good probe, and returns whether the target is to be readmitted.
    fn record_good_probe(&mut self, now_us: u64) -> bool {
        self.good_probes += 1;
        self.interval_us = PROBE_INTERVAL_MIN_US;
        self.next_probe_us = self.next_probe_us.min(now_us + PROBE_INTERVAL_MIN_US);
        self.good_probes >= GOOD_PROBES
    }
}

/// Records the result of an attempt at an ejected target, and readmits the target after enough good
/// ones. `healthy_latency_us` is the latency of a healthy answer, or `None` if there was none.
pub(super) fn settle_probe(
    record: &mut ArmRecord,
    now_us: u64,
    baseline: Baseline,
    healthy_latency_us: Option<u64>,
) {
    let Some(ejection) = &mut record.ejection else {
        return;
    };
    let good =
        healthy_latency_us.filter(|latency_us| is_close_to_baseline(*latency_us as f32, baseline));
    let Some(latency_us) = good else {
        ejection.good_probes = 0;
        return;
    };
    if !ejection.record_good_probe(now_us) {
        return;
    }
    readmit(record, now_us);
    record.latency_us = baseline.latency_us.min(latency_us as f32);
}

/// Readmits a target, with its error rate reset.
pub(super) fn readmit(record: &mut ArmRecord, now_us: u64) {
    record.ejection = None;
    record.readmitted_us = Some(now_us);
    record.error_rate = 0.0;
}

/// Whether a latency is close enough to the baseline for a good probe.
pub(super) fn is_close_to_baseline(latency_us: f32, baseline: Baseline) -> bool {
    let limit_us =
        (baseline.latency_us * GOOD_PROBE_RATIO).max(baseline.latency_us + STRAGGLER_EXCESS_US);
    baseline.latency_us <= 0.0 || latency_us <= limit_us
}

/// The error rate or latency of a target as a multiple of the threshold for ejection, whichever is
/// higher; above 1 the target may be ejected.
pub(super) fn ejection_score(record: &ArmRecord, now_us: u64, baseline: Baseline) -> f32 {
    let error_score = (record.error_rate - baseline.error_rate) / ERROR_EXCESS;
    error_score.max(latency_score(record, now_us, baseline))
}

/// The latency as a multiple of the threshold for a straggler; 0 while it cannot be judged.
fn latency_score(record: &ArmRecord, now_us: u64, baseline: Baseline) -> f32 {
    if baseline.latency_us <= 0.0 {
        return 0.0;
    }
    let limit_us =
        (baseline.latency_us * STRAGGLER_RATIO).max(baseline.latency_us + STRAGGLER_EXCESS_US);
    if record.outstanding >= UNANSWERED_ATTEMPTS_MIN {
        return record.apparent_latency_us(now_us) / limit_us;
    }
    if record.samples >= LATENCY_SAMPLES_MIN { record.latency_us / limit_us } else { 0.0 }
}

/// The baseline of `records`: the lower median of the latencies, so that of two targets the better
/// one is the reference, and the lowest error rate, so that one healthy target among many failing
/// ones is recognised.
pub(super) fn baseline<'a>(records: impl Iterator<Item = &'a ArmRecord>) -> Baseline {
    let mut latencies_us = Vec::new();
    let mut error_rate = f32::MAX;
    for record in records {
        error_rate = error_rate.min(record.error_rate);
        if record.samples > 0 {
            latencies_us.push(record.latency_us);
        }
    }
    Baseline {
        latency_us: lower_median(&mut latencies_us),
        error_rate: if error_rate < f32::MAX { error_rate } else { 0.0 },
    }
}

/// The lower median of `values`, or 0 if there is none.
fn lower_median(values: &mut [f32]) -> f32 {
    if values.is_empty() {
        return 0.0;
    }
    let middle = (values.len() - 1) / 2;
    *values.select_nth_unstable_by(middle, f32::total_cmp).1
}
