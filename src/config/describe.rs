//! Text for error messages: what a subschema accepts, and what was found instead.

use serde_json::Value;

use super::format::format_of;
use super::validate::{alternatives, integer_max, types};

/// The maximum length of a value in an error message, in characters.
const FOUND_MAX_CHARS: usize = 80;

/// A value as compact JSON, truncated if it is long.
pub(super) fn render(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= FOUND_MAX_CHARS {
        return text;
    }
    let start: String = text.chars().take(FOUND_MAX_CHARS).collect();
    format!("{start}...")
}

/// What a subschema accepts, as text.
pub(super) fn describe(schema: &Value) -> String {
    if let Some(constant) = schema.get("const") {
        return constant.to_string();
    }
    if let Some(accepted) = schema.get("enum").and_then(Value::as_array) {
        let accepted: Vec<String> = accepted.iter().map(Value::to_string).collect();
        return accepted.join(" or ");
    }
    if let Some(alternatives) = alternatives(schema) {
        let accepted: Vec<String> = alternatives.iter().map(describe).collect();
        return accepted.join(" or ");
    }
    let types = types(schema);
    let accepted: Vec<String> = types.iter().map(|name| describe_type(schema, name)).collect();
    accepted.join(" or ")
}

/// What a subschema accepts of one type, as text.
fn describe_type(schema: &Value, name: &str) -> String {
    match name {
        "boolean" => "true or false".to_owned(),
        "integer" => format!("an integer{}", describe_range(schema)),
        "number" => format!("a number{}", describe_range(schema)),
        "string" => format_of(schema).map_or("a string", |format| format.description).to_owned(),
        "array" => "a list".to_owned(),
        "object" => describe_object(schema),
        other => other.to_owned(),
    }
}

/// The kind of object that a subschema accepts, as text.
fn describe_object(schema: &Value) -> String {
    let properties = schema.get("properties").and_then(Value::as_object);
    for (name, property) in properties.into_iter().flatten() {
        if let Some(constant) = property.get("const") {
            return format!("an object with \"{name}\": {constant}");
        }
    }
    "an object".to_owned()
}

/// The bounds of a number, as text.
fn describe_range(schema: &Value) -> String {
    let bound = |keyword: &str| schema.get(keyword).map(Value::to_string);
    let maximum = bound("maximum").or_else(|| integer_max(schema).map(|max| max.to_string()));
    let (minimum, maximum) = match (bound("minimum"), maximum) {
        (Some(minimum), Some(maximum)) => return format!(" from {minimum} to {maximum}"),
        bounds => bounds,
    };
    let at_least = minimum.map(|bound| format!(" of at least {bound}"));
    let above = bound("exclusiveMinimum").map(|bound| format!(" above {bound}"));
    let at_most = maximum.map(|bound| format!(" of at most {bound}"));
    let below = bound("exclusiveMaximum").map(|bound| format!(" below {bound}"));
    let bounds: Vec<String> = [at_least, above, at_most, below].into_iter().flatten().collect();
    bounds.join(" and")
}
