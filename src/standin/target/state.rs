//! What all calls of a target share.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use reqwest::Client;
use tokio::time::Instant;

use super::cancel::Cancellations;
use super::fault::Fault;
use super::lanes::Lanes;
use super::ledger::Ledger;
use super::settings::TargetSettings;

/// What all calls of a target share.
#[derive(Debug)]
pub(super) struct Shared {
    /// What the target was told.
    pub(super) settings: TargetSettings,
    /// When it started.
    pub(super) started: Instant,
    /// Its slots.
    pub(super) lanes: Lanes,
    /// Calls that can be cancelled.
    pub(super) cancellations: Cancellations,
    /// Its client, for its own calls.
    pub(super) client: Client,
    /// Whether it takes no new calls for good.
    draining: AtomicBool,
    /// What it ran.
    ledger: Mutex<Ledger>,
    /// The fault last ordered.
    fault: Mutex<Fault>,
    /// Where its times are drawn from.
    random: Mutex<SmallRng>,
}

impl Shared {
    /// The state of a target that starts now.
    pub(super) fn new(settings: TargetSettings, client: Client) -> Self {
        let lanes = Lanes::new(settings.slots, &settings.lanes, settings.queue_max);
        let random = SmallRng::seed_from_u64(settings.seed);
        Self {
            settings,
            started: Instant::now(),
            lanes,
            cancellations: Cancellations::default(),
            client,
            draining: AtomicBool::new(false),
            ledger: Mutex::default(),
            fault: Mutex::new(Fault::NONE),
            random: Mutex::new(random),
        }
    }

    /// Takes no new calls from now on.
    pub(super) fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Whether no new calls are taken.
    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// What the target ran.
    pub(super) fn ledger(&self) -> MutexGuard<'_, Ledger> {
        lock(&self.ledger)
    }

    /// The source of its times.
    pub(super) fn random(&self) -> MutexGuard<'_, SmallRng> {
        lock(&self.random)
    }

    /// The fault in force now.
    pub(super) fn fault(&self) -> Fault {
        lock(&self.fault).at(Instant::now())
    }

    /// Puts a fault in force.
    pub(super) fn set_fault(&self, fault: Fault) {
        *lock(&self.fault) = fault;
    }
}

/// Locks, also after a panic elsewhere: every change under these locks is one step.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
