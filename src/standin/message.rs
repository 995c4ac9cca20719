//! HTTP requests and replies of the stand-ins, independent of the HTTP library.

use serde::Serialize;
use serde_json::Value;

/// A request with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The method, in upper case.
    pub method: String,
    /// The path without its query, percent-decoded.
    pub path: String,
    /// The query as it was sent, without the question mark.
    pub query: String,
    /// All headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Request {
    /// The value of the first header with this name; `name` must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header_name, _)| header_name == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The path (percent-decoded) and the query.
    pub fn path_and_query(&self) -> String {
        if self.query.is_empty() {
            return self.path.clone();
        }
        format!("{}?{}", self.path, self.query)
    }

    /// The value of a query parameter, without percent-decoding.
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

/// How much of a reply is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Delivery {
    /// The whole reply is sent.
    #[default]
    Complete,
    /// Status, headers and half of the body are sent, then the connection is closed.
    Truncated,
    /// The connection is closed without sending a byte.
    Closed,
}

/// A reply of a stand-in.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
    /// How much of the reply is sent.
    pub delivery: Delivery,
}

impl Reply {
    /// A reply without a body.
    pub fn empty(status: u16) -> Self {
        Self { status, ..Self::default() }
    }

    /// A reply with a body of bytes.
    pub fn bytes(status: u16, body: Vec<u8>) -> Self {
        Self { status, body, ..Self::default() }
            .with_header("content-type", "application/octet-stream")
    }

    /// A reply with a JSON body.
    pub fn json(status: u16, body: &impl Serialize) -> Self {
        let body = serde_json::to_vec(body).unwrap_or_default();
        Self { status, body, ..Self::default() }.with_header("content-type", "application/json")
    }

    /// A reply with problem details (RFC 9457).
    pub fn problem(status: u16, title: &str) -> Self {
        let details = serde_json::json!({"type": "about:blank", "title": title, "status": status});
        let body = serde_json::to_vec::<Value>(&details).unwrap_or_default();
        Self { status, body, ..Self::default() }
            .with_header("content-type", "application/problem+json")
    }

    /// No reply: the connection is closed without sending a byte.
    pub fn closed() -> Self {
        Self { status: 500, delivery: Delivery::Closed, ..Self::default() }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}
