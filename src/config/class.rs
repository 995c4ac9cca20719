//! Classes of calls, with their ranks and deadlines.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One class of calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClassSettings {
    /// The class name that callers and reports use.
    #[schemars(extend("format" = "name"))]
    pub name: String,
    /// The priority under load shedding; the lowest rank is shed first. Unique.
    pub rank: u8,
    /// Whether a request of this class must run at most once.
    #[serde(default)]
    pub at_most_once: bool,
    /// The deadline of a request that does not set one, in milliseconds.
    #[schemars(range(min = 1))]
    pub deadline_ms: u64,
    /// The longest deadline that a caller may set, in milliseconds.
    #[schemars(range(min = 1))]
    pub deadline_max_ms: u64,
    /// The share of a target's limit that is reserved for this class against lower ones, from 0 to
    /// 1.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub reserved_share: f64,
}
