//! One call as a target sees it.

use bytes::Bytes;
use tokio::time::{Duration, Instant};

use crate::standin::exchange::Exchange;

/// One call as a target sees it.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// The method.
    pub(super) method: String,
    /// The path below the service, with its query.
    pub(super) path: String,
    /// The headers, names in lower case.
    headers: Vec<(String, String)>,
    /// The whole body.
    pub(super) body: Bytes,
    /// When the caller has no more use for an answer.
    pub(super) deadline: Instant,
}

impl Call {
    /// The call of an exchange that came in at `now`.
    pub(super) fn new(exchange: Exchange, default_deadline_ms: u64, now: Instant) -> Self {
        let remaining = exchange.header("aspenspring-deadline-ms");
        let remaining_ms = remaining.and_then(|value| value.parse().ok());
        let remaining_ms = remaining_ms.unwrap_or(default_deadline_ms).min(default_deadline_ms);
        Self {
            path: exchange.target(),
            method: exchange.method,
            headers: exchange.headers,
            body: exchange.body.into(),
            deadline: now + Duration::from_millis(remaining_ms),
        }
    }

    /// The first header of this name, which is given in lower case.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(present, _)| present == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The handle by which the node cancels the call.
    pub(super) fn handle(&self) -> Option<&str> {
        self.header("aspenspring-call")
    }

    /// The idempotency key.
    pub(super) fn key(&self) -> Option<&str> {
        self.header("idempotency-key")
    }

    /// The policy arm.
    pub(super) fn arm(&self) -> Option<&str> {
        self.header("aspenspring-arm")
    }
}
