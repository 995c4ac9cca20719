//! Policies: how calls are admitted, ordered, retried and sent to targets.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One policy, complete.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PolicySettings {
    /// The name arms refer to.
    #[schemars(extend("format" = "name"))]
    pub name: String,
    /// How many calls a target may run at once.
    pub limit: LimitRule,
    /// The longest queue beside a target, as a share of its limit.
    #[serde(default = "default_queue_share")]
    #[schemars(range(min = 0.0, max = 100.0))]
    pub queue_share: f64,
    /// The queueing delay that counts as overload, in milliseconds.
    #[serde(default = "default_queue_delay_ms")]
    #[schemars(range(min = 1))]
    pub queue_delay_ms: u64,
    /// Whether the queue is ordered by level; otherwise first come, first served.
    #[serde(default = "default_true")]
    pub order_by_level: bool,
    /// Whether calls below a floor are refused, and the floor travels upstream.
    #[serde(default = "default_true")]
    pub refuse_early: bool,
    /// How retries are made.
    pub retry: RetryRule,
    /// How a target is chosen.
    pub choice: TargetChoice,
}

/// How many calls a target may run at once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum LimitRule {
    /// As many as come.
    None,
    /// The target's announced slots, or the number given.
    Static {
        /// Calls at once for one target; its slots where absent.
        #[serde(default)]
        #[schemars(range(min = 1))]
        running: Option<u32>,
    },
    /// Follows the ratio of unloaded to present latency.
    Gradient {
        /// The ratio of latency that is still taken as unloaded, above 1.
        #[schemars(extend("exclusiveMinimum" = 1.0))]
        tolerance: f64,
        /// How strongly one window moves the limit, from 0 to 1.
        #[schemars(range(max = 1.0), extend("exclusiveMinimum" = 0.0))]
        smoothing: f64,
    },
    /// Grows by steps while answers are fast and shrinks by a factor when they are slow.
    Delay {
        /// The rise of latency over the unloaded latency that counts as too slow, above 1.
        #[schemars(extend("exclusiveMinimum" = 1.0))]
        tolerance: f64,
        /// The factor by which the limit shrinks, from 0 to 1.
        #[schemars(extend("exclusiveMinimum" = 0.0, "exclusiveMaximum" = 1.0))]
        backoff: f64,
    },
}

/// How retries are made.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum RetryRule {
    /// Never.
    None,
    /// A fixed number at every hop, whatever the hops above and below do.
    Naive {
        /// Retries of each hop.
        retries: u8,
    },
    /// Bounded over the whole chain by an allowance of the root and on each node by a budget.
    Bounded {
        /// Extra attempts for one root over all hops.
        allowance: u8,
        /// Extra attempts of a node as a share of its recent successes.
        #[schemars(range(min = 0.0, max = 1.0))]
        budget_share: f64,
        /// The least backoff, in milliseconds.
        #[schemars(range(min = 1))]
        backoff_ms: u64,
        /// The longest backoff, in milliseconds.
        #[schemars(range(min = 1))]
        backoff_max_ms: u64,
    },
}

/// How a target is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum TargetChoice {
    /// One after the other.
    RoundRobin,
    /// The better of two, by reported and observed load, near ones first.
    LeastLoaded,
}

fn default_queue_share() -> f64 {
    0.25
}

fn default_queue_delay_ms() -> u64 {
    20
}

fn default_true() -> bool {
    true
}
