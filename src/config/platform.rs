//! Where the platform's table service and object store are.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Addresses of the platform's services and how they are used.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The table service's base URL.
    #[schemars(extend("format" = "http-url"))]
    pub table_url: String,
    /// The object store's base URL.
    #[schemars(extend("format" = "http-url"))]
    pub objects_url: String,
    /// How long to wait for one answer of either.
    #[serde(default = "default_timeout_ms")]
    #[schemars(range(min = 1))]
    pub timeout_ms: u64,
    /// How often the node reads the configuration's version and the lists of services it calls.
    #[serde(default = "default_poll_ms")]
    #[schemars(range(min = 100))]
    pub poll_ms: u64,
    /// How often the node writes its own row.
    #[serde(default = "default_announce_ms")]
    #[schemars(range(min = 100))]
    pub announce_ms: u64,
}

fn default_timeout_ms() -> u64 {
    2_000
}

fn default_poll_ms() -> u64 {
    12_000
}

fn default_announce_ms() -> u64 {
    60_000
}
