//! Limits the retries that a node sends to each service.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use rand::Rng;
use tokio::time::Instant;

use super::retry_window::RetryWindow;
use super::settings::RetrySection;

/// Fraction of the permitted retry share that a node uses. The rest absorbs uneven load: retries
/// from one level of the call tree are spread unevenly over the nodes of the next.
const SHARE_FRACTION: f64 = 0.75;
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
    permitted_share: f64,
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
            permitted_share: settings.share,
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

    /// Like `remaining`, where rejected offers are retried.
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

    /// Like `try_take`, where rejected offers are retried: counts the requests of the window
    /// before, so that the budget does not fall with the requests that are admitted while targets
    /// reject offers.
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

    /// The retries that `fraction` of the budget still allows in all windows that contain this moment.
    fn full_remaining(&self, window: &RetryWindow, slack: f64, fraction: f64) -> f64 {
        let remaining = |(requests, spent): (f64, f64)| {
            (requests * self.permitted_share + slack) * fraction - spent
        };
        window.windows().map(remaining).into_iter().fold(f64::INFINITY, f64::min)
    }

    /// Calls `take` with the current window of a service.
    fn with_window<T>(&self, service: &str, take: impl FnOnce(&mut RetryWindow) -> T) -> T {
        let number = RetryWindow::number(self.started);
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
