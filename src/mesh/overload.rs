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
use super::site::Route;
use super::window::Window;

/// How often the levels are adjusted.
pub const ADJUST_EVERY: Duration = Duration::from_millis(100);
/// How much work the targets of a service should have, as a share of what they can run: enough that
/// none is idle, little enough that a chain of ten calls still meets its objective.
const WORK_WANTED: f64 = 1.0;
/// How fast the level falls with the work beyond that, for each adjustment.
const FALL_RATE: f64 = 0.15;
/// The most that a level falls at once. What is refused now lightens the load only after the requests
/// under way have ended, so a faster fall overshoots.
const FALL_MAX: f64 = 0.15;
/// How fast the level rises with the room that is left, for each adjustment.
const RISE_RATE: f64 = 0.12;
/// The most that a level rises at once.
const RISE_MAX: f64 = 0.07;
/// The lowest level: some requests of the most important rank always pass, to see what becomes of
/// them.
const LEVEL_MIN: f64 = 0.2;

/// The part of a busy service that each route may use whatever its rank. Refusing a route that uses
/// less makes hardly any room for others, and no route is starved.
const RESERVED_SHARE: f64 = 0.10;
/// How fast the probability moves that holds a route to that part, for each adjustment.
const RESERVED_STEP: f64 = 0.05;

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

/// What is known of a route by which requests begin.
#[derive(Clone, Debug)]
struct RootLevel {
    /// The lowest level of the services that its requests reach.
    level: f64,
    /// The service that has it; empty where all have room.
    service: String,
    /// The probability with which its requests are admitted at least.
    reserved: f64,
}

/// Which requests are admitted.
///
/// A level is a number for each service: requests whose rank is below it are admitted, those of the
/// rank that it cuts with the probability of its fraction, and all others are refused.
#[derive(Debug, Default)]
pub struct Overload {
    policy: Policy,
    /// Requests of each route that were admitted here and have no final answer yet.
    in_flight: RefCell<HashMap<Rc<str>, Rc<Cell<u32>>>>,
    /// How many of them may be in flight that reach each service.
    windows: RefCell<HashMap<String, Window>>,
    /// The levels of the services.
    levels: RefCell<HashMap<String, f64>>,
    /// What is known of each route by which requests begin.
    by_root: RefCell<HashMap<String, RootLevel>>,
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

impl Overload {
    /// Admits by `policy`.
    pub fn new(policy: Policy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Admits a request of a caller on `route`, or refuses it.
    pub fn admit(&self, route: &Route, rng: &mut impl Rng) -> Option<Admitted> {
        if !self.admits(route, rng) {
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
        let mut levels = self.levels.borrow_mut();
        levels.retain(|service, _| services.contains_key(service));
        for (service, view) in services {
            let level = levels.entry(service.clone()).or_insert(top);
            *level = (*level + step(view.load)).clamp(LEVEL_MIN, top);
        }
        self.adjust_roots(services, &levels, top);
        self.adjust_windows(services, top, entries);
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

    /// The probability of admission by the bounds of the services that `route` reaches.
    fn passing_by_windows(&self, route: &Route) -> f64 {
        let mut passing: f64 = 1.0;
        for window in self.windows.borrow().values() {
            if window.is_reached_by(&route.name) {
                let in_flight = self.in_flight_through(window.roots());
                let own = self.in_flight.borrow().get(&route.name).map_or(0, |own| own.get());
                let by_rank = window.passing(in_flight, route.rank);
                let by_reserve = window.passing_by_reserve(f64::from(own));
                passing = passing.min(by_rank.max(by_reserve));
            }
        }
        passing
    }

    /// Adjusts what is known of each route.
    fn adjust_roots(
        &self,
        services: &HashMap<String, ServiceView>,
        levels: &HashMap<String, f64>,
        top: f64,
    ) {
        let mut seen: HashMap<&str, (f64, f64, &str)> = HashMap::new();
        for (service, view) in services {
            let level = levels.get(service).copied().unwrap_or(top);
            let limit = f64::from(view.load.limit.max(1));
            for (root, running) in &view.roots {
                let lowest = seen.entry(root).or_insert((top, 0.0, ""));
                if level < lowest.0 {
                    *lowest = (level, f64::from(*running) / limit, service);
                }
            }
        }
        let mut by_root = self.by_root.borrow_mut();
        by_root.retain(|root, _| seen.contains_key(root.as_str()));
        for (root, (level, used, service)) in seen {
            let entry = by_root.entry(root.to_owned());
            let unknown = RootLevel { level, service: String::new(), reserved: 0.0 };
            let known = entry.or_insert(unknown);
            known.level = level;
            service.clone_into(&mut known.service);
            // While there is room nobody needs the reserve; it must not stand open when room ends.
            let is_kept_out = !service.is_empty() && used < RESERVED_SHARE;
            let change = if is_kept_out { RESERVED_STEP } else { -RESERVED_STEP };
            known.reserved = (known.reserved + change).clamp(0.0, 1.0);
        }
    }

    /// Whether a request of a caller on `route` is admitted.
    pub fn admits(&self, route: &Route, rng: &mut impl Rng) -> bool {
        let passing = self.passing(route);
        passing >= 1.0 || (passing > 0.0 && rng.random::<f64>() < passing)
    }

    /// The probability with which a request of a caller on `route` is admitted.
    pub fn passing(&self, route: &Route) -> f64 {
        let by_level = match self.policy {
            Policy::Open => 1.0,
            Policy::Levels => self.level(route) - f64::from(route.rank),
            Policy::Windows => self.passing_by_windows(route),
        };
        if self.policy == Policy::Windows {
            return by_level;
        }
        let reserved = self.by_root.borrow().get(&*route.name).map(|known| known.reserved);
        by_level.max(reserved.unwrap_or(0.0)).clamp(0.0, 1.0)
    }

    /// The service for whose want of room requests of `route` are refused, where some are.
    pub fn limited_by(&self, route: &Route) -> Option<String> {
        if self.passing(route) >= 1.0 {
            return None;
        }
        let known = self.by_root.borrow().get(&*route.name).map(|known| known.service.clone());
        known.filter(|service| !service.is_empty())
    }

    /// The lowest level of the services that requests of `route` reach.
    pub fn level(&self, route: &Route) -> f64 {
        let levels = self.levels.borrow();
        let own = route.split.iter().filter_map(|share| levels.get(&share.service).copied());
        let reached = self.by_root.borrow().get(&*route.name).map(|known| known.level);
        own.chain(reached).fold(f64::INFINITY, f64::min)
    }
}

/// How much a level changes for a service with the given work.
fn step(load: Load) -> f64 {
    if load.limit == 0 {
        return 0.0;
    }
    let work = f64::from(load.running + load.waiting) / f64::from(load.limit);
    let excess = work - WORK_WANTED;
    if excess > 0.0 {
        -(excess * FALL_RATE).min(FALL_MAX)
    } else {
        (-excess * RISE_RATE).min(RISE_MAX)
    }
}
