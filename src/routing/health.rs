//! Which targets get nothing but probes for a while.

use super::cost::Usual;
use super::record::ArmRecord;
use crate::clock::US_PER_MS;

/// A latency this many times the usual one makes a target a straggler.
const STRAGGLER_RATIO: f32 = 3.0;
/// Differences of latency below this never make a straggler, in microseconds.
const STRAGGLER_EXCESS_US: f32 = 2_000.0;
/// A share of errors this far above the least one is too much. Smoothed shares of targets that all
/// fail half of their calls differ by less.
const ERROR_EXCESS: f32 = 0.5;
/// Fewer answers than this do not judge a latency.
const SAMPLES_MIN: u8 = 2;
/// Silence of a target ejects it only while at least so many attempts wait for it; a single one may
/// just be a long one.
const SILENT_ATTEMPTS_MIN: u32 = 3;
/// A probe answered within this many times the usual latency is a good one.
const GOOD_PROBE_RATIO: f32 = 2.0;
/// Good probes in a row that let a target in again.
const GOOD_PROBES: u8 = 3;
/// The time between two probes at first.
const PROBE_MIN_US: u64 = 100 * US_PER_MS;
/// The time between two probes after many bad ones.
const PROBE_MAX_US: u64 = 1_000 * US_PER_MS;

/// The state of a target that gets only probes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ejection {
    /// When the next probe may go.
    pub probe_us: u64,
    /// The time from that probe to the one after it.
    interval_us: u64,
    /// Good probes in a row.
    good: u8,
}

impl Ejection {
    /// Begins now.
    pub fn start(now_us: u64) -> Self {
        Self { probe_us: now_us + PROBE_MIN_US, interval_us: PROBE_MIN_US, good: 0 }
    }

    /// Counts a probe that is sent. The next one is further off unless this one turns out good.
    pub fn probed(&mut self, now_us: u64) {
        self.interval_us = (self.interval_us * 2).min(PROBE_MAX_US);
        self.probe_us = now_us + self.interval_us;
    }

    /// Counts a good answer; true when the target has earned its way back.
    fn add_good(&mut self, now_us: u64) -> bool {
        self.good += 1;
        self.interval_us = PROBE_MIN_US;
        self.probe_us = self.probe_us.min(now_us + PROBE_MIN_US);
        self.good >= GOOD_PROBES
    }
}

/// Takes in an attempt to an ejected target that was settled, and lets the target in again when
/// enough of them went well.
pub(super) fn settle_probe(
    record: &mut ArmRecord,
    now_us: u64,
    usual: Usual,
    healthy_latency_us: Option<u64>,
) {
    let Some(ejection) = &mut record.ejection else {
        return;
    };
    let good = healthy_latency_us.filter(|latency_us| is_usual(*latency_us as f32, usual));
    let Some(latency_us) = good else {
        ejection.good = 0;
        return;
    };
    if !ejection.add_good(now_us) {
        return;
    }
    readmit(record, now_us);
    record.latency_us = usual.latency_us.min(latency_us as f32);
}

/// Lets a target in again with a clean record.
pub(super) fn readmit(record: &mut ArmRecord, now_us: u64) {
    record.ejection = None;
    record.readmitted_us = Some(now_us);
    record.errors = 0.0;
}

/// Whether a latency is near enough to the usual one.
pub(super) fn is_usual(latency_us: f32, usual: Usual) -> bool {
    let limit_us =
        (usual.latency_us * GOOD_PROBE_RATIO).max(usual.latency_us + STRAGGLER_EXCESS_US);
    usual.latency_us <= 0.0 || latency_us <= limit_us
}

/// How far a target is over the line beyond which it is ejected; 1 or less when it is not.
pub(super) fn badness(record: &ArmRecord, now_us: u64, usual: Usual) -> f32 {
    let errors = (record.errors - usual.errors) / ERROR_EXCESS;
    errors.max(lateness(record, now_us, usual))
}

/// The latency as a multiple of the one that makes a straggler.
fn lateness(record: &ArmRecord, now_us: u64, usual: Usual) -> f32 {
    if usual.latency_us <= 0.0 {
        return 0.0;
    }
    let limit_us = (usual.latency_us * STRAGGLER_RATIO).max(usual.latency_us + STRAGGLER_EXCESS_US);
    if record.outstanding >= SILENT_ATTEMPTS_MIN {
        return record.apparent_latency_us(now_us) / limit_us;
    }
    if record.samples >= SAMPLES_MIN { record.latency_us / limit_us } else { 0.0 }
}

/// What is usual among `records`: the lower median of latencies, so that with two targets the better
/// one is the measure, and the least errors, so that one good target among many bad ones is found.
pub(super) fn usual<'a>(records: impl Iterator<Item = &'a ArmRecord>) -> Usual {
    let mut latencies_us = Vec::new();
    let mut errors = f32::MAX;
    for record in records {
        errors = errors.min(record.errors);
        if record.samples > 0 {
            latencies_us.push(record.latency_us);
        }
    }
    Usual {
        latency_us: lower_median(&mut latencies_us),
        errors: if errors < f32::MAX { errors } else { 0.0 },
    }
}

/// The lower median of `values`, or 0 where there is none.
fn lower_median(values: &mut [f32]) -> f32 {
    if values.is_empty() {
        return 0.0;
    }
    let middle = (values.len() - 1) / 2;
    *values.select_nth_unstable_by(middle, f32::total_cmp).1
}
