//! An entry node's lease of a team's quota.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::bucket::Bucket;
use super::owner::{Grant, scaled};
use super::roster::Quota;

/// How long leased tokens are valid. Bounds the excess of the requests that run in a window over the tokens granted in
/// it.
pub const LEASE_DURATION: Duration = Duration::from_millis(250);
/// The period of average demand for which an entry node requests tokens in addition to those of waiting requests, so
/// that a team with much traffic at one entry node does not cause a message for each request.
const PREFETCH: Duration = Duration::from_millis(100);
/// The time constant of the exponential moving average of the demand.
const DEMAND_TIME_CONSTANT_S: f64 = 1.0;
/// How long to wait for the owner's answer before falling back to this node's equal share.
pub const OWNER_TIMEOUT: Duration = Duration::from_millis(100);
/// The time after which a request for tokens counts as lost and is sent again.
const REQUEST_LOST_AFTER: Duration = Duration::from_secs(1);
/// The minimum pause before the next request to an owner that had no tokens left.
const EMPTY_MIN: Duration = Duration::from_millis(20);

/// The maximum time for which requests are refused without asking the owner again. The quota may be raised, and the
/// owner may reach more of the fleet, before the next token is due.
const EMPTY_MAX: Duration = Duration::from_secs(1);

/// Whether a request may run, as far as the entry node can decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may run; a token was taken for it.
    Admitted,
    /// The quota is used up.
    Refused {
        /// The time after which the caller may retry.
        retry_after: Duration,
    },
    /// Tokens have to be requested from the owner.
    Unknown,
}

/// The next step for a request that needs a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The decision is made.
    Decided(Decision),
    /// Request this many tokens from the owner and wait for the answer.
    Ask(u32),
    /// Wait for the owner's answer to an earlier request.
    Wait,
    /// The owner does not answer; decide by this node's equal share.
    UseEqualShare,
}

/// An entry node's lease of one team's quota.
#[derive(Debug)]
pub struct Lease {
    tokens: u32,
    valid_until: Instant,
    /// When the owner has tokens again, and when callers refused until then may retry.
    empty_until: Instant,
    retry_at: Instant,
    /// Recent requests, weighted by their age.
    demand: f64,
    demand_updated_at: Instant,
    /// The number of requests that wait for the owner's answer.
    pub waiting: u32,
    /// The time and the number of tokens of the pending request to the owner, if any.
    pending_request: Option<(Instant, u32)>,
    /// The tokens granted to all nodes over the last five seconds, and when the owner reported them.
    used: u32,
    reported_at: Option<Instant>,
    /// The bucket of this node's equal share, used while no owner answers.
    equal_share: Option<Bucket>,
}

