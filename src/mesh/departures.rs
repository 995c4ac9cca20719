//! Departures of the local target that were acknowledged, or are about to be.
//!
//! A target that has announced that it leaves relies on the acknowledgement: it gets no more requests. A heartbeat that
//! arrives late would bring it back if all nodes had lost their memory meanwhile, so a departure is acknowledged only
//! once it is saved outside of them.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use super::incarnation::Incarnation;

/// Number of departures that are saved, the latest ones. Heartbeats arrive seconds late, not days.
const SAVED_MAX: usize = 8;
/// How long a node that has a configuration waits for the saved departures before it gives work to its target. One
/// that never reached the store would otherwise be of no use to its callers.
const RESTORE_MAX: Duration = Duration::from_secs(2);

/// The departures of the local target.
#[derive(Debug, Default)]
pub struct Departures {
    /// Whether the departures saved by earlier processes are still to be read.
    awaits_restore: Cell<bool>,
    /// When the node first had a configuration while it waited for them.
    configured_at: Cell<Option<Instant>>,
    /// Those that are saved, oldest first.
    saved: RefCell<Vec<Incarnation>>,
    /// Those that are to be saved, oldest first.
    unsaved: RefCell<Vec<Incarnation>>,
    /// Wakes the task that saves departures.
    pub save_requested: Notify,
    /// Wakes the tasks that wait for a departure to be saved.
    saved_changed: Notify,
}

impl Departures {
    /// Gives no work to the target until `restore` is called, or for `RESTORE_MAX` with a configuration.
    pub fn await_restore(&self) {
        self.awaits_restore.set(true);
    }

    /// Whether the departures saved by earlier processes are still to be read.
    pub fn awaits_restore(&self) -> bool {
        self.awaits_restore.get()
    }

    /// Whether the target may get work, as far as its departures are concerned.
    pub fn is_settled(&self, has_configuration: bool) -> bool {
        if !self.awaits_restore.get() {
            return true;
        }
        if !has_configuration {
            return false;
        }
        let configured_at = self.configured_at.get().unwrap_or_else(Instant::now);
        self.configured_at.set(Some(configured_at));
        configured_at.elapsed() >= RESTORE_MAX
    }

    /// Replaces the saved departures by those that are saved now, oldest first.
    pub fn restore(&self, saved: Vec<Incarnation>) {
        self.awaits_restore.set(false);
        self.record_saved(saved);
    }

    /// Requests that a departure is saved, unless it is already.
    pub fn request_save(&self, incarnation: &Incarnation) {
        let mut unsaved = self.unsaved.borrow_mut();
        if self.is_saved(incarnation) || unsaved.iter().any(|known| known.matches(incarnation)) {
            return;
        }
        unsaved.push(incarnation.clone());
        self.save_requested.notify_one();
    }

    /// The departures to be saved in place of those that are; `None` if there are no new ones.
    pub fn next_to_save(&self) -> Option<Vec<Incarnation>> {
        let unsaved = self.unsaved.borrow();
        if unsaved.is_empty() {
            return None;
        }
        let mut next = self.saved.borrow().clone();
        next.retain(|known| !unsaved.iter().any(|new| new.matches(known)));
        next.extend_from_slice(&unsaved);
        next.drain(..next.len().saturating_sub(SAVED_MAX));
        Some(next)
    }

    /// Records that these departures are saved, oldest first, such as those returned by `next_to_save`.
    pub fn record_saved(&self, saved: Vec<Incarnation>) {
        self.unsaved.borrow_mut().retain(|new| !saved.iter().any(|known| known.matches(new)));
        self.saved.replace(saved);
        self.saved_changed.notify_waiters();
    }

    /// Waits until a departure is saved. Returns whether it was within `time_limit`.
    pub async fn wait_until_saved(&self, incarnation: &Incarnation, time_limit: Duration) -> bool {
        let saved = async {
            while !self.is_saved(incarnation) {
                self.saved_changed.notified().await;
            }
        };
        timeout(time_limit, saved).await.is_ok()
    }

    fn is_saved(&self, incarnation: &Incarnation) -> bool {
        self.saved.borrow().iter().any(|known| known.matches(incarnation))
    }
}
