//! What an entry holds of a team's quota.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::bucket::Bucket;
use super::owner::{Grant, scaled};
use super::roster::Quota;

/// How long leased tokens may be used: it bounds by how much the runs of a window may exceed the grants of that
/// window.
pub const LEASE: Duration = Duration::from_millis(250);
/// For how much of its usual demand an entry asks beyond the requests that wait, so that a team with much
/// traffic at one entry does not ask for each request.
const AHEAD: Duration = Duration::from_millis(100);
/// Over which time the usual demand is averaged.
const DEMAND_SPAN_S: f64 = 1.0;
/// How long the owner's answer is waited for, before this node admits its own equal share.
pub const ASK_PATIENCE: Duration = Duration::from_millis(100);
/// After this time a question is taken as lost, and asked again.
const ASK_LOST: Duration = Duration::from_secs(1);
/// An owner that has said that nothing is left is not asked again sooner.
const DRY_MIN: Duration = Duration::from_millis(20);

/// Whether a request may run, as far as the entry knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may; a token was taken for it.
    Admitted,
    /// The quota is used up.
    Refused {
        /// When the caller may come back.
        come_back: Duration,
    },
    /// The owner has to be asked.
    Unknown,
}

/// What a request that waits for a token does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It is decided.
    Done(Standing),
    /// Asks the owner for so many tokens, and waits for the answer.
    Ask(u32),
    /// Waits for an answer that is on its way.
    Wait,
    /// The owner does not answer: it goes by this node's equal share.
    GoAlone,
}

/// What an entry holds of one team's quota.
#[derive(Debug)]
pub struct Lease {
    tokens: u32,
    until: Instant,
    /// Until when the owner has nothing left, and when callers refused till then may come back.
    dry_until: Instant,
    come_back_at: Instant,
    /// Requests of late, weighed by their age.
    demand: f64,
    demand_at: Instant,
    /// Requests that wait for the owner's answer.
    pub waiting: u32,
    /// When the owner was asked and for how many tokens, where its answer is outstanding.
    asked: Option<(Instant, u32)>,
    /// What the owner granted last over all nodes, and when it said so.
    used: u32,
    heard: Option<Instant>,
    /// What this node admits by itself while no owner answers.
    floor: Option<Bucket>,
}

impl Lease {
    /// Nothing leased yet.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 0,
            until: now,
            dry_until: now,
            come_back_at: now,
            demand: 0.0,
            demand_at: now,
            waiting: 0,
            asked: None,
            used: 0,
            heard: None,
            floor: None,
        }
    }

    /// Notes that a request has come.
    pub fn note_demand(&mut self, now: Instant) {
        let age_s = now.saturating_duration_since(self.demand_at).as_secs_f64();
        self.demand = self.demand * (-age_s / DEMAND_SPAN_S).exp() + 1.0;
        self.demand_at = now;
    }

    /// Takes a token where one is held.
    pub fn try_take(&mut self, now: Instant) -> Standing {
        if self.tokens > 0 && now < self.until {
            self.tokens -= 1;
            return Standing::Admitted;
        }
        if now < self.dry_until {
            return Standing::Refused { come_back: self.come_back_at.max(self.dry_until) - now };
        }
        Standing::Unknown
    }

    /// What a request does next whose team's quota another node owns.
    pub fn next_step(&mut self, now: Instant) -> Step {
        let standing = self.try_take(now);
        if standing != Standing::Unknown {
            return Step::Done(standing);
        }
        match self.asked.map(|(asked, _)| now.saturating_duration_since(asked)) {
            Some(since) if since < ASK_PATIENCE => Step::Wait,
            Some(since) if since < ASK_LOST => Step::GoAlone,
            _ => {
                let wanted = self.wanted();
                self.asked = Some((now, wanted));
                Step::Ask(wanted)
            }
        }
    }

    /// Takes in the answer to a question. Gives back the tokens that came when nobody counted on them any
    /// more: requests may have been admitted in their place.
    pub fn take_answer(&mut self, grant: Option<Grant>, now: Instant) -> u32 {
        let Some(grant) = grant else {
            self.asked = None;
            return 0;
        };
        match self.asked.take() {
            Some((at, wanted)) if now.saturating_duration_since(at) <= ASK_PATIENCE => {
                self.take_grant(&grant, wanted, now);
                0
            }
            _ => grant.tokens,
        }
    }

    /// How many tokens to ask for: one for each request that waits, and some ahead.
    fn wanted(&self) -> u32 {
        let ahead = self.demand / DEMAND_SPAN_S * AHEAD.as_secs_f64();
        self.waiting.max(1) + ahead as u32
    }

    /// Takes in what the owner grants that was asked for `wanted` tokens.
    pub fn take_grant(&mut self, grant: &Grant, wanted: u32, now: Instant) {
        self.heard = Some(now);
        self.used = grant.used;
        self.floor = None;
        if grant.tokens > 0 {
            self.tokens = if now < self.until { self.tokens } else { 0 } + grant.tokens;
            self.until = now + LEASE;
        }
        if grant.tokens < wanted {
            self.dry_until = now + grant.dry_for.max(DRY_MIN);
            self.come_back_at = now + grant.come_back;
        }
    }

    /// Puts a token back whose request has not run. Does not prolong what else is leased.
    pub fn put_back(&mut self, now: Instant) {
        if now >= self.until {
            self.until = now + LEASE;
            self.tokens = 0;
        }
        self.tokens += 1;
    }

    /// Gives up tokens that were not used in time, and says how many.
    pub fn take_unused(&mut self, now: Instant) -> u32 {
        if now < self.until { 0 } else { std::mem::take(&mut self.tokens) }
    }

    /// Takes a token of this node's own equal share, while no owner answers. `nodes` is the number of nodes
    /// that have one each.
    ///
    /// It begins with the node's part of `start`, by chance where that is less than a token.
    pub fn try_take_floor(
        &mut self,
        quota: Quota,
        start: f64,
        nodes: usize,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Standing {
        let part = 1.0 / nodes.max(1) as f64;
        let own = scaled(quota, part);
        let floor = self.floor.get_or_insert_with(|| {
            let start = start * part;
            let by_chance = rng.random::<f64>() < start.fract();
            Bucket::new(start.floor() + f64::from(u8::from(by_chance)), now)
        });
        floor.fill(own, now);
        if floor.take(1) == 1 {
            return Standing::Admitted;
        }
        Standing::Refused { come_back: floor.until_next(own.per_s) }
    }

    /// How many requests the owner had granted last, and how old that knowledge is.
    pub fn used(&self, now: Instant) -> Option<(u32, Duration)> {
        Some((self.used, now.saturating_duration_since(self.heard?)))
    }

    /// Whether nothing is lost when it is forgotten.
    pub fn is_idle(&self, now: Instant) -> bool {
        const IDLE: Duration = Duration::from_secs(30);
        let rests = now.saturating_duration_since(self.demand_at) > IDLE;
        rests && self.tokens == 0 && self.waiting == 0
    }
}
