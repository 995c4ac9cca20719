//! Faults of the platform's services.

use serde::{Deserialize, Serialize};

/// How a stand-in of the platform fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultMode {
    /// Not at all.
    #[default]
    Up,
    /// Every connection is closed without an answer and nothing takes effect.
    Down,
    /// Every request waits before it takes effect.
    Slow,
    /// Writes take effect, then the connection is closed without an answer.
    LoseAnswers,
}

/// The fault in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// How the service fails.
    pub mode: FaultMode,
    /// How long a slow service waits, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}
