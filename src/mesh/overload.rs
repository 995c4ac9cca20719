//! Admission control: entry nodes shed requests that would reach an overloaded service.
//!
//! A request that fails at its seventh inner call has wasted all the work before it, so shedding is
//! cheap only before the first run. Every node knows the load of all targets and the root routes of
//! the requests that reach them. From these, each entry node determines which of its routes lead to
//! an overloaded service, and sheds the least important of them first. An admitted request is not
//! shed later.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use serde::Deserialize;

use super::frame::Load;
use super::levels::Levels;
use super::site::Route;
use super::window::Window;

/// Interval at which admission is adjusted.
pub const ADJUST_INTERVAL: Duration = Duration::from_millis(100);
/// Requests that an entry node may have in flight for each slot in its fair share of a service,
/// before it has measurements. More than one, as a request spends only part of its time at each
/// service.
const FAIR_SHARE_FACTOR: f64 = 2.0;

/// The load of one service as known to a node.
#[derive(Clone, Debug, Default)]
pub struct ServiceView {
    /// The load of its targets, summed.
    pub load: Load,
    /// The root routes of the requests that reach its targets, with the number of running requests
    /// of each.
    pub roots: HashMap<String, u32>,
}

/// The admission policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// All requests are admitted; nodes refuse calls that do not fit into the queue of their
    /// target.
    Open,
    /// Each request is admitted with a probability that depends on the load of the targets.
    Levels,
    /// The number of requests in flight is limited by a bound that is learned from the load of the
    /// targets.
    #[default]
    Windows,
}

/// Counts an admitted request as in flight until dropped.
#[derive(Debug)]
pub struct Admitted(Rc<Cell<u32>>);

impl Drop for Admitted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The admission control of one entry node.
#[derive(Debug, Default)]
pub struct Overload {
    policy: Policy,
    /// Number of admitted requests in flight, by route.
    in_flight: RefCell<HashMap<Rc<str>, Rc<Cell<u32>>>>,
    /// The bound on requests in flight that reach each service.
    windows: RefCell<HashMap<String, Window>>,
    /// Number of returning requests for which capacity is kept from new ones, by route.
    reserved: RefCell<HashMap<Rc<str>, u32>>,
    /// State of the policy `Levels`.
    levels: Levels,
}

