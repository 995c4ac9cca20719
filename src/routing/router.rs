//! The targets one node knows, and the events that change them.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::arms::ArmPolicies;
use super::cost::Usual;
use super::floor::FloorMemory;
use super::subset::{ACTIVE_TARGETS, Ranked, Ranking, rendezvous_order};
use super::target::{Link, Target};
use crate::call::{ArmId, ClassRank, Level, LoadReport, NodeId, RefusalReason};
use crate::clock::US_PER_MS;
use crate::config::{Rules, ServiceSettings};

/// A target as the membership knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The node beside the target.
    pub node: NodeId,
    /// The service of the target.
    pub service: String,
    /// The failure domain it stands in.
    pub failure_domain: String,
    /// Where its node listens for other nodes.
    pub address: SocketAddr,
    /// How many calls it runs at once.
    pub slots: u32,
    /// Whether it takes no new work for good.
    pub leaving: bool,
    /// When it was first seen, for the slow start.
    pub first_seen_us: u64,
}

/// An attempt that needs a target.
#[derive(Clone, Copy, Debug)]
pub struct Pick<'a> {
    /// The service that is called.
    pub service: &'a str,
    /// The arm of the root.
    pub arm: ArmId,
    /// The class of the root.
    pub class: ClassRank,
    /// Where the call stands in the order of shedding.
    pub level: Level,
    /// Nodes that must not be picked, because earlier attempts of the hop failed there.
    pub avoid: &'a [NodeId],
}

/// How an attempt ended, as far as it tells something about its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered.
    Answered {
        /// Whether the status was below 500.
        healthy: bool,
    },
    /// The receiving node did not run it.
    Refused(RefusalReason),
    /// Nobody can say: no answer came, or the receiving node answered that its target broke off.
    /// It is held against the target in the second case, and in the first where an answer was
    /// overdue.
    Lost,
}

/// What a settled attempt tells about its target.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// The arm of the root.
    pub arm: ArmId,
    /// The class of the root.
    pub class: ClassRank,
    /// The time from sending until the attempt was settled.
    pub latency_us: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// The load that came with the answer.
    pub load: Option<LoadReport>,
}

/// What one arm keeps about one service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceArm {
    /// What its targets usually show.
    pub usual: Usual,
    /// When that was last worked out.
    pub reviewed_us: u64,
    /// Attempts settled since then.
    pub unreviewed: u32,
    /// Where the turns stand.
    pub cursor: usize,
    /// What any of its targets told last.
    pub floors: FloorMemory,
}

/// The targets of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Service {
    /// Its name.
    pub name: String,
    /// How long its targets warm up.
    pub warm_up_us: u64,
    /// All its targets.
    pub ranking: Ranking,
    /// The slots of those this sender uses; none of them is leaving or has lost its connection.
    pub active: Vec<usize>,
    /// What each arm keeps about it.
    pub arms: Vec<ServiceArm>,
}

/// Chooses targets for attempts, and learns from how they end.
///
/// It holds the targets of the services this node calls; it uses at most a bounded number of each
/// service's. A pick looks at these only, so it costs the same however many targets there are.
#[derive(Debug)]
pub struct Router {
    /// The node that sends.
    pub(super) own: NodeId,
    /// The failure domain it stands in.
    pub(super) own_failure_domain: String,
    /// How many targets of one service are used at most.
    pub(super) active_max: usize,
    /// The arms in force.
    pub(super) policies: ArmPolicies,
    /// The classes whose calls are no probes, because they cannot be sent again once they ran.
    pub(super) at_most_once: Vec<ClassRank>,
    /// Warm-up of services by name.
    pub(super) warm_ups_us: HashMap<String, u64>,
    /// The targets; a free place is none.
    pub(super) targets: Vec<Option<Target>>,
    /// The free places among the targets.
    pub(super) free: Vec<usize>,
    /// The place of each node's target.
    pub(super) slots: HashMap<NodeId, usize>,
    /// The node at each address.
    pub(super) addresses: HashMap<SocketAddr, NodeId>,
    /// The services, never taken out.
    pub(super) services: Vec<Service>,
    /// The place of each service.
    pub(super) service_places: HashMap<String, usize>,
    /// Reused by picks.
    pub(super) candidates: Vec<usize>,
}

impl Router {
    /// A router of the node `own`, which stands in `own_failure_domain`, that knows no target yet.
    pub fn new(own: NodeId, own_failure_domain: &str, rules: &Rules) -> Self {
        let mut router = Self {
            own,
            own_failure_domain: own_failure_domain.to_owned(),
            active_max: ACTIVE_TARGETS,
            policies: ArmPolicies::new(rules),
            at_most_once: Vec::new(),
            warm_ups_us: HashMap::new(),
            targets: Vec::new(),
            free: Vec::new(),
            slots: HashMap::new(),
            addresses: HashMap::new(),
            services: Vec::new(),
            service_places: HashMap::new(),
            candidates: Vec::new(),
        };
        router.apply_rules(rules);
        router
    }

    /// Uses at most `active_max` targets of each service from now on.
    pub fn set_active_max(&mut self, active_max: usize) {
        self.active_max = active_max.max(1);
        for place in 0..self.services.len() {
            self.choose_active(place);
        }
    }

