//! One HTTP exchange as a stand-in sees it, apart from the library that carries it.

use serde::Serialize;
use serde_json::Value;

/// A request, whole.
#[derive(Clone, Debug, Default)]
pub struct Exchange {
    /// The method, in upper case.
    pub method: String,
    /// The path without its query, percent-decoded.
    pub path: String,
    /// The query without its question mark, as it was sent.
    pub query: String,
    /// All headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Exchange {
    /// The first header of this name, which is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(present, _)| present == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The path with its query, as a caller wrote it.
    pub fn target(&self) -> String {
        if self.query.is_empty() {
            return self.path.clone();
        }
        format!("{}?{}", self.path, self.query)
    }

    /// The value of a query parameter, not decoded.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        for pair in self.query.split('&') {
            let Some((present, value)) = pair.split_once('=') else { continue };
            if present == name {
                return Some(value);
            }
        }
        None
    }
}

/// How a reply ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Ending {
    /// The reply is sent whole.
    #[default]
    Whole,
    /// Status, headers and half of the body are sent, then the connection is closed.
    Truncated,
    /// The connection is closed without a byte.
    Closed,
}

/// What a stand-in sends back.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// Headers of the reply.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
    /// How the reply ends.
    pub ending: Ending,
}

impl Reply {
    /// A reply without a body.
    pub fn empty(status: u16) -> Self {
        Self { status, ..Self::default() }
    }

    /// A reply of bytes.
    pub fn bytes(status: u16, body: Vec<u8>) -> Self {
        Self { status, body, ..Self::default() }.with("content-type", "application/octet-stream")
    }

    /// A reply in JSON.
    pub fn json(status: u16, body: &impl Serialize) -> Self {
        let body = serde_json::to_vec(body).unwrap_or_default();
        Self { status, body, ..Self::default() }.with("content-type", "application/json")
    }

    /// Problem details (RFC 9457).
    pub fn problem(status: u16, title: &str) -> Self {
        let details = serde_json::json!({"type": "about:blank", "title": title, "status": status});
        let body = serde_json::to_vec::<Value>(&details).unwrap_or_default();
        Self { status, body, ..Self::default() }.with("content-type", "application/problem+json")
    }

    /// Closes the connection without an answer.
    pub fn closed() -> Self {
        Self { status: 500, ending: Ending::Closed, ..Self::default() }
    }

    /// Adds a header.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}
