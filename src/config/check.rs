//! Consistency checks between rules that are each well formed.

use std::collections::{BTreeMap, BTreeSet};

use super::lookup::has_path_prefix;
use super::partial::{PartialList, PartialRules};
use super::problem::Finding;
use super::{ClassSettings, RetryRule, RouteSettings, ServiceSettings};

/// How far the sum of the arms' shares may differ from 1, because of floating-point rounding.
const SHARE_TOLERANCE: f64 = 1e-6;

/// Every inconsistency in the rules. Pointers are relative to the rules.
pub(super) fn check_rules(rules: &PartialRules) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_classes(rules, &mut findings);
    check_routes(rules, &mut findings);
    check_services(rules, &mut findings);
    check_calls(&rules.services, &mut findings);
    check_arms(rules, &mut findings);
    check_arm_slots(rules, &mut findings);
    check_policies(rules, &mut findings);
    findings
}

/// Checks that names and ranks are unique, that default deadlines are not above the maximum, that
/// each class has a route, and that the reserved shares leave room for the lowest class.
fn check_classes(rules: &PartialRules, findings: &mut Vec<Finding>) {
    let classes = &rules.classes;
    let names = classes.items.iter().map(|(index, class)| (*index, class.name.clone()));
    check_unique("/classes", "name", names, findings);
    let ranks = classes.items.iter().map(|(index, class)| (*index, class.rank.to_string()));
    check_unique("/classes", "rank", ranks, findings);
    for (index, class) in &classes.items {
        if class.deadline_ms > class.deadline_max_ms {
            findings.push(Finding::new(
                format!("/classes/{index}/deadline_ms"),
                class.deadline_ms.to_string(),
                format!("at most deadline_max_ms, which is {}", class.deadline_max_ms),
            ));
        }
        let is_assigned = rules.routes.items.iter().any(|(_, route)| route.class == class.name);
        if rules.routes.is_complete && !is_assigned {
            let accepted = "a class that at least one route assigns";
            let found = format!("\"{}\", which no route assigns", class.name);
            findings.push(Finding::new(format!("/classes/{index}/name"), found, accepted));
        }
    }
    check_reserved_shares(&classes.items, findings);
}

/// Checks that the reserved shares of the other classes leave room for the lowest class.
fn check_reserved_shares(classes: &[(usize, ClassSettings)], findings: &mut Vec<Finding>) {
    let Some(lowest) = classes.iter().map(|(_, class)| class.rank).min() else {
        return;
    };
    let mut sum = 0.0;
    for (index, class) in classes {
        if class.rank == lowest || class.reserved_share <= 0.0 {
            continue;
        }
        sum += class.reserved_share;
        if sum >= 1.0 {
            let found = format!("{}, which brings the sum to {sum}", class.reserved_share);
            let accepted = "shares that add up to less than 1, so that the lowest class can run";
            findings.push(Finding::new(
                format!("/classes/{index}/reserved_share"),
                found,
                accepted,
            ));
            return;
        }
    }
}

/// Checks that routes name known services and classes, and that no route is shadowed by an earlier
/// one.
fn check_routes(rules: &PartialRules, findings: &mut Vec<Finding>) {
    for (index, route) in &rules.routes.items {
        if rules.services.lacks(&route.service) {
            let pointer = format!("/routes/{index}/service");
            findings.push(unknown_name(&pointer, &route.service, &rules.services.names()));
        }
        if rules.classes.lacks(&route.class) {
            let pointer = format!("/routes/{index}/class");
            findings.push(unknown_name(&pointer, &route.class, &rules.classes.names()));
        }
        let mut earlier = rules.routes.items.iter().take_while(|(earlier, _)| earlier < index);
        if let Some((by, _)) = earlier.find(|(_, earlier)| covers(earlier, route)) {
            let found = format!("a route that can never apply, because route {by} matches first");
            let accepted = "more specific routes before more general ones";
            findings.push(Finding::new(format!("/routes/{index}"), found, accepted));
        }
    }
}

/// Whether every call that matches `narrow` also matches `wide`.
fn covers(wide: &RouteSettings, narrow: &RouteSettings) -> bool {
    wide.service == narrow.service
        && (wide.method.is_none() || wide.method == narrow.method)
        && has_path_prefix(&narrow.path_prefix, &wide.path_prefix)
}

/// Checks that names are unique, that each service has a route, and that it has at least as many
/// connections as slots.
fn check_services(rules: &PartialRules, findings: &mut Vec<Finding>) {
    let services = &rules.services;
    let names = services.items.iter().map(|(index, service)| (*index, service.name.clone()));
    check_unique("/services", "name", names, findings);
    for (index, service) in &services.items {
        let is_routed = rules.routes.items.iter().any(|(_, route)| route.service == service.name);
        if rules.routes.is_complete && !is_routed {
            let found = format!("\"{}\", which no route names", service.name);
            let accepted = "a service with at least one route, which assigns its calls a class";
            findings.push(Finding::new(format!("/services/{index}/name"), found, accepted));
        }
        if service.connections < service.slots {
            findings.push(Finding::new(
                format!("/services/{index}/connections"),
                service.connections.to_string(),
                format!("at least slots, which is {}", service.slots),
            ));
        }
    }
}

