//! How many repeats a node may send to each service.

use std::cell::RefCell;
use std::collections::HashMap;

use super::settings::RetrySection;

/// How many levels of calls a repeat may go through: at each level a repeat repeats its calls, so the
/// shares of the levels multiply. With 0.2 allowed, 0.045 at each of four levels sum up to 0.19.
const LEVELS: f64 = 4.0;
/// The part of the allowed share that all levels together use.
const USED_SHARE: f64 = 0.9;
/// The most repeats that a node saves up for one service: what all nodes have saved may be used within
/// one window, beside what is earned in it.
const SAVED_MAX: f64 = 2.0;

/// Repeats earned by requests, for each service.
///
/// Every node earns from its own requests only, so the sum over all nodes keeps to the share without
/// any message between them.
#[derive(Debug)]
pub struct RetryBudgets {
    share: f64,
    saved: RefCell<HashMap<String, f64>>,
}

impl RetryBudgets {
    /// Budgets that keep to the given bounds.
    pub fn new(settings: &RetrySection) -> Self {
        let share = (1.0 + settings.share * USED_SHARE).powf(1.0 / LEVELS) - 1.0;
        Self { share, saved: RefCell::default() }
    }

    /// Counts the first arrival of a request.
    pub fn earn(&self, service: &str) {
        let mut saved = self.saved.borrow_mut();
        if let Some(balance) = saved.get_mut(service) {
            *balance = (*balance + self.share).min(SAVED_MAX);
            return;
        }
        saved.insert(service.to_owned(), self.share);
    }

    /// How many repeats are saved up for a service.
    pub fn left(&self, service: &str) -> f64 {
        self.saved.borrow().get(service).copied().unwrap_or(0.0)
    }

    /// Takes one repeat, if there is one.
    pub fn try_take(&self, service: &str) -> bool {
        let mut saved = self.saved.borrow_mut();
        let Some(balance) = saved.get_mut(service) else { return false };
        if *balance < 1.0 {
            return false;
        }
        *balance -= 1.0;
        true
    }
}
