//! How hard a node uses the store: a bounded rate, and pauses while the store fails.

use std::cell::RefCell;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::clock::{US_PER_MS, US_PER_S};

use super::{StoreError, StoreOptions};

/// Failures in a row after which the circuit opens.
const FAILURES_TO_OPEN: u32 = 3;
/// The longest first pause, in microseconds.
const FIRST_PAUSE_US: u64 = 500 * US_PER_MS;
/// The longest an exchange may wait for its turn, in microseconds.
const WAIT_MAX_US: u64 = 2 * US_PER_S;

/// The state of the circuit.
#[derive(Debug)]
struct State {
    /// Exchanges that may begin at once; below zero while some wait for their turn.
    tokens: f64,
    filled_us: u64,
    failures: u32,
    /// Until when nothing is sent.
    open_until_us: u64,
    /// Whether the one exchange that tries whether the store is back is under way.
    probing: bool,
    rng: SmallRng,
}

/// Decides which exchanges may begin, and when.
#[derive(Debug)]
pub(super) struct Circuit {
    rate_per_s: f64,
    burst: f64,
    pause_max_us: u64,
    state: RefCell<State>,
}

impl Circuit {
    /// A closed circuit with a full burst.
    pub(super) fn new(options: &StoreOptions) -> Self {
        let state = State {
            tokens: options.burst,
            filled_us: 0,
            failures: 0,
            open_until_us: 0,
            probing: false,
            rng: SmallRng::seed_from_u64(options.seed),
        };
        Self {
            rate_per_s: options.rate_per_s,
            burst: options.burst,
            pause_max_us: options.pause_max_ms * US_PER_MS,
            state: RefCell::new(state),
        }
    }

    /// How long an exchange waits for its turn.
    ///
    /// # Errors
    ///
    /// If the store is taken to be away, or too many exchanges wait: nothing was sent.
    pub(super) fn admit(&self, now_us: u64) -> Result<Duration, StoreError> {
        let mut state = self.state.borrow_mut();
        let tripped = state.failures >= FAILURES_TO_OPEN;
        if now_us < state.open_until_us || (tripped && state.probing) {
            return Err(StoreError::not_applied("taken to be away after failures"));
        }
        self.fill(&mut state, now_us);
        let owed = (1.0 - state.tokens).max(0.0);
        let wait_us = (owed / self.rate_per_s * US_PER_S as f64) as u64;
        if wait_us > WAIT_MAX_US {
            return Err(StoreError::not_applied("this node's rate is used up"));
        }
        state.tokens -= 1.0;
        state.probing = tripped;
        Ok(Duration::from_micros(wait_us))
    }

    fn fill(&self, state: &mut State, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(state.filled_us);
        state.filled_us = now_us;
        let earned = elapsed_us as f64 / US_PER_S as f64 * self.rate_per_s;
        state.tokens = (state.tokens + earned).min(self.burst);
    }

    /// Takes the outcome of an exchange that was let through.
    pub(super) fn report(&self, now_us: u64, ok: bool) {
        let mut state = self.state.borrow_mut();
        state.probing = false;
        if ok {
            state.failures = 0;
            state.open_until_us = 0;
            return;
        }
        state.failures = state.failures.saturating_add(1);
        let Some(openings) = state.failures.checked_sub(FAILURES_TO_OPEN) else { return };
        let ceiling_us = (FIRST_PAUSE_US << openings.min(16)).min(self.pause_max_us).max(1);
        let pause_us = state.rng.random_range(ceiling_us / 4..=ceiling_us);
        state.open_until_us = now_us + pause_us;
    }
}
