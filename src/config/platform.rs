//! Addresses and timing of the platform's table service and object store.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Addresses of the platform's services, and how the node uses them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The base URL of the table service.
    #[schemars(extend("format" = "http-url"))]
    pub table_url: String,
    /// The base URL of the object store.
    #[schemars(extend("format" = "http-url"))]
    pub objects_url: String,
    /// The time-out of a request to either service, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    #[schemars(range(min = 1))]
    pub timeout_ms: u64,
    /// The interval at which the node reads the configuration version and the member lists of the
    /// services it calls, in milliseconds.
    #[serde(default = "default_poll_ms")]
    #[schemars(range(min = 100))]
    pub poll_ms: u64,
    /// The interval at which the node writes its own row, in milliseconds.
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
