//! Which of the requests that wait for the target beside the node may run now.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::frame::Load;

/// The share of a target's slots that is used. Some targets slow down when nearly full (by 1.3 from
/// 0.95 of their slots on), which costs more than the slots left free.
const USED_SHARE: f64 = 0.94;
/// How much waiting a rank outweighs. What was admitted at its entry is to be carried through: with
/// strict ranks, admitted requests of low rank wait until they expire, and all they ran is wasted.
const RANK_DELAY: Duration = Duration::from_millis(40);
/// How many requests may wait, as a multiple of those that may run.
const WAITING_PER_SLOT: usize = 4;

/// The weight of one run in the typical time, as a divisor.
const SMOOTHING: u64 = 32;

/// Counts what the target runs, and queues what it has no room for.
#[derive(Debug, Default)]
pub struct Gate {
    limit: Cell<usize>,
    running: Cell<usize>,
    next_ticket: Cell<u64>,
    waiting: RefCell<BTreeMap<Place, Waiter>>,
    last_wait_ms: Cell<u32>,
    /// The typical time of a run, in microseconds.
    typical_run_us: Cell<u64>,
}

/// A place in the queue: the moment of arrival, put off by the rank, then the order of arrival.
type Place = (Instant, u64);

/// A request that waits.
#[derive(Debug)]
struct Waiter {
    since: Instant,
    admitted: oneshot::Sender<Slot>,
}

/// Why a request gets no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateError {
    /// Too many wait already.
    Full,
    /// The target takes no new work any more.
    Closed,
}

/// The right to run one request; ends when dropped.
#[derive(Debug)]
pub struct Slot {
    gate: Rc<Gate>,
    since: Instant,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let run_us = self.since.elapsed().as_micros() as u64;
        let typical_us = self.gate.typical_run_us.get();
        self.gate.typical_run_us.set(typical_us - typical_us / SMOOTHING + run_us / SMOOTHING);
        self.gate.running.set(self.gate.running.get() - 1);
        self.gate.admit();
    }
}

/// Takes a request that gives up out of the queue.
struct Waiting<'a> {
    gate: &'a Rc<Gate>,
    place: Place,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.gate.waiting.borrow_mut().remove(&self.place);
    }
}

impl Gate {
    /// Sets how many requests the target runs at once.
    pub fn set_slots(self: &Rc<Self>, slots: u32) {
        let used = (f64::from(slots) * USED_SHARE).floor().max(1.0) as usize;
        self.limit.set(used);
        self.admit();
    }

    /// Refuses everything that waits.
    pub fn close(&self) {
        self.waiting.borrow_mut().clear();
    }

    /// Waits for a slot. Dropping the future leaves the queue.
    pub async fn enter(self: &Rc<Self>, rank: u8) -> Result<Slot, GateError> {
        if self.waiting.borrow().is_empty() && self.running.get() < self.limit.get() {
            self.last_wait_ms.set(0);
            return Ok(self.slot());
        }
        if self.waiting.borrow().len() >= self.limit.get() * WAITING_PER_SLOT {
            return Err(GateError::Full);
        }
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        let place = (Instant::now() + RANK_DELAY * u32::from(rank), ticket);
        let (admitted, admission) = oneshot::channel();
        self.waiting.borrow_mut().insert(place, Waiter { since: Instant::now(), admitted });
        let _waiting = Waiting { gate: self, place };
        admission.await.map_err(|_| GateError::Closed)
    }

    /// The typical time that the target takes for a request.
    pub fn typical_run(&self) -> Duration {
        Duration::from_micros(self.typical_run_us.get())
    }

    /// What the target has to do.
    pub fn load(&self) -> Load {
        Load {
            running: self.running.get() as u32,
            waiting: self.waiting.borrow().len() as u32,
            limit: self.limit.get() as u32,
        }
    }

    /// How long the queue makes a request wait at this moment, in milliseconds.
    ///
    /// Looks at everything that waits.
    pub fn wait_ms(&self) -> u32 {
        let waiting = self.waiting.borrow();
        let oldest = waiting.values().map(|waiter| waiter.since).min();
        let oldest_ms = oldest.map_or(0, |since| since.elapsed().as_millis() as u32);
        if waiting.is_empty() { 0 } else { oldest_ms.max(self.last_wait_ms.get()) }
    }

    fn slot(self: &Rc<Self>) -> Slot {
        self.running.set(self.running.get() + 1);
        Slot { gate: Rc::clone(self), since: Instant::now() }
    }

    /// Gives free slots to those that wait.
    fn admit(self: &Rc<Self>) {
        while self.running.get() < self.limit.get() {
            let Some((_, waiter)) = self.waiting.borrow_mut().pop_first() else { return };
            self.last_wait_ms.set(waiter.since.elapsed().as_millis() as u32);
            if waiter.admitted.is_closed() {
                continue;
            }
            let slot = self.slot();
            // Whoever left the queue at this moment drops the slot, which admits the next.
            drop(waiter.admitted.send(slot));
        }
    }
}
