//! How many repeats a node may send to each service.

use std::cell::RefCell;
use std::collections::HashMap;

use rand::Rng;

use super::settings::RetrySection;

/// The part of the allowed share that a node uses: what is left over bears that repeats of one level
/// reach some nodes of the next more than others.
const USED_SHARE: f64 = 0.6;
/// The most repeats that a node saves up for one service.
const SAVED_MAX: f64 = 2.0;
/// The part of the slack that all nodes together may have saved up: they may use it at the same moment.
const SAVED_SHARE: f64 = 0.5;
/// The most repeats that a node owes for one service.
const OWED_MAX: f64 = 10.0;

/// Repeats earned by requests, for each service.
///
/// Every node earns from its own requests only, so the sum over all nodes keeps to the share without
/// any message between them. A call that is made by a repeated run is a repeat at the service it goes
/// to, although nobody chose to repeat it; it is paid from the same budget, so that a failure deep
/// down, whose repeat costs one run, may use the whole of it while nothing is repeated above.
#[derive(Debug)]
pub struct RetryBudgets {
    share: f64,
    slack: f64,
    saved: RefCell<HashMap<String, f64>>,
}

impl RetryBudgets {
    /// Budgets that keep to the given bounds.
    pub fn new(settings: &RetrySection) -> Self {
        Self {
            share: settings.share * USED_SHARE,
            slack: f64::from(settings.slack),
            saved: RefCell::default(),
        }
    }

    /// Counts the first arrival of a request.
    pub fn earn(&self, service: &str) {
        self.change(service, self.share);
    }

    /// Counts the first arrival of a request that a repeated run makes.
    pub fn owe(&self, service: &str) {
        self.change(service, -1.0);
    }

    /// How many repeats are saved up for a service; less than none where some are owed.
    pub fn left(&self, service: &str) -> f64 {
        self.saved.borrow().get(service).copied().unwrap_or(0.0)
    }

    /// Takes one repeat, if there is one. `nodes` is the number of nodes that share the slack.
    ///
    /// Where a node's part of the slack is less than one repeat, it stakes that part on one and gets it
    /// with that probability, so that it pays for its repeats all the same.
    pub fn try_take(&self, service: &str, nodes: usize, rng: &mut impl Rng) -> bool {
        let part = (self.slack * SAVED_SHARE / nodes.max(1) as f64).min(SAVED_MAX);
        let left = self.left(service).min(part);
        let stake = part.min(1.0);
        if left < stake {
            return false;
        }
        self.saved.borrow_mut().insert(service.to_owned(), left - stake);
        rng.random::<f64>() < stake
    }

    fn change(&self, service: &str, amount: f64) {
        let mut saved = self.saved.borrow_mut();
        if let Some(balance) = saved.get_mut(service) {
            *balance = (*balance + amount).clamp(-OWED_MAX, SAVED_MAX);
            return;
        }
        saved.insert(service.to_owned(), amount);
    }
}
