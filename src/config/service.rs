//! The services of a site.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One service and the size of its targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// The name in paths and rows.
    #[schemars(extend("format" = "name"))]
    pub name: String,
    /// How many targets are expected; for checks and reports only.
    #[serde(default)]
    pub targets: u32,
    /// How many calls one target can run at once.
    #[schemars(range(min = 1))]
    pub slots: u32,
    /// How many connections one target accepts.
    #[schemars(range(min = 1))]
    pub connections: u32,
    /// The services that its targets call.
    #[serde(default)]
    #[schemars(extend("items" = { "type": "string", "format": "name" }))]
    pub calls: Vec<String>,
    /// How long a target that has just come up is given less than its share, in milliseconds.
    #[serde(default = "default_warm_up_ms")]
    pub warm_up_ms: u64,
}

fn default_warm_up_ms() -> u64 {
    5_000
}
