//! The owner's side of a quota: the team's token bucket, from which it leases tokens to other nodes.

use std::time::Duration;

use tokio::time::Instant;

use super::bucket::{Bucket, time_per_token};
use super::roster::Quota;

/// Number and duration of the slots of the sliding window in which grants are counted.
const SLOT_COUNT: usize = 10;
const SLOT_DURATION: Duration = Duration::from_millis(500);
/// The initial tokens of a new owner's bucket, as a share of the tolerance. A new owner does not know what the previous
/// one has granted within the window; with a quarter, up to four changes of owner in a window stay within the
/// tolerance.
const INITIAL_SHARE: f64 = 0.25;
/// The maximum retry time given to a refused caller.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);

/// By how much the executed requests of a team may exceed its quota, as bounded by the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The length of the window in which requests are counted.
    pub window: Duration,
    /// The tolerated excess as a share of the quota.
    pub share: f64,
    /// The additional tolerated excess, in requests.
    pub slack: f64,
}

impl Tolerance {
    /// The number of requests beyond the quota that are tolerated within a window.
    pub fn excess_requests(&self, quota: Quota) -> f64 {
        (quota.per_s * self.window.as_secs_f64() + quota.burst) * self.share + self.slack
    }

    /// The initial tokens of a bucket on a node that does not know what was granted before.
    pub fn initial_tokens(&self, quota: Quota) -> f64 {
        self.excess_requests(quota) * INITIAL_SHARE
    }
}

/// An owner's answer to a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The tokens granted: requests that may run.
    pub tokens: u32,
    /// The time until the next token is available; zero if tokens are left.
    pub next_token_in: Duration,
    /// The time after which a refused caller may retry; zero if all tokens were granted.
    pub retry_after: Duration,
    /// Tokens granted to all nodes over the last five seconds.
    pub used: u32,
}

/// The state of a quota on the node that owns it.
#[derive(Debug)]
pub struct OwnedQuota {
    bucket: Bucket,
    /// The latest retry time given to a refused caller.
    last_retry_at: Instant,
    /// Granted tokens by slot, in a ring, and the number of the newest slot.
    granted: [u32; SLOT_COUNT],
    newest_slot: u64,
    started_at: Instant,
}

impl OwnedQuota {
    /// The state on a node that has owned the quota at least since `owner_since`. The bucket contains the tokens
    /// accrued since then, as no other node has granted them. `share` is the share of the fleet that the node is
    /// connected to.
    pub fn new(
        quota: Quota,
        tolerance: &Tolerance,
        share: f64,
        owner_since: Instant,
        now: Instant,
    ) -> Self {
        let mut bucket = Bucket::new(tolerance.initial_tokens(quota) * share, owner_since);
        bucket.fill(scaled(quota, share), now);
        Self {
            bucket,
            last_retry_at: now,
            granted: [0; SLOT_COUNT],
            newest_slot: 0,
            started_at: now,
        }
    }

    /// Grants up to `wanted` tokens.
    ///
    /// A node that is partitioned from a part of the fleet grants only the share of the part that it reaches: each
    /// part has an owner of its own then, and their shares add up to the quota.
    pub fn grant(&mut self, quota: Quota, share: f64, wanted: u32, now: Instant) -> Grant {
        let quota = scaled(quota, share);
        self.bucket.fill(quota, now);
        let tokens = self.bucket.take(wanted);
        self.record_grant(tokens, now);
        let next_token_in = self.bucket.until_next(quota.per_s);
        let mut retry_after = Duration::ZERO;
        if tokens < wanted {
            let token_interval = time_per_token(quota.per_s);
            let refused = (wanted - tokens).min(RETRY_AFTER_MAX.as_millis() as u32);
            let retry_at = self.last_retry_at.max(now + next_token_in.min(RETRY_AFTER_MAX));
            self.last_retry_at = (retry_at + token_interval * refused).min(now + RETRY_AFTER_MAX);
            retry_after = retry_at.min(now + RETRY_AFTER_MAX) - now;
        }
        Grant { tokens, next_token_in, retry_after, used: self.used() }
    }

    /// Returns unused tokens to the bucket.
    pub fn put_back(&mut self, tokens: u32, now: Instant) {
        self.advance_window(now);
        let slot = &mut self.granted[self.newest_slot as usize % SLOT_COUNT];
        *slot = slot.saturating_sub(tokens);
        self.bucket.put_back(tokens);
    }

    /// The tokens granted over the last five seconds.
    fn used(&self) -> u32 {
        self.granted.iter().fold(0, |sum: u32, granted| sum.saturating_add(*granted))
    }

    fn record_grant(&mut self, tokens: u32, now: Instant) {
        self.advance_window(now);
        let slot = &mut self.granted[self.newest_slot as usize % SLOT_COUNT];
        *slot = slot.saturating_add(tokens);
    }

    fn advance_window(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.started_at);
        let current_slot = (elapsed.as_millis() / SLOT_DURATION.as_millis()) as u64;
        while self.newest_slot < current_slot {
            self.newest_slot =
                (self.newest_slot + 1).max(current_slot.saturating_sub(SLOT_COUNT as u64));
            self.granted[self.newest_slot as usize % SLOT_COUNT] = 0;
        }
    }
}

/// The given share of a quota.
pub fn scaled(quota: Quota, share: f64) -> Quota {
    Quota { per_s: quota.per_s * share, burst: quota.burst * share }
}
