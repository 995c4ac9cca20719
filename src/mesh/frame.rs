//! The frames that nodes exchange.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::framing::FINAL_STATUSES;

use super::field;
use super::fingerprint::Fingerprint;
use super::incarnation::Incarnation;

/// A frame. Nodes of different versions run side by side during a rolling upgrade, so new variants
/// are added at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Identifies the sender; the first frame in each direction.
    Hello(Hello),
    /// A request for the receiver's target.
    Call(Call),
    /// The result of a call.
    Answer {
        /// Id of the call.
        id: u64,
        /// The result.
        end: CallEnd,
        /// Load of the target.
        load: Load,
    },
    /// Cancels a call whose answer is no longer needed.
    Cancel {
        /// Id of the call.
        id: u64,
    },
    /// Checks whether the connection is alive; answered by a `Load`.
    Ping,
    /// Load of the sender's target; the rest of its status is unchanged.
    Load(Load),
    /// Status of the sender and its target.
    Status(Status),
    /// Requests the other nodes that the receiver is linked with.
    NeighboursWanted,
    /// The other nodes that the sender is linked with.
    Neighbours(Vec<Neighbour>),
    /// Requests the configuration.
    SiteWanted,
    /// The configuration in force at the sender, as encoded by the platform adapter.
    Site {
        /// The encoded configuration.
        document: Bytes,
    },
    /// The sender's target has crashed.
    Crash(Crash),
    /// A suspect request has succeeded and is no longer suspect.
    Cleared(Fingerprint),
    /// The suspect requests known to the sender, for a node that has just connected.
    Suspicions(Vec<Suspicion>),
    /// Requests tokens from the owner of a team's quota.
    QuotaWanted {
        /// The team.
        team: String,
        /// Number of tokens.
        tokens: u32,
    },
    /// Answers `QuotaWanted`.
    QuotaGranted {
        /// The team.
        team: String,
        /// The grant; `None` if the sender does not own the quota.
        grant: Option<QuotaGrant>,
    },
    /// Returns granted tokens that were not used.
    QuotaReturned {
        /// The team.
        team: String,
        /// Number of tokens.
        tokens: u32,
    },
    /// The limit that the sender's target has named. From a node that has dialled the link: the
    /// limit that the receiver reported earlier, which it may have forgotten in a restart.
    Limit(TargetLimit),
    /// A call that the receiver refused because of the limit of its target, and that no other
    /// target could take.
    Unmet,
    /// The condition of the sender's target. Like all variants below, it is sent only to nodes that
    /// have announced `FEATURE_CONDITION`.
    Condition(Condition),
    /// The calls that were made for the call `id`; sent before its answer.
    TreeCalls {
        /// Id of the call.
        id: u64,
        /// The calls by service.
        calls: Vec<ServiceCalls>,
    },
    /// How the teams use the sender's target.
    TeamUse(TeamUse),
    /// The sender is about to exit. Calls of it that wait have to begin in time or end as not run.
    /// Sent only to nodes that have announced `FEATURE_CALLER_END`.
    CallerEnd {
        /// Time until which a waiting call may begin, in milliseconds.
        begin_ms: u32,
        /// Time until the sender exits, in milliseconds.
        ends_ms: u32,
    },
}

/// Hop-by-hop and message-framing headers, which are not forwarded with an answer.
pub const CONNECTION_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "trailer",
    "upgrade",
    "proxy-connection",
];

/// Feature bit of a node that reads `Condition`, `TreeCalls` and `TeamUse`.
pub const FEATURE_CONDITION: u32 = 1;
/// Feature bit of a node that reads `CallerEnd`.
pub const FEATURE_CALLER_END: u32 = 2;

/// The condition of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Share of recent offers that the target rejected, in percent. Failures don't count.
    pub rejected_percent: u8,
    /// How long work takes on its machine now, in percent of the usual time; 0 if the target does
    /// not send the extended load report.
    pub slowness_percent: u16,
    /// Moving average of the run time at the usual slowness, in microseconds; 0 if unknown.
    pub run_us: u32,
}

