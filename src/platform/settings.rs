//! The settings file: the platform fills in `deploy/node.json`, a template in the product's names.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;

use eyre::{WrapErr, eyre};
use serde::Deserialize;
use serde_json::Value;

use crate::mesh::settings::MeshSettings;

/// The environment variable that holds the path of the settings file.
pub const SETTINGS_ENV: &str = "ASPENSPRING_CONFIG";

/// The bound that is there where teams have quotas.
const QUOTA_WINDOW: &str = "quotaWindowS";

/// What the settings file holds.
#[derive(Clone, Debug, Deserialize)]
pub struct PlatformSettings {
    /// What the node itself is told.
    #[serde(flatten)]
    pub mesh: MeshSettings,
    /// The platform's store.
    pub store: StoreSettings,
}

/// The platform's store.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
}

/// The file as the template writes it.
#[derive(Deserialize)]
struct Written {
    /// The figures of the rules, by name.
    bounds: HashMap<String, Value>,
    #[serde(flatten)]
    rest: serde_json::Map<String, Value>,
}

/// Reads the settings file.
pub fn read(path: &Path) -> eyre::Result<PlatformSettings> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("the settings file {} cannot be read", path.display()))?;
    parse(&text).wrap_err_with(|| format!("the settings file {} is not valid", path.display()))
}

/// Reads settings as the template writes them.
pub fn parse(text: &str) -> eyre::Result<PlatformSettings> {
    let Written { bounds, mut rest } = serde_json::from_str(text)?;
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
        teams["window_ms"] = ((bound(&bounds, QUOTA_WINDOW)? * 1000.0) as u64).into();
        teams["overage"] = bound(&bounds, "quotaOverage")?.into();
        teams["slack"] = bound(&bounds, "quotaSlack")?.into();
    }
    Ok(serde_json::from_value(Value::Object(rest))?)
}

/// The value of a bound.
fn bound(bounds: &HashMap<String, Value>, name: &str) -> eyre::Result<f64> {
    let value = bounds.get(name).ok_or_else(|| eyre!("the bound {name} is missing"))?;
    value.as_f64().ok_or_else(|| eyre!("the bound {name} is {value}, which is no number"))
}
