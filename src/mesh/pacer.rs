//! Paces the requests to a target that has named a limit.
//!
//! A token bucket that is empty when the limit is set, so that what has queued until then does not
//! pass at once. Less important requests leave a part of the bucket to more important ones.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

use super::frame::Load;

/// Time for which unused tokens are kept.
const BURST_PERIOD: Duration = Duration::from_millis(500);
/// Minimum rate, in requests per second: the end of a limit is learned only from answers.
const RATE_MIN_PER_S: f64 = 0.5;
/// Fraction of the bucket that each rank leaves to more important ranks.
const RESERVE_PER_RANK: f64 = 0.25;
/// Maximum fraction of the bucket that a rank leaves to all others.
const RESERVE_MAX: f64 = 0.75;
/// One in this many requests takes a token whatever its rank, so that no route is starved.
const UNRESERVED_ONE_IN: u32 = 10;
/// Time over which accepted and unmet requests are averaged, in seconds.
const AVERAGED_S: f64 = 1.0;
/// Weight of an accepted request in the reported load. Entry nodes admit up to a utilisation of
/// 1.2, which must stay just below the limit: there is no queue that absorbs the rest.
const ACCEPTED_WEIGHT: f64 = 1.25;
/// Weight of an unmet request in the reported load. A request that is refused deep in a call tree
/// wastes the work of the whole tree.
const UNMET_WEIGHT: f64 = 20.0;

/// Limits the rate of requests to one target.
#[derive(Debug)]
pub struct Pacer {
    /// The limit in requests per second, if any.
    per_s: Cell<Option<f64>>,
    tokens: Cell<f64>,
    updated_at: Cell<Instant>,
    /// Number of requests that asked for a token.
    asked: Cell<u32>,
    accepted: Rate,
    unmet: Rate,
}

impl Default for Pacer {
    fn default() -> Self {
        Self {
            per_s: Cell::default(),
            tokens: Cell::default(),
            updated_at: Cell::new(Instant::now()),
            asked: Cell::default(),
            accepted: Rate::default(),
            unmet: Rate::default(),
        }
    }
}

impl Pacer {
    /// Sets the limit. Tokens are kept up to the capacity of the new bucket; there are none if there
    /// was no limit before.
    pub fn set(&self, per_s: Option<f64>) {
        self.refill();
        self.per_s.set(per_s);
    }

    /// Whether there is a limit.
    pub fn is_limited(&self) -> bool {
        self.per_s.get().is_some()
    }

    /// Takes a token for a request of `rank`. Always succeeds without a limit.
    pub fn try_take(&self, rank: u8) -> bool {
        if !self.is_limited() {
            return true;
        }
        let asked = self.asked.get().wrapping_add(1);
        self.asked.set(asked);
        let rank = if asked % UNRESERVED_ONE_IN == 0 { 0 } else { rank };
        if !self.has_token(rank) {
            return false;
        }
        self.tokens.set(self.tokens.get() - 1.0);
        self.accepted.add(1.0);
        true
    }

    /// Whether a request of `rank` may pass now.
    pub fn has_token(&self, rank: u8) -> bool {
        if !self.is_limited() {
            return true;
        }
        self.refill();
        let reserve = (RESERVE_PER_RANK * f64::from(rank)).min(RESERVE_MAX);
        self.tokens.get() >= 1.0 + (self.capacity() - 1.0) * reserve
    }

    /// Counts a request that was refused because of the limit and that no other target could take.
    pub fn record_unmet(&self) {
        self.unmet.add(1.0);
    }

    /// The demand on the limit as a load: requests per second that were accepted (running) and unmet
    /// (waiting), and the limit. Scaled down to at most `slots`, as the target can run no more.
    /// `None` without a limit.
    pub fn load(&self, slots: u32) -> Option<Load> {
        let rate = self.rate()?;
        let limit = rate.round().clamp(1.0, f64::from(slots.max(1)));
        let scaled = |per_s: f64| (per_s * limit / rate).round() as u32;
        Some(Load {
            running: scaled(self.accepted.get() * ACCEPTED_WEIGHT),
            waiting: scaled(self.unmet.get() * UNMET_WEIGHT),
            limit: limit as u32,
        })
    }

    /// The rate at which tokens are added, per second; `None` without a limit.
    fn rate(&self) -> Option<f64> {
        self.per_s.get().map(|per_s| per_s.max(RATE_MIN_PER_S))
    }

    /// The size of the bucket; 0 without a limit.
    fn capacity(&self) -> f64 {
        self.per_s.get().map_or(0.0, |per_s| 1.0 + per_s * BURST_PERIOD.as_secs_f64())
    }

    fn refill(&self) {
        let now = Instant::now();
        let elapsed_s = (now - self.updated_at.replace(now)).as_secs_f64();
        let tokens = self.tokens.get() + self.rate().unwrap_or(0.0) * elapsed_s;
        self.tokens.set(tokens.min(self.capacity()));
    }
}

/// An exponentially weighted rate of events, per second.
#[derive(Debug)]
struct Rate {
    sum: Cell<f64>,
    updated_at: Cell<Instant>,
}

impl Default for Rate {
    fn default() -> Self {
        Self { sum: Cell::default(), updated_at: Cell::new(Instant::now()) }
    }
}

impl Rate {
    fn add(&self, count: f64) {
        let sum = self.get() * AVERAGED_S + count;
        self.sum.set(sum);
        self.updated_at.set(Instant::now());
    }

    fn get(&self) -> f64 {
        let elapsed_s = self.updated_at.get().elapsed().as_secs_f64();
        self.sum.get() * (-elapsed_s / AVERAGED_S).exp() / AVERAGED_S
    }
}
