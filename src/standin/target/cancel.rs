//! Cancellation of running calls by the identifier that the node gave them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

/// Calls in flight by handle. Several calls may share a handle.
#[derive(Clone, Debug, Default)]
pub(super) struct Cancellations(Arc<Mutex<HashMap<String, Entry>>>);

/// The calls that share a handle.
#[derive(Debug)]
struct Entry {
    /// Set to true when the calls are cancelled.
    cancelled: watch::Sender<bool>,
    /// Number of calls in flight.
    calls: usize,
}

/// A registered call; dropping it removes the call.
#[derive(Debug)]
pub(super) struct Registration {
    /// The registry that holds the call.
    cancellations: Cancellations,
    /// Its handle.
    handle: String,
    /// Becomes true when the call is cancelled.
    cancelled: watch::Receiver<bool>,
}

impl Cancellations {
    /// Registers a call.
    pub(super) fn register(&self, handle: &str) -> Registration {
        let mut entries = self.lock();
        let entry = entries
            .entry(handle.to_owned())
            .or_insert_with(|| Entry { cancelled: watch::Sender::new(false), calls: 0 });
        entry.calls += 1;
        let cancelled = entry.cancelled.subscribe();
        Registration { cancellations: self.clone(), handle: handle.to_owned(), cancelled }
    }

    /// Cancels all calls with this handle; false if there are none.
    pub(super) fn cancel(&self, handle: &str) -> bool {
        let entries = self.lock();
        let Some(entry) = entries.get(handle) else { return false };
        entry.cancelled.send_replace(true);
        true
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Entry>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Registration {
    /// Completes when the call is cancelled; otherwise stays pending forever.
    pub(super) async fn cancelled(&mut self) {
        if self.cancelled.wait_for(|cancelled| *cancelled).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut entries = self.cancellations.lock();
        let Some(entry) = entries.get_mut(&self.handle) else { return };
        entry.calls -= 1;
        if entry.calls == 0 {
            entries.remove(&self.handle);
        }
    }
}
