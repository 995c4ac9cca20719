//! Holds a value against the schema and finds everything that does not fit.
//!
//! The schema is the one generated from the types of the settings, so only the keywords that occur
//! there are known. Deserialization would stop at the first error; this does not.

use serde_json::{Map, Value};

use super::describe::{describe, render};
use super::problem::Finding;
use super::text::{format_of, may_hold_password};
use super::tree::join;

/// Everything in `value` that does not fit `schema`, the whole schema with its definitions.
pub(super) fn check(schema: &Value, value: &Value) -> Vec<Finding> {
    let mut checker = Checker { root: schema, findings: Vec::new() };
    checker.check(schema, value, "");
    checker.findings
}

/// Walks a value and its schema together.
struct Checker<'a> {
    /// The whole schema.
    root: &'a Value,
    /// What was found so far.
    findings: Vec<Finding>,
}

impl<'a> Checker<'a> {
    /// Checks `value`, which stands at `pointer`, against one part of the schema.
    fn check(&mut self, schema: &'a Value, value: &Value, pointer: &str) {
        let schema = self.resolve(schema);
        if let Some(choices) = choices(schema) {
            self.check_choices(choices, value, pointer);
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
                if !is_accepted_text(schema, text) {
                    self.report(schema, value, pointer);
                }
            }
        }
    }

    /// Follows a reference into the definitions.
    fn resolve(&self, schema: &'a Value) -> &'a Value {
        let Some(reference) = schema.get("$ref").and_then(Value::as_str) else {
            return schema;
        };
        self.root.pointer(reference.trim_start_matches('#')).unwrap_or(schema)
    }

    /// Checks a value that may be one of several things.
    fn check_choices(&mut self, choices: &'a [Value], value: &Value, pointer: &str) {
        let mut accepted = Vec::new();
        for choice in choices {
            let choice = self.resolve(choice);
            if is_meant(choice, value) {
                return self.check(choice, value, pointer);
            }
            accepted.push(describe(choice));
        }
        let accepted = accepted.join(" or ");
        self.findings.push(Finding::new(pointer, render(value), accepted));
    }

    /// Checks which members there are, then each of them.
    fn check_members(&mut self, schema: &'a Value, members: &Map<String, Value>, pointer: &str) {
        let no_properties = Map::new();
        let properties = schema.get("properties").and_then(Value::as_object);
        for (name, member) in members {
            let below = join(pointer, name);
            match properties.and_then(|properties| properties.get(name)) {
                Some(schema) => self.check(schema, member, &below),
                None => {
                    let names: Vec<&str> =
                        properties.unwrap_or(&no_properties).keys().map(String::as_str).collect();
                    let accepted = format!("only the members {}", names.join(", "));
                    let found = format!("the unknown member \"{name}\"");
                    self.findings.push(Finding::new(below, found, accepted));
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
            self.findings.push(Finding::absent(join(pointer, name), accepted));
        }
    }

    /// Checks how many items there are, then each of them.
    fn check_items(&mut self, schema: &'a Value, items: &[Value], pointer: &str) {
        let least = schema.get("minItems").and_then(Value::as_u64).unwrap_or(0);
        if (items.len() as u64) < least {
            let found = format!("{} items", items.len());
            let accepted = format!("a list of at least {least}");
            self.findings.push(Finding::new(pointer, found, accepted));
        }
        let Some(schema) = schema.get("items") else {
            return;
        };
        for (index, item) in items.iter().enumerate() {
            self.check(schema, item, &join(pointer, &index.to_string()));
        }
    }

    /// Reports a value that does not fit its schema.
    fn report(&mut self, schema: &'a Value, value: &Value, pointer: &str) {
        let accepted = self.describe(schema);
        let is_secret = value.as_str().is_some_and(|text| may_hold_password(schema, text));
        let found = if is_secret { "a URL with a user".to_owned() } else { render(value) };
        self.findings.push(Finding::new(pointer, found, accepted));
    }

    /// What a part of the schema accepts, in words, with what it is for.
    fn describe(&self, schema: &'a Value) -> String {
        let purpose = schema.get("description").and_then(Value::as_str);
        let accepted = describe(self.resolve(schema));
        let Some(purpose) = purpose else {
            return accepted;
        };
        let purpose = purpose.replace('\n', " ");
        format!("{accepted} ({})", purpose.trim_end_matches('.'))
    }
}

/// The alternatives of a part of the schema, if it has any.
pub(super) fn choices(schema: &Value) -> Option<&[Value]> {
    let choices = schema.get("oneOf").or_else(|| schema.get("anyOf"))?;
    choices.as_array().map(Vec::as_slice)
}

/// Whether `value` is an attempt at the alternative `schema`: it has the constant that tells the
/// alternative from the others, or where there is no such constant, its type.
fn is_meant(schema: &Value, value: &Value) -> bool {
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

/// The names of the types that a part of the schema accepts.
pub(super) fn types(schema: &Value) -> Vec<&str> {
    match schema.get("type") {
        Some(Value::String(name)) => vec![name],
        Some(Value::Array(names)) => names.iter().filter_map(Value::as_str).collect(),
        _ => Vec::new(),
    }
}

/// Whether a value has one of the types that a part of the schema accepts.
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

/// The largest integer of a part of the schema, by its keyword or its format.
pub(super) fn integer_max(schema: &Value) -> Option<u64> {
    let by_format = match schema.get("format").and_then(Value::as_str) {
        Some("uint8") => Some(u64::from(u8::MAX)),
        Some("uint16") => Some(u64::from(u16::MAX)),
        Some("uint32") => Some(u64::from(u32::MAX)),
        _ => None,
    };
    schema.get("maximum").and_then(Value::as_u64).or(by_format)
}

/// Whether a number lies within the bounds of its schema.
fn is_in_range(schema: &Value, number: &serde_json::Number) -> bool {
    let Some(number_f64) = number.as_f64() else {
        return false;
    };
    let bound = |keyword: &str| schema.get(keyword).and_then(Value::as_f64);
    let is_integer_below_max = match (integer_max(schema), number.as_u64()) {
        (Some(max), Some(number)) => number <= max,
        _ => true,
    };
    is_integer_below_max
        && bound("minimum").is_none_or(|bound| number_f64 >= bound)
        && bound("maximum").is_none_or(|bound| number_f64 <= bound)
        && bound("exclusiveMinimum").is_none_or(|bound| number_f64 > bound)
        && bound("exclusiveMaximum").is_none_or(|bound| number_f64 < bound)
}

/// Whether a text is one of those that its schema accepts.
fn is_accepted_text(schema: &Value, text: &str) -> bool {
    if let Some(constant) = schema.get("const") {
        return constant == text;
    }
    if let Some(accepted) = schema.get("enum").and_then(Value::as_array) {
        return accepted.iter().any(|accepted| accepted == text);
    }
    format_of(schema).is_none_or(|format| (format.is_accepted)(text))
}
