//! Policy arms: which share of the roots is decided by which policy.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One arm of a comparison.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ArmSettings {
    /// The number that travels with every call of the arm. Unique.
    pub id: u8,
    /// The name in reports.
    #[schemars(extend("format" = "name"))]
    pub name: String,
    /// The share of roots in this arm, from 0 to 1; all shares add up to 1. A target's slots are
    /// divided between the arms by the same shares.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub share: f64,
    /// The name of the policy that decides.
    #[schemars(extend("format" = "name"))]
    pub policy: String,
}
