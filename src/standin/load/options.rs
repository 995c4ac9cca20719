//! Options of a load run.

use bon::Builder;
use reqwest::Url;

use super::call::{CallKind, ScheduledPost};
use super::phase::{Phase, Window};

/// Options of a load run.
#[derive(Builder, Clone, Debug)]
pub struct LoadOptions {
    /// Base URLs of the nodes; calls go to them in turn.
    pub nodes: Vec<Url>,
    /// The kinds of calls.
    pub calls: Vec<CallKind>,
    /// The phases, in order.
    pub phases: Vec<Phase>,
    /// Capacity that [`Rate::TimesCapacity`](super::Rate) refers to, in calls per second.
    #[builder(default = 100.0)]
    pub capacity_per_s: f64,
    /// Deadline of each call, in milliseconds.
    #[builder(default = 1_000)]
    pub deadline_ms: u64,
    /// Minimum depth of a complete answer, in services.
    #[builder(default = 1)]
    pub depth: usize,
    /// Maximum number of retries of each call that got no complete answer.
    #[builder(default)]
    pub retries: u32,
    /// Whether clients retry only calls that did not run and honour `retry-after`; otherwise they
    /// retry all failed calls immediately.
    #[builder(default)]
    pub polite: bool,
    /// Maximum number of calls in flight; further calls are not sent and count as broken.
    #[builder(default = 20_000)]
    pub in_flight_max: usize,
    /// Requests posted at scheduled times.
    #[builder(default)]
    pub scheduled_posts: Vec<ScheduledPost>,
    /// The window in which the cause of the overload is active; the recovery time counts from its
    /// end.
    pub trigger: Option<Window>,
    /// Seed of the arrival times and kinds.
    #[builder(default = 1)]
    pub seed: u64,
}
