//! The configuration in force: routes, services and limits.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use super::teams::roster::{Roster, Team};

/// What may be done with a request whose outcome is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// It may run any number of times.
    Idempotent,
    /// It may run once at most.
    AtMostOnce,
}

/// One service among those that share the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The service.
    pub service: String,
    /// Its part of the requests, relative to the other weights of the route.
    pub weight: u32,
}

/// Where requests of one host and path prefix go, and how they are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The operator's name for it.
    pub name: Rc<str>,
    /// The host it belongs to, in lower case.
    pub host: String,
    /// The beginning of the path; begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may be repeated.
    pub kind: RouteKind,
    /// The longest time a caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer has its full value, in milliseconds.
    pub objective_ms: u64,
    /// The rank of its requests; 0 is the most important.
    pub rank: u8,
    /// How many targets one request may be sent to.
    pub attempts_max: u32,
    /// Whether requests without a key are let in, where the site has teams.
    pub needs_no_key: bool,
    /// The services that share its requests; never empty.
    pub split: Vec<Share>,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The longest head of a request, in bytes.
    pub head_max_bytes: usize,
    /// The longest body of a request, in bytes.
    pub body_max_bytes: usize,
    /// How long the head of a request may take, in milliseconds.
    pub head_timeout_ms: u64,
    /// How long a kept connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    /// What holds until a configuration says otherwise.
    fn default() -> Self {
        Self {
            head_max_bytes: 16 * 1024,
            body_max_bytes: 64 * 1024 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Site {
    /// Its version; higher ones replace lower ones.
    pub version: u64,
    /// What a caller may send.
    pub limits: Limits,
    /// Who may send it.
    pub teams: Roster,
    /// The routes by host, then by prefix.
    routes: HashMap<String, HashMap<String, Rc<Route>>>,
    /// The least important rank of any route.
    rank_max: u8,
    /// The services that the operator lists. Empty where no list was given.
    services: HashSet<String>,
}

impl Site {
    /// A configuration with the given routes.
    pub fn new(version: u64, routes: Vec<Route>, limits: Limits) -> Self {
        let mut site = Self { version, limits, ..Self::default() };
        for route in routes {
            site.rank_max = site.rank_max.max(route.rank);
            let of_host = site.routes.entry(route.host.clone()).or_default();
            of_host.insert(route.prefix.clone(), Rc::new(route));
        }
        site
    }

    /// The same with the operator's list of services.
    pub fn with_services(mut self, services: HashSet<String>) -> Self {
        self.services = services;
        self
    }

    /// The same with teams.
    pub fn with_teams(mut self, teams: Roster) -> Self {
        self.teams = teams;
        self
    }

    /// The rank of a caller's request: a team's goes before its route's, so that requests of teams of the same
    /// rank are told apart by their routes. A request without a team comes after all that have one.
    pub fn rank(&self, route: &Route, team: Option<&Team>) -> u8 {
        let place = team.map_or(self.teams.rank_count() - 1, |team| self.teams.rank_index(team));
        let before = place.saturating_mul(usize::from(self.rank_max) + 1);
        u8::try_from(before + usize::from(route.rank)).unwrap_or(u8::MAX)
    }

    /// Whether there may be targets of `service`: it is listed, or a route leads to it, or no list was
    /// given.
    pub fn may_have(&self, service: &str) -> bool {
        if self.services.is_empty() || self.services.contains(service) {
            return true;
        }
        let mut routes = self.routes.values().flat_map(HashMap::values);
        routes.any(|route| route.split.iter().any(|share| share.service == service))
    }

    /// The route of a request: of those of its host, the one with the longest prefix of the path.
    ///
    /// `host` may carry a port, which does not count; `path` has no query.
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let of_host = match self.routes.get(name) {
            Some(found) => found,
            None => self.routes.get(&name.to_ascii_lowercase())?,
        };
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = of_host.get(&path[..=slash]) {
                return Some(Rc::clone(route));
            }
            end = slash;
        }
        None
    }

    /// All routes, in no order.
    pub fn routes(&self) -> Vec<Rc<Route>> {
        self.routes.values().flat_map(HashMap::values).cloned().collect()
    }

    /// The least important rank of any request.
    pub fn rank_max(&self) -> u8 {
        let ranks = self.teams.rank_count() * (usize::from(self.rank_max) + 1);
        u8::try_from(ranks - 1).unwrap_or(u8::MAX)
    }
}
