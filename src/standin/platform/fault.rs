//! Fault injection for the stand-ins of the platform's services.

use serde::{Deserialize, Serialize};

/// The kind of fault to inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultMode {
    /// No fault.
    #[default]
    Up,
    /// Every connection is closed without a response, and no request takes effect.
    Down,
    /// Every request is delayed before it takes effect.
    Slow,
    /// Writes take effect, then the connection is closed without a response; reads are answered.
    LoseAnswers,
}

/// An injected fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind of fault.
    pub mode: FaultMode,
    /// Delay of each request under [`FaultMode::Slow`], in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}
