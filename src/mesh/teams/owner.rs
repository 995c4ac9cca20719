//! The owner of a team's quota: keeps the team's bucket and leases tokens to the nodes that ask.

use std::time::Duration;

use tokio::time::Instant;

use super::bucket::Bucket;
use super::roster::Quota;

/// The parts in which grants are counted, and how long each lasts.
const PARTS: usize = 10;
const PART: Duration = Duration::from_millis(500);
/// The part of the tolerance that a new owner's bucket begins with. It does not know what the owner before it
/// has granted within the window; up to four changes within one keep to the bound.
const START_SHARE: f64 = 0.25;
/// A refused caller is sent away for this long at most.
const COME_BACK_MAX: Duration = Duration::from_secs(5);

/// By how much the runs of a team may exceed its quota, as the platform bounds it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The time over which runs are counted.
    pub window: Duration,
    /// As a share of the quota.
    pub share: f64,
    /// In runs.
    pub slack: f64,
}

impl Tolerance {
    /// How many runs beyond the quota are tolerated within a window.
    pub fn runs(&self, quota: Quota) -> f64 {
        (quota.per_s * self.window.as_secs_f64() + quota.burst) * self.share + self.slack
    }

    /// How many tokens a bucket begins with whose keeper does not know what was granted before.
    pub fn start(&self, quota: Quota) -> f64 {
        self.runs(quota) * START_SHARE
    }
}

/// What an owner answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Requests that may run.
    pub tokens: u32,
    /// How long until it is worth to ask again, where none were left.
    pub dry_for: Duration,
    /// When a refused caller may come back.
    pub come_back: Duration,
    /// Requests granted to all nodes over the last five seconds.
    pub used: u32,
}

/// What a node keeps of a team whose quota it owns.
#[derive(Debug)]
pub struct Owned {
    bucket: Bucket,
    /// Up to when refused callers were told to come back.
    promised_until: Instant,
    /// Grants by part, in a ring, and the number of the newest part.
    granted: [u32; PARTS],
    newest: u64,
    started: Instant,
}

impl Owned {
    /// The bucket of a node that has owned the team since `owner_since` at least: what has come since then,
    /// as nobody else has granted it. `share` is the part of the fleet that the node is linked with.
    pub fn new(
        quota: Quota,
        tolerance: &Tolerance,
        share: f64,
        owner_since: Instant,
        now: Instant,
    ) -> Self {
        let mut bucket = Bucket::new(tolerance.start(quota) * share, owner_since);
        bucket.fill(scaled(quota, share), now);
        Self { bucket, promised_until: now, granted: [0; PARTS], newest: 0, started: now }
    }

    /// Grants up to `wanted` tokens.
    ///
    /// A node that is cut off from a part of the fleet grants the share of the part that it sees: each part
    /// has an owner then, and their shares add up to the quota.
    pub fn grant(&mut self, quota: Quota, share: f64, wanted: u32, now: Instant) -> Grant {
        let quota = scaled(quota, share);
        self.bucket.fill(quota, now);
        let tokens = self.bucket.take(wanted);
        self.note_granted(tokens, now);
        let dry_for = self.bucket.until_next(quota.per_s);
        let mut come_back = Duration::ZERO;
        if tokens < wanted {
            let each = Duration::try_from_secs_f64(1.0 / quota.per_s).unwrap_or(COME_BACK_MAX);
            let refused = (wanted - tokens).min(COME_BACK_MAX.as_millis() as u32);
            let first = self.promised_until.max(now + dry_for.min(COME_BACK_MAX));
            self.promised_until = (first + each * refused).min(now + COME_BACK_MAX);
            come_back = first.min(now + COME_BACK_MAX) - now;
        }
        Grant { tokens, dry_for, come_back, used: self.granted.iter().sum() }
    }

    /// Takes back tokens that were not used.
    pub fn put_back(&mut self, tokens: u32, now: Instant) {
        self.advance(now);
        let newest = &mut self.granted[self.newest as usize % PARTS];
        *newest = newest.saturating_sub(tokens);
        self.bucket.put_back(tokens);
    }

    fn note_granted(&mut self, tokens: u32, now: Instant) {
        self.advance(now);
        self.granted[self.newest as usize % PARTS] += tokens;
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.started);
        let number = (elapsed.as_millis() / PART.as_millis()) as u64;
        while self.newest < number {
            self.newest = (self.newest + 1).max(number.saturating_sub(PARTS as u64));
            self.granted[self.newest as usize % PARTS] = 0;
        }
    }
}

/// The part of a quota that a part of the fleet has.
pub fn scaled(quota: Quota, share: f64) -> Quota {
    Quota { per_s: quota.per_s * share, burst: quota.burst * share }
}
