//! The targets known to one node, and the events that change them.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::arms::ArmPolicies;
use super::cost::Baseline;
use super::floor::FloorReports;
use super::subset::{ACTIVE_TARGETS, Ranked, Ranking, rendezvous_order};
use super::target::{Link, Target};
use crate::call::{ArmId, ClassRank, Level, LoadReport, NodeId, RefusalReason};
use crate::clock::US_PER_MS;
use crate::config::{Rules, ServiceSettings};

/// A target as the membership describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The target's node.
    pub node: NodeId,
    /// The target's service.
    pub service: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// The address at which its node listens for other nodes.
    pub address: SocketAddr,
    /// How many calls it can run at the same time.
    pub slots: u32,
    /// Whether it is draining: it accepts no new calls, permanently.
    pub leaving: bool,
    /// When it was first seen, for the slow start.
    pub first_seen_us: u64,
}

/// An attempt that needs a target.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// The service that is called.
    pub service: &'a str,
    /// The arm of the root.
    pub arm: ArmId,
    /// The class of the root.
    pub class: ClassRank,
    /// The call's priority: lower levels are shed first.
    pub level: Level,
    /// Nodes that must not be picked, because earlier attempts of the hop failed there.
    pub avoid: &'a [NodeId],
}

/// The outcome of an attempt, as far as it concerns the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered.
    Answered {
        /// Whether the status was below 500.
        healthy: bool,
    },
    /// The receiving node did not run it.
    Refused(RefusalReason),
    /// It is unknown whether the target ran it: no answer came, or the receiving node reported that
    /// its target broke off. The latter counts as a failure of the target, and a missing answer
    /// does if it was overdue.
    Lost,
}

/// The result of a settled attempt.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// The arm of the root.
    pub arm: ArmId,
    /// The class of the root.
    pub class: ClassRank,
    /// The time from sending until the attempt was settled.
    pub latency_us: u64,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The load that came with the answer, if there was an answer.
    pub load: Option<LoadReport>,
}

/// The state of one service in one arm.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceArm {
    /// The baseline of its targets.
    pub baseline: Baseline,
    /// When the baseline was last computed.
    pub reviewed_us: u64,
    /// Attempts settled since then.
    pub settled_since_review: u32,
    /// The counter that selects the next target in turn.
    pub cursor: usize,
    /// The floors last reported by any of its targets.
    pub floors: FloorReports,
}

/// The targets of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Service {
    pub name: String,
    /// How long its targets warm up.
    pub warm_up_us: u64,
    /// All its targets, ranked.
    pub ranking: Ranking,
    /// The indexes of the targets that this sender uses; none of them is leaving or has lost its
    /// connection.
    pub active: Vec<usize>,
    /// The state in each arm.
    pub arms: Vec<ServiceArm>,
}

/// Chooses targets for attempts, and keeps statistics of the outcomes.
///
/// It holds the targets of the services that this node calls, and uses at most a bounded number of
/// targets for each service. A pick considers only these, so its cost does not depend on the number
/// of known targets.
#[derive(Debug)]
pub struct Router {
    /// The sending node.
    pub(super) own: NodeId,
    /// Its failure domain.
    pub(super) own_failure_domain: String,
    /// The maximum number of targets used for one service.
    pub(super) active_max: usize,
    /// The arms in force.
    pub(super) policies: ArmPolicies,
    /// The classes whose calls are used as probes only if a probe is overdue, because they must not
    /// be retried once they ran.
    pub(super) at_most_once: Vec<ClassRank>,
    /// Warm-up times of services, by name.
    pub(super) warm_ups_us: HashMap<String, u64>,
    /// The targets; `None` for a free entry.
    pub(super) targets: Vec<Option<Target>>,
    /// The indexes of the free entries.
    pub(super) free_indexes: Vec<usize>,
    /// The index of each node's target.
    pub(super) index_by_node: HashMap<NodeId, usize>,
    /// The node that listens at each address.
    pub(super) node_by_address: HashMap<SocketAddr, NodeId>,
    /// The services; never removed.
    pub(super) services: Vec<Service>,
    /// The index of each service, by name.
    pub(super) service_indexes: HashMap<String, usize>,
    /// A buffer reused by picks.
    pub(super) candidates: Vec<usize>,
}

