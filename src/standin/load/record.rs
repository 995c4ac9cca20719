//! What became of one call of a run.

use serde::{Deserialize, Serialize};

/// What became of a call, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A whole and correct answer within the deadline.
    Good,
    /// A whole and correct answer after the deadline.
    Late,
    /// An answer that was not whole or not to this call.
    Wrong,
    /// An error of the target.
    Failed,
    /// A refusal: it was not run.
    NotRun,
    /// Nobody can say whether it was run.
    MayHaveRun,
    /// No answer at all.
    Broken,
}

/// What became of one call, with all of its client's attempts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When the call was due, in milliseconds since the start of the run.
    pub at_ms: f64,
    /// The kind of the call.
    pub kind: String,
    /// The policy arm that decided, as the last answer told it; empty where it did not.
    pub arm: String,
    /// What became of it.
    pub outcome: Outcome,
    /// The status of the last answer; 0 without one.
    pub status: u16,
    /// The verdict of the last answer; empty without one.
    pub verdict: String,
    /// From the moment the call was due to the last byte of the last answer, in milliseconds.
    pub took_ms: f64,
    /// Attempts of the client.
    pub attempts: u32,
    /// The whole request, as the last answer told it.
    pub root: String,
    /// The idempotency key, where there was one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}
