//! The condition of a target: how slow its machine is now, how long its runs take, and which share
//! of the offers it rejects.
//!
//! Slowness and run time are known only for targets that send the extended load report, which has a
//! fourth figure. The rejected share is tracked for every target.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use thiserror::Error;
use tokio::time::Instant;

use crate::framing::parse_decimal;

use super::frame::Condition;

/// The slowness of a machine on which work takes the usual time, in percent.
pub const USUAL_SLOWNESS_PERCENT: u16 = 100;
/// The range of the slowness; figures outside are clamped.
const SLOWNESS_RANGE_PERCENT: (u16, u16) = (10, 2_000);
/// Time after which a slowness without a new report counts as usual.
const SLOWNESS_TTL: Duration = Duration::from_secs(1);
/// Minimum weight of one run in the moving average of run times.
const RUN_TIME_WEIGHT_MIN: f64 = 0.02;
/// Time after which the run time is unknown if no run has ended. A target that was measured as slow
/// gets few calls, and has to be tried again.
const RUN_TIME_TTL: Duration = Duration::from_secs(5);
/// Factor on the counted offers with each new one: about twenty offers count.
const OFFER_DECAY: f64 = 0.95;
/// Time in which the counted offers halve.
const OFFER_HALF_LIFE: Duration = Duration::from_secs(1);
/// Minimum number of offers assumed, so that a single rejection says little.
const OFFERS_MIN: f64 = 5.0;
/// Age of a condition from which an unchanged one is sent again. Without that, a slowness that lasts
/// would be outdated at the receiver.
const RESEND_AFTER: Duration = Duration::from_millis(500);
/// Step to which the rejected share is rounded. The exact share changes with every answer.
const REJECTED_STEP_PERCENT: u8 = 5;
/// Relative change of the slowness or of the run time that is reported.
const CHANGE_REPORTED: f64 = 0.2;

/// A load report of a target that can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("load report {0:?} is not a list of decimal numbers")]
pub struct InvalidLoadReport(String);

/// Parses the load report of a target: running, waiting, slots and, in the extended form, the
/// slowness of its machine in percent. Returns the clamped slowness, or `None` for the plain form.
pub fn read_slowness(report: &str) -> Result<Option<u16>, InvalidLoadReport> {
    let invalid = || InvalidLoadReport(report.to_owned());
    let mut figures = [0_u32; 4];
    let mut count = 0;
    for figure in report.split(',') {
        let slot = figures.get_mut(count).ok_or_else(invalid)?;
        let parsed = parse_decimal(figure.trim().as_bytes());
        *slot = parsed.and_then(|figure| u32::try_from(figure).ok()).ok_or_else(invalid)?;
        count += 1;
    }
    match count {
        3 => Ok(None),
        4 => {
            let percent = u16::try_from(figures[3]).unwrap_or(u16::MAX);
            Ok(Some(percent.clamp(SLOWNESS_RANGE_PERCENT.0, SLOWNESS_RANGE_PERCENT.1)))
        }
        _ => Err(invalid()),
    }
}

/// Tracks the condition of the local target by its answers.
#[derive(Debug, Default)]
pub struct ConditionTracker {
    /// The last slowness, in percent, and when it was reported; `None` before the first extended
    /// report.
    slowness: Cell<Option<(u16, Instant)>>,
    /// Moving average of the time that the target itself works on a run, at the usual slowness, in
    /// microseconds.
    own_us: Cell<f64>,
    /// Moving average of the time for which a run waits for calls of its own, in microseconds. It
    /// does not depend on the slowness of the target's machine.
    inner_us: Cell<f64>,
    /// Number of runs averaged, and when the last one ended.
    runs: Cell<u32>,
    last_run: Cell<Option<Instant>>,
    offers: OfferCounts,
}

/// Decaying counts of the offers to a target and of those that it rejected.
#[derive(Debug, Default)]
struct OfferCounts {
    offers: Cell<f64>,
    rejected: Cell<f64>,
    updated_at: Cell<Option<Instant>>,
}

impl OfferCounts {
    /// The factor by which the counts have decayed since the last offer.
    fn decay(&self) -> f64 {
        let elapsed = self.updated_at.get().map_or(Duration::ZERO, |at| at.elapsed());
        0.5_f64.powf(elapsed.as_secs_f64() / OFFER_HALF_LIFE.as_secs_f64())
    }

    fn record(&self, is_rejected: bool) {
        let decay = self.decay() * OFFER_DECAY;
        self.offers.set(self.offers.get() * decay + 1.0);
        self.rejected.set(self.rejected.get() * decay + f64::from(u8::from(is_rejected)));
        self.updated_at.set(Some(Instant::now()));
    }

    fn reset(&self) {
        self.offers.set(0.0);
        self.rejected.set(0.0);
    }

    /// The share of rejected offers. Falls to 0 without offers, so that the target is tried again.
    fn rejected_share(&self) -> f64 {
        let decay = self.decay();
        self.rejected.get() * decay / (self.offers.get() * decay).max(OFFERS_MIN)
    }
}

