//! Rate limit and circuit breaker for requests to the table service.

use std::cell::RefCell;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::clock::{US_PER_MS, US_PER_S};

use super::{StoreError, StoreOptions};

/// Consecutive failures after which the circuit opens.
const FAILURES_TO_OPEN: u32 = 3;
/// Upper bound of the first pause after the circuit opens, in microseconds.
const FIRST_PAUSE_MAX_US: u64 = 500 * US_PER_MS;
/// The longest an exchange may wait for the rate limit, in microseconds.
const RATE_WAIT_MAX_US: u64 = 2 * US_PER_S;

/// Mutable state of the rate limit and the circuit breaker.
#[derive(Debug)]
struct State {
    /// Tokens of the token bucket; negative while exchanges wait for their token.
    tokens: f64,
    refilled_at_us: u64,
    consecutive_failures: u32,
    /// The circuit is open, and nothing is sent, until this time.
    open_until_us: u64,
    /// Whether the single probe of the half-open circuit is running.
    is_probing: bool,
    rng: SmallRng,
}

/// Decides whether and when an exchange may begin: a token bucket and a circuit breaker.
#[derive(Debug)]
pub(super) struct CircuitBreaker {
    rate_per_s: f64,
    burst: f64,
    pause_max_us: u64,
    state: RefCell<State>,
}

impl CircuitBreaker {
    /// A closed circuit with a full token bucket.
    pub(super) fn new(options: &StoreOptions) -> Self {
        let state = State {
            tokens: options.burst,
            refilled_at_us: 0,
            consecutive_failures: 0,
            open_until_us: 0,
            is_probing: false,
            rng: SmallRng::seed_from_u64(options.seed),
        };
        Self {
            rate_per_s: options.rate_per_s,
            burst: options.burst,
            pause_max_us: options.pause_max_ms * US_PER_MS,
            state: RefCell::new(state),
        }
    }

    /// Returns how long an exchange must wait for the rate limit.
    ///
    /// # Errors
    ///
    /// If the circuit is open, or the wait would be too long. Nothing was sent.
    pub(super) fn admit(&self, now_us: u64) -> Result<Duration, StoreError> {
        let mut state = self.state.borrow_mut();
        let is_tripped = state.consecutive_failures >= FAILURES_TO_OPEN;
        if now_us < state.open_until_us || (is_tripped && state.is_probing) {
            return Err(StoreError::not_applied("taken to be away after failures"));
        }
        self.refill(&mut state, now_us);
        let deficit = (1.0 - state.tokens).max(0.0);
        let wait_us = (deficit / self.rate_per_s * US_PER_S as f64) as u64;
        if wait_us > RATE_WAIT_MAX_US {
            return Err(StoreError::not_applied("this node's rate is used up"));
        }
        state.tokens -= 1.0;
        state.is_probing = is_tripped;
        Ok(Duration::from_micros(wait_us))
    }

    /// Adds the tokens accrued since the last refill.
    fn refill(&self, state: &mut State, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(state.refilled_at_us);
        state.refilled_at_us = now_us;
        let refilled = elapsed_us as f64 / US_PER_S as f64 * self.rate_per_s;
        state.tokens = (state.tokens + refilled).min(self.burst);
    }

    /// Records the outcome of an admitted exchange.
    pub(super) fn report(&self, now_us: u64, is_ok: bool) {
        let mut state = self.state.borrow_mut();
        state.is_probing = false;
        if is_ok {
            state.consecutive_failures = 0;
            state.open_until_us = 0;
            return;
        }
        state.consecutive_failures = state.consecutive_failures.saturating_add(1);
        let Some(excess_failures) = state.consecutive_failures.checked_sub(FAILURES_TO_OPEN) else {
            return;
        };
        let ceiling_us =
            (FIRST_PAUSE_MAX_US << excess_failures.min(16)).min(self.pause_max_us).max(1);
        let pause_us = state.rng.random_range(ceiling_us / 4..=ceiling_us);
        state.open_until_us = now_us + pause_us;
    }
}
