//! The local target: its state according to heartbeats, and the connections to it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::condition::ConditionTracker;
use super::crash::InterruptedRequests;
use super::failure_share::FailureShare;
use super::frame::{Condition, Load};
use super::gate::Gate;
use super::http1::Connection;
use super::idle::IdleConnections;
use super::incarnation::Incarnation;
use super::lives::Lives;
use super::named_limit::{NamedLimit, NamedLimits};

/// Maximum number of remembered incarnations that have left.
const LEFT_MAX: usize = 64;
/// Maximum number of ids whose incarnations are tracked.
const TRACKED_MAX: usize = 64;
/// Maximum number of idle connections to the target.
const IDLE_MAX: usize = 64;

/// The heartbeat of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The incarnation of the target.
    pub incarnation: Incarnation,
    /// Increases with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Its service.
    pub service: String,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: TargetState,
    /// Remaining warm-up time, in milliseconds.
    pub cold_ms: u64,
}

/// Whether a target accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It accepts new work.
    Ready,
    /// It finishes its current work and accepts no more.
    Draining,
}

/// An incarnation that accepts work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// The identity of the incarnation.
    pub incarnation: Incarnation,
    /// Its service.
    pub service: String,
    /// Whether it is still warming up.
    pub is_cold: bool,
}

/// The local target.
#[derive(Debug)]
pub struct Target {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its slots and its queue.
    pub gate: Rc<Gate>,
    /// The share of its recent answers that were failures.
    pub failing: FailureShare,
    /// Its condition: the share of offers that it rejects and, if it sends the extended load report,
    /// its slowness and run time.
    pub conditions: ConditionTracker,
    /// The requests whose connection to the target broke recently.
    pub interrupted: InterruptedRequests,
    current: RefCell<Option<Rc<Instance>>>,
    /// The incarnations that have not left, by their id.
    lives: RefCell<HashMap<String, Lives>>,
    /// Incarnations that are draining, have left or were replaced by one that has, oldest first.
    left: RefCell<Vec<Incarnation>>,
    idle: RefCell<IdleConnections>,
    /// The limits that its incarnations have named.
    limits: NamedLimits,
}

