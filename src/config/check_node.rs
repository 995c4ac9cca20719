//! Contradictions between a node's own settings, and between them and the rules.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::check::unknown;
use super::draft::{NodeDraft, RulesDraft};
use super::node::{default_bodies_max_bytes, default_body_max_bytes};
use super::problem::Finding;

/// The members of a node's section that it listens on.
const LISTENERS: [&str; 4] = ["caller_listen", "target_listen", "peer_listen", "operator_listen"];

/// Every contradiction in a node's section, and between it and the rules.
pub(super) fn check_node(node: &NodeDraft<'_>, rules: &RulesDraft) -> Vec<Finding> {
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
        findings.push(unknown("/node/service", service, &rules.services.names()));
    }
    findings
}

/// The listeners differ from each other, and each can be reached from where it must be and not
/// from where it must not.
fn check_listeners(node: &NodeDraft<'_>, findings: &mut Vec<Finding>) {
    let mut earlier: Vec<(&str, SocketAddr)> = Vec::new();
    for name in LISTENERS {
        let Some(address) = node.address(name) else {
            continue;
        };
        let pointer = format!("/node/{name}");
        if let Some((other, _)) = earlier.iter().find(|(_, other)| collides(*other, address)) {
            let found = format!("{address}, the address of {other}");
            findings.push(Finding::new(&pointer, found, "an address of its own"));
        }
        earlier.push((name, address));
        if name == "target_listen" && !address.ip().is_loopback() {
            let accepted =
                "an address of the loopback, as only the target beside the node is meant";
            findings.push(Finding::new(&pointer, address.to_string(), accepted));
        }
        if name == "peer_listen" && address.ip().is_unspecified() {
            let accepted = "the IP number that other nodes connect to";
            findings.push(Finding::new(&pointer, address.to_string(), accepted));
        }
    }
}

/// Whether two listeners cannot both be opened. Port 0 stands for any free port.
fn collides(one: SocketAddr, other: SocketAddr) -> bool {
    let is_any = one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() == other.port() && one.port() != 0 && (is_any || one.ip() == other.ip())
}

/// Seeds can be connected to and are named once.
fn check_seeds(node: &NodeDraft<'_>, findings: &mut Vec<Finding>) {
    let mut seen = BTreeSet::new();
    for (index, seed) in node.seeds() {
        let pointer = format!("/node/seeds/{index}");
        if seed.port() == 0 || seed.ip().is_unspecified() {
            let accepted = "the IP number and port of another node";
            findings.push(Finding::new(&pointer, seed.to_string(), accepted));
        }
        if !seen.insert(seed) {
            let found = format!("{seed} a second time");
            findings.push(Finding::new(pointer, found, "each address once"));
        }
    }
}
