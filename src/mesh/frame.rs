//! What nodes say to each other.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use super::incarnation::Incarnation;

/// One message. Nodes of different versions meet while a release is on its way: what is new goes to the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Who the sender is; the first frame in each direction.
    Hello(Hello),
    /// A request for the target beside the receiver.
    Call(Call),
    /// What became of a call.
    Answer {
        /// The number of the call.
        id: u64,
        /// What became of it.
        end: CallEnd,
        /// What the target has to do.
        load: Load,
    },
    /// Nobody waits for the answer to a call any more.
    Cancel {
        /// The number of the call.
        id: u64,
    },
    /// Asks for a sign of life, to see whether the connection still works; answered by a `Load`.
    Ping,
    /// What the sender's target has to do; all else is as it was told last.
    Load(Load),
    /// The state of the sender's target has changed.
    Status(Status),
    /// Asks which other nodes the receiver knows.
    NeighboursWanted,
    /// The other nodes that the sender is linked with.
    Neighbours(Vec<Neighbour>),
    /// Asks for the configuration.
    SiteWanted,
    /// The configuration in force at the sender, as the platform's adapter encoded it.
    Site {
        /// The encoded configuration.
        document: Bytes,
    },
    /// The target beside the sender has ended.
    Crash(Crash),
    /// A suspect has succeeded.
    Cleared(Fingerprint),
    /// The suspects that the sender knows, for a node that may not.
    Suspicions(Vec<Suspicion>),
    /// Asks the owner of a team's quota for tokens.
    QuotaWanted {
        /// The team.
        team: String,
        /// How many.
        tokens: u32,
    },
    /// Answers that.
    QuotaGranted {
        /// The team.
        team: String,
        /// What is granted; nothing where the sender does not own the quota.
        grant: Option<QuotaGrant>,
    },
    /// Tokens that were granted and not used.
    QuotaReturned {
        /// The team.
        team: String,
        /// How many.
        tokens: u32,
    },
}

/// What the owner of a quota grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Requests that may run.
    pub tokens: u32,
    /// How long it is of no use to ask again, in milliseconds.
    pub dry_ms: u32,
    /// When a refused caller may come back, in milliseconds.
    pub come_back_ms: u32,
    /// Requests granted to all nodes over the last five seconds.
    pub used: u32,
}

/// Who a node is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Where other nodes reach it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its state.
    pub status: Status,
    /// Incarnations of the receiver's target that an earlier life of the receiver said had left.
    pub left_incarnations: Vec<Incarnation>,
}

/// The end of a target, as far as requests may have caused it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Crash {
    /// The requests that it was running, each once.
    pub requests: Vec<Fingerprint>,
    /// The one that is held back from now on.
    pub held: Option<Fingerprint>,
}

/// What is known of a request beside which targets have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// Which request it is.
    pub fingerprint: Fingerprint,
    /// How many targets have ended with it running since it last succeeded.
    pub crashes: u32,
    /// How often it was held back.
    pub holds: u32,
}

/// A node as another one tells of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Neighbour {
    /// Where other nodes reach it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
}

/// The state of the target beside a node, and the version of its configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The service of the target.
    pub service: String,
    /// The incarnation of the target; its id is empty where none is known.
    pub incarnation: Incarnation,
    /// Whether the target takes new work.
    pub ready: bool,
    /// Whether the node was told to stop.
    pub stopping: bool,
    /// Whether the target has started only lately and is still slow.
    pub cold: bool,
    /// The version of the configuration in force at the node.
    pub site_version: u64,
    /// Whether the node could follow the store: it runs on, and the store answers it.
    pub reaches_store: bool,
    /// The routes by which requests began that have reached the target of late.
    pub roots: Vec<RootWork>,
    /// Incarnations that are leaving, have left or were replaced.
    pub left: Vec<Incarnation>,
    /// What the target has to do.
    pub load: Load,
    /// The share of its answers that were failures of late, in hundredths.
    pub failing_percent: u8,
}

impl Status {
    /// Whether it says the same as `other`, whatever the target has to do.
    pub fn is_same_but_for_work(&self, other: &Self) -> bool {
        self.service == other.service
            && self.incarnation == other.incarnation
            && self.ready == other.ready
            && self.stopping == other.stopping
            && self.cold == other.cold
            && self.site_version == other.site_version
            && self.reaches_store == other.reaches_store
            && self.left == other.left
            && self.failing_percent == other.failing_percent
            && self.root_names().eq(other.root_names())
    }

    /// The routes by which requests began that have reached the target of late.
    fn root_names(&self) -> impl Iterator<Item = &String> {
        self.roots.iter().map(|work| &work.root)
    }
}

/// What a target does for requests that began by one route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RootWork {
    /// The route.
    pub root: String,
    /// Requests it is running.
    pub running: u32,
}

/// What a target has to do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests it is running.
    pub running: u32,
    /// Requests that wait for it at its node.
    pub waiting: u32,
    /// How many requests it may run at once.
    pub limit: u32,
}

/// A request for the target beside the receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Its number on this connection.
    pub id: u64,
    /// The service it is for.
    pub service: String,
    /// The id of the caller's attempt.
    pub attempt_id: String,
    /// How long an answer is of use, in milliseconds.
    pub remaining_ms: u32,
    /// The route by which a caller's request began it all.
    pub root: String,
    /// The rank of that route; the lowest goes first.
    pub rank: u8,
    /// Whether it repeats a run, or is made by a run that does.
    pub is_repeat: bool,
    /// The team whose key let the caller's request in; empty where no key did.
    pub team: String,
    /// The method.
    pub method: String,
    /// The path with the query.
    pub path: String,
    /// The headers, without the id of the attempt.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
}

