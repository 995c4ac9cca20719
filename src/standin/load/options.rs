//! What a run is told.

use bon::Builder;
use reqwest::Url;

use super::call::{CallKind, Order};
use super::phase::{Phase, Window};

/// What a run is told.
#[derive(Builder, Clone, Debug)]
pub struct LoadOptions {
    /// Base URLs of the nodes that are called, in turn.
    pub nodes: Vec<Url>,
    /// The kinds of calls.
    pub calls: Vec<CallKind>,
    /// The phases, one after the other.
    pub phases: Vec<Phase>,
    /// What the phases' multiples refer to, in calls a second.
    #[builder(default = 100.0)]
    pub capacity_per_s: f64,
    /// How long an answer is of use, in milliseconds.
    #[builder(default = 1_000)]
    pub deadline_ms: u64,
    /// How many services deep a whole answer is at least.
    #[builder(default = 1)]
    pub depth: usize,
    /// How often a client sends a call again that gave no whole answer.
    #[builder(default)]
    pub retries: u32,
    /// Whether clients retry only what was not run, and wait as long as they are told; otherwise
    /// they retry everything at once.
    #[builder(default)]
    pub polite: bool,
    /// How many calls may be under way at once; what would be more counts as broken.
    #[builder(default = 20_000)]
    pub in_flight_max: usize,
    /// What is posted at set times.
    #[builder(default)]
    pub orders: Vec<Order>,
    /// When the trigger of overload was there, for the recovery time.
    pub trigger: Option<Window>,
    /// The seed of arrivals and kinds.
    #[builder(default = 1)]
    pub seed: u64,
}