impl Lease {
    /// A lease without tokens.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 0,
            valid_until: now,
            empty_until: now,
            retry_at: now,
            demand: 0.0,
            demand_updated_at: now,
            waiting: 0,
            pending_request: None,
            used: 0,
            reported_at: None,
            equal_share: None,
        }
    }

    /// Records the arrival of a request.
    pub fn record_demand(&mut self, now: Instant) {
        let age_s = now.saturating_duration_since(self.demand_updated_at).as_secs_f64();
        self.demand = self.demand * (-age_s / DEMAND_TIME_CONSTANT_S).exp() + 1.0;
        self.demand_updated_at = now;
    }

    /// Takes a token if the lease has a valid one.
    pub fn try_take(&mut self, now: Instant) -> Decision {
        if self.tokens > 0 && now < self.valid_until {
            self.tokens -= 1;
            return Decision::Admitted;
        }
        if now < self.empty_until {
            return Decision::Refused { retry_after: self.retry_at.max(self.empty_until) - now };
        }
        Decision::Unknown
    }

    /// The next step for a request whose team's quota is owned by another node.
    pub fn next_step(&mut self, now: Instant) -> Step {
        let decision = self.try_take(now);
        if decision != Decision::Unknown {
            return Step::Decided(decision);
        }
        match self.pending_request.map(|(asked_at, _)| now.saturating_duration_since(asked_at)) {
            Some(elapsed) if elapsed < OWNER_TIMEOUT => Step::Wait,
            Some(elapsed) if elapsed < REQUEST_LOST_AFTER => Step::UseEqualShare,
            _ => {
                let wanted = self.wanted();
                self.pending_request = Some((now, wanted));
                Step::Ask(wanted)
            }
        }
    }

    /// Stops waiting for the answer to the pending request for tokens.
    pub fn forget_request(&mut self) {
        self.pending_request = None;
    }

    /// Handles the answer to a request for tokens; none if the node does not own the quota. Returns the number of
    /// tokens that arrived too late and have to be returned, as requests may have been admitted by the equal share
    /// in their place.
    pub fn handle_answer(&mut self, grant: Option<Grant>, now: Instant) -> u32 {
        let Some(grant) = grant else {
            self.pending_request = None;
            return 0;
        };
        match self.pending_request.take() {
            Some((asked_at, wanted))
                if now.saturating_duration_since(asked_at) <= OWNER_TIMEOUT =>
            {
                self.add_grant(&grant, wanted, now);
                0
            }
            _ => grant.tokens,
        }
    }

    /// The number of tokens to request: one for each waiting request, plus those for expected demand.
    fn wanted(&self) -> u32 {
        let expected = self.demand / DEMAND_TIME_CONSTANT_S * PREFETCH.as_secs_f64();
        self.waiting.max(1) + expected as u32
    }

    /// Adds the tokens of a grant by the owner, of which `wanted` were requested.
    pub fn add_grant(&mut self, grant: &Grant, wanted: u32, now: Instant) {
        self.reported_at = Some(now);
        self.used = grant.used;
        self.equal_share = None;
        if grant.tokens > 0 {
            let kept = if now < self.valid_until { self.tokens } else { 0 };
            self.tokens = kept.saturating_add(grant.tokens);
            self.valid_until = now + LEASE_DURATION;
        }
        if grant.tokens < wanted {
            self.empty_until = now + grant.next_token_in.clamp(EMPTY_MIN, EMPTY_MAX);
            self.retry_at = now + grant.retry_after;
        }
    }

    /// Returns the token of a request that has not run. Does not extend the validity of other tokens.
    pub fn put_back(&mut self, now: Instant) {
        if now >= self.valid_until {
            self.valid_until = now + LEASE_DURATION;
            self.tokens = 0;
        }
        self.tokens += 1;
    }

    /// Removes the tokens of an expired lease and returns their number.
    pub fn take_expired(&mut self, now: Instant) -> u32 {
        if now < self.valid_until { 0 } else { std::mem::take(&mut self.tokens) }
    }

    /// Takes a token of this node's equal share, while no owner answers. `nodes` is the number of nodes that the
    /// quota is divided among.
    ///
    /// The bucket starts with the node's share of `initial_tokens`; the fraction of a token is rounded at random.
    pub fn try_take_equal_share(
        &mut self,
        quota: Quota,
        initial_tokens: f64,
        nodes: usize,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Decision {
        let share = 1.0 / nodes.max(1) as f64;
        let node_quota = scaled(quota, share);
        let equal_share = self.equal_share.get_or_insert_with(|| {
            let initial_tokens = initial_tokens * share;
            let round_up = rng.random::<f64>() < initial_tokens.fract();
            Bucket::new(initial_tokens.floor() + f64::from(u8::from(round_up)), now)
        });
        equal_share.fill(node_quota, now);
        if equal_share.take(1) == 1 {
            return Decision::Admitted;
        }
        Decision::Refused { retry_after: equal_share.until_next(node_quota.per_s) }
    }

    /// The tokens granted over the last five seconds as last reported by the owner, and the age of that report.
    pub fn used(&self, now: Instant) -> Option<(u32, Duration)> {
        Some((self.used, now.saturating_duration_since(self.reported_at?)))
    }

    /// Whether the lease can be dropped without losing tokens or waiting requests.
    pub fn is_idle(&self, now: Instant) -> bool {
        const IDLE: Duration = Duration::from_secs(30);
        let has_no_demand = now.saturating_duration_since(self.demand_updated_at) > IDLE;
        has_no_demand && self.tokens == 0 && self.waiting == 0
    }
}