impl Condition {
    /// Whether the target sends the extended load report.
    pub fn is_extended(&self) -> bool {
        self.slowness_percent > 0
    }
}

/// Calls to one service that were made for a request, at any depth.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCalls {
    /// The service.
    pub service: String,
    /// Number of calls, each counted once.
    pub requests: u32,
    /// Number of further offers that reached a target.
    pub repeats: u32,
    /// Number of offers that a target rejected.
    pub rejected: u32,
}

/// How the teams use a target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUse {
    /// The teams with the highest use by weight.
    pub teams: Vec<TeamRankUse>,
    /// The sum of all other teams, by rank.
    pub others: Vec<OtherUse>,
    /// Maximum number of running requests.
    pub limit: u32,
}

/// The use of a target by the requests of one rank of a team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRankUse {
    /// The team; empty for requests without one.
    pub team: String,
    /// The rank.
    pub rank: u8,
    /// Mean number of running requests, in thousandths.
    pub running_milli: u32,
}

/// The use of a target by the requests of one rank of all teams that are not listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OtherUse {
    /// The rank.
    pub rank: u8,
    /// Number of teams.
    pub teams: u32,
    /// Mean number of running requests, in thousandths.
    pub running_milli: u32,
}

/// The limit of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetLimit {
    /// The incarnation of the target.
    pub incarnation: Incarnation,
    /// Requests per second that it accepts from all nodes together; `None` if it no longer limits
    /// them.
    pub per_s: Option<f64>,
    /// How long ago this limit was first named, in milliseconds.
    pub age_ms: u32,
    /// The demand on the target: that on its limit, or on its slots if these are more used.
    pub load: Load,
}

impl TargetLimit {
    /// Describes the limit for the log; `None` if there is none.
    pub fn text(&self) -> Option<String> {
        let (per_s, id, age_ms) = (self.per_s?, &self.incarnation.id, self.age_ms);
        Some(format!("{per_s} per second, named by {id} {age_ms} ms ago"))
    }
}

/// Tokens granted by the owner of a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Number of requests that may run.
    pub tokens: u32,
    /// Time until the owner has tokens again, in milliseconds; 0 if it still has some.
    pub dry_ms: u32,
    /// How long a refused caller should wait before a retry, in milliseconds.
    pub come_back_ms: u32,
    /// Requests granted to all nodes over the last five seconds.
    pub used: u32,
}

/// Identity and status of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The address on which it accepts links from other nodes.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its status.
    pub status: Status,
    /// Incarnations of the receiver's target that the receiver reported as gone before it was
    /// restarted.
    pub left_incarnations: Vec<Incarnation>,
    /// The optional frames that the sender reads, as a bit set. Encoded behind the frame, where nodes
    /// of versions without it ignore it.
    #[serde(skip)]
    pub features: u32,
}

/// Crash of a target, with the requests that may have caused it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Crash {
    /// The requests that it was running, without duplicates.
    pub requests: Vec<Fingerprint>,
    /// The one that is quarantined as a result, if any.
    pub held: Option<Fingerprint>,
}

/// A request that is suspected of crashing targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Number of targets that crashed while running it since its last success.
    pub crashes: u32,
    /// How often it was quarantined.
    pub holds: u32,
}

/// A node, as reported by another one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Neighbour {
    /// The address on which it accepts links from other nodes.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
}

/// State of a node and its target, and the version of its configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The service of the target.
    pub service: String,
    /// The incarnation of the target; its id is empty if unknown.
    pub incarnation: Incarnation,
    /// Whether the target accepts new work.
    pub ready: bool,
    /// Whether the node is shutting down.
    pub stopping: bool,
    /// Whether the target started recently and is still slow.
    pub cold: bool,
    /// Version of the configuration in force at the node.
    pub site_version: u64,
    /// Whether the node can follow the store: it is not shutting down, and the store answers it.
    pub reaches_store: bool,
    /// Running requests by root route, for the root routes seen recently.
    pub roots: Vec<RootWork>,
    /// Incarnations that are leaving, have left or were replaced.
    pub left: Vec<Incarnation>,
    /// Load of the target.
    pub load: Load,
    /// Recent share of failures among its answers, in percent.
    pub failing_percent: u8,
}

