//! Faults of a stand-in target.

use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant};

/// How a target fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultMode {
    /// Not at all.
    #[default]
    Ok,
    /// Calls that have a slot make no progress until the fault ends.
    Stall,
    /// Work takes `factor` times as long.
    Slow,
    /// Calls are run and answered with 500.
    Error,
    /// Health and load look best while work takes `factor` times as long.
    Lie,
    /// Calls are run, then the connection is closed without an answer.
    Close,
    /// Calls are run, then the answer is cut off half way.
    Truncate,
}

/// The order that puts a fault in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultOrder {
    /// How the target fails.
    pub mode: FaultMode,
    /// How many times longer work takes.
    #[serde(default = "default_factor")]
    pub factor: f64,
    /// How long the fault lasts, in milliseconds; until the next order where absent.
    #[serde(default)]
    pub for_ms: Option<u64>,
}

fn default_factor() -> f64 {
    1.0
}

/// The fault in force.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fault {
    /// How the target fails.
    pub(super) mode: FaultMode,
    /// How many times longer work takes.
    pub(super) factor: f64,
    /// When the fault ends by itself.
    pub(super) until: Option<Instant>,
}

impl Fault {
    /// No fault.
    pub(super) const NONE: Fault = Fault { mode: FaultMode::Ok, factor: 1.0, until: None };

    /// The fault an order asks for, from `now` on.
    pub(super) fn new(order: &FaultOrder, now: Instant) -> Self {
        let until = order.for_ms.map(|for_ms| now + Duration::from_millis(for_ms));
        Self { mode: order.mode, factor: order.factor, until }
    }

    /// What is left of the fault at `now`.
    pub(super) fn at(self, now: Instant) -> Self {
        match self.until {
            Some(until) if until <= now => Self::NONE,
            _ => self,
        }
    }
}
