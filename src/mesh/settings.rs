//! What a node of the mesh is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::event::REQUESTS_PER_WINDOW;

use super::overload::Policy;
use super::teams::owner::Tolerance;
use super::teams::quota::QuotaPolicy;

/// Everything a node is told at its start, apart from what the platform's adapter reads.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct MeshSettings {
    /// Who the node is.
    pub node: NodeSection,
    /// Where it listens.
    pub listen: ListenSection,
    /// The target beside it.
    pub target: TargetSection,
    /// How long things may take.
    pub timing: TimingSection,
    /// How many more arrivals than requests a service may see.
    pub retry: RetrySection,
    /// What is admitted when targets are busy.
    #[serde(default)]
    pub overload: OverloadSection,
    /// How the quotas of teams are kept.
    #[serde(default)]
    pub teams: TeamsSection,
    /// How much is logged.
    #[serde(default)]
    pub log: LogSection,
}

/// Who a node is.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct NodeSection {
    /// The name of its VM.
    pub name: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// The service of the target beside it, until the target says otherwise.
    pub service: String,
    /// The memory it may use, in mebibytes.
    pub memory_mb: u64,
    /// How many descriptors it may have open.
    pub descriptors: u64,
}

/// Where a node listens.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ListenSection {
    /// For callers and for the target's own calls.
    pub callers: SocketAddr,
    /// For the question whether the node takes new work.
    pub readiness: SocketAddr,
    /// For what the target beside it says about itself.
    pub targets: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// For scrapers of metrics.
    pub metrics: SocketAddr,
}

/// The target beside a node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct TargetSection {
    /// Its address.
    pub address: SocketAddr,
}

/// How long things may take.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct TimingSection {
    /// How long a node that was told to stop may still run, in milliseconds.
    pub stop_grace_ms: u64,
}

/// What is admitted when targets are busy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
pub struct OverloadSection {
    /// How that is decided.
    pub policy: Policy,
}

/// How the quotas of teams are kept.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct TeamsSection {
    /// How a quota is shared among the nodes.
    pub quota: QuotaPolicy,
    /// The time over which the runs of a team are counted, in milliseconds.
    pub window_ms: u64,
    /// By how much they may exceed the quota, as a share of it.
    pub overage: f64,
    /// By how many runs they may exceed it besides.
    pub slack: f64,
}

impl TeamsSection {
    /// By how much quotas may be exceeded.
    pub fn tolerance(&self) -> Tolerance {
        let window = Duration::from_millis(self.window_ms);
        Tolerance { window, share: self.overage, slack: self.slack }
    }
}

impl Default for TeamsSection {
    /// Quotas hold exactly, except that a lease may outlive a window by its quarter of a second.
    fn default() -> Self {
        Self { quota: QuotaPolicy::default(), window_ms: 5_000, overage: 0.0, slack: 0.0 }
    }
}

/// How much is logged of requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct LogSection {
    /// One in this many requests that went well is written; 1 writes all of them.
    pub sampled_one_in: u32,
    /// The most lines of one kind about requests in 10 s.
    pub request_lines_max: u32,
}

impl Default for LogSection {
    /// A line costs about as much as a call through two nodes, so few are written of what went well,
    /// and no more under overload than help to find its cause.
    fn default() -> Self {
        Self { sampled_one_in: 500, request_lines_max: REQUESTS_PER_WINDOW }
    }
}

/// How many more arrivals than requests a service may see, over all nodes together.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct RetrySection {
    /// Repeats as a share of requests.
    pub share: f64,
    /// How many repeats of a service are allowed beside that, in any ten seconds.
    pub slack: u32,
}
