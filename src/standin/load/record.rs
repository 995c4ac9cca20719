//! The record of one call of a load run.

use serde::{Deserialize, Serialize};

/// The outcome of a call as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A complete and correct answer within the deadline.
    Good,
    /// A complete and correct answer after the deadline.
    Late,
    /// An answer that is incomplete or does not belong to this call.
    Wrong,
    /// An error response without the verdict "not run" or "may have run".
    Failed,
    /// A refusal: the call did not run.
    NotRun,
    /// It is unknown whether the call ran.
    MayHaveRun,
    /// No response, or the call was not sent.
    Broken,
}

/// The record of one call, over all attempts of its client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Scheduled time of the call, in milliseconds since the start of the run.
    pub at_ms: f64,
    /// Name of the kind of the call.
    pub kind: String,
    /// The policy arm named in the last response; empty if none.
    pub arm: String,
    /// The outcome of the last attempt.
    pub outcome: Outcome,
    /// Status of the last response; 0 if none.
    pub status: u16,
    /// Verdict in the last response; empty if none.
    pub verdict: String,
    /// Time from the scheduled time to the end of the last attempt, in milliseconds.
    pub took_ms: f64,
    /// Number of attempts of the client.
    pub attempts: u32,
    /// Identifier of the root request in the last response; empty if none.
    pub root: String,
    /// The idempotency key, if the call had one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
}
