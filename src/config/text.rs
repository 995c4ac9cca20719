//! The kinds of text that settings hold: names, addresses, URLs.

use std::net::SocketAddr;

use serde_json::Value;

use super::lookup::is_canonical;

/// The longest name of a service, class, node and so on, in bytes.
const NAME_MAX_BYTES: usize = 64;
/// The format of base URLs.
const HTTP_URL: &str = "http-url";

/// A kind of text, named by the schema's keyword `format`.
pub(super) struct TextFormat {
    /// The name in the schema.
    name: &'static str,
    /// Whether a text is of this kind.
    pub is_accepted: fn(&str) -> bool,
    /// What is accepted, in words.
    pub description: &'static str,
}

/// Every kind of text.
const FORMATS: &[TextFormat] = &[
    TextFormat {
        name: "name",
        is_accepted: is_name,
        description: "a name of 1 to 64 letters, digits, dots, dashes and underscores, \
                      beginning with a letter or digit",
    },
    TextFormat {
        name: "method",
        is_accepted: |text| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_uppercase()),
        description: "a method of HTTP in upper case, such as \"POST\"",
    },
    TextFormat {
        name: "path-prefix",
        is_accepted: |text| is_canonical(text) && !text.contains(['?', '%']),
        description: "a path that begins with /, without empty or dot segments, ?, #, % or \
                      backslash",
    },
    TextFormat {
        name: "env-name",
        is_accepted: is_env_name,
        description: "the name of an environment variable",
    },
    TextFormat {
        name: "ip-port",
        is_accepted: |text| text.parse::<SocketAddr>().is_ok(),
        description: "an IP number and port, such as \"127.0.0.1:7001\"",
    },
    TextFormat {
        name: HTTP_URL,
        is_accepted: is_http_url,
        description: "a URL of http or https, without user, query or fragment",
    },
];

/// The kind of text that a part of the schema asks for, if it asks for one.
pub(super) fn format_of(schema: &Value) -> Option<&'static TextFormat> {
    let name = schema.get("format")?.as_str()?;
    FORMATS.iter().find(|format| format.name == name)
}

/// Whether a refused text may hold a password and must not be repeated.
pub(super) fn may_hold_password(schema: &Value, text: &str) -> bool {
    format_of(schema).is_some_and(|format| format.name == HTTP_URL) && text.contains('@')
}

/// Whether a text can stand in rows, paths and reports.
fn is_name(text: &str) -> bool {
    let is_accepted = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    let starts_well = text.bytes().next().is_some_and(|byte| byte.is_ascii_alphanumeric());
    starts_well && text.len() <= NAME_MAX_BYTES && text.bytes().all(is_accepted)
}

/// Whether a text can be the name of an environment variable.
fn is_env_name(text: &str) -> bool {
    let starts_well = text.bytes().next().is_some_and(|byte| !byte.is_ascii_digit());
    starts_well && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'_')
}

/// Whether a text is a base URL of HTTP.
fn is_http_url(text: &str) -> bool {
    let Ok(url) = reqwest::Url::parse(text) else {
        return false;
    };
    let is_http = matches!(url.scheme(), "http" | "https") && url.has_host();
    let is_bare = url.query().is_none() && url.fragment().is_none();
    is_http && is_bare && url.username().is_empty() && url.password().is_none()
}
