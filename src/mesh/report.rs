//! When other nodes are told what the target beside this one has to do.
//!
//! Senders choose by it among the targets of their own failure domain, and entries add it up over all
//! targets of a service. A sum over many targets bears older reports than a choice between a few, so
//! the pause between two reports grows with the number of targets that share the work. What a node
//! hears of one service is bounded by that, however many targets the service has.

use std::time::Duration;

use tokio::time::Instant;

use super::frame::Load;

/// The least pause between two reports, while the target is busy. Half a queue comes and goes in it.
pub const PAUSE_BUSY: Duration = Duration::from_millis(180);
/// The least pause between two reports while the target has room: nobody is refused or sent elsewhere
/// for what changes then.
const PAUSE_CALM: Duration = Duration::from_millis(500);
/// From this share of what the target can run on it counts as busy.
const BUSY_FROM: f64 = 0.9;
/// A change by this share of what the target can run is worth a report.
const STEP: f64 = 0.1;
/// A change by this share is told as soon as the pause of a busy target is over: a rush has begun or
/// ended.
const JUMP: f64 = 0.5;
/// Up to this number of targets each reports as often as it may. They all together send no more than 44
/// reports a second to each node (8 targets, 180 ms), and so do more of them, each more seldom.
const TARGETS_AT_FULL_RATE: f64 = 8.0;

/// What was told last to the nodes of one group, and when.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    load: Load,
    at: Option<Instant>,
}

impl LoadReport {
    /// Whether `load` is to be told now. `targets` is the number of targets of the service that report
    /// to the same nodes, this one included.
    pub fn is_due(&self, load: Load, targets: usize, now: Instant) -> bool {
        let Some(at) = self.at else { return true };
        let age = now - at;
        let (share, told) = (work_share(load), work_share(self.load));
        let change = (share - told).abs();
        if change >= JUMP || load.limit != self.load.limit {
            return age >= PAUSE_BUSY;
        }
        let pause = if share > BUSY_FROM {
            PAUSE_BUSY
        } else if change >= STEP {
            PAUSE_CALM
        } else {
            return false;
        };
        age >= pause.mul_f64((targets as f64 / TARGETS_AT_FULL_RATE).max(1.0))
    }

    /// Notes that `load` has been told.
    pub fn note(&mut self, load: Load, now: Instant) {
        *self = Self { load, at: Some(now) };
    }
}

/// The work of a target, as a share of what it can run.
fn work_share(load: Load) -> f64 {
    f64::from(load.running + load.waiting) / f64::from(load.limit.max(1))
}