impl Target {
    /// Creates a target of which only the address is known.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            gate: Rc::default(),
            failing: FailureShare::default(),
            conditions: ConditionTracker::default(),
            interrupted: InterruptedRequests::default(),
            current: RefCell::default(),
            lives: RefCell::default(),
            left: RefCell::default(),
            idle: RefCell::new(IdleConnections::new(IDLE_MAX)),
            limits: NamedLimits::default(),
        }
    }

    /// The incarnation that accepts work, if any.
    pub fn current(&self) -> Option<Rc<Instance>> {
        self.current.borrow().clone()
    }

    /// Applies a heartbeat. Returns whether the state has changed.
    ///
    /// Ignores heartbeats that arrive out of order, and those of an incarnation that has left or
    /// was replaced by a later one with the same id (see `lives`).
    pub fn apply_heartbeat(&self, heartbeat: &Heartbeat) -> bool {
        let incarnation = &heartbeat.incarnation;
        if heartbeat.state == TargetState::Draining {
            return self.mark_left(incarnation);
        }
        if self.has_left(incarnation) {
            return false;
        }
        let left = self.left_starts(&incarnation.id);
        let mut lives = self.lives.borrow_mut();
        if lives.len() >= TRACKED_MAX && !lives.contains_key(&incarnation.id) {
            lives.clear();
        }
        let lives_of_id = lives.entry(incarnation.id.clone()).or_default();
        if !lives_of_id.apply(heartbeat, &left, Instant::now()) {
            return false;
        }
        let Some((instance, slots)) = lives_of_id.current() else { return false };
        let instance = Rc::clone(instance);
        drop(lives);
        self.set_current(instance, slots)
    }

    /// The start times of the incarnations with this id that have left.
    fn left_starts(&self, id: &str) -> Vec<u64> {
        let left = self.left.borrow();
        left.iter().filter(|left| left.id == id).map(|left| left.started_unix_ms).collect()
    }

    /// Records that the incarnation `id` has answered at the target's address. Returns whether the
    /// state has changed.
    ///
    /// A delayed heartbeat may name an incarnation that is gone. The one that answers then becomes
    /// the current one, if a heartbeat of it is known; otherwise there is no current one.
    pub fn observe_instance(&self, id: &str) -> bool {
        let lives = self.lives.borrow();
        let Some((instance, slots)) = lives.get(id).and_then(Lives::current) else {
            drop(lives);
            let current = self.current();
            return current.is_some_and(|current| self.mark_unavailable(&current.incarnation));
        };
        let instance = Rc::clone(instance);
        drop(lives);
        self.set_current(instance, slots)
    }

    /// The latest known incarnation with the given id.
    pub fn incarnation(&self, id: &str) -> Incarnation {
        let lives = self.lives.borrow();
        let known = lives.get(id).and_then(Lives::latest).cloned();
        known.unwrap_or_else(|| Incarnation { id: id.to_owned(), started_unix_ms: 0 })
    }

    /// Permanently stops giving work to an incarnation and to those with the same id that it has
    /// replaced. Returns whether the state has changed.
    pub fn mark_left(&self, incarnation: &Incarnation) -> bool {
        let mut incarnation = incarnation.clone();
        if incarnation.started_unix_ms == 0 {
            incarnation = self.incarnation(&incarnation.id);
        }
        if self.has_left(&incarnation) {
            return self.mark_unavailable(&incarnation);
        }
        let mut lives = self.lives.borrow_mut();
        let lives_of_id = lives.get_mut(&incarnation.id);
        let (left, has_current) = match lives_of_id {
            Some(lives) => (lives.remove(&incarnation, Instant::now()), lives.current().is_some()),
            None => (vec![incarnation.clone()], false),
        };
        drop(lives);
        for left in left {
            self.record_left(left);
        }
        let current = self.current();
        let is_ended =
            current.is_some_and(|now| now.incarnation.id == incarnation.id) && !has_current;
        if is_ended {
            self.clear_current();
        }
        is_ended
    }

    fn record_left(&self, incarnation: Incarnation) {
        let mut left = self.left.borrow_mut();
        if left.iter().any(|known| known.matches(&incarnation)) {
            return;
        }
        if left.len() >= LEFT_MAX {
            left.remove(0);
        }
        left.push(incarnation);
    }

    /// The incarnation that has left according to a report about `incarnation`, which may lack the
    /// start time.
    pub fn departure(&self, incarnation: &Incarnation) -> Incarnation {
        let left = self.left.borrow();
        let found = left.iter().rev().find(|left| left.matches(incarnation));
        found.unwrap_or(incarnation).clone()
    }

    /// Stops giving work to an incarnation until its next heartbeat. Returns whether the state has
    /// changed.
    pub fn mark_unavailable(&self, incarnation: &Incarnation) -> bool {
        let current = self.current();
        let is_current = current.is_some_and(|current| incarnation.matches(&current.incarnation));
        if is_current {
            self.clear_current();
        }
        is_current
    }

    /// Incarnations that are draining, have left or were replaced.
    pub fn left(&self) -> Vec<Incarnation> {
        self.left.borrow().clone()
    }

    /// What is known of the limit of the current incarnation; `None` before its first answer.
    pub fn limit(&self) -> Option<NamedLimit> {
        self.limits.of(&self.current()?.incarnation)
    }

    /// The limit of an incarnation in requests per second, if it has named one.
    pub fn limit_of(&self, incarnation: &Incarnation) -> Option<f64> {
        self.limits.of(incarnation)?.per_s
    }

    /// Applies what an answer of an incarnation states about its limit. `sent_at` is when its
    /// request was sent, if that is known. Returns whether the limit has changed.
    pub fn observe_limit(
        &self,
        incarnation: &Incarnation,
        per_s: Option<f64>,
        sent_at: Option<Instant>,
    ) -> bool {
        let has_changed = self.limits.observe(incarnation, per_s, sent_at);
        if has_changed {
            self.apply_limit();
        }
        has_changed
    }

    /// Applies a limit that this node had reported to a peer before it was restarted. Returns
    /// whether the limit has changed.
    pub fn restore_limit(&self, incarnation: &Incarnation, per_s: f64, age: Duration) -> bool {
        let has_changed = self.limits.restore(incarnation, per_s, age);
        if has_changed {
            self.apply_limit();
        }
        has_changed
    }

    fn apply_limit(&self) {
        self.gate.pacer.set(self.limit().and_then(|limit| limit.per_s));
    }

    /// The condition of the current incarnation; `None` unless it sends the extended load report.
    pub fn condition(&self) -> Option<Condition> {
        self.current()?;
        self.conditions.is_extended().then(|| self.conditions.current())
    }

    /// The load of the target.
    pub fn load(&self) -> Load {
        self.gate.load()
    }

    /// Takes a usable idle connection that has not carried this attempt, if there is one.
    pub fn take_idle(&self, attempt_id: &str) -> Option<Connection> {
        self.idle.borrow_mut().take(|connection| !connection.has_carried(attempt_id))
    }

    /// Keeps a connection for reuse.
    pub fn keep(&self, connection: Connection) {
        self.idle.borrow_mut().keep(connection);
    }

    fn set_current(&self, instance: Rc<Instance>, slots: u32) -> bool {
        let before = self.current.replace(Some(Rc::clone(&instance)));
        if before.as_ref().is_some_and(|before| before.incarnation != instance.incarnation) {
            self.close_idle();
            self.failing.reset();
            self.conditions.reset();
        }
        self.apply_limit();
        self.gate.set_slots(slots);
        before.as_ref() != Some(&instance)
    }

    /// Whether an incarnation is draining, has left or was replaced.
    pub fn has_left(&self, incarnation: &Incarnation) -> bool {
        self.left.borrow().iter().any(|left| left.matches(incarnation))
    }

    fn clear_current(&self) {
        self.current.replace(None);
        self.gate.close();
        self.close_idle();
    }

    fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }
}
