//! Fault injection for a stand-in target.

use serde::{Deserialize, Serialize};
use tokio::time::{Duration, Instant};

/// The kind of fault to inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultMode {
    /// No fault.
    #[default]
    Ok,
    /// Calls that hold a slot make no progress until the fault ends.
    Stall,
    /// Calls take `factor` times as long.
    Slow,
    /// Calls run and are answered with status 500.
    Error,
    /// Calls take `factor` times as long while the target reports itself healthy and idle.
    Lie,
    /// Calls run, then the connection is closed without a response.
    Close,
    /// Calls run, then the response is cut off halfway through the body.
    Truncate,
}

/// A request to inject a fault, or to end it with [`FaultMode::Ok`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRequest {
    /// The kind of fault.
    pub mode: FaultMode,
    /// Factor by which the duration of calls is multiplied.
    #[serde(default = "default_factor")]
    pub factor: f64,
    /// Duration of the fault in milliseconds; if absent, it lasts until the next request.
    #[serde(default)]
    pub for_ms: Option<u64>,
}

fn default_factor() -> f64 {
    1.0
}

/// An injected fault.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fault {
    /// The kind of fault.
    pub(super) mode: FaultMode,
    /// Factor by which the duration of calls is multiplied.
    pub(super) factor: f64,
    /// When the fault expires, if it does.
    pub(super) until: Option<Instant>,
}

impl Fault {
    /// No fault.
    pub(super) const NONE: Fault = Fault { mode: FaultMode::Ok, factor: 1.0, until: None };

    /// The requested fault, starting at `now`.
    pub(super) fn new(request: &FaultRequest, now: Instant) -> Self {
        let until = request.for_ms.map(|for_ms| now + Duration::from_millis(for_ms));
        Self { mode: request.mode, factor: request.factor, until }
    }

    /// The fault in effect at `now`: this one, or none once it has expired.
    pub(super) fn at(self, now: Instant) -> Self {
        match self.until {
            Some(until) if until <= now => Self::NONE,
            _ => self,
        }
    }
}
