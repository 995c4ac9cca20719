//! Decides when peers are sent the load of the target beside this node.
//!
//! Senders use it to choose among the targets of their own failure domain, and entries sum it over
//! all targets of a service. A sum over many targets tolerates older reports than a choice between
//! a few, so the interval between reports grows with the number of targets that share the work.
//! This bounds the reports that a node receives about one service, however many targets it has.

use std::time::Duration;

use tokio::time::Instant;

use super::frame::Load;

/// The minimum interval between reports while the target is busy. Half a queue can build up or
/// drain in it.
pub const INTERVAL_BUSY: Duration = Duration::from_millis(180);
/// The minimum interval between reports while the target has capacity: then no request is refused
/// or rerouted because of a change.
const INTERVAL_IDLE: Duration = Duration::from_millis(500);
/// The target counts as busy above this share of its limit.
const BUSY_ABOVE: f64 = 0.9;
/// A change of at least this share of the limit is reported.
const CHANGE_MIN: f64 = 0.1;
/// A change of at least this share is reported at the busy interval whatever the number of targets:
/// a burst has begun or ended.
const CHANGE_URGENT: f64 = 0.5;
/// Up to this number, each target reports at the full rate. Together they send each node at most 44
/// reports a second (8 targets, 180 ms). More targets share this rate.
const TARGETS_AT_FULL_RATE: f64 = 8.0;

/// The load last reported to the nodes of one group, and when.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    load: Load,
    reported_at: Option<Instant>,
}

impl LoadReport {
    /// Whether `load` is to be reported now. `targets` is the number of targets of the service that
    /// report to the same nodes, including this one.
    pub fn is_due(&self, load: Load, targets: usize, now: Instant) -> bool {
        let Some(reported_at) = self.reported_at else { return true };
        let age = now - reported_at;
        let (share, reported) = (utilisation(load), utilisation(self.load));
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
        age >= interval.mul_f64((targets as f64 / TARGETS_AT_FULL_RATE).max(1.0))
    }

    /// Records that `load` has been reported.
    pub fn note(&mut self, load: Load, now: Instant) {
        *self = Self { load, reported_at: Some(now) };
    }
}

/// Running and waiting requests as a share of the target's limit.
fn utilisation(load: Load) -> f64 {
    f64::from(load.running + load.waiting) / f64::from(load.limit.max(1))
}