impl Status {
    /// Whether everything but the amount of work is equal to `other`.
    pub fn eq_except_work(&self, other: &Self) -> bool {
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

    /// The root routes whose requests have reached the target recently.
    fn root_names(&self) -> impl Iterator<Item = &String> {
        self.roots.iter().map(|work| &work.root)
    }
}

/// Number of requests of one root route that a target is running.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RootWork {
    /// The route.
    pub root: String,
    /// Number of running requests.
    pub running: u32,
}

/// Load of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued at the node.
    pub waiting: u32,
    /// Maximum number of running requests.
    pub limit: u32,
}

impl Load {
    /// Running and waiting requests as a share of the limit.
    pub fn utilisation(&self) -> f64 {
        f64::from(self.running + self.waiting) / f64::from(self.limit.max(1))
    }

    /// The one of both that is more utilised.
    pub fn busier(self, other: Self) -> Self {
        if other.utilisation() > self.utilisation() { other } else { self }
    }
}

/// A request for the receiver's target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Id of the call, unique on this connection.
    pub id: u64,
    /// The service.
    pub service: String,
    /// The attempt id set by the caller.
    pub attempt_id: String,
    /// Remaining time until the deadline, in milliseconds.
    pub remaining_ms: u32,
    /// The root route: that of the caller's request at the root of the call tree.
    pub root: String,
    /// Its priority rank; 0 is the most important.
    pub rank: u8,
    /// Whether it is a retry, or is made by one.
    pub is_repeat: bool,
    /// Team whose API key admitted the root request; empty if no key was used.
    pub team: String,
    /// The method.
    pub method: String,
    /// The path with the query.
    pub path: String,
    /// The headers, without the attempt id.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
}

impl Call {
    /// The fingerprint of the request. Reads the whole body.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(&self.method, &self.path, &self.headers, &self.body)
    }
}

/// A header of a request or an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The name.
    pub name: Bytes,
    /// The value.
    pub value: Bytes,
}

impl Header {
    /// Creates a header from text.
    pub fn new(name: &str, value: &[u8]) -> Self {
        Self { name: Bytes::copy_from_slice(name.as_bytes()), value: Bytes::copy_from_slice(value) }
    }
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallEnd {
    /// The complete answer of the target.
    Answered(TargetAnswer),
    /// The target has not run this call and never will.
    NotRun(NotRun),
    /// It is unknown whether the target ran the request.
    MayHaveRun(Doubt),
}

impl CallEnd {
    /// Whether the target answered with a status below 500.
    pub fn went_well(&self) -> bool {
        matches!(self, Self::Answered(answer) if !answer.is_failure())
    }

    /// The status of the target's answer; 0 if there is none.
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

