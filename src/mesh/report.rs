//! Decides when the load of the local target is reported to peers.
//!
//! Senders choose among the targets of their own failure domain by it, and entry nodes sum it over
//! all targets of a service. A sum over many targets tolerates older reports than a choice between
//! a few, so the interval between reports grows with the number of targets that share the work.
//! This bounds the rate of reports that a node receives about one service, whatever the number of
//! its targets.

use std::time::Duration;

use tokio::time::Instant;

use super::frame::Load;

/// Minimum interval between reports while the target is busy. In this time, half a queue can build
/// up or drain.
pub const INTERVAL_BUSY: Duration = Duration::from_millis(180);
/// Minimum interval between reports while the target has capacity: a change then causes no request
/// to be refused or rerouted.
const INTERVAL_IDLE: Duration = Duration::from_millis(500);
/// Utilisation above which the target counts as busy.
const BUSY_ABOVE: f64 = 0.9;
/// Minimum change of the utilisation that is reported.
const CHANGE_MIN: f64 = 0.1;
/// Change of the utilisation that is reported at the busy interval whatever the number of targets:
/// a burst has begun or ended.
const CHANGE_URGENT: f64 = 0.5;
/// Maximum number of targets that each report at the full rate. Together they send each node at
/// most 44 reports a second (8 targets, 180 ms); more targets share this rate.
const TARGETS_AT_FULL_RATE: f64 = 8.0;

/// The interval between reports of one of `targets` targets that share the rate of reports, where
/// `interval` is that of a few.
pub fn paced(interval: Duration, targets: usize) -> Duration {
    interval.mul_f64((targets as f64 / TARGETS_AT_FULL_RATE).max(1.0))
}

/// The load last reported to a group of nodes, and the time of the report.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    load: Load,
    reported_at: Option<Instant>,
}

impl LoadReport {
    /// Whether `load` should be reported now. `targets` is the number of targets of the service
    /// that report to the same nodes, including this one.
    pub fn is_due(&self, load: Load, targets: usize, now: Instant) -> bool {
        let Some(reported_at) = self.reported_at else { return true };
        let age = now - reported_at;
        let (share, reported) = (load.utilisation(), self.load.utilisation());
        let change = (share - reported).abs();
        if change >= CHANGE_URGENT || load.limit != self.load.limit {
            return age >= INTERVAL_BUSY;
        }
        let interval = if share > BUSY_ABOVE {
            INTERVAL_BUSY
        } else if change >= CHANGE_MIN {
            INTERVAL_IDLE
        } else {
            return false;
        };
        age >= paced(interval, targets)
    }

    /// Records that `load` has been reported.
    pub fn record(&mut self, load: Load, now: Instant) {
        *self = Self { load, reported_at: Some(now) };
    }
}