impl Router {
    /// Creates the router of the node `own` in `own_failure_domain`, without any targets.
    pub fn new(own: NodeId, own_failure_domain: &str, rules: &Rules) -> Self {
        let mut router = Self {
            own,
            own_failure_domain: own_failure_domain.to_owned(),
            active_max: ACTIVE_TARGETS,
            policies: ArmPolicies::new(rules),
            at_most_once: Vec::new(),
            warm_ups_us: HashMap::new(),
            targets: Vec::new(),
            free_indexes: Vec::new(),
            index_by_node: HashMap::new(),
            node_by_address: HashMap::new(),
            services: Vec::new(),
            service_indexes: HashMap::new(),
            candidates: Vec::new(),
        };
        router.apply_rules(rules);
        router
    }

    /// Sets the maximum number of targets used for each service.
    pub fn set_active_max(&mut self, active_max: usize) {
        self.active_max = active_max.max(1);
        for service_index in 0..self.services.len() {
            self.choose_active(service_index);
        }
    }

    /// Applies new rules. Statistics of targets are kept for arms that stay.
    pub fn apply_rules(&mut self, rules: &Rules) {
        let policies = ArmPolicies::new(rules);
        let positions = policies.positions_in(&self.policies);
        for target in self.targets.iter_mut().flatten() {
            if target.records.is_empty() {
                continue;
            }
            target.records = remap(&target.records, &positions);
        }
        self.warm_ups_us.clear();
        for ServiceSettings { name, warm_up_ms, .. } in &rules.services {
            self.warm_ups_us.insert(name.clone(), warm_up_ms * US_PER_MS);
        }
        for service in &mut self.services {
            service.arms = remap(&service.arms, &positions);
            service.warm_up_us = self.warm_ups_us.get(&service.name).copied().unwrap_or(0);
        }
        self.at_most_once.clear();
        for class in &rules.classes {
            if class.at_most_once {
                self.at_most_once.push(ClassRank(class.rank));
            }
        }
        self.policies = policies;
    }

    /// Adds or updates a target.
    ///
    /// A target that was leaving stays so, and a lost connection stays lost until
    /// [`Self::link_up`]: a node that returns does so under a new identity.
    pub fn put(&mut self, _now_us: u64, peer: Peer) {
        let known = self.detach(peer.node);
        let service = self.service_index(&peer.service);
        let mut target = Target {
            node: peer.node,
            service,
            near: peer.failure_domain == self.own_failure_domain,
            address: peer.address,
            slots: peer.slots.max(1),
            leaving: peer.leaving,
            first_seen_us: peer.first_seen_us,
            link: Link::Up,
            records: Vec::new(),
        };
        if let Some(known) = known {
            self.choose_active(known.service);
            target.inherit(known);
        }
        self.add(target);
        self.choose_active(service);
    }

    /// Removes a target.
    pub fn remove(&mut self, _now_us: u64, node: NodeId) {
        if let Some(target) = self.detach(node) {
            self.choose_active(target.service);
        }
    }

    /// The address at which the node listens.
    pub fn address(&self, node: NodeId) -> Option<SocketAddr> {
        self.target(node).map(|target| target.address)
    }

    /// The node that listens at `address`.
    pub fn node_at(&self, address: SocketAddr) -> Option<NodeId> {
        self.node_by_address.get(&address).copied()
    }

    /// Records that the connection to the node was lost: nothing is sent there until it is up
    /// again.
    pub fn link_lost(&mut self, now_us: u64, node: NodeId) {
        let Some(target) = self.target_mut(node) else {
            return;
        };
        if target.link != Link::Up {
            return;
        }
        target.link = Link::Lost { since_us: now_us };
        let service = target.service;
        self.choose_active(service);
    }

    /// Records that the connection to the node is up again. Failures on the old connection do not
    /// count against the target, but its share grows back gradually.
    pub fn link_up(&mut self, now_us: u64, node: NodeId) {
        let Some(target) = self.target_mut(node) else {
            return;
        };
        if target.link == Link::Up {
            return;
        }
        target.link = Link::Up;
        for record in &mut target.records {
            super::health::readmit(record, now_us);
        }
        let service = target.service;
        self.choose_active(service);
    }

