//! The slots of a target: one pool for all, or one for each policy arm.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// One pool of slots with its queue, which is first come, first served.
#[derive(Debug)]
pub(super) struct Lane {
    /// The arm the pool is set aside for; none for the pool of all others.
    arm: Option<String>,
    /// How many calls run at once.
    slots: u32,
    /// The free slots; waiters are served in order.
    free: Arc<Semaphore>,
    /// Places for calls that run or wait.
    places: Arc<Semaphore>,
}

/// A call's place in a lane, given back when dropped.
#[derive(Debug)]
pub(super) struct Place(#[expect(dead_code, reason = "held for its drop")] OwnedSemaphorePermit);

/// A slot, given back when dropped.
#[derive(Debug)]
pub(super) struct Slot(#[expect(dead_code, reason = "held for its drop")] OwnedSemaphorePermit);

impl Lane {
    fn new(arm: Option<&str>, slots: u32, queue_max: u32) -> Self {
        Self {
            arm: arm.map(str::to_owned),
            slots,
            free: Arc::new(Semaphore::new(slots as usize)),
            places: Arc::new(Semaphore::new(slots as usize + queue_max as usize)),
        }
    }

    /// A place to run or wait in; none when the queue is full.
    pub(super) fn enter(&self) -> Option<Place> {
        self.places.clone().try_acquire_owned().ok().map(Place)
    }

    /// Waits for a slot. Dropping the future leaves the queue.
    pub(super) async fn slot(&self) -> Option<Slot> {
        self.free.clone().acquire_owned().await.ok().map(Slot)
    }

    /// How many slots are in use.
    fn running(&self) -> u32 {
        self.slots - self.free.available_permits() as u32
    }
}

/// All lanes of a target.
#[derive(Debug)]
pub(super) struct Lanes {
    /// The lanes of single arms, then the one of all others.
    lanes: Vec<Lane>,
}

impl Lanes {
    /// Lanes with `slots` for all, and others for the arms named in `arms`.
    pub(super) fn new(slots: u32, arms: &[(String, u32)], queue_max: u32) -> Self {
        let mut lanes = Vec::new();
        for (arm, slots) in arms {
            lanes.push(Lane::new(Some(arm), *slots, queue_max));
        }
        lanes.push(Lane::new(None, slots, queue_max));
        Self { lanes }
    }

    /// The lane of an arm.
    pub(super) fn of(&self, arm: Option<&str>) -> &Lane {
        for lane in &self.lanes {
            if lane.arm.is_none() || lane.arm.as_deref() == arm {
                return lane;
            }
        }
        unreachable!("the last lane takes every arm")
    }

    /// How many slots are in use, over all lanes.
    pub(super) fn running(&self) -> u32 {
        self.lanes.iter().map(Lane::running).sum()
    }
}
