//! Exchanges the limit of the local target with the other nodes, and logs its changes.

use std::time::Duration;

use crate::event::LogEvent;

use super::frame::{Frame, TargetLimit};
use super::incarnation::Incarnation;
use super::link::Link;
use super::node::Node;

/// Logs that an incarnation of the local target has changed its limit or begun to leave, and reports
/// the limit of the current one to the peers.
pub fn signal_changed(node: &Node, incarnation: &Incarnation, learned_from: &'static str) {
    let limit = node.target.limit_of(incarnation);
    node.log.emit(&LogEvent::TargetSignalled {
        instance: incarnation.id.clone(),
        limit_per_s: limit.map(|per_s| per_s.to_string()).unwrap_or_default(),
        leaving: node.target.has_left(incarnation),
        learned_from,
    });
    if let Some(limit) = current(node) {
        node.inbound.report_limit(limit);
    }
}

/// The limit of the current incarnation, as sent to peers; `None` if it has not answered yet.
pub fn current(node: &Node) -> Option<TargetLimit> {
    let limit = node.target.limit()?;
    let load = node.target.gate.demand();
    let age_ms = limit.age().as_millis() as u32;
    Some(TargetLimit { incarnation: limit.incarnation, per_s: limit.per_s, age_ms, load })
}

/// Reports the demand on the limit of the local target to the peers, if a report is due. `targets`
/// is the number of targets of the service.
pub fn send_due(node: &Node, targets: usize) {
    if !node.target.gate.pacer.is_limited() {
        return;
    }
    let Some(limit) = current(node) else { return };
    if node.inbound.is_limit_due(limit.load, targets) {
        node.inbound.report_limit(limit);
    }
}

/// Applies a limit that a peer was told before it lost its link to this node, or corrects the peer
/// if it is outdated.
pub fn restore(node: &Node, link: &Link, limit: &TargetLimit) {
    let Some(per_s) = limit.per_s else { return };
    let age = Duration::from_millis(limit.age_ms.into());
    if node.target.restore_limit(&limit.incarnation, per_s, age) {
        signal_changed(node, &limit.incarnation, "peer");
    } else if let Some(current) = current(node) {
        link.send(&Frame::Limit(current));
    }
}
