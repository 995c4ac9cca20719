//! Limits concurrency at the local target and queues the requests beyond it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::frame::Load;
use super::pacer::Pacer;

/// Fraction of a target's slots that is used. Some targets slow down when nearly full (by a factor
/// of 1.3 from 0.95 of their slots on), which costs more than the unused slots.
const USABLE_FRACTION: f64 = 0.94;
/// Waiting time that one rank outweighs. Requests that the entry node has admitted should be
/// completed: with strict priorities, admitted requests of low rank would wait until they expire,
/// and the work already done for them would be wasted.
const RANK_DELAY: Duration = Duration::from_millis(40);
/// Maximum queue length, as a multiple of the limit.
const QUEUE_PER_SLOT: usize = 4;

/// Divisor for the weight of one request in the moving average of run times.
const SMOOTHING_DIVISOR: u64 = 32;

/// Counts the requests that the target is running and queues the rest.
#[derive(Debug, Default)]
pub struct Gate {
    /// Maximum number of running requests.
    limit: Cell<usize>,
    running: Cell<usize>,
    /// Paces the requests if the target has named a limit.
    pub pacer: Pacer,
    next_sequence: Cell<u64>,
    waiting: RefCell<BTreeMap<QueueKey, Waiter>>,
    /// How long the request that was admitted last had waited.
    last_wait_ms: Cell<u32>,
    /// Moving average of the run time, in microseconds.
    mean_run_us: Cell<u64>,
}

/// Key in the queue: arrival time delayed by rank, then arrival order.
type QueueKey = (Instant, u64);

/// A queued request.
#[derive(Debug)]
struct Waiter {
    since: Instant,
    rank: u8,
    admitted: oneshot::Sender<Result<Slot, GateError>>,
}

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateError {
    /// The queue is full.
    Full,
    /// The target no longer accepts work.
    Closed,
    /// The limit that the target has named is used up.
    Limited,
}

/// A slot for one running request, released when dropped.
#[derive(Debug)]
pub struct Slot {
    gate: Rc<Gate>,
    since: Instant,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let run_us = self.since.elapsed().as_micros() as u64;
        let mean_us = self.gate.mean_run_us.get();
        self.gate
            .mean_run_us
            .set(mean_us - mean_us / SMOOTHING_DIVISOR + run_us / SMOOTHING_DIVISOR);
        self.gate.running.set(self.gate.running.get() - 1);
        self.gate.admit();
    }
}

/// Removes an abandoned request from the queue when dropped.
struct QueueGuard<'a> {
    gate: &'a Rc<Gate>,
    key: QueueKey,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.gate.waiting.borrow_mut().remove(&self.key);
    }
}

impl Gate {
    /// Sets the number of requests that the target can run at once.
    pub fn set_slots(self: &Rc<Self>, slots: u32) {
        let used = (f64::from(slots) * USABLE_FRACTION).floor().max(1.0) as usize;
        self.limit.set(used);
        self.admit();
    }

    /// Rejects all queued requests.
    pub fn close(&self) {
        self.waiting.borrow_mut().clear();
    }

    /// Waits for a slot. Dropping the future leaves the queue.
    pub async fn enter(self: &Rc<Self>, rank: u8) -> Result<Slot, GateError> {
        if self.waiting.borrow().is_empty() && self.running.get() < self.limit.get() {
            if !self.pacer.try_take(rank) {
                return Err(GateError::Limited);
            }
            self.last_wait_ms.set(0);
            return Ok(self.slot());
        }
        if !self.pacer.has_token(rank) {
            return Err(GateError::Limited);
        }
        if self.waiting.borrow().len() >= self.limit.get() * QUEUE_PER_SLOT {
            return Err(GateError::Full);
        }
        let sequence = self.next_sequence.get();
        self.next_sequence.set(sequence + 1);
        let key = (Instant::now() + RANK_DELAY * u32::from(rank), sequence);
        let (admitted, admission) = oneshot::channel();
        self.waiting.borrow_mut().insert(key, Waiter { since: Instant::now(), rank, admitted });
        let _guard = QueueGuard { gate: self, key };
        admission.await.unwrap_or(Err(GateError::Closed))
    }

    /// Moving average of the time that the target takes for a request.
    pub fn mean_run(&self) -> Duration {
        Duration::from_micros(self.mean_run_us.get())
    }

    /// Current load of the target.
    pub fn load(&self) -> Load {
        Load {
            running: self.running.get() as u32,
            waiting: self.waiting.borrow().len() as u32,
            limit: self.limit.get() as u32,
        }
    }

    /// The load of the slots, or that of the limit that the target has named if it is more used.
    pub fn demand(&self) -> Load {
        let load = self.load();
        self.pacer.load(load.limit).map_or(load, |paced| load.busier(paced))
    }

    /// Current delay of the queue, in milliseconds.
    ///
    /// Iterates over the whole queue.
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

    /// Assigns free slots to queued requests. Refuses those that the limit of the target does not
    /// permit: they can be sent to other targets at once.
    fn admit(self: &Rc<Self>) {
        while self.running.get() < self.limit.get() {
            let Some((_, waiter)) = self.waiting.borrow_mut().pop_first() else { return };
            self.last_wait_ms.set(waiter.since.elapsed().as_millis() as u32);
            if waiter.admitted.is_closed() {
                continue;
            }
            if !self.pacer.try_take(waiter.rank) {
                drop(waiter.admitted.send(Err(GateError::Limited)));
                continue;
            }
            let slot = self.slot();
            // If the receiver has just gone, dropping the slot admits the next request.
            drop(waiter.admitted.send(Ok(slot)));
        }
    }
}
