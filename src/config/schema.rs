//! JSON schemas of the settings, generated from their types.

use serde_json::Value;

use super::{Rules, Settings};

/// The schema of complete settings.
pub fn settings_schema() -> Value {
    schemars::schema_for!(Settings).to_value()
}

/// The schema of the rules alone, as operators submit them.
pub fn rules_schema() -> Value {
    schemars::schema_for!(Rules).to_value()
}
