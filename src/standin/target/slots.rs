//! The slots of a target: a pool for each policy arm with dedicated slots, and one for all others.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A pool of slots with a bounded FIFO queue.
#[derive(Debug)]
pub(super) struct SlotPool {
    /// The arm that the pool is dedicated to; `None` for the pool that all other arms share.
    arm: Option<String>,
    /// Total number of slots.
    slots: u32,
    /// Free slots; the semaphore serves waiters in FIFO order.
    free_slots: Arc<Semaphore>,
    /// Free places for calls that run or wait; their total number is that of slots plus the length
    /// of the queue.
    free_places: Arc<Semaphore>,
}

/// Admission of a call to a pool, running or queued; released when dropped.
#[derive(Debug)]
pub(super) struct Admission(
    #[expect(dead_code, reason = "held for its drop")] OwnedSemaphorePermit,
);

/// A slot; released when dropped.
#[derive(Debug)]
pub(super) struct Slot(#[expect(dead_code, reason = "held for its drop")] OwnedSemaphorePermit);

impl SlotPool {
    fn new(arm: Option<&str>, slots: u32, queue_max: u32) -> Self {
        Self {
            arm: arm.map(str::to_owned),
            slots,
            free_slots: Arc::new(Semaphore::new(slots as usize)),
            free_places: Arc::new(Semaphore::new(slots as usize + queue_max as usize)),
        }
    }

    /// Admits a call to run or wait; `None` if the queue is full.
    pub(super) fn try_admit(&self) -> Option<Admission> {
        self.free_places.clone().try_acquire_owned().ok().map(Admission)
    }

    /// Waits for a slot. Dropping the future removes the call from the queue. Never returns `None`,
    /// because the semaphore is never closed.
    pub(super) async fn acquire_slot(&self) -> Option<Slot> {
        self.free_slots.clone().acquire_owned().await.ok().map(Slot)
    }

    /// Number of slots in use.
    fn running(&self) -> u32 {
        self.slots - self.free_slots.available_permits() as u32
    }
}

/// All pools of a target.
#[derive(Debug)]
pub(super) struct SlotPools {
    /// The pools dedicated to an arm, then the shared pool.
    pools: Vec<SlotPool>,
}

impl SlotPools {
    /// Pools of the given sizes for the arms in `arm_slots`, and one of `slots` that all other arms
    /// share; each has a queue of `queue_max`.
    pub(super) fn new(slots: u32, arm_slots: &[(String, u32)], queue_max: u32) -> Self {
        let mut pools = Vec::new();
        for (arm, slots) in arm_slots {
            pools.push(SlotPool::new(Some(arm), *slots, queue_max));
        }
        pools.push(SlotPool::new(None, slots, queue_max));
        Self { pools }
    }

    /// The pool that serves an arm.
    pub(super) fn for_arm(&self, arm: Option<&str>) -> &SlotPool {
        for pool in &self.pools {
            if pool.arm.is_none() || pool.arm.as_deref() == arm {
                return pool;
            }
        }
        unreachable!("the last pool serves every arm")
    }

    /// Number of slots in use over all pools.
    pub(super) fn running(&self) -> u32 {
        self.pools.iter().map(SlotPool::running).sum()
    }
}