/// Checks that services call known services, each named once, and that the call graph has no
/// cycles.
fn check_calls(services: &PartialList<ServiceSettings>, findings: &mut Vec<Finding>) {
    let mut calls: BTreeMap<&str, &[String]> = BTreeMap::new();
    for (index, service) in &services.items {
        calls.insert(&service.name, &service.calls);
        let mut seen = BTreeSet::new();
        for (place, callee) in service.calls.iter().enumerate() {
            let pointer = format!("/services/{index}/calls/{place}");
            if services.lacks(callee) {
                findings.push(unknown_name(&pointer, callee, &services.names()));
            }
            if !seen.insert(callee) {
                let found = format!("\"{callee}\" a second time");
                findings.push(Finding::new(pointer, found, "each service once"));
            }
        }
    }
    for (index, service) in &services.items {
        if let Some(cycle) = shortest_cycle(&service.name, &calls) {
            let found = format!("the cycle {}", cycle.join(" -> "));
            let accepted = "services that never call themselves, directly or through others";
            findings.push(Finding::new(format!("/services/{index}/calls"), found, accepted));
        }
    }
}

/// The shortest chain of calls from `start` back to itself, if any (breadth-first search).
fn shortest_cycle<'a>(
    start: &'a str,
    calls: &BTreeMap<&'a str, &'a [String]>,
) -> Option<Vec<&'a str>> {
    let mut paths = vec![vec![start]];
    let mut seen = BTreeSet::new();
    let mut next = 0;
    while next < paths.len() {
        let path = paths[next].clone();
        next += 1;
        let callees = path.last().and_then(|name| calls.get(name)).copied().unwrap_or_default();
        for callee in callees {
            let mut longer = path.clone();
            longer.push(callee);
            if callee == start {
                return Some(longer);
            }
            if seen.insert(callee) {
                paths.push(longer);
            }
        }
    }
    None
}

/// Checks that ids and names are unique, that policies are known, and that the shares add up to 1.
fn check_arms(rules: &PartialRules, findings: &mut Vec<Finding>) {
    let arms = &rules.arms;
    let ids = arms.items.iter().map(|(index, arm)| (*index, arm.id.to_string()));
    check_unique("/arms", "id", ids, findings);
    let names = arms.items.iter().map(|(index, arm)| (*index, arm.name.clone()));
    check_unique("/arms", "name", names, findings);
    for (index, arm) in &arms.items {
        if rules.policies.lacks(&arm.policy) {
            let pointer = format!("/arms/{index}/policy");
            findings.push(unknown_name(&pointer, &arm.policy, &rules.policies.names()));
        }
    }
    let sum: f64 = arms.items.iter().map(|(_, arm)| arm.share).sum();
    let is_one = (sum - 1.0).abs() <= SHARE_TOLERANCE;
    if arms.is_complete && !arms.items.is_empty() && !is_one {
        let shares: Vec<String> =
            arms.items.iter().map(|(_, arm)| format!("{} {}", arm.name, arm.share)).collect();
        let found = format!("shares that add up to {sum} ({})", shares.join(", "));
        findings.push(Finding::new("/arms", found, "shares that add up to 1"));
    }
}

/// Checks that every arm with a non-zero share has at least one slot of each target.
fn check_arm_slots(rules: &PartialRules, findings: &mut Vec<Finding>) {
    let services = rules.services.items.iter().map(|(_, service)| service);
    let Some(smallest) = services.filter(|each| each.slots > 0).min_by_key(|each| each.slots)
    else {
        return;
    };
    for (index, arm) in &rules.arms.items {
        let slots = arm.share * f64::from(smallest.slots);
        if arm.share > 0.0 && slots < 1.0 - SHARE_TOLERANCE {
            let found = format!(
                "{}, which is {slots} of the {} slots of a target of {}",
                arm.share, smallest.slots, smallest.name
            );
            let accepted = "0, or a share of at least one slot of each target";
            findings.push(Finding::new(format!("/arms/{index}/share"), found, accepted));
        }
    }
}

/// Checks that names are unique, and that the minimum backoff is not above the maximum.
fn check_policies(rules: &PartialRules, findings: &mut Vec<Finding>) {
    let policies = &rules.policies;
    let names = policies.items.iter().map(|(index, policy)| (*index, policy.name.clone()));
    check_unique("/policies", "name", names, findings);
    for (index, policy) in &policies.items {
        let RetryRule::Bounded { backoff_ms, backoff_max_ms, .. } = policy.retry else {
            continue;
        };
        if backoff_ms > backoff_max_ms {
            let pointer = format!("/policies/{index}/retry/backoff_ms");
            let accepted = format!("at most backoff_max_ms, which is {backoff_max_ms}");
            findings.push(Finding::new(pointer, backoff_ms.to_string(), accepted));
        }
    }
}

/// Reports each value that an earlier item of the list also has.
fn check_unique(
    list: &str,
    member: &str,
    values: impl Iterator<Item = (usize, String)>,
    findings: &mut Vec<Finding>,
) {
    let mut seen = BTreeMap::new();
    for (index, value) in values {
        if let Some(first) = seen.get(&value) {
            let found = format!("\"{value}\", which item {first} also has");
            let accepted = format!("a unique {member}");
            findings.push(Finding::new(format!("{list}/{index}/{member}"), found, accepted));
            continue;
        }
        seen.insert(value, index);
    }
}

/// A reference to a name that is not among the `known` ones.
pub(super) fn unknown_name(pointer: &str, name: &str, known: &[&str]) -> Finding {
    let accepted = format!("one of {}", known.join(", "));
    Finding::new(pointer, format!("\"{name}\""), accepted)
}
