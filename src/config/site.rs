//! What the files of a site say, without those of a node.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::{PlatformSettings, Rules, TelemetrySettings};

/// The settings that all nodes of a site share. They cannot run a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiteSettings {
    /// The name of the site.
    pub site: String,
    /// What all nodes are told, as far as the files of the site say it.
    #[serde(default)]
    pub node: Map<String, Value>,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// Logs, metrics and traces.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
    /// What may be changed while the site runs.
    pub rules: Rules,
}
