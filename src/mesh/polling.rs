//! Schedules the long polls by which a node follows the configuration in the store.
//!
//! A store may accept a request and never answer it, and so may a dead connection: the node then
//! misses changes while it waits. All followers renew their requests at the same change, so one
//! outage can lose the requests of all of them. The first node of each failure domain therefore
//! uses short polls and detects a lost request soon; the others, which take over only if the first
//! node fails, use long ones.

use std::time::Duration;

use tokio::time::Instant;

use super::follower::Role;

/// Time after which the request of a first node, or one to an unreachable store, counts as lost.
/// Nodes must meet all guarantees again 3 s after the store has recovered; a request lost at the
/// end of an outage is then retried half a second before that. With 27.5 s, an outage of 3.5 s left
/// 16 nodes without three configurations for the following 11 s.
const LOST_AFTER: Duration = Duration::from_millis(2_500);
/// Long-poll wait of a first node. The rest of `LOST_AFTER` is left for the answer, which takes 4
/// ms from a store under normal load and 250 ms from a slow one.
const WAIT_FIRST: Duration = Duration::from_millis(1_500);
/// Long-poll wait of all other nodes. Each then sends fewer than 180 requests an hour in normal
/// operation.
const WAIT_OTHERS: Duration = Duration::from_secs(25);
/// Maximum random reduction of a wait, so that requests that began together don't end together.
const WAIT_JITTER: f64 = 0.2;
/// Initial backoff after a failed request.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Maximum backoff after failed requests.
const BACKOFF_MAX: Duration = Duration::from_millis(800);
/// Maximum backoff of a node that follows the store only in place of others: more requests would
/// not help an unreachable store to recover.
const SUBSTITUTE_BACKOFF_MAX: Duration = Duration::from_secs(4);
/// Time of failures after which a node reports the store as unreachable, so that others follow it.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(700);

/// A long-poll request to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LongPoll {
    /// How long the store may wait for a change.
    pub wait: Duration,
    /// Time without an answer after which the request counts as lost.
    pub lost_after: Duration,
}

/// Consequences of a failed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether it is the first failure since the last answer.
    pub is_new: bool,
    /// Whether the store counts as unreachable, so that other nodes should follow it in place of
    /// this one.
    pub is_unreachable: bool,
    /// How long the request had been pending.
    pub waited: Duration,
    /// When to send the next request.
    pub retry_at: Instant,
}

/// Schedules the requests of one node.
#[derive(Debug)]
pub struct PollSchedule {
    sent_at: Instant,
    long_poll: LongPoll,
    backoff: Duration,
    failing_since: Option<Instant>,
}

impl PollSchedule {
    /// Starts without any request sent.
    pub fn new(now: Instant) -> Self {
        let long_poll = LongPoll { wait: Duration::ZERO, lost_after: LOST_AFTER };
        Self { sent_at: now, long_poll, backoff: BACKOFF_MIN, failing_since: None }
    }

    /// Returns the next request, to be sent now. `is_first` tells whether this node is the first of
    /// its failure domain that reaches the store; `jitter` is a random number from 0 to 1.
    pub fn next_request(&mut self, is_first: bool, jitter: f64, now: Instant) -> LongPoll {
        let factor = 1.0 - WAIT_JITTER * jitter;
        self.sent_at = now;
        self.long_poll = match (self.failing_since, is_first) {
            // Checks whether the store answers at all before making it wait.
            (Some(_), _) => LongPoll { wait: Duration::ZERO, lost_after: LOST_AFTER },
            (None, true) => LongPoll { wait: WAIT_FIRST.mul_f64(factor), lost_after: LOST_AFTER },
            (None, false) => {
                let wait = WAIT_OTHERS.mul_f64(factor);
                LongPoll { wait, lost_after: wait + LOST_AFTER }
            }
        };
        self.long_poll
    }

    /// Records an answer. Returns how long the store had been unreachable, if it had been.
    pub fn record_answer(&mut self, now: Instant) -> Option<Duration> {
        self.backoff = BACKOFF_MIN;
        self.failing_since.take().map(|since| now - since)
    }

    /// Records a failed or lost request; `jitter` is a random number from 0 to 1.
    pub fn record_failure(&mut self, role: Role, jitter: f64, now: Instant) -> Failure {
        let is_new = self.failing_since.is_none();
        let since = *self.failing_since.get_or_insert(now);
        let waited = now - self.sent_at;
        let is_lost = waited >= self.long_poll.lost_after;
        // The backoff starts when the request was sent, as the time-out of a lost one has already
        // passed.
        let retry_at = self.sent_at + self.backoff.mul_f64(0.5 + jitter);
        self.backoff = (self.backoff * 2).min(backoff_max(role));
        let is_unreachable = is_lost || now - since > UNREACHABLE_AFTER;
        Failure { is_new, is_unreachable, waited, retry_at: retry_at.max(now) }
    }
}

fn backoff_max(role: Role) -> Duration {
    match role {
        Role::Follower => BACKOFF_MAX,
        Role::Substitute | Role::Informed => SUBSTITUTE_BACKOFF_MAX,
    }
}
