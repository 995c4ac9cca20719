//! Reads what a target states about itself in the headers of its answers.

use thiserror::Error;

use super::condition::{self, InvalidLoadReport};
use super::header_names::HeaderNames;
use super::http1::Reply;

/// The value with which a target states that it is about to leave.
const LEAVING: &str = "1";

/// The target names a limit that is not a decimal number of requests per second.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("limit {0:?} is not a decimal number of requests per second")]
pub struct InvalidLimit(String);

/// What an answer states about the target that sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct Signal {
    /// Requests per second that the target accepts from all nodes together; `None` if it names no
    /// limit.
    pub limit_per_s: Result<Option<f64>, InvalidLimit>,
    /// Whether the target is about to leave.
    pub is_leaving: bool,
    /// The slowness in its load report, in percent; `None` without an extended report.
    pub slowness_percent: Result<Option<u16>, InvalidLoadReport>,
}

impl Signal {
    /// Reads the headers of an answer, whatever its status.
    pub fn read(reply: &Reply, header_names: &HeaderNames) -> Self {
        let limit = reply.header(header_names.limit.as_str());
        let load = reply.header(header_names.load.as_str());
        let leaving = reply.header(header_names.leaving.as_str());
        Self {
            limit_per_s: limit.map(read_limit).transpose(),
            is_leaving: leaving.is_some_and(|value| value.trim() == LEAVING),
            slowness_percent: load.map_or(Ok(None), condition::read_slowness),
        }
    }
}

/// Parses a limit: digits with an optional fraction.
fn read_limit(text: &str) -> Result<f64, InvalidLimit> {
    let digits = text.trim();
    let is_decimal = digits.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let parsed = digits.parse::<f64>().ok().filter(|limit| is_decimal && limit.is_finite());
    parsed.ok_or_else(|| InvalidLimit(text.to_owned()))
}
