//! What a node does about requests that end targets: it tells the others, the log, and whoever keeps what is held
//! back.

use crate::event::LogEvent;

use super::crash::Broken;
use super::fingerprint::Fingerprint;
use super::frame::{Crash, Frame, Suspicion};
use super::node::Node;
use super::quarantine::Standing;
use super::target::Instance;

/// Takes in that the target beside the node has ended with `running`, and tells all other nodes.
pub fn note_crash(node: &Node, instance: &Instance, running: &[Broken]) {
    if node.target.mark_unavailable(&instance.incarnation) {
        node.target_changed("refused_connection");
    }
    let requests = running.iter().map(|broken| broken.fingerprint).collect();
    let crash = node.quarantine.note_crash(requests);
    let (suspects, _) = node.quarantine.counts();
    node.log.emit(&LogEvent::TargetCrashed {
        instance: instance.incarnation.id.clone(),
        service: instance.service.clone(),
        running: crash.requests.len() as u32,
        suspects: suspects as u32,
    });
    if let Some(held) = crash.held {
        let broken = running.iter().find(|broken| broken.fingerprint == held);
        let path = broken.map(|broken| broken.path.clone()).unwrap_or_default();
        report_held(node, held, path, "crash");
    }
    node.callers.tell_all(&Frame::Crash(crash));
}

/// Takes in that a target beside another node has ended.
pub fn take_crash(node: &Node, crash: &Crash) {
    node.quarantine.apply_crash(crash);
    if let Some(held) = crash.held {
        report_held(node, held, String::new(), "peer");
    }
}

/// Takes in what another node knows of requests, or what was written down.
pub fn take_suspicions(node: &Node, suspicions: &[Suspicion], learned_from: &'static str) {
    for suspicion in suspicions {
        if node.quarantine.apply_suspicion(suspicion) {
            report_held(node, suspicion.fingerprint, String::new(), learned_from);
        }
    }
}

/// Takes in that a request has succeeded on the target beside the node.
pub fn note_success(node: &Node, fingerprint: Fingerprint) {
    let cleared = node.quarantine.clear(fingerprint);
    if cleared.was_suspect {
        node.callers.tell_all(&Frame::Cleared(fingerprint));
    }
    if cleared.was_held {
        node.quarantine.save(fingerprint);
        let fingerprint = fingerprint.to_string();
        node.log.emit(&LogEvent::RequestReleased { fingerprint });
    }
}

fn report_held(node: &Node, fingerprint: Fingerprint, path: String, learned_from: &'static str) {
    let Standing::Held(left) = node.quarantine.standing(fingerprint) else { return };
    node.log.emit(&LogEvent::RequestHeld {
        fingerprint: fingerprint.to_string(),
        path,
        hold_s: left.as_secs_f64().ceil() as u64,
        learned_from,
    });
}
