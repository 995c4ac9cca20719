//! Accounts for the request and answer bodies that a node holds, and bounds their total size.
//!
//! Bytes are reserved before they are read and released when the last reference to the body is
//! dropped, so copies in queues and answers that a caller reads slowly count as well.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use tokio::sync::Notify;

/// Additional fraction of the memory that is left to bodies of up to `SMALL_MAX_BYTES`, so that a
/// few large ones don't displace all others.
const SMALL_FRACTION: f64 = 0.1;
/// Maximum size of a small body, in bytes.
const SMALL_MAX_BYTES: usize = 1024 * 1024;

/// The stage of a request at which a body is held. Later stages may use more of the memory, so that
/// requests that have been accepted can be completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The body of a caller's request.
    Caller,
    /// The body of a call from another node.
    Call,
    /// The body of an answer.
    Answer,
}

impl Stage {
    /// Fraction of the node's memory up to which all bodies together may grow by a large one.
    fn fraction(self) -> f64 {
        match self {
            Self::Caller => 0.25,
            Self::Call => 0.5,
            Self::Answer => 0.55,
        }
    }
}

/// The memory for bodies. Clones share the same budget.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    memory_bytes: usize,
    held_bytes: AtomicUsize,
    released: Notify,
}

impl MemoryBudget {
    /// The budget of a process that may use `memory_bytes` in total.
    pub fn new(memory_bytes: usize) -> Self {
        let (held_bytes, released) = (AtomicUsize::new(0), Notify::new());
        Self(Arc::new(Shared { memory_bytes, held_bytes, released }))
    }

    /// Bytes reserved now.
    pub fn held_bytes(&self) -> usize {
        self.0.held_bytes.load(Ordering::Relaxed)
    }

    /// Reserves `length` bytes if they are available.
    pub fn try_reserve(&self, stage: Stage, length: usize) -> Option<Reservation> {
        let mut reservation = Reservation { budget: self.clone(), stage, length: 0 };
        reservation.try_grow_to(length).then_some(reservation)
    }

    /// Reserves `length` bytes; waits until they are available. `None` if they never will be.
    pub async fn reserve(&self, stage: Stage, length: usize) -> Option<Reservation> {
        if length > self.capacity(stage, length) {
            return None;
        }
        loop {
            let released = self.0.released.notified();
            if let Some(reservation) = self.try_reserve(stage, length) {
                return Some(reservation);
            }
            released.await;
        }
    }

    /// Whether a request without a body may be started: there is room for its answer.
    pub fn has_room(&self) -> bool {
        self.fits(Stage::Call, 0, 0)
    }

    /// Whether a body that holds `length` bytes may hold `added` more.
    fn fits(&self, stage: Stage, length: usize, added: usize) -> bool {
        self.held_bytes().saturating_add(added) <= self.capacity(stage, length + added)
    }

    /// Number of bytes that all bodies together may take when a body of `length` bytes is added.
    fn capacity(&self, stage: Stage, length: usize) -> usize {
        let is_small = length <= SMALL_MAX_BYTES;
        let fraction = stage.fraction() + if is_small { SMALL_FRACTION } else { 0.0 };
        (self.0.memory_bytes as f64 * fraction) as usize
    }
}

/// Reserved bytes, released when dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    stage: Stage,
    length: usize,
}

impl Reservation {
    /// Increases the reservation to `length` bytes. Returns whether they are available.
    pub fn try_grow_to(&mut self, length: usize) -> bool {
        let added = length.saturating_sub(self.length);
        if added > 0 && !self.budget.fits(self.stage, self.length, added) {
            return false;
        }
        self.budget.0.held_bytes.fetch_add(added, Ordering::Relaxed);
        self.length += added;
        true
    }

    /// Ties the reservation to a body: it is released with the last reference to the body.
    pub fn attach(mut self, body: BytesMut) -> Bytes {
        if body.is_empty() {
            return Bytes::new();
        }
        self.shrink_to(body.len());
        Bytes::from_owner(ReservedBody { body, _reservation: self })
    }

    fn shrink_to(&mut self, length: usize) {
        let released = self.length.saturating_sub(length);
        if released == 0 {
            return;
        }
        self.length -= released;
        self.budget.0.held_bytes.fetch_sub(released, Ordering::Relaxed);
        self.budget.0.released.notify_waiters();
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

/// A body with its reservation.
struct ReservedBody {
    body: BytesMut,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
