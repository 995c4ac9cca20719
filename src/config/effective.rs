//! The settings in effect, with the origin of each value.

use serde::Serialize;
use serde_json::Value;

use super::Settings;
use super::tree::{Origin, Tree, join};

/// Settings that passed every check.
#[derive(Clone, Debug)]
pub struct Effective<S = Settings> {
    /// The settings.
    pub settings: S,
    /// What the files said, merged.
    tree: Tree,
}

/// One value of the settings in effect.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveValue {
    /// The JSON pointer (RFC 6901) of the value within the settings.
    pub pointer: String,
    /// The value: a scalar, or an empty list or object.
    pub value: Value,
    /// Where the value was read; absent for a default.
    pub origin: Option<Origin>,
}

impl<S: Serialize> Effective<S> {
    /// The settings that were read from `tree`.
    pub(super) fn new(settings: S, tree: Tree) -> Self {
        Self { settings, tree }
    }

    /// The settings as one JSON document.
    ///
    /// # Errors
    ///
    /// Fails only if a value has no form in JSON.
    pub fn to_value(&self) -> serde_json::Result<Value> {
        serde_json::to_value(&self.settings)
    }

    /// Every value in effect, in the order of the document.
    ///
    /// # Errors
    ///
    /// Fails only if a value has no form in JSON.
    pub fn values(&self) -> serde_json::Result<Vec<EffectiveValue>> {
        let mut values = Vec::new();
        self.collect(self.to_value()?, String::new(), &mut values);
        Ok(values)
    }

    /// Adds `value`, which stands at `pointer`, or what is below it.
    fn collect(&self, value: Value, pointer: String, values: &mut Vec<EffectiveValue>) {
        match value {
            Value::Object(members) if !members.is_empty() => {
                for (name, member) in members {
                    self.collect(member, join(&pointer, &name), values);
                }
            }
            Value::Array(items) if !items.is_empty() => {
                for (index, item) in items.into_iter().enumerate() {
                    self.collect(item, join(&pointer, &index.to_string()), values);
                }
            }
            value => {
                let origin = self.tree.find(&pointer).map(|tree| tree.origin.clone());
                values.push(EffectiveValue { pointer, value, origin });
            }
        }
    }
}
