//! The steps of a run, what can be taken away, what must hold, and what comes out.

use serde::{Deserialize, Serialize};

/// How a run ends at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    Answered,
    Broke,
    Declined,
}

/// One step. Numbers choose among what there is, modulo its count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// A key is minted for a node.
    Mint { node: u8 },
    /// A key for one request is minted for a node.
    MintForRequest { node: u8 },
    /// A sender makes a request with a key, to its owner (0) or to another node.
    Send { sender: u8, key: u8, astray: u8 },
    /// A message arrives and, if doubled, stays on its way as well.
    Deliver { message: u8, doubled: bool },
    /// A message is lost.
    Lose { message: u8 },
    /// A queued call begins at the target.
    Start { node: u8, call: u8 },
    /// A queued call is refused.
    Refuse { node: u8, call: u8 },
    /// A queued call is refused and its key delegated.
    Delegate { node: u8, call: u8, to: u8 },
    /// A run ends.
    Finish { node: u8, call: u8, end: End },
    /// A sender fences an attempt.
    Fence { attempt: u8 },
    /// A node is replaced by an empty one.
    Crash { node: u8 },
    /// A node stops deciding anything, or goes on.
    Freeze { node: u8, frozen: bool },
    /// A node hands its ledger over and answers from then on as one that left.
    Leave {
        node: u8,
        #[serde(rename = "heir")]
        successor: u8,
    },
    /// Time passes.
    Wait { ms: u16 },
    /// A node forgets what it may.
    Expire { node: u8 },
}

/// A mechanism that is taken away, to see the rules broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Flaw {
    /// A restarted node takes its old identity, and with it its keys.
    SameIdentity,
    /// The heir is given the keyspace without what is known of it.
    EmptyHandover,
    /// The leaver goes on running keys after the handover.
    OpenAfterHandover,
    /// The owner does not remember a delegation.
    ForgottenDelegation,
    /// The ledger forgets without a horizon.
    LedgerForgets,
    /// The attempt book forgets without watermarks.
    BookForgets,
    /// A fence is confirmed without a tombstone.
    NoTombstone,
    /// A node runs keys of other owners.
    RunsAnyKey,
    /// A node refuses before it asks its ledger.
    RefusesUnseen,
    /// A sender takes the last refusal for the verdict of the whole request.
    LastRefusalWins,
    /// A sender takes the word of a node that was restarted since the attempt was sent.
    AnyLifeMayAnswer,
    /// Calls that waited in a lost connection go out on the next one, to another life.
    CallsOutliveConnections,
}

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rule {
    /// A key runs at most once.
    OneRunOfKey,
    /// An attempt that was told "not run" does not run afterwards.
    RefusedAttemptStaysRefused,
    /// An attempt that ran is not told "not run".
    RunIsNotDenied,
    /// The holder of a key that ran does not say that no request with the key had run.
    RunOfKeyIsNotDenied,
    /// A request of which an attempt ran is not told "not run".
    RunOfRequestIsNotDenied,
    /// An answer is that of the request's own key.
    OwnAnswer,
    /// Every attempt that arrived gets a verdict.
    EveryAttemptIsSettled,
    /// A handover can be read.
    HandoverIsReadable,
}

impl Flaw {
    /// The rule that is broken without the mechanism.
    pub fn breaks(self) -> Rule {
        match self {
            Flaw::SameIdentity
            | Flaw::EmptyHandover
            | Flaw::OpenAfterHandover
            | Flaw::ForgottenDelegation
            | Flaw::LedgerForgets
            | Flaw::RunsAnyKey => Rule::OneRunOfKey,
            Flaw::BookForgets | Flaw::NoTombstone | Flaw::CallsOutliveConnections => {
                Rule::RefusedAttemptStaysRefused
            }
            Flaw::RefusesUnseen => Rule::RunOfKeyIsNotDenied,
            Flaw::LastRefusalWins | Flaw::AnyLifeMayAnswer => Rule::RunOfRequestIsNotDenied,
        }
    }
}

/// What came out of a run: how often each key ran, and what each request was told last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stated {
    pub runs_of_keys: Vec<u32>,
    pub told_to_requests: Vec<Option<String>>,
}

/// Recorded steps with what they state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trace {
    /// Why the trace is kept.
    pub about: String,
    /// The mechanism without which these steps break its rule, if it is kept for that.
    pub flaw: Option<Flaw>,
    /// What comes out of the steps.
    pub stated: Stated,
    /// The steps.
    pub ops: Vec<Op>,
}

/// How often each thing happened, to see that the rules were put to the test.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
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
    pub full_books: u32,
    pub answers_dropped_from_ledgers: u32,
    pub forgotten_attempts: u32,
    pub elsewhere: u32,
    pub dropped_answers: u32,
}
