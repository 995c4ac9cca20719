//! Admission policy that sheds requests at random, according to the load of the targets; kept for
//! comparison with the default policy.
//!
//! Each service has a level: requests with a rank below it are admitted, those of the rank just
//! above it with a probability equal to its fractional part, and all others are refused.

use std::cell::RefCell;
use std::collections::HashMap;

use super::frame::Load;
use super::overload::ServiceView;
use super::site::Route;

/// Desired work of a service's targets, relative to their limit: enough to keep them busy, and
/// little enough that a chain of ten calls meets its objective.
const DESIRED_WORK: f64 = 1.0;
/// Decrease of the level per unit of excess work, for each adjustment.
const FALL_RATE: f64 = 0.15;
/// Maximum decrease in one adjustment. Refusals reduce the load only after the requests in flight
/// have ended, so larger steps would overshoot.
const FALL_MAX: f64 = 0.15;
/// Increase of the level per unit of spare capacity, for each adjustment.
const RISE_RATE: f64 = 0.12;
/// Maximum increase in one adjustment.
const RISE_MAX: f64 = 0.07;
/// Minimum level: some requests of the most important rank always pass, to probe for recovery.
const LEVEL_MIN: f64 = 0.2;

/// Share of a busy service that each route may use regardless of its rank. Refusing a route that
/// uses less would free hardly any capacity, and no route is starved.
const RESERVED_SHARE: f64 = 0.10;
/// Change in the probability that reserves this share, for each adjustment.
const RESERVED_STEP: f64 = 0.05;

/// State of one root route.
#[derive(Clone, Debug)]
struct RootLevel {
    /// Lowest level of the services that its requests reach.
    level: f64,
    /// The service with that level; empty if none is limited.
    service: String,
    /// Minimum probability with which its requests are admitted.
    reserved: f64,
}

/// Levels of the services, and the resulting limits of each route.
#[derive(Debug, Default)]
pub struct Levels {
    by_service: RefCell<HashMap<String, f64>>,
    by_root: RefCell<HashMap<String, RootLevel>>,
}

impl Levels {
    /// Adjusts the levels to the load of the services. `top` is the level at which all ranks are
    /// admitted.
    pub fn adjust(&self, services: &HashMap<String, ServiceView>, top: f64) {
        let mut levels = self.by_service.borrow_mut();
        levels.retain(|service, _| services.contains_key(service));
        for (service, view) in services {
            let level = levels.entry(service.clone()).or_insert(top);
            *level = (*level + step(view.load)).clamp(LEVEL_MIN, top);
        }
        self.adjust_roots(services, &levels, top);
    }

    /// Adjusts the state of each route.
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
            // The reserve shrinks while there is spare capacity, so that it is not open when load
            // rises.
            let is_starved = !service.is_empty() && used < RESERVED_SHARE;
            let change = if is_starved { RESERVED_STEP } else { -RESERVED_STEP };
            known.reserved = (known.reserved + change).clamp(0.0, 1.0);
        }
    }

    /// Probability with which a caller's request on `route` with the given rank is admitted.
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

    /// Lowest level of the services that requests of `route` reach.
    fn level(&self, route: &Route) -> f64 {
        let levels = self.by_service.borrow();
        let own = route.split.iter().filter_map(|share| levels.get(&share.service).copied());
        let reached = self.by_root.borrow().get(&*route.name).map(|known| known.level);
        own.chain(reached).fold(f64::INFINITY, f64::min)
    }
}

/// Change of a service's level for the given load.
fn step(load: Load) -> f64 {
    if load.limit == 0 {
        return 0.0;
    }
    let excess = load.utilisation() - DESIRED_WORK;
    if excess > 0.0 {
        -(excess * FALL_RATE).min(FALL_MAX)
    } else {
        (-excess * RISE_RATE).min(RISE_MAX)
    }
}