    /// Whether the result counts as a failure of the target itself. Timeouts and failures of the
    /// target's own calls don't: the target may be as healthy as any other.
    pub fn counts_as_target_failure(&self) -> bool {
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

/// The complete answer of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetAnswer {
    /// The status code.
    pub status: u16,
    /// Whether a call that the target made for the request has failed, directly or further down the
    /// tree.
    pub has_failed_below: bool,
    /// The headers, without hop-by-hop headers and the attempt id, which the receiver knows.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
}

impl TargetAnswer {
    /// Checks an answer of the local target, or one that a peer passes on: nodes of earlier versions
    /// accepted more from their targets. `signature` is the name of the header that every success
    /// needs.
    ///
    /// # Errors
    ///
    /// The answer cannot be given to a caller.
    pub fn check(&self, signature: &str) -> Result<(), InvalidAnswer> {
        if !FINAL_STATUSES.contains(&self.status) {
            return Err(InvalidAnswer::Status(self.status));
        }
        let mut signed_by: Option<&Bytes> = None;
        for Header { name, value } in &self.headers {
            let is_named = |other: &str| name.eq_ignore_ascii_case(other.as_bytes());
            let is_allowed = field::is_name(name)
                && field::is_value(value)
                && !CONNECTION_HEADERS.into_iter().any(is_named);
            let contradicts =
                is_named(signature) && signed_by.replace(value).is_some_and(|other| other != value);
            if !is_allowed || contradicts {
                let name = String::from_utf8_lossy(name).into_owned();
                return Err(InvalidAnswer::Header(name));
            }
        }
        let is_success = (200..300).contains(&self.status);
        let is_signature = |value: &&Bytes| !value.is_empty() && std::str::from_utf8(value).is_ok();
        if is_success && signed_by.filter(is_signature).is_none() {
            return Err(InvalidAnswer::Unsigned);
        }
        Ok(())
    }

    /// Whether the status reports a failure.
    pub fn is_failure(&self) -> bool {
        self.status >= 500
    }

    /// The name in logs, which distinguishes failures of the target itself from failures of its
    /// calls.
    pub fn reason(&self) -> &'static str {
        match (self.is_failure(), self.has_failed_below) {
            (false, _) => "answered",
            (true, false) => "target-failed",
            (true, true) => "call-failed",
        }
    }
}

/// Why an answer is not passed on.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidAnswer {
    /// The status is not one of a final answer.
    #[error("status {0}")]
    Status(u16),
    /// A header is malformed, concerns a connection, or contradicts another one.
    #[error("header {0:?}")]
    Header(String),
    /// A success has no signature, or one that is empty or not text.
    #[error("successful answer without a signature")]
    Unsigned,
}

/// Why a call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRun {
    /// The node has no target of the service.
    NoTarget,
    /// The target or its node is draining.
    Leaving,
    /// The entry node shed the request under overload.
    Shed,
    /// The entry node is about to exit, and the request would most likely not end before.
    Closing,
    /// The queue was full, or the memory for bodies.
    QueueFull,
    /// The deadline passed in the queue.
    Expired,
    /// The target could not be connected to.
    Unreachable,
    /// The target received the request and reported that it did not run it.
    Declined,
    /// The request has crashed targets and is quarantined.
    Quarantined,
    /// The connection to the node was lost before the call was sent.
    Unsent,
    /// The API key is missing or unknown.
    NoKey,
    /// The team has used up its quota.
    OverQuota,
    /// The parent request has ended.
    Orphaned,
    /// The target has named a limit, and the limit is used up.
    Limited,
    /// The entry node shed the request because its tree would most likely not finish.
    Unlikely,
    /// The entry node shed the request because its team uses more than its share.
    OverShare,
    /// The entry node does not know the other nodes yet, so it cannot apply the quota of the team.
    /// Never sent to other nodes.
    FleetUnknown,
}

impl NotRun {
    /// Whether the request reached a target before it was rejected.
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
            Self::Limited => "target-limited",
            Self::Unlikely => "unlikely-to-finish",
            Self::OverShare => "over-share",
            Self::FleetUnknown => "fleet-unknown",
        }
    }
}

/// Why it is unknown whether a call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Doubt {
    /// No answer arrived in time.
    Timeout,
    /// The connection to the node was lost.
    LinkLost,
    /// The target closed the connection or sent an invalid answer.
    TargetBroke,
    /// The parent request ended without an answer.
    Withdrawn,
    /// The answer did not fit into the memory of the entry node. Never sent to other nodes.
    AnswerUnread,
}

impl Doubt {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Timeout => "timeout",
            Self::LinkLost => "link-lost",
            Self::TargetBroke => "target-broke",
            Self::Withdrawn => "withdrawn",
            Self::AnswerUnread => "answer-unread",
        }
    }
}
