//! Limits the retries that a node sends to each service.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::ops::Range;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::settings::RetrySection;

/// Fraction of the permitted retry share that a node uses. The rest absorbs uneven load: retries
/// from one level of the call tree are spread unevenly over the nodes of the next.
const SHARE_FRACTION: f64 = 0.75;
/// Fraction of the permitted share of the requests of the window before that a node uses. The rest
/// absorbs calls that retried runs make again, which are charged to nodes unevenly.
pub const LAGGED_SHARE_FRACTION: f64 = 0.95;
/// Fraction of the permitted share of the best window that a node uses. The best windows of nodes that
/// are busy at different times add up to more than the best window of all.
pub const BEST_SHARE_FRACTION: f64 = 0.68;
/// Fraction of a budget that is left to calls of runs that have already completed a call: a tree
/// that has made progress has fewer calls left that may fail.
const RESERVED_FOR_PROGRESS: f64 = 0.2;
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
    /// The buckets of this window and of the one before, as a ring.
    buckets: [Bucket; 2 * BUCKETS],
    /// Number of the current bucket, counted from the start of the node.
    newest: u64,
    /// Number of the bucket with the first request.
    oldest: u64,
}

impl RetryWindow {
    fn new(newest: u64) -> Self {
        Self { buckets: [Bucket::default(); 2 * BUCKETS], newest, oldest: newest }
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

    /// The buckets with the given ages, in buckets.
    fn aged(&self, ages: Range<usize>) -> impl Iterator<Item = &Bucket> {
        let length = self.buckets.len();
        let newest = self.newest as usize % length;
        ages.map(move |age| &self.buckets[(newest + length - age) % length])
    }

    /// Requests over slightly less than a window, and retries spent over at least one.
    fn sums(&self) -> (f64, f64) {
        let requests: u32 = self.aged(0..BUCKETS).map(|bucket| bucket.requests).sum();
        let spent = self.aged(0..BUCKETS + 1).map(|bucket| bucket.spent).sum();
        (f64::from(requests), spent)
    }

    /// Requests in the best of the present window, the one half a window earlier and the one before.
    fn best_requests(&self) -> f64 {
        let mut best = 0;
        for lag in [0, BUCKETS / 2, BUCKETS] {
            let requests = self.aged(lag..lag + BUCKETS).map(|bucket| bucket.requests).sum();
            best = best.max(requests);
        }
        f64::from(best)
    }

    /// The least remaining budget over all windows that contain this moment: what is `allowed` for
    /// the requests in the window before, less the retries spent so far. Only buckets that lie in a
    /// window as a whole count as requests, and all that overlap it as spent.
    fn lagged_remaining(&self, allowed: impl Fn(f64) -> f64) -> f64 {
        let length = self.buckets.len();
        let newest = self.newest as usize % length;
        let aged = |age: usize| &self.buckets[(newest + length - age) % length];
        // The window that has just begun; then those that began one bucket earlier each.
        let mut requests: u32 = self.aged(1..BUCKETS).map(|bucket| bucket.requests).sum();
        let mut spent = aged(0).spent;
        let mut least = allowed(f64::from(requests)) - spent;
        for age in 1..=BUCKETS {
            requests = requests - aged(age).requests + aged(age + BUCKETS - 1).requests;
            spent += aged(age).spent;
            least = least.min(allowed(f64::from(requests)) - spent);
        }
        least
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
    lagged_share: f64,
    best_share: f64,
    /// The fractions used where rejected offers are retried.
    rank_fractions: Cell<RankFractions>,
    slack: f64,
    started: Instant,
    windows: RefCell<HashMap<String, RetryWindow>>,
}

impl RetryBudgets {
    /// Creates budgets with the given limits.
    pub fn new(settings: &RetrySection) -> Self {
        Self {
            share: settings.share * SHARE_FRACTION,
            lagged_share: settings.share * LAGGED_SHARE_FRACTION,
            best_share: settings.share * BEST_SHARE_FRACTION,
            rank_fractions: Cell::default(),
            slack: f64::from(settings.slack) * SLACK_FRACTION,
            started: Instant::now(),
            windows: RefCell::default(),
        }
    }

    /// Sets the least important rank.
    pub fn set_rank_max(&self, rank_max: u8) {
        self.rank_fractions.set(RankFractions::up_to(rank_max));
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

    /// Like `remaining`, for services whose targets have conditions.
    pub fn remaining_lagged(&self, service: &str) -> f64 {
        self.with_window(service, |window| self.full_remaining(window, 0.0, 1.0))
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
            let remaining =
                (requests * self.share + slack) * RankFractions::default().of(rank) - spent;
            take(window, remaining, slack, rng)
        })
    }

    /// Like `try_take`, for services whose targets have conditions: counts the requests of the window
    /// before, so that the budget does not fall with the requests that are admitted while targets
    /// reject offers.
    ///
    /// The rule allows a share of the requests of all nodes in the best of three windows: the one in
    /// which the retries are made, the one half a window earlier and the one a whole window earlier.
    /// A node does not know which one is best for all nodes together. If each used the one that is
    /// best for itself, nodes that are busy at different times would use up to three times the
    /// allowed number. If all use the same one, their sum is at most the best, for any distribution
    /// of requests. The check covers every window that contains this moment, also those that end
    /// later and in which there may be no more requests.
    pub fn try_take_lagged(
        &self,
        service: &str,
        rank: u8,
        has_progressed: bool,
        nodes: usize,
        rng: &mut impl Rng,
    ) -> bool {
        let slack = self.slack / nodes.max(1) as f64;
        let progress_fraction = if has_progressed { 1.0 } else { 1.0 - RESERVED_FOR_PROGRESS };
        let fraction = self.rank_fractions.get().of(rank) * progress_fraction;
        self.with_window(service, |window| {
            let remaining = self.full_remaining(window, slack, fraction);
            take(window, remaining, slack, rng)
        })
    }

    /// The retries that `fraction` of the budget still allows. In the first twenty seconds of requests
    /// the window before is incomplete. Then each node counts the best of the three windows, as the
    /// requests of all nodes have begun together and rise together.
    fn full_remaining(&self, window: &RetryWindow, slack: f64, fraction: f64) -> f64 {
        if window.newest - window.oldest < 2 * BUCKETS as u64 {
            let (_, spent) = window.sums();
            return (window.best_requests() * self.best_share + slack) * fraction - spent;
        }
        window.lagged_remaining(|requests| (requests * self.lagged_share + slack) * fraction)
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

/// Fractions of a budget that are available to each rank.
#[derive(Clone, Copy, Debug)]
pub struct RankFractions {
    reserved_per_rank: f64,
}

impl Default for RankFractions {
    fn default() -> Self {
        Self { reserved_per_rank: RESERVED_PER_RANK }
    }
}

impl RankFractions {
    /// Fractions that fall to the least one at `rank_max`, the least important rank. Where teams have
    /// ranks too there are many, and equal steps would leave most of them the least fraction.
    pub fn up_to(rank_max: u8) -> Self {
        let step = (1.0 - RANK_FRACTION_MIN) / f64::from(rank_max.max(1));
        Self { reserved_per_rank: step.min(RESERVED_PER_RANK) }
    }

    /// Fraction of the budget that is available to requests of `rank`.
    pub fn of(self, rank: u8) -> f64 {
        (1.0 - self.reserved_per_rank * f64::from(rank)).max(RANK_FRACTION_MIN)
    }
}

/// Takes one retry if `remaining` allows it. If no whole retry is left, draws one with the
/// probability `slack`, and is charged that part either way.
fn take(window: &mut RetryWindow, remaining: f64, slack: f64, rng: &mut impl Rng) -> bool {
    let charge = if remaining >= 1.0 { 1.0 } else { slack.min(1.0) };
    if remaining < charge {
        return false;
    }
    window.current().spent += charge;
    rng.random::<f64>() < charge
}
