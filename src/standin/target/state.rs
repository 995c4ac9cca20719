//! The state of a target, shared by all of its calls.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use reqwest::Client;
use tokio::time::Instant;

use super::cancel::Cancellations;
use super::fault::Fault;
use super::run_stats::RunStats;
use super::settings::TargetSettings;
use super::slots::SlotPools;

/// The state of a target, shared by all of its calls.
#[derive(Debug)]
pub(super) struct TargetState {
    /// The settings of the target.
    pub(super) settings: TargetSettings,
    /// When the target started.
    pub(super) started: Instant,
    /// The slots of the target.
    pub(super) slot_pools: SlotPools,
    /// Calls in flight that can be cancelled.
    pub(super) cancellations: Cancellations,
    /// HTTP client for child calls and announcements.
    pub(super) client: Client,
    /// Whether new calls are rejected; never reset.
    draining: AtomicBool,
    /// Counters of runs.
    run_stats: Mutex<RunStats>,
    /// The fault last requested; it may have expired.
    fault: Mutex<Fault>,
    /// Random generator of service times.
    random: Mutex<SmallRng>,
}

impl TargetState {
    /// The state of a target that starts now.
    pub(super) fn new(settings: TargetSettings, client: Client) -> Self {
        let slot_pools = SlotPools::new(settings.slots, &settings.arm_slots, settings.queue_max);
        let random = SmallRng::seed_from_u64(settings.seed);
        Self {
            settings,
            started: Instant::now(),
            slot_pools,
            cancellations: Cancellations::default(),
            client,
            draining: AtomicBool::new(false),
            run_stats: Mutex::default(),
            fault: Mutex::new(Fault::NONE),
            random: Mutex::new(random),
        }
    }

    /// Rejects new calls from now on.
    pub(super) fn start_draining(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Whether new calls are rejected.
    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Counters of runs.
    pub(super) fn run_stats(&self) -> MutexGuard<'_, RunStats> {
        lock(&self.run_stats)
    }

    /// Random generator of service times.
    pub(super) fn random(&self) -> MutexGuard<'_, SmallRng> {
        lock(&self.random)
    }

    /// The fault in effect now.
    pub(super) fn fault(&self) -> Fault {
        lock(&self.fault).at(Instant::now())
    }

    /// Injects a fault in place of the previous one.
    pub(super) fn set_fault(&self, fault: Fault) {
        *lock(&self.fault) = fault;
    }
}

/// Locks and ignores poisoning: no change under these locks can be left incomplete by a panic.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