impl ConditionTracker {
    /// Records the slowness stated in an extended load report.
    pub fn record_slowness(&self, percent: u16) {
        self.slowness.set(Some((percent, Instant::now())));
    }

    /// Records a run that the target has completed: the time that it worked itself, and the time for
    /// which it had calls open.
    pub fn record_run(&self, own: Duration, inner: Duration) {
        let own_us = own.as_micros() as f64 / self.slowness();
        self.runs.set(self.runs.get().saturating_add(1));
        let weight = (1.0 / f64::from(self.runs.get())).max(RUN_TIME_WEIGHT_MIN);
        for (mean_us, sample_us) in
            [(&self.own_us, own_us), (&self.inner_us, inner.as_micros() as f64)]
        {
            mean_us.set(mean_us.get() + weight * (sample_us - mean_us.get()));
        }
        self.last_run.set(Some(Instant::now()));
    }

    /// Records whether the target rejected an offer.
    pub fn record_offer(&self, is_rejected: bool) {
        self.offers.record(is_rejected);
    }

    /// Forgets everything when a new incarnation takes over.
    pub fn reset(&self) {
        self.slowness.set(None);
        self.own_us.set(0.0);
        self.inner_us.set(0.0);
        self.runs.set(0);
        self.offers.reset();
    }

    /// The slowness now, in percent; the usual one if the last report is outdated.
    fn slowness_percent(&self) -> u16 {
        let current = self.slowness.get().filter(|(_, at)| at.elapsed() < SLOWNESS_TTL);
        current.map_or(USUAL_SLOWNESS_PERCENT, |(percent, _)| percent)
    }

    /// The time of the target's own work now, relative to the usual time.
    fn slowness(&self) -> f64 {
        f64::from(self.slowness_percent()) / f64::from(USUAL_SLOWNESS_PERCENT)
    }

    /// The expected time of a run now divided by the slowness, in microseconds. Peers multiply it by
    /// the slowness, and so do not multiply the time of inner calls.
    fn run_us(&self) -> u32 {
        (self.own_us.get() + self.inner_us.get() / self.slowness()) as u32
    }

    /// Whether the target sends the extended load report.
    pub fn is_extended(&self) -> bool {
        self.slowness.get().is_some()
    }

    /// The condition.
    pub fn current(&self) -> Condition {
        let percent = (self.offers.rejected_share() * 100.0).round() as u8;
        let rejected_percent = percent / REJECTED_STEP_PERCENT * REJECTED_STEP_PERCENT;
        if !self.is_extended() {
            return Condition { rejected_percent, ..Condition::default() };
        }
        let is_measured = self.last_run.get().is_some_and(|last| last.elapsed() < RUN_TIME_TTL);
        Condition {
            rejected_percent,
            slowness_percent: self.slowness_percent(),
            run_us: if is_measured { self.run_us() } else { 0 },
        }
    }
}

/// Whether `current` differs enough from `sent` to be reported.
pub fn is_changed(sent: Condition, current: Condition) -> bool {
    let differs =
        |sent: f64, current: f64| (current - sent).abs() > CHANGE_REPORTED * sent.max(1.0);
    sent.rejected_percent != current.rejected_percent
        || differs(sent.slowness_percent.into(), current.slowness_percent.into())
        || differs(sent.run_us.into(), current.run_us.into())
}

/// Whether `current` should be sent, `age` after `sent` was.
pub fn is_due(sent: Condition, age: Duration, current: Condition) -> bool {
    let is_unusual =
        current.rejected_percent > 0 || current.slowness_percent != usual_slowness(current);
    is_changed(sent, current) || (is_unusual && age >= RESEND_AFTER)
}

/// The slowness of a target in its usual condition: the usual one, or none if it states none.
fn usual_slowness(condition: Condition) -> u16 {
    if condition.is_extended() { USUAL_SLOWNESS_PERCENT } else { 0 }
}

/// The condition of another node's target, with the time of its report.
#[derive(Debug, Default)]
pub struct PeerCondition {
    reported: RefCell<Option<(Condition, Instant)>>,
}

impl PeerCondition {
    /// Records a reported condition. Figures out of range are clamped.
    pub fn update(&self, condition: Condition) {
        let (slowness_min, slowness_max) = SLOWNESS_RANGE_PERCENT;
        let mut condition =
            Condition { rejected_percent: condition.rejected_percent.min(100), ..condition };
        if condition.is_extended() {
            let percent = condition.slowness_percent;
            condition.slowness_percent = percent.clamp(slowness_min, slowness_max);
        }
        self.reported.replace(Some((condition, Instant::now())));
    }

    /// Forgets the condition when a new incarnation takes over.
    pub fn clear(&self) {
        self.reported.replace(None);
    }

    /// The condition last reported and its age; a slowness that is outdated counts as usual.
    pub fn current(&self) -> Option<(Condition, Duration)> {
        let (mut condition, at) = (*self.reported.borrow())?;
        let age = at.elapsed();
        if age >= SLOWNESS_TTL && condition.is_extended() {
            condition.slowness_percent = USUAL_SLOWNESS_PERCENT;
        }
        Some((condition, age))
    }
}
