//! The start-up settings of a mesh node.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::event::REQUESTS_PER_WINDOW;

use super::overload::Policy;
use super::teams::owner::Tolerance;
use super::teams::quota::QuotaPolicy;

/// All start-up settings of a node, except those read by the platform adapter.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct MeshSettings {
    /// The identity and resources of the node.
    pub node: NodeSection,
    /// Where it listens.
    pub listen: ListenSection,
    /// The local target.
    pub target: TargetSection,
    /// Time limits.
    pub timing: TimingSection,
    /// The retry budget.
    pub retry: RetrySection,
    /// Admission under overload.
    #[serde(default)]
    pub overload: OverloadSection,
    /// Enforcement of the quotas of teams.
    #[serde(default)]
    pub teams: TeamsSection,
    /// The volume of the log.
    #[serde(default)]
    pub log: LogSection,
}

/// The identity and resources of a node.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct NodeSection {
    /// The name of its VM.
    pub name: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// The service of the local target, until a heartbeat names another.
    pub service: String,
    /// The memory limit, in mebibytes.
    pub memory_mb: u64,
    /// The limit on open file descriptors.
    pub descriptors: u64,
}

impl NodeSection {
    /// The memory limit, in bytes.
    pub fn memory_bytes(&self) -> usize {
        usize::try_from(self.memory_mb).unwrap_or(usize::MAX).saturating_mul(1024 * 1024)
    }
}

/// The addresses on which a node listens.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ListenSection {
    /// For callers, and for calls made by the target.
    pub callers: SocketAddr,
    /// For readiness probes.
    pub readiness: SocketAddr,
    /// For heartbeats of the local target.
    pub targets: SocketAddr,
    /// For peers.
    pub peers: SocketAddr,
    /// For metrics scrapers.
    pub metrics: SocketAddr,
}

/// The local target.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct TargetSection {
    /// Its address.
    pub address: SocketAddr,
}

/// Time limits.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct TimingSection {
    /// The stop grace period: how long a node keeps running after SIGTERM, in milliseconds.
    pub stop_grace_ms: u64,
}

/// Admission under overload.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
pub struct OverloadSection {
    /// The admission policy.
    pub policy: Policy,
    /// Whether admission takes into account how likely a request's call tree is to finish, and
    /// offers that targets reject are retried within the whole budget.
    #[serde(default)]
    pub completion: Switch,
    /// Whether the times named in refusals have capacity reserved.
    #[serde(default)]
    pub returns: Switch,
}

/// Where a feature takes effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Switch {
    /// Nowhere.
    #[default]
    Off,
    /// On deployments that have targets which send the extended load report.
    ExtendedReports,
    /// Everywhere.
    On,
}

impl Switch {
    /// Whether the feature takes effect; `has_extended_reports` tells whether a target of the
    /// deployment has sent the extended load report.
    pub fn is_on(self, has_extended_reports: bool) -> bool {
        match self {
            Self::Off => false,
            Self::ExtendedReports => has_extended_reports,
            Self::On => true,
        }
    }
}

/// Enforcement of the quotas of teams.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct TeamsSection {
    /// How quotas are distributed among the entry nodes.
    pub quota: QuotaPolicy,
    /// The window over which the runs of a team are counted, in milliseconds.
    pub window_ms: u64,
    /// Tolerated excess of the runs in a window, as a share of the quota.
    pub overage: f64,
    /// Additional tolerated excess, in runs.
    pub slack: f64,
    /// Whether an overloaded service is divided among teams by max-min fairness.
    pub fair_shares: bool,
}

impl TeamsSection {
    /// The tolerated excess over quotas.
    pub fn tolerance(&self) -> Tolerance {
        let window = Duration::from_millis(self.window_ms);
        Tolerance { window, share: self.overage, slack: self.slack }
    }
}

impl Default for TeamsSection {
    /// Quotas hold exactly, except that a lease may outlive a window by its duration of a quarter
    /// of a second.
    fn default() -> Self {
        Self {
            quota: QuotaPolicy::default(),
            window_ms: 5_000,
            overage: 0.0,
            slack: 0.0,
            fair_shares: false,
        }
    }
}

/// The volume of log lines about requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct LogSection {
    /// One in this many successful requests is logged; 1 logs all of them.
    pub sampled_one_in: u32,
    /// The maximum number of lines of one kind about requests in 10 s.
    pub request_lines_max: u32,
}

impl Default for LogSection {
    /// Writing a line costs about as much as a call through two nodes, so few successful requests
    /// are logged, and under overload only as many lines as are needed to find its cause.
    fn default() -> Self {
        Self { sampled_one_in: 500, request_lines_max: REQUESTS_PER_WINDOW }
    }
}

/// The retry budget of each service, over all nodes together.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct RetrySection {
    /// Retries as a share of requests.
    pub share: f64,
    /// Number of retries to a service allowed beyond that in any ten seconds.
    pub slack: u32,
}
