//! Consistency checks within a node's own settings, and between them and the rules.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::check::unknown_name;
use super::node::{default_bodies_max_bytes, default_body_max_bytes};
use super::partial::{PartialNode, PartialRules};
use super::problem::Finding;

/// The members of the node section that are listen addresses.
const LISTENERS: [&str; 4] = ["caller_listen", "target_listen", "peer_listen", "operator_listen"];

/// Every inconsistency in the node section, and between it and the rules.
pub(super) fn check_node(node: &PartialNode<'_>, rules: &PartialRules) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_listeners(node, &mut findings);
    check_seeds(node, &mut findings);
    let body_max = node.number("body_max_bytes").unwrap_or(default_body_max_bytes() as u64);
    let bodies_max = node.number("bodies_max_bytes").unwrap_or(default_bodies_max_bytes() as u64);
    if bodies_max < body_max {
        let accepted = format!("at least body_max_bytes, which is {body_max}");
        findings.push(Finding::new("/node/bodies_max_bytes", bodies_max.to_string(), accepted));
    }
    if let Some(service) = node.text("service").filter(|service| rules.services.lacks(service)) {
        findings.push(unknown_name("/node/service", service, &rules.services.names()));
    }
    findings
}

/// Checks that the listeners do not collide, that the target listener is loopback only, and that
/// other nodes can connect to the peer listener's address.
fn check_listeners(node: &PartialNode<'_>, findings: &mut Vec<Finding>) {
    let mut earlier: Vec<(&str, SocketAddr)> = Vec::new();
    for name in LISTENERS {
        let Some(address) = node.address(name) else {
            continue;
        };
        let pointer = format!("/node/{name}");
        if let Some((other, _)) = earlier.iter().find(|(_, other)| collides(*other, address)) {
            let found = format!("{address}, the address of {other}");
            findings.push(Finding::new(&pointer, found, "a unique address"));
        }
        earlier.push((name, address));
        if name == "target_listen" && !address.ip().is_loopback() {
            let accepted = "a loopback address, as only the node's local target may connect";
            findings.push(Finding::new(&pointer, address.to_string(), accepted));
        }
        if name == "peer_listen" && address.ip().is_unspecified() {
            let accepted = "the IP address that other nodes connect to";
            findings.push(Finding::new(&pointer, address.to_string(), accepted));
        }
    }
}

/// Whether two listeners cannot both be bound. With port 0, the system chooses a free port for each.
fn collides(one: SocketAddr, other: SocketAddr) -> bool {
    let is_any = one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() == other.port() && one.port() != 0 && (is_any || one.ip() == other.ip())
}

/// Checks that seeds are addresses that can be connected to, each named once.
fn check_seeds(node: &PartialNode<'_>, findings: &mut Vec<Finding>) {
    let mut seen = BTreeSet::new();
    for (index, seed) in node.seeds() {
        let pointer = format!("/node/seeds/{index}");
        if seed.port() == 0 || seed.ip().is_unspecified() {
            let accepted = "the IP address and port of another node";
            findings.push(Finding::new(&pointer, seed.to_string(), accepted));
        }
        if !seen.insert(seed) {
            let found = format!("{seed} a second time");
            findings.push(Finding::new(pointer, found, "each address once"));
        }
    }
}
