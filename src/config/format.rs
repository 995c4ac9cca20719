//! String formats of the settings, such as names, addresses and URLs.

use std::net::SocketAddr;

use serde_json::Value;

use super::lookup::is_canonical;

/// The maximum length of the name of a service, class, node and so on, in bytes.
const NAME_MAX_BYTES: usize = 64;
/// The name of the format of base URLs.
const HTTP_URL: &str = "http-url";

/// A string format, referred to by the schema keyword `format`.
pub(super) struct StringFormat {
    /// The name in the schema.
    name: &'static str,
    /// Whether a string has this format.
    pub is_valid: fn(&str) -> bool,
    /// What is accepted, for error messages.
    pub description: &'static str,
}

/// Every string format.
const FORMATS: &[StringFormat] = &[
    StringFormat {
        name: "name",
        is_valid: is_name,
        description: "a name of 1 to 64 letters, digits, dots, dashes and underscores, \
                      beginning with a letter or digit",
    },
    StringFormat {
        name: "method",
        is_valid: |text| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_uppercase()),
        description: "an HTTP method in upper case, such as \"POST\"",
    },
    StringFormat {
        name: "path-prefix",
        is_valid: |text| is_canonical(text) && !text.contains(['?', '%']),
        description: "a path that begins with /, without empty or dot segments, ?, #, % or \
                      backslash",
    },
    StringFormat {
        name: "env-name",
        is_valid: is_env_name,
        description: "the name of an environment variable",
    },
    StringFormat {
        name: "ip-port",
        is_valid: |text| text.parse::<SocketAddr>().is_ok(),
        description: "an IP address and port, such as \"127.0.0.1:7001\"",
    },
    StringFormat {
        name: HTTP_URL,
        is_valid: is_http_url,
        description: "an HTTP or HTTPS URL without user, query or fragment",
    },
];

/// The string format that a subschema requires, if any.
pub(super) fn format_of(schema: &Value) -> Option<&'static StringFormat> {
    let name = schema.get("format")?.as_str()?;
    FORMATS.iter().find(|format| format.name == name)
}

/// Whether a refused string may contain a password, which must not appear in error messages.
pub(super) fn may_hold_password(schema: &Value, text: &str) -> bool {
    format_of(schema).is_some_and(|format| format.name == HTTP_URL) && text.contains('@')
}

/// Whether a string can be used as a name in rows, paths and reports.
fn is_name(text: &str) -> bool {
    let is_accepted = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    let has_valid_start = text.bytes().next().is_some_and(|byte| byte.is_ascii_alphanumeric());
    has_valid_start && text.len() <= NAME_MAX_BYTES && text.bytes().all(is_accepted)
}

/// Whether a string can be the name of an environment variable.
fn is_env_name(text: &str) -> bool {
    let has_valid_start = text.bytes().next().is_some_and(|byte| !byte.is_ascii_digit());
    has_valid_start && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'_')
}

/// Whether a string is an HTTP or HTTPS base URL.
fn is_http_url(text: &str) -> bool {
    let Ok(url) = reqwest::Url::parse(text) else {
        return false;
    };
    let is_http = matches!(url.scheme(), "http" | "https") && url.has_host();
    let has_only_base = url.query().is_none() && url.fragment().is_none();
    is_http && has_only_base && url.username().is_empty() && url.password().is_none()
}
