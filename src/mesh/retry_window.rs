//! Sliding windows of the requests for a service and of the retries spent on them.
//!
//! The rule for retries allows a share of the requests in the best of three windows: the one in
//! which the retries are made, the one half a window earlier and the one a whole window earlier.
//! Senders spend by these windows (`budget`), and entry nodes plan by them (`completion`).

use std::ops::Range;
use std::time::Duration;

use tokio::time::Instant;

/// Length of a bucket.
pub const BUCKET: Duration = Duration::from_millis(500);
/// Number of buckets in a window of ten seconds, over which retries are compared with requests.
pub const BUCKETS: usize = 20;
/// Number of buckets kept: those of this window and of the one before.
const KEPT: usize = 2 * BUCKETS;
/// Fraction of the permitted share of the requests of the window before that a node uses. The rest
/// absorbs calls that retried runs make again, which are charged to nodes unevenly.
const LAGGED_SHARE_FRACTION: f64 = 0.95;
/// Fraction of the permitted share of the best window that a node uses. The best windows of nodes that
/// are busy at different times add up to more than the best window of all.
const BEST_SHARE_FRACTION: f64 = 0.68;

/// Traffic to a service in one bucket.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    /// Number of requests.
    pub requests: u32,
    /// Budget spent on retries.
    pub spent: f64,
}

/// The traffic to a service in this window and the one before.
#[derive(Debug)]
pub struct RetryWindow {
    /// The buckets, as a ring.
    buckets: [Bucket; KEPT],
    /// Number of the current bucket, counted from the start of the node.
    newest: u64,
    /// Number of the bucket with the first traffic.
    oldest: u64,
}

impl RetryWindow {
    /// Creates a window whose first bucket has the given number.
    pub fn new(newest: u64) -> Self {
        Self { buckets: [Bucket::default(); KEPT], newest, oldest: newest }
    }

    /// The number of the bucket of this moment, on a node that has started at `started`.
    pub fn number(started: Instant) -> u64 {
        (started.elapsed().as_micros() / BUCKET.as_micros()) as u64
    }

    /// Advances to the bucket of the given number.
    pub fn advance(&mut self, number: u64) {
        let elapsed = number.saturating_sub(self.newest).min(KEPT as u64);
        for back in 0..elapsed {
            self.buckets[(number - back) as usize % KEPT] = Bucket::default();
        }
        self.newest = self.newest.max(number);
    }

    /// Counts the current bucket as the one with the first traffic.
    pub fn begin(&mut self) {
        self.oldest = self.newest;
    }

    /// The current bucket.
    pub fn current(&mut self) -> &mut Bucket {
        &mut self.buckets[self.newest as usize % KEPT]
    }

    /// The bucket that is `age` buckets older than the current one.
    fn bucket(&self, age: usize) -> Bucket {
        self.buckets[(self.newest as usize % KEPT + KEPT - age) % KEPT]
    }

    fn requests(&self, ages: Range<usize>) -> u32 {
        ages.map(|age| self.bucket(age).requests).sum()
    }

    /// Whether there are requests in any bucket.
    pub fn has_requests(&self) -> bool {
        self.buckets.iter().any(|bucket| bucket.requests > 0)
    }

    /// Requests over slightly less than a window, and retries spent over at least one.
    pub fn sums(&self) -> (f64, f64) {
        let spent = (0..=BUCKETS).map(|age| self.bucket(age).spent).sum();
        (f64::from(self.requests(0..BUCKETS)), spent)
    }

    /// The windows that contain this moment, by the age of their first bucket: the requests that
    /// count for each, weighted by the fraction of the permitted share that a node uses, and the
    /// retries spent in it so far. The check of all of them covers those that end later, and in which
    /// there may be no more requests.
    ///
    /// The requests of the window before count. A node does not know which of the three windows is
    /// best for all nodes together. If each used the one that is best for itself, nodes that are busy
    /// at different times would use up to three times the allowed number. If all use the same one,
    /// their sum is at most the best, for any distribution of requests. Only buckets that lie in a
    /// window as a whole count as requests, and all that overlap it as spent.
    ///
    /// In the first twenty seconds of traffic the window before is incomplete. Then each node counts
    /// the best of the three windows, as the requests of all nodes have begun together and rise
    /// together.
    pub fn windows(&self) -> [(f64, f64); BUCKETS + 1] {
        let is_new = self.newest - self.oldest < KEPT as u64;
        let mut requests = if is_new {
            let best = [0, BUCKETS / 2, BUCKETS].map(|lag| self.requests(lag..lag + BUCKETS));
            best.into_iter().max().unwrap_or(0)
        } else {
            self.requests(1..BUCKETS)
        };
        let fraction = if is_new { BEST_SHARE_FRACTION } else { LAGGED_SHARE_FRACTION };
        let mut spent = 0.0;
        std::array::from_fn(|age| {
            spent += self.bucket(age).spent;
            if age > 0 && !is_new {
                requests -= self.bucket(age).requests;
                requests += self.bucket(age + BUCKETS - 1).requests;
            }
            (f64::from(requests) * fraction, spent)
        })
    }
}
