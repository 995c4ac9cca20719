//! The condition of a target: how slow its machine is now, how long its runs take, and which share
//! of the offers it rejects.
//!
//! It is known only for targets that send the extended load report, which has a fourth figure. All
//! decisions that depend on it are off for other targets.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::time::Instant;

use super::failure_share::FailureShare;
use super::frame::Condition;

/// The slowness of a machine on which work takes the usual time, in percent.
pub const USUAL_SLOWNESS_PERCENT: u16 = 100;
/// The range of the slowness; figures outside are clamped.
const SLOWNESS_RANGE_PERCENT: (u16, u16) = (10, 2_000);
/// Time after which a slowness without a new report counts as usual.
const SLOWNESS_TTL: Duration = Duration::from_secs(1);
/// Weight of one run in the moving average of run times.
const RUN_TIME_WEIGHT: f64 = 0.02;
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
        *slot = figure.trim().parse().map_err(|_| invalid())?;
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
    /// Moving average of the run time at the usual slowness, in microseconds.
    run_us: Cell<f64>,
    rejected: FailureShare,
}

impl ConditionTracker {
    /// Records the slowness stated in an extended load report.
    pub fn record_slowness(&self, percent: u16) {
        self.slowness.set(Some((percent, Instant::now())));
    }

    /// Records the duration of a run that the target has completed.
    pub fn record_run(&self, duration: Duration) {
        let slowness = f64::from(self.slowness_percent()) / f64::from(USUAL_SLOWNESS_PERCENT);
        let sample = duration.as_micros() as f64 / slowness;
        let mean = self.run_us.get();
        let mean = if mean == 0.0 { sample } else { mean + RUN_TIME_WEIGHT * (sample - mean) };
        self.run_us.set(mean);
    }

    /// Records whether the target rejected an offer.
    pub fn record_offer(&self, is_rejected: bool) {
        self.rejected.record(is_rejected);
    }

    /// Forgets everything when a new incarnation takes over.
    pub fn reset(&self) {
        self.slowness.set(None);
        self.run_us.set(0.0);
        self.rejected.reset();
    }

    /// The slowness now, in percent; the usual one if the last report is outdated.
    fn slowness_percent(&self) -> u16 {
        let current = self.slowness.get().filter(|(_, at)| at.elapsed() < SLOWNESS_TTL);
        current.map_or(USUAL_SLOWNESS_PERCENT, |(percent, _)| percent)
    }

    /// The condition; `None` unless the target sends the extended load report.
    pub fn current(&self) -> Option<Condition> {
        self.slowness.get()?;
        let percent = (self.rejected.share(Instant::now()) * 100.0).round() as u8;
        Some(Condition {
            rejected_percent: percent / REJECTED_STEP_PERCENT * REJECTED_STEP_PERCENT,
            slowness_percent: self.slowness_percent(),
            run_us: self.run_us.get() as u32,
        })
    }
}

/// Whether `current` differs enough from `sent` to be reported.
pub fn is_changed(sent: Option<Condition>, current: Condition) -> bool {
    let Some(sent) = sent else { return true };
    let differs =
        |sent: f64, current: f64| (current - sent).abs() > CHANGE_REPORTED * sent.max(1.0);
    sent.rejected_percent != current.rejected_percent
        || differs(sent.slowness_percent.into(), current.slowness_percent.into())
        || differs(sent.run_us.into(), current.run_us.into())
}

/// The condition of another node's target, with the time of its report.
#[derive(Debug, Default)]
pub struct PeerCondition {
    reported: RefCell<Option<(Condition, Instant)>>,
    /// Set by the first report of any peer. While it is not set, no decision looks for conditions.
    any_reported: Rc<Cell<bool>>,
}

impl PeerCondition {
    /// A condition that sets `any_reported` when it is reported.
    pub fn new(any_reported: &Rc<Cell<bool>>) -> Self {
        Self { any_reported: Rc::clone(any_reported), ..Self::default() }
    }

    /// Whether a condition was reported.
    pub fn is_reported(&self) -> bool {
        self.reported.borrow().is_some()
    }

    /// Records a reported condition. Figures out of range are clamped.
    pub fn update(&self, condition: Condition) {
        let (slowness_min, slowness_max) = SLOWNESS_RANGE_PERCENT;
        let condition = Condition {
            rejected_percent: condition.rejected_percent.min(100),
            slowness_percent: condition.slowness_percent.clamp(slowness_min, slowness_max),
            ..condition
        };
        self.reported.replace(Some((condition, Instant::now())));
        self.any_reported.set(true);
    }

    /// Forgets the condition when a new incarnation takes over.
    pub fn clear(&self) {
        self.reported.replace(None);
    }

    /// The condition last reported and its age; a slowness that is outdated counts as usual.
    pub fn current(&self) -> Option<(Condition, Duration)> {
        let (mut condition, at) = (*self.reported.borrow())?;
        let age = at.elapsed();
        if age >= SLOWNESS_TTL {
            condition.slowness_percent = USUAL_SLOWNESS_PERCENT;
        }
        Some((condition, age))
    }
}
