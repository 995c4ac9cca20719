//! Keeps the limits that incarnations of the local target have named.
//!
//! A limit belongs to the incarnation that named it. Answers may arrive out of order, so an answer
//! may lower a limit at once, but raises or ends it only if its request was sent after the limit
//! had last been named.

use std::cell::RefCell;
use std::time::Duration;

use tokio::time::Instant;

use super::incarnation::Incarnation;

/// Maximum number of incarnations whose limit is kept.
const KEPT_MAX: usize = 16;

/// The limit of one incarnation.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedLimit {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// The requests per second that it accepts from all nodes together; `None` if it does not limit
    /// them.
    pub per_s: Option<f64>,
    /// When this limit was first named.
    pub since: Instant,
    /// When it was last named.
    last_named_at: Instant,
}

impl NamedLimit {
    /// How long ago the limit was first named.
    pub fn age(&self) -> Duration {
        self.since.elapsed()
    }
}

/// The limits of the incarnations that answered last, oldest first.
#[derive(Debug, Default)]
pub struct NamedLimits(RefCell<Vec<NamedLimit>>);

impl NamedLimits {
    /// Applies what an answer of an incarnation states. `sent_at` is when its request was sent;
    /// `None` if that is not known. Returns whether the limit has changed.
    pub fn observe(
        &self,
        incarnation: &Incarnation,
        per_s: Option<f64>,
        sent_at: Option<Instant>,
    ) -> bool {
        let now = Instant::now();
        let mut limits = self.0.borrow_mut();
        let Some(known) = limits.iter_mut().find(|known| known.incarnation == *incarnation) else {
            let incarnation = incarnation.clone();
            insert(&mut limits, NamedLimit { incarnation, per_s, since: now, last_named_at: now });
            return per_s.is_some();
        };
        let is_newer = sent_at.is_some_and(|sent_at| sent_at >= known.last_named_at);
        let is_higher = match (known.per_s, per_s) {
            (Some(known), Some(named)) => named > known,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if is_higher && !is_newer {
            return false;
        }
        if per_s.is_some() {
            known.last_named_at = now;
        }
        if known.per_s == per_s {
            return false;
        }
        (known.per_s, known.since) = (per_s, now);
        true
    }

    /// Applies a limit that this node had reported to a peer before it was restarted. Ignored once
    /// the incarnation has answered. Returns whether the limit has changed.
    pub fn restore(&self, incarnation: &Incarnation, per_s: f64, age: Duration) -> bool {
        if self.of(incarnation).is_some() {
            return false;
        }
        let now = Instant::now();
        let restored = NamedLimit {
            incarnation: incarnation.clone(),
            per_s: Some(per_s),
            since: now.checked_sub(age).unwrap_or(now),
            last_named_at: now,
        };
        insert(&mut self.0.borrow_mut(), restored);
        true
    }

    /// The limit of an incarnation; `None` if it has neither answered nor been restored.
    pub fn of(&self, incarnation: &Incarnation) -> Option<NamedLimit> {
        self.0.borrow().iter().find(|known| known.incarnation == *incarnation).cloned()
    }
}

fn insert(limits: &mut Vec<NamedLimit>, limit: NamedLimit) {
    if limits.len() >= KEPT_MAX {
        limits.remove(0);
    }
    limits.push(limit);
}