impl Call {
    /// What is the same of the request whenever it comes again. Reads the whole body.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(&self.method, &self.path, &self.headers, &self.body)
    }
}

/// A header of a request or an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Its name.
    pub name: Bytes,
    /// Its value.
    pub value: Bytes,
}

impl Header {
    /// A header of text.
    pub fn new(name: &str, value: &[u8]) -> Self {
        Self { name: Bytes::copy_from_slice(name.as_bytes()), value: Bytes::copy_from_slice(value) }
    }
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallEnd {
    /// The target's whole answer.
    Answered(TargetAnswer),
    /// The target did not run the request and never will run this call.
    NotRun(NotRun),
    /// Nobody can say whether the target ran the request.
    MayHaveRun(Doubt),
}

impl CallEnd {
    /// Whether it is an answer other than a failure of the target.
    pub fn went_well(&self) -> bool {
        matches!(self, Self::Answered(answer) if !answer.is_failure())
    }

    /// The status of the target's answer; 0 where there is none.
    pub fn status(&self) -> u16 {
        match self {
            Self::Answered(answer) => answer.status,
            Self::NotRun(_) | Self::MayHaveRun(_) => 0,
        }
    }

    /// Whether the request has reached the target.
    pub fn has_arrived(&self) -> bool {
        match self {
            Self::NotRun(reason) => reason.has_arrived(),
            Self::Answered(_) | Self::MayHaveRun(_) => true,
        }
    }

    /// Whether it speaks against the target itself. One that was too slow, or whose own calls failed,
    /// may be as good as any other.
    pub fn speaks_against_target(&self) -> bool {
        match self {
            Self::Answered(answer) => {
                let is_late = answer.status == http::StatusCode::GATEWAY_TIMEOUT.as_u16();
                answer.is_failure() && !is_late && !answer.has_failed_below
            }
            Self::NotRun(reason) => *reason == NotRun::Declined,
            Self::MayHaveRun(doubt) => *doubt == Doubt::TargetBroke,
        }
    }

    /// The name of the verdict in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun(_) => "not_run",
            Self::MayHaveRun(_) => "may_have_run",
        }
    }

    /// The name of the reason in logs.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Answered(answer) => answer.reason(),
            Self::NotRun(reason) => reason.name(),
            Self::MayHaveRun(doubt) => doubt.name(),
        }
    }
}

/// The whole answer of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetAnswer {
    /// The status.
    pub status: u16,
    /// Whether a call that the target made for it has failed, by this node or further down.
    pub has_failed_below: bool,
    /// The headers, without those that concern one connection and the id of the attempt, which whoever
    /// waits for the answer knows.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
}

impl TargetAnswer {
    /// Whether the target says that it failed.
    pub fn is_failure(&self) -> bool {
        self.status >= 500
    }

    /// The name in logs: whether it worked, and if not, whether that came from a call that the target
    /// made.
    pub fn reason(&self) -> &'static str {
        match (self.is_failure(), self.has_failed_below) {
            (false, _) => "answered",
            (true, false) => "target-failed",
            (true, true) => "call-failed",
        }
    }
}

/// Why a call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRun {
    /// There is no target of the service beside the node.
    NoTarget,
    /// The target is leaving, or its node is.
    Leaving,
    /// The entry node had no room for the request.
    Shed,
    /// The entry node is about to end.
    Closing,
    /// The queue was full.
    QueueFull,
    /// The deadline passed in the queue.
    Expired,
    /// No connection to the target could be made.
    Unreachable,
    /// The request reached the target, which said that it did not run it.
    Declined,
    /// The request has ended targets that ran it, and is held back.
    Quarantined,
    /// The connection to the node was lost before the call was sent.
    Unsent,
    /// Nobody holds the key that the request carries, or it carries none.
    NoKey,
    /// The quota of the team is used up.
    OverQuota,
    /// A call for a run that has ended.
    Orphaned,
}

impl NotRun {
    /// Whether the request has reached a target all the same.
    pub fn has_arrived(self) -> bool {
        self == Self::Declined
    }

    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoTarget => "no-target",
            Self::Leaving => "leaving",
            Self::Shed => "shed",
            Self::Closing => "closing",
            Self::QueueFull => "queue-full",
            Self::Expired => "expired",
            Self::Unreachable => "target-unreachable",
            Self::Declined => "target-declined",
            Self::Quarantined => "quarantined",
            Self::Unsent => "unsent",
            Self::NoKey => "no-key",
            Self::OverQuota => "over-quota",
            Self::Orphaned => "orphaned",
        }
    }
}

/// Why nobody can say whether a call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Doubt {
    /// No answer came in time.
    Timeout,
    /// The connection to the node was lost.
    LinkLost,
    /// The target broke off, or its answer made no sense.
    TargetBroke,
    /// It was made for a run that ended without an answer.
    Withdrawn,
}

impl Doubt {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Timeout => "timeout",
            Self::LinkLost => "link-lost",
            Self::TargetBroke => "target-broke",
            Self::Withdrawn => "withdrawn",
        }
    }
}
