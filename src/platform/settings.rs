//! Reads the settings file, which the platform generates from the template `deploy/node.json`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;

use eyre::{WrapErr, eyre};
use serde::Deserialize;
use serde_json::Value;

use crate::mesh::settings::MeshSettings;

/// The environment variable with the path of the settings file.
pub const SETTINGS_ENV: &str = "ASPENSPRING_CONFIG";

/// The bound that is present if teams have quotas.
const QUOTA_WINDOW: &str = "quotaWindowS";

/// The contents of the settings file.
#[derive(Clone, Debug, Deserialize)]
pub struct PlatformSettings {
    /// The settings of the mesh node.
    #[serde(flatten)]
    pub mesh: MeshSettings,
    /// The platform's metadata store.
    pub store: StoreSettings,
}

/// The settings of the platform's metadata store.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct StoreSettings {
    /// The address of the store.
    pub address: SocketAddr,
}

/// The file in the form of the template.
#[derive(Deserialize)]
struct SettingsFile {
    /// The platform's bounds (limits and tolerances), by name.
    bounds: HashMap<String, Value>,
    #[serde(flatten)]
    rest: serde_json::Map<String, Value>,
}

/// Reads the settings file.
pub fn read(path: &Path) -> eyre::Result<PlatformSettings> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("cannot read the settings file {}", path.display()))?;
    parse(&text).wrap_err_with(|| format!("invalid settings file {}", path.display()))
}

/// Parses settings in the form of the template.
pub fn parse(text: &str) -> eyre::Result<PlatformSettings> {
    let SettingsFile { bounds, mut rest } = serde_json::from_str(text)?;
    rest.insert(
        "timing".to_owned(),
        serde_json::json!({ "stop_grace_ms": (bound(&bounds, "graceS")? * 1000.0) as u64 }),
    );
    rest.insert(
        "retry".to_owned(),
        serde_json::json!({
            "share": bound(&bounds, "retryBudgetRatio")?,
            "slack": bound(&bounds, "retryBudgetSlack")? as u32,
        }),
    );
    if bounds.contains_key(QUOTA_WINDOW) {
        let teams = rest.entry("teams").or_insert_with(|| serde_json::json!({}));
        let teams = teams.as_object_mut().ok_or_else(|| eyre!("teams is not an object"))?;
        let window_ms = (bound(&bounds, QUOTA_WINDOW)? * 1000.0) as u64;
        teams.insert("window_ms".to_owned(), window_ms.into());
        teams.insert("overage".to_owned(), bound(&bounds, "quotaOverage")?.into());
        teams.insert("slack".to_owned(), bound(&bounds, "quotaSlack")?.into());
    }
    Ok(serde_json::from_value(Value::Object(rest))?)
}

/// The value of a bound.
fn bound(bounds: &HashMap<String, Value>, name: &str) -> eyre::Result<f64> {
    let value = bounds.get(name).ok_or_else(|| eyre!("the bound {name} is missing"))?;
    value.as_f64().ok_or_else(|| eyre!("the bound {name} is {value}, which is not a number"))
}