    /// Records a heartbeat of the node. Its load covers all arms, so only `leaving` is used.
    pub fn heartbeat(&mut self, _now_us: u64, node: NodeId, load: &LoadReport) {
        if load.leaving {
            self.set_leaving(node);
        }
    }

    /// The nodes of `service` that this sender currently uses.
    pub fn active(&self, service: &str) -> Vec<NodeId> {
        let Some(&service_index) = self.service_indexes.get(service) else {
            return Vec::new();
        };
        let mut nodes = Vec::new();
        for &target_index in &self.services[service_index].active {
            nodes.extend(self.targets[target_index].as_ref().map(|target| target.node));
        }
        nodes
    }

    /// The number of known targets.
    pub fn len(&self) -> usize {
        self.index_by_node.len()
    }

    /// Whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.index_by_node.is_empty()
    }

    /// The target of `node`.
    pub(super) fn target(&self, node: NodeId) -> Option<&Target> {
        let target_index = *self.index_by_node.get(&node)?;
        self.targets[target_index].as_ref()
    }

    /// The target of `node`, mutable.
    pub(super) fn target_mut(&mut self, node: NodeId) -> Option<&mut Target> {
        let target_index = *self.index_by_node.get(&node)?;
        self.targets[target_index].as_mut()
    }

    /// Marks the node as leaving: nothing more is sent to it, permanently.
    pub(super) fn set_leaving(&mut self, node: NodeId) {
        let Some(target) = self.target_mut(node) else {
            return;
        };
        if target.leaving {
            return;
        }
        target.leaving = true;
        let service = target.service;
        self.choose_active(service);
    }

    /// The index of the service called `name`, added if there is none.
    fn service_index(&mut self, name: &str) -> usize {
        if let Some(&index) = self.service_indexes.get(name) {
            return index;
        }
        let index = self.services.len();
        let mut service = Service { name: name.to_owned(), ..Service::default() };
        service.warm_up_us = self.warm_ups_us.get(name).copied().unwrap_or(0);
        service.arms.resize_with(self.policies.len(), ServiceArm::default);
        self.services.push(service);
        self.service_indexes.insert(name.to_owned(), index);
        index
    }

    /// Adds a target that is not known yet.
    fn add(&mut self, target: Target) {
        let target_index = self.free_indexes.pop().unwrap_or(self.targets.len());
        if target_index == self.targets.len() {
            self.targets.push(None);
        }
        let order = rendezvous_order(self.own, target.node);
        self.services[target.service].ranking.insert(target.near, Ranked { order, target_index });
        self.index_by_node.insert(target.node, target_index);
        self.node_by_address.insert(target.address, target.node);
        self.targets[target_index] = Some(target);
    }

    /// Removes a target and returns it.
    fn detach(&mut self, node: NodeId) -> Option<Target> {
        let target_index = self.index_by_node.remove(&node)?;
        let target = self.targets[target_index].take()?;
        self.free_indexes.push(target_index);
        if self.node_by_address.get(&target.address) == Some(&node) {
            self.node_by_address.remove(&target.address);
        }
        let order = rendezvous_order(self.own, node);
        let service = &mut self.services[target.service];
        service.ranking.remove(target.near, Ranked { order, target_index });
        service.active.retain(|active| *active != target_index);
        Some(target)
    }

    /// Recomputes which targets of a service are used.
    fn choose_active(&mut self, service_index: usize) {
        let service = &mut self.services[service_index];
        let targets = &self.targets;
        let is_usable =
            |target_index: usize| targets[target_index].as_ref().is_some_and(Target::is_usable);
        service.ranking.choose(self.active_max, is_usable, &mut service.active);
    }
}

/// Returns the per-arm state `old` in the order of the new arms, of which `positions` holds the
/// positions in `old`; an arm without one gets the default state.
fn remap<T: Clone + Default>(old: &[T], positions: &[Option<usize>]) -> Vec<T> {
    let mut new = Vec::with_capacity(positions.len());
    for position in positions {
        new.push(position.and_then(|position| old.get(position)).cloned().unwrap_or_default());
    }
    new
}
