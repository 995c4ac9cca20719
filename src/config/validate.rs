//! Validates a value against a JSON schema and reports every mismatch.
//!
//! Only the keywords that occur in the schema generated from the settings' types are supported.
//! Unlike deserialization, validation does not stop at the first error.

use serde_json::{Map, Value};

use super::describe::{describe, render};
use super::format::{format_of, may_hold_password};
use super::problem::Finding;
use super::tree::join_pointer;

/// Every mismatch between `value` and `schema`, which is the root schema with its definitions.
pub(super) fn validate(schema: &Value, value: &Value) -> Vec<Finding> {
    let mut validator = Validator { root: schema, findings: Vec::new() };
    validator.check(schema, value, "");
    validator.findings
}

/// Traverses a value and its schema together.
struct Validator<'a> {
    /// The root schema.
    root: &'a Value,
    /// The findings so far.
    findings: Vec<Finding>,
}

impl<'a> Validator<'a> {
    /// Checks the value at `pointer` against a subschema.
    fn check(&mut self, schema: &'a Value, value: &Value, pointer: &str) {
        let schema = self.resolve(schema);
        if let Some(alternatives) = alternatives(schema) {
            self.check_alternatives(alternatives, value, pointer);
            return;
        }
        if !has_type(schema, value) {
            self.report(schema, value, pointer);
            return;
        }
        match value {
            Value::Object(members) => self.check_members(schema, members, pointer),
            Value::Array(items) => self.check_items(schema, items, pointer),
            Value::Null | Value::Bool(_) => {}
            Value::Number(number) => {
                if !is_in_range(schema, number) {
                    self.report(schema, value, pointer);
                }
            }
            Value::String(text) => {
                if !is_valid_string(schema, text) {
                    self.report(schema, value, pointer);
                }
            }
        }
    }