impl Overload {
    /// Creates the state for `policy`.
    pub fn new(policy: Policy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Admits a request of a caller on `route`; `None` if it is shed. `rank` is the rank of the
    /// request, which depends on its team and its route.
    pub fn admit(&self, route: &Route, rank: u8, rng: &mut impl Rng) -> Option<Admitted> {
        let probability = self.admission_probability_at(route, rank);
        self.admit_with(probability, route, rng)
    }

    /// Like `admit`, for a request whose return was promised: its rank counts for nothing, and it is
    /// shed only beyond the bound on requests in flight.
    pub fn admit_protected(&self, route: &Route, rng: &mut impl Rng) -> Option<Admitted> {
        self.admit_with(self.probability_up_to_protected_bound(route, false), route, rng)
    }

    /// Like `admit_protected`, for a request of a team within its share. It leaves the capacity that
    /// is kept for returning requests.
    pub fn admit_within_share(&self, route: &Route, rng: &mut impl Rng) -> Option<Admitted> {
        self.admit_with(self.protected_probability(route), route, rng)
    }

    /// Sets the number of returning requests of each route for which capacity is kept from new ones.
    pub fn set_reserved(&self, reserved: HashMap<Rc<str>, u32>) {
        self.reserved.replace(reserved);
    }

    /// Frees the capacity that was kept for one request of `route`, which has returned.
    pub fn release_reserved(&self, route: &Route) {
        if let Some(count) = self.reserved.borrow_mut().get_mut(&route.name) {
            *count = count.saturating_sub(1);
        }
    }

    /// Like `admit`, for a request that the share of its team permits: the level of ranks counts for
    /// nothing, and it is shed only beyond the bound of its rank.
    pub fn admit_shared(&self, route: &Route, rank: u8, rng: &mut impl Rng) -> Option<Admitted> {
        self.admit_with(self.shared_probability(route, rank), route, rng)
    }

    fn admit_with(&self, probability: f64, route: &Route, rng: &mut impl Rng) -> Option<Admitted> {
        let is_admitted =
            probability >= 1.0 || (probability > 0.0 && rng.random::<f64>() < probability);
        if !is_admitted {
            self.record_refusal(route);
            return None;
        }
        let mut in_flight = self.in_flight.borrow_mut();
        let count = match in_flight.get(&route.name) {
            Some(count) => Rc::clone(count),
            None => Rc::clone(in_flight.entry(Rc::clone(&route.name)).or_default()),
        };
        count.set(count.get() + 1);
        Some(Admitted(count))
    }

    /// Adjusts admission to the load of the services. `rank_max` is the least important rank,
    /// `entries` the number of entry nodes.
    pub fn adjust(&self, services: &HashMap<String, ServiceView>, rank_max: u8, entries: usize) {
        let top = f64::from(rank_max) + 1.0;
        match self.policy {
            Policy::Open => {}
            Policy::Levels => self.levels.adjust(services, top),
            Policy::Windows => self.adjust_windows(services, top, entries),
        }
    }

    /// The probability that a request of a caller on `route` is admitted.
    pub fn admission_probability(&self, route: &Route) -> f64 {
        self.admission_probability_at(route, route.rank)
    }

    /// Like `admission_probability`, for a request whose rank may differ from that of its route.
    pub fn admission_probability_at(&self, route: &Route, rank: u8) -> f64 {
        match self.policy {
            Policy::Open => 1.0,
            Policy::Levels => self.levels.admission_probability(route, rank),
            Policy::Windows => {
                self.tightest(route, rank, |probability, _| probability).unwrap_or(1.0)
            }
        }
    }

    /// The service because of which requests of `route` are shed, if any.
    pub fn limited_by(&self, route: &Route) -> Option<String> {
        match self.policy {
            Policy::Open => None,
            Policy::Levels => {
                self.levels.limited_by(route).filter(|_| self.admission_probability(route) < 1.0)
            }
            Policy::Windows => {
                let name =
                    |probability: f64, name: &str| (probability < 1.0).then(|| name.to_owned());
                self.tightest(route, route.rank, name).flatten()
            }
        }
    }

    /// Adjusts the bound on requests in flight for each service.
    fn adjust_windows(&self, services: &HashMap<String, ServiceView>, top: f64, entries: usize) {
        let mut windows = self.windows.borrow_mut();
        windows.retain(|service, _| services.contains_key(service));
        for (service, view) in services {
            if view.load.limit == 0 {
                continue;
            }
            let in_flight = self.in_flight_through(view.roots.keys());
            if let Some(window) = windows.get_mut(service) {
                let fair = f64::from(view.load.limit) / entries.max(1) as f64 * FAIR_SHARE_FACTOR;
                window.adjust(view.load.utilisation(), in_flight, top, fair);
                window.set_roots(view.roots.keys());
                continue;
            }
            windows.insert(service.clone(), Window::default());
        }
    }

    /// The probability that `admit_within_share` admits a request of `route`.
    pub fn protected_probability(&self, route: &Route) -> f64 {
        self.probability_up_to_protected_bound(route, true)
    }

    fn probability_up_to_protected_bound(&self, route: &Route, is_new: bool) -> f64 {
        match self.policy {
            Policy::Open => 1.0,
            Policy::Levels => self.levels.admission_probability(route, 0),
            Policy::Windows => {
                self.probability_within_bounds(route, is_new, Window::protected_bound)
            }
        }
    }

    /// The probability that `admit_shared` admits a request of `route`.
    pub fn shared_probability(&self, route: &Route, rank: u8) -> f64 {
        match self.policy {
            Policy::Open | Policy::Levels => self.admission_probability_at(route, rank),
            Policy::Windows => {
                self.probability_within_bounds(route, true, |window| window.bound(rank))
            }
        }
    }

    /// The probability that a request of `route` is admitted up to the bound of each service that it
    /// reaches, whatever the level of ranks. A new request leaves the capacity that is kept for
    /// returning ones.
    fn probability_within_bounds(
        &self,
        route: &Route,
        is_new: bool,
        bound: impl Fn(&Window) -> f64,
    ) -> f64 {
        let windows = self.windows.borrow();
        let mut probability: f64 = 1.0;
        for window in windows.values() {
            if !window.is_reached_by(&route.name) {
                continue;
            }
            let reserved = if is_new { self.reserved_through(window.roots()) } else { 0.0 };
            let left = bound(window) - self.in_flight_through(window.roots()) - reserved;
            probability = probability.min(left.clamp(0.0, 1.0));
        }
        probability
    }

    /// Records the refusal of a request of `route` at the services it would have reached.
    pub fn record_refusal(&self, route: &Route) {
        for window in self.windows.borrow().values() {
            if window.is_reached_by(&route.name) {
                window.record_refusal();
            }
        }
    }

    /// The number of requests in flight on the given routes.
    fn in_flight_through<'a>(&self, roots: impl Iterator<Item = &'a String>) -> f64 {
        let in_flight = self.in_flight.borrow();
        let counts = roots.filter_map(|root| in_flight.get(root.as_str()));
        counts.map(|count| f64::from(count.get())).sum()
    }

    /// The number of returning requests on the given routes for which capacity is kept.
    fn reserved_through<'a>(&self, roots: impl Iterator<Item = &'a String>) -> f64 {
        let reserved = self.reserved.borrow();
        if reserved.is_empty() {
            return 0.0;
        }
        roots.filter_map(|root| reserved.get(root.as_str())).map(|count| f64::from(*count)).sum()
    }

    /// Finds the service with the lowest probability of admission among those that `route` reaches,
    /// and passes that probability and the service's name to `take`.
    fn tightest<T>(&self, route: &Route, rank: u8, take: impl FnOnce(f64, &str) -> T) -> Option<T> {
        let windows = self.windows.borrow();
        let own = self.in_flight.borrow().get(&route.name).map_or(0, |own| own.get());
        let mut tightest: Option<(f64, &String)> = None;
        for (service, window) in windows.iter() {
            if !window.is_reached_by(&route.name) {
                continue;
            }
            let in_flight = self.in_flight_through(window.roots());
            let taken = in_flight + self.reserved_through(window.roots());
            let by_rank = window.admission_probability(taken, rank);
            let probability = by_rank.max(window.admission_probability_by_reserve(f64::from(own)));
            if tightest.is_none_or(|(least, _)| probability < least) {
                tightest = Some((probability, service));
            }
        }
        tightest.map(|(probability, service)| take(probability, service))
    }
}
