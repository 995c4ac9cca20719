//! Refuses requests with a probability that follows the work of the targets: one way to decide what is
//! admitted, kept to be compared with others.
//!
//! A level is a number for each service: requests whose rank is below it are admitted, those of the
//! rank that it cuts with the probability of its fraction, and all others are refused.

use std::cell::RefCell;
use std::collections::HashMap;

use super::frame::Load;
use super::overload::ServiceView;
use super::site::Route;

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

/// The levels of the services, and what follows from them for each route.
#[derive(Debug, Default)]
pub struct Levels {
    by_service: RefCell<HashMap<String, f64>>,
    by_root: RefCell<HashMap<String, RootLevel>>,
}

impl Levels {
    /// Adjusts the levels to what the services have to do. `top` is the level at which every rank
    /// passes.
    pub fn adjust(&self, services: &HashMap<String, ServiceView>, top: f64) {
        let mut levels = self.by_service.borrow_mut();
        levels.retain(|service, _| services.contains_key(service));
        for (service, view) in services {
            let level = levels.entry(service.clone()).or_insert(top);
            *level = (*level + step(view.load)).clamp(LEVEL_MIN, top);
        }
        self.adjust_roots(services, &levels, top);
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

    /// The probability with which a request of a caller on `route`, of the given rank, is admitted.
    pub fn admission_probability(&self, route: &Route, rank: u8) -> f64 {
        let by_level = self.level(route) - f64::from(rank);
        let reserved = self.by_root.borrow().get(&*route.name).map(|known| known.reserved);
        by_level.max(reserved.unwrap_or(0.0)).clamp(0.0, 1.0)
    }

    /// The service with the lowest level that requests of `route` reach.
    pub fn limited_by(&self, route: &Route) -> Option<String> {
        let known = self.by_root.borrow().get(&*route.name).map(|known| known.service.clone());
        known.filter(|service| !service.is_empty())
    }

    /// The lowest level of the services that requests of `route` reach.
    fn level(&self, route: &Route) -> f64 {
        let levels = self.by_service.borrow();
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
