//! Refuses requests at the entry that a service further down has no room for.
//!
//! A request that fails at its seventh inner call has wasted all that it ran, so the only cheap place
//! to refuse is before its first run. Every node hears what all targets have to do, and by which
//! routes the requests began that reach them; so each entry can tell which of its routes lead to a
//! busy service. Of these, the least important are refused first. What was admitted is carried
//! through.

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

/// How often it is adjusted what is admitted.
pub const ADJUST_EVERY: Duration = Duration::from_millis(100);
/// How many requests an entry may have in flight for its share of a service's slots before it has
/// learnt more: a request is at each service for a part of its time only.
const FAIR_FACTOR: f64 = 2.0;

/// What a node knows of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceView {
    /// What its targets have to do, all together.
    pub load: Load,
    /// The routes by which the requests began that reach its targets, and how many of each run.
    pub roots: HashMap<String, u32>,
}

/// How it is decided what is admitted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Everything is admitted; targets refuse what does not fit into their queues.
    Open,
    /// The probability of admission follows the work of the targets.
    Levels,
    /// The number of requests in flight is bounded by what the targets' work shows that they can bear.
    #[default]
    Windows,
}

/// A request that was admitted, until dropped.
#[derive(Debug)]
pub struct Admitted(Rc<Cell<u32>>);

impl Drop for Admitted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Which requests are admitted.
#[derive(Debug, Default)]
pub struct Overload {
    policy: Policy,
    /// Requests of each route that were admitted here and have no final answer yet.
    in_flight: RefCell<HashMap<Rc<str>, Rc<Cell<u32>>>>,
    /// How many of them may be in flight that reach each service.
    windows: RefCell<HashMap<String, Window>>,
    /// What the policy `Levels` goes by.
    levels: Levels,
}

impl Overload {
    /// Admits by `policy`.
    pub fn new(policy: Policy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Admits a request of a caller on `route`, or refuses it. `rank` is that of its team or of its route.
    pub fn admit(&self, route: &Route, rank: u8, rng: &mut impl Rng) -> Option<Admitted> {
        let passing = self.passing_at(route, rank);
        let is_admitted = passing >= 1.0 || (passing > 0.0 && rng.random::<f64>() < passing);
        if !is_admitted {
            self.note_refusal(route);
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

    /// Adjusts what is admitted to what the services have to do. `rank_max` is the least important
    /// rank, `entries` the number of nodes at which requests come in.
    pub fn adjust(&self, services: &HashMap<String, ServiceView>, rank_max: u8, entries: usize) {
        let top = f64::from(rank_max) + 1.0;
        match self.policy {
            Policy::Open => {}
            Policy::Levels => self.levels.adjust(services, top),
            Policy::Windows => self.adjust_windows(services, top, entries),
        }
    }

    /// The probability with which a request of a caller on `route` is admitted.
    pub fn passing(&self, route: &Route) -> f64 {
        self.passing_at(route, route.rank)
    }

    /// The same for a request whose rank may be another than that of its route.
    pub fn passing_at(&self, route: &Route, rank: u8) -> f64 {
        match self.policy {
            Policy::Open => 1.0,
            Policy::Levels => self.levels.passing(route, rank),
            Policy::Windows => self.narrowest(route, rank, |passing, _| passing).unwrap_or(1.0),
        }
    }

    /// The service for whose want of room requests of `route` are refused, where some are.
    pub fn limited_by(&self, route: &Route) -> Option<String> {
        match self.policy {
            Policy::Open => None,
            Policy::Levels => self.levels.limited_by(route).filter(|_| self.passing(route) < 1.0),
            Policy::Windows => {
                let name = |passing: f64, name: &str| (passing < 1.0).then(|| name.to_owned());
                self.narrowest(route, route.rank, name).flatten()
            }
        }
    }

    /// Adjusts how many requests may be in flight that reach each service.
    fn adjust_windows(&self, services: &HashMap<String, ServiceView>, top: f64, entries: usize) {
        let mut windows = self.windows.borrow_mut();
        windows.retain(|service, _| services.contains_key(service));
        for (service, view) in services {
            if view.load.limit == 0 {
                continue;
            }
            let work = f64::from(view.load.running + view.load.waiting);
            let work_share = work / f64::from(view.load.limit);
            let in_flight = self.in_flight_through(view.roots.keys());
            if let Some(window) = windows.get_mut(service) {
                let fair = f64::from(view.load.limit) / entries.max(1) as f64 * FAIR_FACTOR;
                window.adjust(work_share, in_flight, top, fair);
                window.set_roots(view.roots.keys());
                continue;
            }
            windows.insert(service.clone(), Window::default());
        }
    }

    /// Notes that a request of `route` was refused, at the services that it would have reached.
    fn note_refusal(&self, route: &Route) {
        for window in self.windows.borrow().values() {
            if window.is_reached_by(&route.name) {
                window.note_refusal();
            }
        }
    }

    /// Requests in flight of the given routes.
    fn in_flight_through<'a>(&self, roots: impl Iterator<Item = &'a String>) -> f64 {
        let in_flight = self.in_flight.borrow();
        let counts = roots.filter_map(|root| in_flight.get(root.as_str()));
        counts.map(|count| f64::from(count.get())).sum()
    }

    /// Hands to `take` the probability of admission by the service with the least room of those that
    /// `route` reaches, and its name.
    fn narrowest<T>(
        &self,
        route: &Route,
        rank: u8,
        take: impl FnOnce(f64, &str) -> T,
    ) -> Option<T> {
        let windows = self.windows.borrow();
        let own = self.in_flight.borrow().get(&route.name).map_or(0, |own| own.get());
        let mut narrowest: Option<(f64, &String)> = None;
        for (service, window) in windows.iter() {
            if !window.is_reached_by(&route.name) {
                continue;
            }
            let in_flight = self.in_flight_through(window.roots());
            let by_rank = window.passing(in_flight, rank);
            let passing = by_rank.max(window.passing_by_reserve(f64::from(own)));
            if narrowest.is_none_or(|(least, _)| passing < least) {
                narrowest = Some((passing, service));
            }
        }
        narrowest.map(|(passing, service)| take(passing, service))
    }
}
