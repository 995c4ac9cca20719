//! What a sender knows of the limit of another node's target, and when it offers calls to it.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::frame::{Load, TargetLimit};
use super::incarnation::Incarnation;

/// Minimum time for which no call is offered after one was refused because of the limit. Several
/// senders that return this often use up the limit.
const HOLD_MIN: Duration = Duration::from_millis(300);
/// Maximum time for which no call is offered. The end of a limit is learned only from answers, so it
/// must not be long.
const HOLD_MAX: Duration = Duration::from_secs(1);
/// Factor on the hold for a call that was refused, and divisor for one that was accepted.
const HOLD_FACTOR: u32 = 2;

/// The limit of another node's target.
#[derive(Debug)]
pub struct PeerLimit {
    reported: RefCell<Option<(TargetLimit, Instant)>>,
    hold: Cell<Duration>,
    held_until: Cell<Option<Instant>>,
}

impl Default for PeerLimit {
    fn default() -> Self {
        Self {
            reported: RefCell::default(),
            hold: Cell::new(HOLD_MIN),
            held_until: Cell::default(),
        }
    }
}

impl PeerLimit {
    /// Records the limit that the node has reported.
    pub fn update(&self, limit: TargetLimit) {
        if limit.per_s.is_none() {
            self.reported.replace(None);
            self.release();
            return;
        }
        self.reported.replace(Some((limit, Instant::now())));
    }

    /// Offers calls again at once.
    pub fn release(&self) {
        self.held_until.set(None);
        self.hold.set(HOLD_MIN);
    }

    /// The limit last reported, with its present age; `None` if no limit is in force.
    pub fn reported(&self) -> Option<TargetLimit> {
        let reported = self.reported.borrow();
        let (limit, at) = reported.as_ref()?;
        let age_ms = limit.age_ms.saturating_add(at.elapsed().as_millis() as u32);
        Some(TargetLimit { age_ms, ..limit.clone() })
    }

    /// The demand on the target, if `incarnation` has named the limit last reported.
    pub fn demand_on(&self, incarnation: &Incarnation) -> Option<Load> {
        let reported = self.reported.borrow();
        let (limit, _) = reported.as_ref()?;
        (limit.incarnation == *incarnation).then_some(limit.load)
    }

    /// Records that a call was accepted.
    pub fn record_accepted(&self) {
        self.hold.set((self.hold.get() / HOLD_FACTOR).max(HOLD_MIN));
    }

    /// Records that a call was refused because of the limit. No call is offered for a time that is
    /// randomized, as the other senders are refused at the same moments.
    pub fn record_refused(&self, rng: &mut impl Rng) {
        let now = Instant::now();
        if self.is_held(now) {
            return;
        }
        let hold = self.hold.get();
        self.held_until.set(Some(now + hold.mul_f64(rng.random_range(0.5..1.5))));
        self.hold.set((hold * HOLD_FACTOR).min(HOLD_MAX));
    }

    /// Whether no call should be offered at `now` if another target can take it.
    pub fn is_held(&self, now: Instant) -> bool {
        self.held_until.get().is_some_and(|until| now < until)
    }
}
