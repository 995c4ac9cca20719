//! Logs and traces.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Where logs and traces go, and how many.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct TelemetrySettings {
    /// The least severe level that is logged: `error`, `warning`, `info` or `debug`.
    #[schemars(extend("enum" = ["error", "warning", "info", "debug"]))]
    pub log_level: String,
    /// Where spans are sent by OTLP over HTTP; none are made where this is absent.
    #[schemars(extend("format" = "http-url"))]
    pub otlp_url: Option<String>,
    /// The share of roots whose spans are recorded, from 0 to 1.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub sample_share: f64,
}

impl Default for TelemetrySettings {
    fn default() -> Self {
        Self { log_level: "info".to_owned(), otlp_url: None, sample_share: 0.01 }
    }
}
