//! Cancellation of calls by the identifier that the node gave them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

/// Calls in flight by call id. Several calls may share an id.
#[derive(Clone, Debug, Default)]
pub(super) struct Cancellations(Arc<Mutex<HashMap<String, Entry>>>);

/// The calls that share a call id.
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
    /// The id of the call.
    call_id: String,
    /// Becomes true when the call is cancelled.
    cancelled: watch::Receiver<bool>,
}

impl Cancellations {
    /// Registers a call.
    pub(super) fn register(&self, call_id: &str) -> Registration {
        let mut entries = self.lock();
        let entry = entries
            .entry(call_id.to_owned())
            .or_insert_with(|| Entry { cancelled: watch::Sender::new(false), calls: 0 });
        entry.calls += 1;
        let cancelled = entry.cancelled.subscribe();
        Registration { cancellations: self.clone(), call_id: call_id.to_owned(), cancelled }
    }

    /// Cancels all calls with this id; returns false if there are none.
    pub(super) fn cancel(&self, call_id: &str) -> bool {
        let entries = self.lock();
        let Some(entry) = entries.get(call_id) else { return false };
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
        let Some(entry) = entries.get_mut(&self.call_id) else { return };
        entry.calls -= 1;
        if entry.calls == 0 {
            entries.remove(&self.call_id);
        }
    }
}
