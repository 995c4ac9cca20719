//! Services of a site: their targets and the services that they call.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One service and the size of its targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// The service name in paths and table rows.
    #[schemars(extend("format" = "name"))]
    pub name: String,
    /// The expected number of targets; for checks and reports only.
    #[serde(default)]
    pub targets: u32,
    /// The number of calls that one target can run at once.
    #[schemars(range(min = 1))]
    pub slots: u32,
    /// The number of connections that one target accepts.
    #[schemars(range(min = 1))]
    pub connections: u32,
    /// The services that its targets call.
    #[serde(default)]
    #[schemars(extend("items" = { "type": "string", "format": "name" }))]
    pub calls: Vec<String>,
    /// How long a newly started target receives less than its share of calls, in milliseconds.
    #[serde(default = "default_warm_up_ms")]
    pub warm_up_ms: u64,
}

fn default_warm_up_ms() -> u64 {
    5_000
}