    /// Puts new rules in force. What was learnt about targets is kept for arms that stay.
    pub fn apply_rules(&mut self, rules: &Rules) {
        let policies = ArmPolicies::new(rules);
        let places = policies.places_in(&self.policies);
        for target in self.targets.iter_mut().flatten() {
            if target.records.is_empty() {
                continue;
            }
            target.records = rearrange(&target.records, &places);
        }
        self.warm_ups_us.clear();
        for ServiceSettings { name, warm_up_ms, .. } in &rules.services {
            self.warm_ups_us.insert(name.clone(), warm_up_ms * US_PER_MS);
        }
        for service in &mut self.services {
            service.arms = rearrange(&service.arms, &places);
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

    /// Adds a target or takes in what changed about it.
    ///
    /// A target that was leaving stays so, and a lost connection stays lost until [`Self::link_up`]:
    /// a node that comes back does so under a new identity.
    pub fn put(&mut self, _now_us: u64, peer: Peer) {
        let known = self.take_out(peer.node);
        let service = self.service_place(&peer.service);
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
            target.keep(known);
        }
        self.add(target);
        self.choose_active(service);
    }

    /// Forgets a target.
    pub fn remove(&mut self, _now_us: u64, node: NodeId) {
        if let Some(target) = self.take_out(node) {
            self.choose_active(target.service);
        }
    }

    /// Where the node listens.
    pub fn address(&self, node: NodeId) -> Option<SocketAddr> {
        self.target(node).map(|target| target.address)
    }

    /// The node that listens at `address`.
    pub fn node_at(&self, address: SocketAddr) -> Option<NodeId> {
        self.addresses.get(&address).copied()
    }

    /// The connection to the node was lost: nothing is sent there until it is up again.
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

    /// The connection to the node carries calls again. What went wrong on the old connection is
    /// not held against the target, but it gets its share back step by step.
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

    /// Takes in a heartbeat of the node, whose load is over all arms.
    pub fn heartbeat(&mut self, _now_us: u64, node: NodeId, load: &LoadReport) {
        if load.leaving {
            self.set_leaving(node);
        }
    }

    /// The nodes of `service` this sender uses at present.
    pub fn active(&self, service: &str) -> Vec<NodeId> {
        let Some(&place) = self.service_places.get(service) else {
            return Vec::new();
        };
        let mut nodes = Vec::new();
        for &slot in &self.services[place].active {
            nodes.extend(self.targets[slot].as_ref().map(|target| target.node));
        }
        nodes
    }

    /// How many targets are known.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// The target beside `node`.
    pub(super) fn target(&self, node: NodeId) -> Option<&Target> {
        let slot = *self.slots.get(&node)?;
        self.targets[slot].as_ref()
    }

    /// The target beside `node`, to be changed.
    pub(super) fn target_mut(&mut self, node: NodeId) -> Option<&mut Target> {
        let slot = *self.slots.get(&node)?;
        self.targets[slot].as_mut()
    }

    /// Sends nothing more to the node for good.
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

    /// The place of the service called `name`, made where there is none.
    fn service_place(&mut self, name: &str) -> usize {
        if let Some(&place) = self.service_places.get(name) {
            return place;
        }
        let place = self.services.len();
        let mut service = Service { name: name.to_owned(), ..Service::default() };
        service.warm_up_us = self.warm_ups_us.get(name).copied().unwrap_or(0);
        service.arms.resize_with(self.policies.len(), ServiceArm::default);
        self.services.push(service);
        self.service_places.insert(name.to_owned(), place);
        place
    }

    /// Adds a target that is not known.
    fn add(&mut self, target: Target) {
        let slot = self.free.pop().unwrap_or(self.targets.len());
        if slot == self.targets.len() {
            self.targets.push(None);
        }
        let order = rendezvous_order(self.own, target.node);
        self.services[target.service].ranking.insert(target.near, Ranked { order, slot });
        self.slots.insert(target.node, slot);
        self.addresses.insert(target.address, target.node);
        self.targets[slot] = Some(target);
    }

    /// Takes a target out.
    fn take_out(&mut self, node: NodeId) -> Option<Target> {
        let slot = self.slots.remove(&node)?;
        let target = self.targets[slot].take()?;
        self.free.push(slot);
        if self.addresses.get(&target.address) == Some(&node) {
            self.addresses.remove(&target.address);
        }
        let order = rendezvous_order(self.own, node);
        let service = &mut self.services[target.service];
        service.ranking.remove(target.near, Ranked { order, slot });
        service.active.retain(|active| *active != slot);
        Some(target)
    }

    /// Chooses again which targets of a service are used.
    fn choose_active(&mut self, place: usize) {
        let service = &mut self.services[place];
        let targets = &self.targets;
        let usable = |slot: usize| targets[slot].as_ref().is_some_and(Target::usable);
        service.ranking.choose(self.active_max, usable, &mut service.active);
    }
}

/// What is kept for each arm, in the order of the new arms.
fn rearrange<T: Clone + Default>(old: &[T], places: &[Option<usize>]) -> Vec<T> {
    let mut new = Vec::with_capacity(places.len());
    for place in places {
        new.push(place.and_then(|place| old.get(place)).cloned().unwrap_or_default());
    }
    new
}
