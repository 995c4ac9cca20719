//! Policies: how calls are admitted, ordered, retried and sent to targets.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One complete policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PolicySettings {
    /// The policy name that arms refer to.
    #[schemars(extend("format" = "name"))]
    pub name: String,
    /// The concurrency limit of a target.
    pub limit: LimitRule,
    /// The maximum length of a target's queue, as a share of its limit.
    #[serde(default = "default_queue_share")]
    #[schemars(range(min = 0.0, max = 100.0))]
    pub queue_share: f64,
    /// The queueing delay that counts as overload, in milliseconds.
    #[serde(default = "default_queue_delay_ms")]
    #[schemars(range(min = 1))]
    pub queue_delay_ms: u64,
    /// Whether the queue is ordered by level; first in, first out otherwise.
    #[serde(default = "default_true")]
    pub order_by_level: bool,
    /// Whether calls below an admission floor are refused and the floor is reported upstream.
    #[serde(default = "default_true")]
    pub refuse_early: bool,
    /// The retry rule.
    pub retry: RetryRule,
    /// The load-balancing rule.
    pub choice: TargetChoice,
}

/// The concurrency limit of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum LimitRule {
    /// No limit.
    None,
    /// A fixed limit: the given number, or the slots that the target announced.
    Static {
        /// Concurrent calls of one target; its announced slots if absent.
        #[serde(default)]
        #[schemars(range(min = 1))]
        running: Option<u32>,
    },
    /// Follows the ratio of unloaded latency to current latency.
    Gradient {
        /// The latency ratio up to which a target counts as unloaded, above 1.
        #[schemars(extend("exclusiveMinimum" = 1.0))]
        tolerance: f64,
        /// The weight of one window's result in the new limit, from 0 to 1.
        #[schemars(range(max = 1.0), extend("exclusiveMinimum" = 0.0))]
        smoothing: f64,
    },
    /// Additive increase while latency is low, multiplicative decrease when it is high.
    Delay {
        /// The ratio of current to unloaded latency above which the limit shrinks, above 1.
        #[schemars(extend("exclusiveMinimum" = 1.0))]
        tolerance: f64,
        /// The factor that the limit is multiplied by when it shrinks, from 0 to 1.
        #[schemars(extend("exclusiveMinimum" = 0.0, "exclusiveMaximum" = 1.0))]
        backoff: f64,
    },
}

/// How failed attempts are retried.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum RetryRule {
    /// No retries.
    None,
    /// A fixed number at every hop, regardless of other hops.
    Naive {
        /// Retries per hop.
        retries: u8,
    },
    /// Bounded over the whole call chain by a root allowance, and on each node by a retry budget.
    Bounded {
        /// Extra attempts per root request over all hops.
        allowance: u8,
        /// Extra attempts of a node, as a share of its recent successes.
        #[schemars(range(min = 0.0, max = 1.0))]
        budget_share: f64,
        /// The minimum backoff, in milliseconds.
        #[schemars(range(min = 1))]
        backoff_ms: u64,
        /// The maximum backoff, in milliseconds.
        #[schemars(range(min = 1))]
        backoff_max_ms: u64,
    },
}

/// How a target is chosen for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum TargetChoice {
    /// Each target in turn.
    RoundRobin,
    /// The less loaded of two candidates, by reported and observed load, near ones first.
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
