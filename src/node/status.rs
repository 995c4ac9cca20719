//! The node's state as shown to operators.

use serde::Serialize;

use crate::call::{ArmId, ClassRank, LoadReport};
use crate::config::Rules;
use crate::configuration::Accepted;
use crate::routing::PeerView;

use super::Node;

/// A snapshot of one node's state.
#[derive(Clone, Debug, Serialize)]
pub struct NodeStatus {
    /// The node's name.
    pub name: String,
    /// The id of the node's process.
    pub node: String,
    /// The service its target belongs to.
    pub service: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Whether it serves calls: it has its configuration and a target.
    pub ready: bool,
    /// Whether it is leaving and accepts no new calls.
    pub leaving: bool,
    /// The target's base URL, while it is announced.
    pub target_url: Option<String>,
    /// The version of the configuration in force; 0 for the settings the node was started with.
    pub config_version: u64,
    /// How many other members it knows.
    pub members: usize,
    /// Requests it is forwarding.
    pub hops: usize,
    /// Attempts it has received and not yet finished.
    pub inbound: usize,
    /// Idempotency keys in its ledger.
    pub keys: usize,
    /// Roots with an open retry allowance.
    pub allowances: usize,
    /// Limits and floors, by arm.
    pub arms: Vec<ArmStatus>,
    /// The nodes it can send calls to.
    pub peers: Vec<PeerView>,
}

/// The state of one policy arm.
#[derive(Clone, Debug, Serialize)]
pub struct ArmStatus {
    /// The arm's name.
    pub arm: String,
    /// Its load, with the floor of the lowest class.
    pub load: LoadReport,
}

impl Node {
    /// Calls that are running, queued or being forwarded.
    pub fn in_flight(&self) -> u64 {
        (self.hops.len() + self.inbound.len()) as u64
    }

    /// The rules in force.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// The version of the configuration in force; 0 for the settings the node was started with.
    pub fn config_version(&self) -> u64 {
        self.cluster.version()
    }

    /// The configuration in force; none for the settings the node was started with.
    pub fn accepted(&self) -> Option<&Accepted> {
        self.cluster.accepted()
    }

    /// The load of every arm, with the floor of the lowest class.
    pub fn loads(&self, now_us: u64) -> Vec<(ArmId, LoadReport)> {
        let lowest = self.rules.classes.iter().map(|class| class.rank).min().unwrap_or(0);
        let mut loads = Vec::new();
        for arm in &self.rules.arms {
            let id = ArmId(arm.id);
            loads.push((id, self.admission.load(now_us, id, ClassRank(lowest))));
        }
        loads
    }

    /// Returns a snapshot of the node's state.
    pub fn status(&self, now_us: u64) -> NodeStatus {
        let own = &self.settings.node;
        NodeStatus {
            name: own.name.clone(),
            node: self.identity.id.to_string(),
            service: own.service.clone(),
            failure_domain: own.failure_domain.clone(),
            ready: self.cluster.is_ready() && self.target.is_some(),
            leaving: self.stop_after_us.is_some(),
            target_url: self.target.as_ref().map(|known| known.announcement.url.clone()),
            config_version: self.cluster.version(),
            members: self.cluster.member_count(),
            hops: self.hops.len(),
            inbound: self.inbound.len(),
            keys: self.ledger.len(),
            allowances: self.allowances.len(),
            arms: self.arm_statuses(now_us),
            peers: self.router.view(now_us),
        }
    }

    /// The state of every arm.
    fn arm_statuses(&self, now_us: u64) -> Vec<ArmStatus> {
        let mut statuses = Vec::new();
        for (id, load) in self.loads(now_us) {
            let name = self.rules.arm(id).map_or("", |arm| &arm.name);
            statuses.push(ArmStatus { arm: name.to_owned(), load });
        }
        statuses
    }
}
