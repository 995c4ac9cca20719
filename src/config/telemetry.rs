//! Settings for logs and traces.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Log level, and destination and sampling of traces.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct TelemetrySettings {
    /// The minimum severity that is logged: `error`, `warning`, `info` or `debug`.
    #[schemars(extend("enum" = ["error", "warning", "info", "debug"]))]
    pub log_level: String,
    /// The OTLP/HTTP endpoint for spans; no spans are recorded if absent.
    #[schemars(extend("format" = "http-url"))]
    pub otlp_url: Option<String>,
    /// The share of root requests whose spans are recorded, from 0 to 1.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub sample_share: f64,
}

impl Default for TelemetrySettings {
    fn default() -> Self {
        Self { log_level: "info".to_owned(), otlp_url: None, sample_share: 0.01 }
    }
}
