//! Handles requests that crash targets: updates the quarantine, informs the other nodes, and logs
//! and persists changes.

use crate::event::LogEvent;

use super::crash::InterruptedRequest;
use super::fingerprint::Fingerprint;
use super::frame::{Crash, Frame, Suspicion};
use super::node::Node;
use super::quarantine::Standing;
use super::target::Instance;

/// Records that the local target crashed while running `running`, and informs all other nodes.
pub fn record_crash(node: &Node, instance: &Instance, running: &[InterruptedRequest]) {
    if node.target.mark_unavailable(&instance.incarnation) {
        node.target_changed("refused_connection");
    }
    let requests = running.iter().map(|request| request.fingerprint).collect();
    let crash = node.quarantine.record_crash(requests);
    let (suspects, _) = node.quarantine.counts();
    node.log.emit(&LogEvent::TargetCrashed {
        instance: instance.incarnation.id.clone(),
        service: instance.service.clone(),
        running: crash.requests.len() as u32,
        suspects: suspects as u32,
    });
    if let Some(cause) = crash.held {
        let request = running.iter().find(|request| request.fingerprint == cause);
        let path = request.map(|request| request.path.clone()).unwrap_or_default();
        log_quarantined(node, cause, path, "crash");
    }
    node.inbound.broadcast(&Frame::Crash(crash));
}

/// Records that the target of another node crashed.
pub fn receive_crash(node: &Node, crash: &Crash) {
    node.quarantine.apply_crash(crash);
    if let Some(cause) = crash.held {
        log_quarantined(node, cause, String::new(), "peer");
    }
}

/// Merges the suspects known to another node or the store.
pub fn receive_suspicions(node: &Node, suspicions: &[Suspicion], learned_from: &'static str) {
    for suspicion in suspicions {
        if node.quarantine.apply_suspicion(suspicion) {
            log_quarantined(node, suspicion.fingerprint, String::new(), learned_from);
        }
    }
}

/// Records that a request succeeded on the local target.
pub fn record_success(node: &Node, fingerprint: Fingerprint) {
    let cleared = node.quarantine.clear(fingerprint);
    if cleared.was_suspect {
        node.inbound.broadcast(&Frame::Cleared(fingerprint));
    }
    if cleared.was_quarantined {
        node.quarantine.save(fingerprint);
        let fingerprint = fingerprint.to_string();
        node.log.emit(&LogEvent::RequestReleased { fingerprint });
    }
}

fn log_quarantined(
    node: &Node,
    fingerprint: Fingerprint,
    path: String,
    learned_from: &'static str,
) {
    let Standing::Quarantined(left) = node.quarantine.standing(fingerprint) else { return };
    node.log.emit(&LogEvent::RequestHeld {
        fingerprint: fingerprint.to_string(),
        path,
        hold_s: left.as_secs_f64().ceil() as u64,
        learned_from,
    });
}
