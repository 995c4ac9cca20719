//! The settings that all nodes of a site share.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::{PlatformSettings, Rules, TelemetrySettings};

/// The settings that all nodes of a site share. They are not enough to run a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiteSettings {
    /// The name of the site.
    pub site: String,
    /// Node settings that the site's files set for all nodes.
    #[serde(default)]
    pub node: Map<String, Value>,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Settings for logs and traces.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
    /// The rules, which can be changed while the site runs.
    pub rules: Rules,
}
