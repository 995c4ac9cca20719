//! The effective settings, with the origin of each value.

use serde::Serialize;
use serde_json::Value;

use super::Settings;
use super::tree::{Origin, Tree, join_pointer};

/// Settings that passed every check.
#[derive(Clone, Debug)]
pub struct Effective<S = Settings> {
    /// The settings.
    pub settings: S,
    /// The merged files.
    tree: Tree,
}

/// One value of the effective settings.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveValue {
    /// The JSON pointer (RFC 6901) of the value within the settings.
    pub pointer: String,
    /// The value: a scalar, or an empty list or object.
    pub value: Value,
    /// Where the value was read; `None` for a default.
    pub origin: Option<Origin>,
}

impl<S: Serialize> Effective<S> {
    /// Pairs the settings with the `tree` that they were deserialized from.
    pub(super) fn new(settings: S, tree: Tree) -> Self {
        Self { settings, tree }
    }

    /// The settings as one JSON document.
    ///
    /// # Errors
    ///
    /// Fails only if a value cannot be represented in JSON.
    pub fn to_value(&self) -> serde_json::Result<Value> {
        serde_json::to_value(&self.settings)
    }

    /// Every effective value, in document order.
    ///
    /// # Errors
    ///
    /// Fails only if a value cannot be represented in JSON.
    pub fn values(&self) -> serde_json::Result<Vec<EffectiveValue>> {
        let mut values = Vec::new();
        self.collect(self.to_value()?, String::new(), &mut values);
        Ok(values)
    }

    /// Adds the value at `pointer`, or if it is a non-empty list or object, the values inside it.
    fn collect(&self, value: Value, pointer: String, values: &mut Vec<EffectiveValue>) {
        match value {
            Value::Object(members) if !members.is_empty() => {
                for (name, member) in members {
                    self.collect(member, join_pointer(&pointer, &name), values);
                }
            }
            Value::Array(items) if !items.is_empty() => {
                for (index, item) in items.into_iter().enumerate() {
                    self.collect(item, join_pointer(&pointer, &index.to_string()), values);
                }
            }
            value => {
                let origin = self.tree.find(&pointer).map(|tree| tree.origin.clone());
                values.push(EffectiveValue { pointer, value, origin });
            }
        }
    }
}
