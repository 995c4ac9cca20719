//! Orders the incarnations of one target id.
//!
//! Start times are those of the target's own clock, which may be set back, and heartbeats may arrive
//! late. Incarnations are therefore ordered by the arrival of their first heartbeats; where the start
//! times contradict that order, the one that sent the last heartbeat is the current one.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::incarnation::Incarnation;
use super::target::{Heartbeat, Instance};

/// How long an incarnation with an earlier start time than one that has left has to send heartbeats
/// before it gets work. It may be a later one whose clock was set back, or one that ended before and
/// whose heartbeats are late.
const CONFIRM_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of incarnations remembered for one id.
const LIVES_MAX: usize = 8;

/// An incarnation and its last heartbeat.
#[derive(Debug)]
struct Life {
    instance: Rc<Instance>,
    sequence: u64,
    slots: u32,
    /// Since when it has to be confirmed by later heartbeats; `None` if it is confirmed.
    unconfirmed_since: Option<Instant>,
}

impl Life {
    fn started_unix_ms(&self) -> u64 {
        self.instance.incarnation.started_unix_ms
    }
}

/// The incarnations of one id that have not left.
#[derive(Debug, Default)]
pub struct Lives {
    /// By the arrival of their first heartbeats; the last one is the current one.
    lives: Vec<Life>,
    /// Whether start times contradict the order of arrival.
    is_order_uncertain: bool,
}

impl Lives {
    /// The current incarnation with its slots, if any.
    pub fn current(&self) -> Option<(&Rc<Instance>, u32)> {
        let life = self.lives.last().filter(|life| life.unconfirmed_since.is_none())?;
        Some((&life.instance, life.slots))
    }

    /// The incarnation that sent the last heartbeat that was not late.
    pub fn latest(&self) -> Option<&Incarnation> {
        self.lives.last().map(|life| &life.instance.incarnation)
    }

    /// Applies a heartbeat of an incarnation that has not left. `left` are the start times of those
    /// with this id that have. Returns whether the heartbeat is one of the current incarnation.
    pub fn apply(&mut self, heartbeat: &Heartbeat, left: &[u64], now: Instant) -> bool {
        let start = heartbeat.incarnation.started_unix_ms;
        let life = Life {
            instance: Rc::new(Instance {
                incarnation: heartbeat.incarnation.clone(),
                service: heartbeat.service.clone(),
                is_cold: heartbeat.cold_ms > 0,
            }),
            sequence: heartbeat.sequence,
            slots: heartbeat.slots,
            unconfirmed_since: None,
        };
        let latest_start = self.lives.last().map_or(start, Life::started_unix_ms);
        let Some(index) = self.lives.iter().position(|known| known.started_unix_ms() == start)
        else {
            self.insert(life, left, now);
            return self.current().is_some();
        };
        let known = &mut self.lives[index];
        if heartbeat.sequence <= known.sequence {
            return false;
        }
        let unconfirmed_since =
            known.unconfirmed_since.filter(|since| now - *since < CONFIRM_AFTER);
        *known = Life { unconfirmed_since, ..life };
        if start < latest_start && !self.is_order_uncertain {
            // It was sent before the current incarnation started.
            return false;
        }
        let known = self.lives.remove(index);
        self.lives.push(known);
        self.current().is_some()
    }

    /// Adds an incarnation whose first heartbeat has arrived.
    fn insert(&mut self, mut life: Life, left: &[u64], now: Instant) {
        let start = life.started_unix_ms();
        let is_before = |known: &Life| start < known.started_unix_ms();
        if self.lives.iter().any(is_before) {
            self.is_order_uncertain = true;
        } else if self.lives.last().is_some() {
            self.is_order_uncertain = false;
        }
        if left.iter().any(|left| start < *left) {
            life.unconfirmed_since = Some(now);
        }
        if self.lives.len() >= LIVES_MAX {
            self.lives.remove(0);
        }
        self.lives.push(life);
    }

    /// Removes an incarnation that has left. Returns all that have left with it: those that were seen
    /// before it if it was the current one.
    pub fn remove(&mut self, leaving: &Incarnation, now: Instant) -> Vec<Incarnation> {
        if self.latest() == Some(leaving) {
            let ended = std::mem::take(self);
            return ended.lives.iter().map(|life| life.instance.incarnation.clone()).collect();
        }
        let count = self.lives.len();
        self.lives.retain(|life| life.instance.incarnation != *leaving);
        let was_known = self.lives.len() < count;
        if !was_known || self.is_order_uncertain {
            // It is not known whether the current incarnation has started since.
            if let Some(life) = self.lives.last_mut() {
                life.unconfirmed_since = Some(now);
            }
        }
        vec![leaving.clone()]
    }
}
