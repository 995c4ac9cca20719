//! Policy arms: which share of root requests each policy decides.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One arm of a policy comparison.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ArmSettings {
    /// The number sent with every call of the arm. Unique.
    pub id: u8,
    /// The arm's name in reports.
    #[schemars(extend("format" = "name"))]
    pub name: String,
    /// The share of root requests in this arm, from 0 to 1. All shares add up to 1. The slots of
    /// a target are divided between the arms by the same shares.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub share: f64,
    /// The name of the arm's policy.
    #[schemars(extend("format" = "name"))]
    pub policy: String,
}