    /// Resolves a reference to a definition.
    fn resolve(&self, schema: &'a Value) -> &'a Value {
        let Some(reference) = schema.get("$ref").and_then(Value::as_str) else {
            return schema;
        };
        self.root.pointer(reference.trim_start_matches('#')).unwrap_or(schema)
    }

    /// Checks a value against the alternatives of a subschema.
    fn check_alternatives(&mut self, alternatives: &'a [Value], value: &Value, pointer: &str) {
        let mut accepted = Vec::new();
        for alternative in alternatives {
            let alternative = self.resolve(alternative);
            if is_intended(alternative, value) {
                return self.check(alternative, value, pointer);
            }
            accepted.push(describe(alternative));
        }
        let accepted = accepted.join(" or ");
        self.findings.push(Finding::new(pointer, render(value), accepted));
    }

    /// Checks the members of an object, and reports unknown and missing ones.
    fn check_members(&mut self, schema: &'a Value, members: &Map<String, Value>, pointer: &str) {
        let no_properties = Map::new();
        let properties = schema.get("properties").and_then(Value::as_object);
        for (name, member) in members {
            let member_pointer = join_pointer(pointer, name);
            match properties.and_then(|properties| properties.get(name)) {
                Some(schema) => self.check(schema, member, &member_pointer),
                None => {
                    let names: Vec<&str> =
                        properties.unwrap_or(&no_properties).keys().map(String::as_str).collect();
                    let accepted = format!("only the members {}", names.join(", "));
                    let found = format!("the unknown member \"{name}\"");
                    self.findings.push(Finding::new(member_pointer, found, accepted));
                }
            }
        }
        let required = schema.get("required").and_then(Value::as_array);
        for name in required.into_iter().flatten().filter_map(Value::as_str) {
            if members.contains_key(name) {
                continue;
            }
            let property = properties.and_then(|properties| properties.get(name));
            let accepted = property.map(|property| self.describe(property)).unwrap_or_default();
            self.findings.push(Finding::absent(join_pointer(pointer, name), accepted));
        }
    }

    /// Checks the number of items, then each item.
    fn check_items(&mut self, schema: &'a Value, items: &[Value], pointer: &str) {
        let min_items = schema.get("minItems").and_then(Value::as_u64).unwrap_or(0);
        if (items.len() as u64) < min_items {
            let found = format!("{} items", items.len());
            let accepted = format!("a list of at least {min_items}");
            self.findings.push(Finding::new(pointer, found, accepted));
        }
        let Some(schema) = schema.get("items") else {
            return;
        };
        for (index, item) in items.iter().enumerate() {
            self.check(schema, item, &join_pointer(pointer, &index.to_string()));
        }
    }

    /// Reports a value that does not match its schema.
    fn report(&mut self, schema: &'a Value, value: &Value, pointer: &str) {
        let accepted = self.describe(schema);
        let is_secret = value.as_str().is_some_and(|text| may_hold_password(schema, text));
        let found =
            if is_secret { "a URL with user information".to_owned() } else { render(value) };
        self.findings.push(Finding::new(pointer, found, accepted));
    }

    /// What a subschema accepts, as text, followed by its description.
    fn describe(&self, schema: &'a Value) -> String {
        let description = schema.get("description").and_then(Value::as_str);
        let accepted = describe(self.resolve(schema));
        let Some(description) = description else {
            return accepted;
        };
        let description = description.replace('\n', " ");
        format!("{accepted} ({})", description.trim_end_matches('.'))
    }
}

/// The alternatives of a subschema, if it has any.
pub(super) fn alternatives(schema: &Value) -> Option<&[Value]> {
    let alternatives = schema.get("oneOf").or_else(|| schema.get("anyOf"))?;
    alternatives.as_array().map(Vec::as_slice)
}

/// Whether `schema` is the alternative that `value` is intended for: `value` has its discriminator
/// constant or, if the alternative has no such constant, its type.
fn is_intended(schema: &Value, value: &Value) -> bool {
    if let Some(constant) = schema.get("const") {
        return constant == value;
    }
    let Some(properties) = schema.get("properties").and_then(Value::as_object) else {
        return has_type(schema, value);
    };
    let Some(members) = value.as_object() else {
        return false;
    };
    properties.iter().all(|(name, property)| {
        property.get("const").is_none_or(|constant| members.get(name) == Some(constant))
    })
}

/// The names of the types that a subschema accepts.
pub(super) fn types(schema: &Value) -> Vec<&str> {
    match schema.get("type") {
        Some(Value::String(name)) => vec![name],
        Some(Value::Array(names)) => names.iter().filter_map(Value::as_str).collect(),
        _ => Vec::new(),
    }
}

/// Whether a value has one of the types that a subschema accepts.
fn has_type(schema: &Value, value: &Value) -> bool {
    let types = types(schema);
    let is_type = |name: &&str| match *name {
        "null" => value.is_null(),
        "boolean" => value.is_boolean(),
        "integer" => value.is_u64() || value.is_i64(),
        "number" => value.is_number(),
        "string" => value.is_string(),
        "array" => value.is_array(),
        "object" => value.is_object(),
        _ => false,
    };
    types.is_empty() || types.iter().any(is_type)
}

/// The maximum integer of a subschema, by the keyword `maximum` or by the format.
pub(super) fn integer_max(schema: &Value) -> Option<u64> {
    let by_format = match schema.get("format").and_then(Value::as_str) {
        Some("uint8") => Some(u64::from(u8::MAX)),
        Some("uint16") => Some(u64::from(u16::MAX)),
        Some("uint32") => Some(u64::from(u32::MAX)),
        _ => None,
    };
    schema.get("maximum").and_then(Value::as_u64).or(by_format)
}

/// Whether a number is within the bounds of its schema.
fn is_in_range(schema: &Value, number: &serde_json::Number) -> bool {
    let Some(number_f64) = number.as_f64() else {
        return false;
    };
    let bound = |keyword: &str| schema.get(keyword).and_then(Value::as_f64);
    let is_within_integer_max = match (integer_max(schema), number.as_u64()) {
        (Some(max), Some(number)) => number <= max,
        _ => true,
    };
    is_within_integer_max
        && bound("minimum").is_none_or(|bound| number_f64 >= bound)
        && bound("maximum").is_none_or(|bound| number_f64 <= bound)
        && bound("exclusiveMinimum").is_none_or(|bound| number_f64 > bound)
        && bound("exclusiveMaximum").is_none_or(|bound| number_f64 < bound)
}

/// Whether a string is accepted by its schema.
fn is_valid_string(schema: &Value, text: &str) -> bool {
    if let Some(constant) = schema.get("const") {
        return constant == text;
    }
    if let Some(accepted) = schema.get("enum").and_then(Value::as_array) {
        return accepted.iter().any(|accepted| accepted == text);
    }
    format_of(schema).is_none_or(|format| (format.is_valid)(text))
}
