//! Sums the calls that are made for a request, directly or further down the call tree.
//!
//! Calls are summed, and the sums are sent with the answers, only where the settings ask for
//! admission by completion.

use std::cell::{Cell, RefCell};

use super::frame::ServiceCalls;

/// The calls made for a request so far.
#[derive(Debug, Default)]
pub struct TreeCalls {
    by_service: RefCell<Vec<ServiceCalls>>,
    has_completed_call: Cell<bool>,
}

impl TreeCalls {
    /// Adds calls to one service.
    pub fn add(&self, calls: &ServiceCalls) {
        let mut by_service = self.by_service.borrow_mut();
        let Some(known) = by_service.iter_mut().find(|known| known.service == calls.service) else {
            by_service.push(calls.clone());
            return;
        };
        known.requests = known.requests.saturating_add(calls.requests);
        known.repeats = known.repeats.saturating_add(calls.repeats);
        known.rejected = known.rejected.saturating_add(calls.rejected);
    }

    /// Adds calls to several services.
    pub fn add_all(&self, calls: &[ServiceCalls]) {
        for service in calls {
            self.add(service);
        }
    }

    /// Takes the sum, which is empty afterwards.
    pub fn take(&self) -> Vec<ServiceCalls> {
        self.by_service.take()
    }

    /// Records that a call made for the request went well.
    pub fn record_completed_call(&self) {
        self.has_completed_call.set(true);
    }

    /// Whether a call made for the request went well.
    pub fn has_completed_call(&self) -> bool {
        self.has_completed_call.get()
    }
}
