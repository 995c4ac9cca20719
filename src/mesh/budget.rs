//! Limits the retries that a node sends to each service.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::settings::RetrySection;

/// Fraction of the permitted retry share that a node uses. The rest absorbs uneven load: retries
/// from one level of the call tree are spread unevenly over the nodes of the next.
pub const SHARE_FRACTION: f64 = 0.75;
/// Fraction of the slack that all nodes together use; each decides at random whether to use its
/// part.
const SLACK_FRACTION: f64 = 0.4;
/// Fraction of a budget that each rank leaves to more important ones. A retry usually saves an
/// important request that makes few calls, but rarely a page that makes many.
const RESERVED_PER_RANK: f64 = 0.25;
/// Least fraction of the budget available to any rank.
const RANK_FRACTION_MIN: f64 = 0.25;

/// Length of the sliding window over which retries are compared with requests.
const WINDOW: Duration = Duration::from_secs(10);
/// Number of buckets in a window.
const BUCKETS: usize = 20;

/// Traffic to a service in one bucket of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    requests: u32,
    /// Budget spent on retries.
    spent: f64,
}

/// Sliding window of the traffic to a service.
#[derive(Debug)]
struct RetryWindow {
    /// The buckets of a window and the one that has just left it, as a ring.
    buckets: [Bucket; BUCKETS + 1],
    /// Number of the current bucket, counted from the start of the node.
    newest: u64,
}

impl RetryWindow {
    fn new(newest: u64) -> Self {
        Self { buckets: [Bucket::default(); BUCKETS + 1], newest }
    }

    /// Advances to the bucket of the given number.
    fn advance(&mut self, number: u64) {
        let elapsed = number.saturating_sub(self.newest).min(self.buckets.len() as u64);
        for back in 0..elapsed {
            let index = (number - back) as usize % self.buckets.len();
            self.buckets[index] = Bucket::default();
        }
        self.newest = self.newest.max(number);
    }

    /// The current bucket.
    fn current(&mut self) -> &mut Bucket {
        let index = self.newest as usize % self.buckets.len();
        &mut self.buckets[index]
    }

    /// Requests over slightly less than a window, and retries spent over at least one.
    fn sums(&self) -> (f64, f64) {
        let oldest = (self.newest + 1) as usize % self.buckets.len();
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let spent = self.buckets.iter().map(|bucket| bucket.spent).sum();
        (f64::from(requests - self.buckets[oldest].requests), spent)
    }
}

/// Retry budgets, one for each service.
///
/// Each node compares the retries it has sent in the last ten seconds with its own requests in that
/// time, so the total over all nodes keeps to the share without coordination. Budget earned while a
/// service was healthy is available for ten seconds after it begins to fail.
///
/// A call made by a retried request counts as a retry at its service too, although it was not
/// retried itself. It is charged to the same budget, so that a failure deep in the call tree, where
/// a retry costs one run, can use the whole budget if no call above it is retried.
#[derive(Debug)]
pub struct RetryBudgets {
    share: f64,
    slack: f64,
    started: Instant,
    windows: RefCell<HashMap<String, RetryWindow>>,
}

impl RetryBudgets {
    /// Creates budgets with the given limits.
    pub fn new(settings: &RetrySection) -> Self {
        Self {
            share: settings.share * SHARE_FRACTION,
            slack: f64::from(settings.slack) * SLACK_FRACTION,
            started: Instant::now(),
            windows: RefCell::default(),
        }
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&self, service: &str) {
        self.with_window(service, |window| window.current().requests += 1);
    }

    /// Charges the first attempt of a request that was made by a retry.
    pub fn charge_inherited(&self, service: &str) {
        self.with_window(service, |window| window.current().spent += 1.0);
    }

    /// Retries available to the most important rank, without the slack; negative if more were
    /// charged than earned.
    pub fn remaining(&self, service: &str) -> f64 {
        self.with_window(service, |window| {
            let (requests, spent) = window.sums();
            requests * self.share - spent
        })
    }

    /// Takes one retry for a request of `rank` if the budget allows it. `nodes` is the number of
    /// nodes that share the slack.
    ///
    /// With many nodes, each one's part of the slack is less than one retry. If no whole retry is
    /// left, the node draws one with that probability, and is charged that part either way.
    pub fn try_take(&self, service: &str, rank: u8, nodes: usize, rng: &mut impl Rng) -> bool {
        let slack = self.slack / nodes.max(1) as f64;
        self.with_window(service, |window| {
            let (requests, spent) = window.sums();
            let remaining = (requests * self.share + slack) * rank_fraction(rank) - spent;
            let charge = if remaining >= 1.0 { 1.0 } else { slack.min(1.0) };
            if remaining < charge {
                return false;
            }
            window.current().spent += charge;
            rng.random::<f64>() < charge
        })
    }

    /// Calls `take` with the current window of a service.
    fn with_window<T>(&self, service: &str, take: impl FnOnce(&mut RetryWindow) -> T) -> T {
        let length = WINDOW / BUCKETS as u32;
        let number = (self.started.elapsed().as_micros() / length.as_micros()) as u64;
        let mut windows = self.windows.borrow_mut();
        if let Some(window) = windows.get_mut(service) {
            window.advance(number);
            return take(window);
        }
        take(windows.entry(service.to_owned()).or_insert_with(|| RetryWindow::new(number)))
    }
}

/// Fraction of the budget that is available to requests of `rank`.
pub fn rank_fraction(rank: u8) -> f64 {
    (1.0 - RESERVED_PER_RANK * f64::from(rank)).max(RANK_FRACTION_MIN)
}
