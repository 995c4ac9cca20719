//! The active configuration: routes, services and limits.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use super::teams::roster::{Roster, Team};

/// Whether a request whose outcome is unknown may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// It may run any number of times.
    Idempotent,
    /// It may run at most once.
    AtMostOnce,
}

/// One of the services among which the requests of a route are divided.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The service.
    pub service: String,
    /// Its part of the requests, relative to the other weights of the route.
    pub weight: u32,
}

/// Maps the requests of one host and path prefix to services, with their deadlines and priority.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name, as given by the operator.
    pub name: Rc<str>,
    /// The host, in lower case.
    pub host: String,
    /// The path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may be retried.
    pub kind: RouteKind,
    /// Maximum time until the answer, in milliseconds.
    pub timeout_ms: u64,
    /// The latency objective, in milliseconds.
    pub objective_ms: u64,
    /// The rank of its requests; 0 is the most important.
    pub rank: u8,
    /// Maximum number of times that one request may reach a target.
    pub attempts_max: u32,
    /// Whether requests without a valid API key are admitted even if the site has teams.
    pub needs_no_key: bool,
    /// The services among which its requests are divided; never empty.
    pub split: Vec<Share>,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The longest request head, in bytes.
    pub head_max_bytes: usize,
    /// The longest request body, in bytes.
    pub body_max_bytes: usize,
    /// How long reading a request head may take, in milliseconds.
    pub head_timeout_ms: u64,
    /// How long a kept-alive connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    /// The limits in effect before a configuration is known.
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
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// The limits on the requests of callers.
    pub limits: Limits,
    /// The teams, with their keys and quotas.
    pub teams: Roster,
    /// The routes by host, then by path prefix.
    routes: HashMap<String, HashMap<String, Rc<Route>>>,
    /// The least important rank of any route.
    rank_max: u8,
    /// The services listed by the operator; empty if there is no list.
    services: HashSet<String>,
}

impl Site {
    /// Creates a configuration with the given routes.
    pub fn new(version: u64, routes: Vec<Route>, limits: Limits) -> Self {
        let mut site = Self { version, limits, ..Self::default() };
        for route in routes {
            site.rank_max = site.rank_max.max(route.rank);
            let by_prefix = site.routes.entry(route.host.clone()).or_default();
            by_prefix.insert(route.prefix.clone(), Rc::new(route));
        }
        site
    }

    /// Sets the operator's list of services.
    pub fn with_services(mut self, services: HashSet<String>) -> Self {
        self.services = services;
        self
    }

    /// Sets the teams.
    pub fn with_teams(mut self, teams: Roster) -> Self {
        self.teams = teams;
        self
    }

    /// The rank of a caller's request. The rank of the team counts first; among teams of the same
    /// rank, the rank of the route decides. A request without a team ranks below all that have one.
    pub fn rank(&self, route: &Route, team: Option<&Team>) -> u8 {
        let position = team.map_or(self.teams.rank_count() - 1, |team| self.teams.rank_index(team));
        let outranked = position.saturating_mul(usize::from(self.rank_max) + 1);
        u8::try_from(outranked + usize::from(route.rank)).unwrap_or(u8::MAX)
    }

    /// Whether targets of `service` are expected: it is listed, a route leads to it, or there is no
    /// list.
    pub fn expects_service(&self, service: &str) -> bool {
        if self.services.is_empty() || self.services.contains(service) {
            return true;
        }
        let mut routes = self.routes.values().flat_map(HashMap::values);
        routes.any(|route| route.split.iter().any(|share| share.service == service))
    }

    /// The route of a request: among the routes of its host, the one with the longest matching
    /// prefix.
    ///
    /// `host` may include a port, which is ignored; `path` has no query.
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let by_prefix = match self.routes.get(name) {
            Some(found) => found,
            None => self.routes.get(&name.to_ascii_lowercase())?,
        };
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = by_prefix.get(&path[..=slash]) {
                return Some(Rc::clone(route));
            }
            end = slash;
        }
        None
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> Vec<Rc<Route>> {
        self.routes.values().flat_map(HashMap::values).cloned().collect()
    }

    /// The least important rank that a request can have.
    pub fn rank_max(&self) -> u8 {
        let ranks = self.teams.rank_count() * (usize::from(self.rank_max) + 1);
        u8::try_from(ranks - 1).unwrap_or(u8::MAX)
    }
}
