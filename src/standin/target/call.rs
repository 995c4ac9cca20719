//! An incoming call, parsed from its HTTP request.

use bytes::Bytes;
use tokio::time::{Duration, Instant};

use crate::standin::message::Request;

/// An incoming call.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// The method.
    pub(super) method: String,
    /// The path without the service name, with the query.
    pub(super) path: String,
    /// The headers, names in lower case.
    headers: Vec<(String, String)>,
    /// The whole body.
    pub(super) body: Bytes,
    /// After this, the caller no longer waits for an answer.
    pub(super) deadline: Instant,
}

impl Call {
    /// The call in a request received at `now`. The request can set a deadline of at most
    /// `default_deadline_ms` from now, which is also the default.
    pub(super) fn new(request: Request, default_deadline_ms: u64, now: Instant) -> Self {
        let header_value = request.header("aspenspring-deadline-ms");
        let remaining_ms = header_value.and_then(|value| value.parse().ok());
        let remaining_ms = remaining_ms.unwrap_or(default_deadline_ms).min(default_deadline_ms);
        Self {
            path: request.path_and_query(),
            method: request.method,
            headers: request.headers,
            body: request.body.into(),
            deadline: now + Duration::from_millis(remaining_ms),
        }
    }

    /// The first header with this name; `name` must be in lower case.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header_name, _)| header_name == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The identifier by which the node can cancel the call.
    pub(super) fn call_id(&self) -> Option<&str> {
        self.header("aspenspring-call")
    }

    /// The idempotency key.
    pub(super) fn key(&self) -> Option<&str> {
        self.header("idempotency-key")
    }

    /// The policy arm that the node chose for the call.
    pub(super) fn arm(&self) -> Option<&str> {
        self.header("aspenspring-arm")
    }
}
