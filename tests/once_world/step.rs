//! The steps, flaws and invariants of a simulation, its outcome and its recorded form.

use serde::{Deserialize, Serialize};

/// How a run ends at the target: with an answer, with a broken connection, or declined before the
/// target did anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    Answered,
    Broke,
    Declined,
}

/// One step. A number selects one of the existing items, modulo their count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// A node mints a key for a caller.
    Mint { node: u8 },
    /// A node mints a key for one request.
    MintForRequest { node: u8 },
    /// A sender makes a request with a key. It is sent to the key's owner if `recipient` is 0, else
    /// to the node that `recipient` selects.
    Send {
        sender: u8,
        key: u8,
        #[serde(rename = "astray")]
        recipient: u8,
    },
    /// A message is delivered; if `duplicated`, a copy stays in flight.
    Deliver {
        message: u8,
        #[serde(rename = "doubled")]
        duplicated: bool,
    },
    /// A message is lost.
    Lose { message: u8 },
    /// A queued call starts to run at the target.
    Start { node: u8, call: u8 },
    /// A queued call is refused.
    Refuse { node: u8, call: u8 },
    /// A queued call is refused and its key is delegated.
    Delegate { node: u8, call: u8, to: u8 },
    /// A run ends.
    Finish { node: u8, call: u8, end: End },
    /// A sender fences an attempt.
    Fence { attempt: u8 },
    /// A node is replaced by one with no state.
    Crash { node: u8 },
    /// A node is paused or resumed.
    Freeze { node: u8, frozen: bool },
    /// A node hands its ledger over to another node and runs no keys afterwards.
    Leave {
        node: u8,
        #[serde(rename = "heir")]
        successor: u8,
    },
    /// Time passes.
    Wait { ms: u16 },
    /// A node removes its expired keys and attempts.
    Expire { node: u8 },
}

/// A flaw: a disabled mechanism, without which an invariant is violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Flaw {
    /// A restarted node keeps its old identity, and with it its keys.
    SameIdentity,
    /// The successor takes over the keyspace without its recorded keys.
    EmptyHandover,
    /// A node that left continues to run keys after the handover.
    OpenAfterHandover,
    /// The owner does not record a delegation.
    #[serde(rename = "ForgottenDelegation")]
    UnrecordedDelegation,
    /// The ledger removes keys without a horizon.
    LedgerForgets,
    /// The attempt table removes attempts without watermarks.
    #[serde(rename = "BookForgets")]
    AttemptTableForgets,
    /// A fence of an attempt that has not arrived is confirmed but not recorded.
    #[serde(rename = "NoTombstone")]
    UnrecordedFence,
    /// A node runs keys of other owners.
    RunsAnyKey,
    /// A node refuses a call before it checks its ledger.
    #[serde(rename = "RefusesUnseen")]
    RefusesBeforeLedger,
    /// A sender uses the last refusal as the verdict of the whole request.
    LastRefusalWins,
    /// A sender accepts a verdict from another incarnation than the one the attempt was sent to.
    #[serde(rename = "AnyLifeMayAnswer")]
    AnyIncarnationMayAnswer,
    /// Calls queued on a lost connection are sent on the next one, to another incarnation.
    CallsOutliveConnections,
}

/// An invariant that is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Invariant {
    /// A key runs at most once.
    OneRunOfKey,
    /// An attempt that was reported "not run" does not run later.
    RefusedAttemptStaysRefused,
    /// An attempt that ran is not reported "not run".
    RunIsNotDenied,
    /// The holder of a key that ran does not report that no request with the key had run.
    RunOfKeyIsNotDenied,
    /// A request of which an attempt ran is not reported "not run".
    RunOfRequestIsNotDenied,
    /// A request gets the answer of its own key.
    OwnAnswer,
    /// Every attempt that arrived gets a verdict.
    EveryAttemptIsSettled,
    /// A handover can be decoded.
    HandoverIsReadable,
}

impl Flaw {
    /// The invariant that the flaw violates.
    pub fn violates(self) -> Invariant {
        match self {
            Flaw::SameIdentity
            | Flaw::EmptyHandover
            | Flaw::OpenAfterHandover
            | Flaw::UnrecordedDelegation
            | Flaw::LedgerForgets
            | Flaw::RunsAnyKey => Invariant::OneRunOfKey,
            Flaw::AttemptTableForgets | Flaw::UnrecordedFence | Flaw::CallsOutliveConnections => {
                Invariant::RefusedAttemptStaysRefused
            }
            Flaw::RefusesBeforeLedger => Invariant::RunOfKeyIsNotDenied,
            Flaw::LastRefusalWins | Flaw::AnyIncarnationMayAnswer => {
                Invariant::RunOfRequestIsNotDenied
            }
        }
    }
}

/// The outcome of the steps: how often each key ran, and the last verdict reported to each request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunOutcome {
    pub runs_of_keys: Vec<u32>,
    #[serde(rename = "told_to_requests")]
    pub last_verdicts: Vec<Option<String>>,
}

/// Recorded steps with their expected outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trace {
    /// Why the trace is kept.
    pub about: String,
    /// The flaw with which the same steps violate an invariant, if the trace is kept for that.
    pub flaw: Option<Flaw>,
    /// The expected outcome without a flaw.
    #[serde(rename = "stated")]
    pub expected: RunOutcome,
    /// The steps.
    pub ops: Vec<Op>,
}

/// How often each kind of event occurred, to check that the random steps reach all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventCounts {
    pub runs: u32,
    pub runs_of_delegated: u32,
    pub runs_of_inherited: u32,
    pub joined: u32,
    pub recorded_answers: u32,
    pub fenced: u32,
    pub delegated: u32,
    pub adopted: u32,
    pub keys_refused: u32,
    pub expired_keys: u32,
    pub full_ledgers: u32,
    pub full_attempt_tables: u32,
    pub answers_dropped_from_ledgers: u32,
    pub forgotten_attempts: u32,
    pub keys_held_elsewhere: u32,
    pub dropped_answers: u32,
}
