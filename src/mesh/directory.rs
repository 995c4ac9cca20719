//! Keeps the state of the other nodes (peers), and picks the destination of each call.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::completion::TargetOffers;
use super::condition::PeerCondition;
use super::failure_share::{FailureShare, capacity_weight};
use super::frame::{Condition, Hello, Load, Neighbour, Status, TeamUse};
use super::link::Link;
use super::overload::ServiceView;
use super::peer_limit::PeerLimit;
use super::placing::{self, Choice, Reference, References, Snapshot};
use super::returns::ServiceCapacity;
use super::teams::quota::Fleet;
use super::teams::share::{self, ServiceUse};
use super::teams::use_report::PeerTeamUse;

/// Utilisation up to which a target in the same failure domain is preferred. Traffic between
/// failure domains is expensive, but queueing costs more.
const SAME_DOMAIN_UTILISATION_MAX: f64 = 0.95;
/// Cost of being in another failure domain, in units of utilisation.
const CROSS_DOMAIN_COST: f64 = 0.35;
/// Factor on the utilisation of a target that has just started.
const COLD_FACTOR: f64 = 2.0;
/// Cost, in units of utilisation, of a node that is being avoided, or that has been silent for
/// `SUSPECT_AFTER` with pending calls.
const SUSPECT_COST: f64 = 3.0;
/// Cost, in units of utilisation, of a target whose limit is used up.
pub const LIMITED_COST: f64 = 3.0;
/// Silence on a link with pending calls after which other nodes are preferred.
const SUSPECT_AFTER: Duration = Duration::from_millis(900);
/// Random spread added to costs, so that senders don't all pick the same target.
const COST_JITTER: f64 = 0.06;
/// How long a node that was never reached counts as part of the fleet: membership rows of departed
/// nodes are not removed.
const UNREACHED_RETENTION: Duration = Duration::from_secs(5);
/// Silence after which the node of a rejecting target is asked for a sign of life. Well below the
/// 3 s for which its condition holds, as idle links are otherwise pinged only after 5 s.
const CONFIRM_AFTER: Duration = Duration::from_secs(1);
/// Minimum time for which a target is avoided after it failed a call.
const AVOID_AFTER_FAILURE: Duration = Duration::from_millis(400);

/// Another node.
#[derive(Debug)]
pub struct Peer {
    /// The address on which it accepts links from other nodes.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: RefCell<String>,
    /// The link over which calls are sent.
    pub link: RefCell<Option<Rc<Link>>>,
    /// Its last reported status.
    pub status: RefCell<Status>,
    /// Calls that wait for its answer.
    pub in_flight: Cell<u32>,
    in_flight_at_update: Cell<u32>,
    avoided_until: Cell<Option<Instant>>,
    /// Notified when it has connected to this node, to wake the task that tries to reach it.
    pub hello_received: Notify,
    /// Recent share of failures among its answers.
    pub failing: FailureShare,
    /// The limit that its target has named.
    pub limit: PeerLimit,
    /// The condition of its target.
    pub condition: PeerCondition,
    /// How the teams use its target.
    pub team_use: PeerTeamUse,
    /// Whether it was ever linked with this node.
    pub was_linked: Cell<bool>,
    /// When this node first learned of it.
    discovered_at: Instant,
}

impl Peer {
    fn new(address: SocketAddr, failure_domain: &str) -> Self {
        Self {
            address,
            failure_domain: RefCell::new(failure_domain.to_owned()),
            link: RefCell::default(),
            status: RefCell::default(),
            in_flight: Cell::default(),
            in_flight_at_update: Cell::default(),
            avoided_until: Cell::default(),
            hello_received: Notify::new(),
            failing: FailureShare::default(),
            limit: PeerLimit::default(),
            condition: PeerCondition::default(),
            team_use: PeerTeamUse::default(),
            was_linked: Cell::default(),
            discovered_at: Instant::now(),
        }
    }

    /// The link over which calls are sent, if it is open.
    pub fn open_link(&self) -> Option<Rc<Link>> {
        self.link.borrow().as_ref().filter(|link| link.is_open()).cloned()
    }

    /// Updates the load of its target.
    pub fn update_load(&self, load: Load) {
        self.status.borrow_mut().load = load;
        self.in_flight_at_update.set(self.in_flight.get());
    }

    /// Updates its status.
    pub fn update_status(&self, status: Status) {
        let load = status.load;
        if self.status.borrow().incarnation != status.incarnation {
            self.failing.reset();
            self.limit.release();
            self.condition.clear();
            self.team_use.clear();
        }
        *self.status.borrow_mut() = status;
        self.update_load(load);
    }

    /// Avoids the node for `AVOID_AFTER_FAILURE`.
    pub fn avoid(&self) {
        self.avoided_until.set(Some(Instant::now() + AVOID_AFTER_FAILURE));
    }

    /// The run time of its target relative to the median of the service.
    fn slowdown(&self, reference: Option<Reference>) -> f64 {
        placing::slowdown(self.condition.current().map(|(condition, _)| condition), reference)
    }

    /// The utilisation of its target, including calls sent since its last load report.
    fn utilisation(&self, reference: Option<Reference>) -> f64 {
        let status = self.status.borrow();
        let sent_since = self.in_flight.get().saturating_sub(self.in_flight_at_update.get());
        let sent_since =
            reference.map_or(sent_since, |reference| reference.sent_by_all(sent_since));
        utilisation_of(status.load, sent_since, status.cold)
    }

    /// Penalties for failures, silence and a limit that is used up, in units of utilisation.
    fn penalties(&self, now: Instant) -> f64 {
        let mut penalties = 0.0;
        if self.avoided_until.get().is_some_and(|until| now < until) {
            penalties += SUSPECT_COST;
        }
        if self.limit.is_held(now) {
            penalties += LIMITED_COST;
        }
        let link = self.link.borrow();
        let is_silent =
            link.as_ref().is_some_and(|link| now - link.last_received() > SUSPECT_AFTER);
        if is_silent && self.in_flight.get() > 0 {
            penalties += SUSPECT_COST;
        }
        penalties + self.failing.cost(now)
    }
}

/// Utilisation of a target, as a fraction of its limit; above 1 if requests are queued.
pub fn utilisation_of(load: Load, sent_since: u32, is_cold: bool) -> f64 {
    let work = f64::from(load.running + load.waiting + sent_since);
    let utilisation = (work + 1.0) / f64::from(load.limit.max(1));
    if is_cold { utilisation * COLD_FACTOR } else { utilisation }
}

/// Where a call is sent.
#[derive(Clone, Debug)]
pub enum Destination {
    /// The local target.
    Local,
    /// The target of another node.
    Peer(Rc<Peer>),
}

/// Criteria for picking a destination.
pub struct PickRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// Cost of a call at the local target, if it may run the call.
    pub local_cost: Option<f64>,
    /// Nodes that were already tried.
    pub tried: &'a [SocketAddr],
    /// Whether nodes may be picked whose target has used up its limit.
    pub allows_limited: bool,
}

/// The other nodes.
#[derive(Debug)]
pub struct Directory {
    own_address: SocketAddr,
    own_failure_domain: String,
    peers: RefCell<HashMap<SocketAddr, Rc<Peer>>>,
    /// What the targets of each service are compared by.
    references: References,
    /// The condition of the local target at the last update of the references.
    own_condition: Cell<Option<Condition>>,
}

impl Directory {
    /// An empty directory.
    pub fn new(own_address: SocketAddr, own_failure_domain: &str) -> Self {
        Self {
            own_address,
            own_failure_domain: own_failure_domain.to_owned(),
            peers: RefCell::default(),
            references: References::default(),
            own_condition: Cell::default(),
        }
    }

    /// Adds a node, and returns it if it was unknown.
    pub fn add(&self, address: SocketAddr, failure_domain: &str) -> Option<Rc<Peer>> {
        if address == self.own_address {
            return None;
        }
        let mut peers = self.peers.borrow_mut();
        if let Some(known) = peers.get(&address) {
            if !failure_domain.is_empty() {
                failure_domain.clone_into(&mut known.failure_domain.borrow_mut());
            }
            return None;
        }
        let peer = Rc::new(Peer::new(address, failure_domain));
        peers.insert(address, Rc::clone(&peer));
        Some(peer)
    }

    /// The node at `address`, if it is known.
    pub fn get(&self, address: SocketAddr) -> Option<Rc<Peer>> {
        self.peers.borrow().get(&address).cloned()
    }

    /// Removes the node at `address`.
    pub fn remove(&self, address: SocketAddr) {
        self.peers.borrow_mut().remove(&address);
    }

    /// Whether another node is in the same failure domain.
    fn is_same_domain(&self, peer: &Peer) -> bool {
        *peer.failure_domain.borrow() == self.own_failure_domain
    }

    /// Number of other nodes with an open link.
    pub fn linked(&self) -> usize {
        self.peers.borrow().values().filter(|peer| peer.open_link().is_some()).count()
    }

    /// The nodes among which the ownership of quotas is divided.
    ///
    /// Excludes stopping nodes, unless all linked nodes are stopping, and nodes that were not
    /// reached within `UNREACHED_RETENTION` of being discovered. A node whose link was lost may be
    /// on the other side of a network partition, so it counts as known until it is removed.
    pub fn fleet(&self, is_stopping: bool) -> Fleet {
        let mut fleet = Fleet { members: Vec::new(), known: 0 };
        let mut stopping = Vec::new();
        if is_stopping {
            stopping.push(self.own_address);
        } else {
            fleet.members.push(self.own_address);
            fleet.known = 1;
        }
        for peer in self.peers.borrow().values() {
            let is_linked = peer.open_link().is_some();
            if peer.status.borrow().stopping {
                stopping.extend(is_linked.then_some(peer.address));
                continue;
            }
            if is_linked {
                fleet.members.push(peer.address);
            }
            let may_be_alive =
                peer.was_linked.get() || peer.discovered_at.elapsed() < UNREACHED_RETENTION;
            fleet.known += usize::from(is_linked || may_be_alive);
        }
        if fleet.members.is_empty() {
            // Stopping nodes still serve requests, and each quota needs an owner.
            fleet.known += stopping.len();
            fleet.members = stopping;
        }
        fleet.members.sort_unstable();
        fleet
    }

    /// Number of ready targets of `service` on other nodes: in the same failure domain, and in
    /// total.
    pub fn remote_targets(&self, service: &str) -> (usize, usize) {
        let (mut in_domain, mut all) = (0, 0);
        for peer in self.peers.borrow().values() {
            let status = peer.status.borrow();
            if !status.ready || status.service != service {
                continue;
            }
            all += 1;
            in_domain += usize::from(self.is_same_domain(peer));
        }
        (in_domain, all)
    }

    /// Number of linked nodes of the same failure domain with a lower address than this one: those
    /// that reach the store, and all.
    pub fn predecessors_in_domain(&self) -> (usize, usize) {
        let (mut with_store, mut all) = (0, 0);
        for peer in self.peers.borrow().values() {
            let is_before = peer.address < self.own_address;
            if !is_before || !self.is_same_domain(peer) || peer.open_link().is_none() {
                continue;
            }
            all += 1;
            with_store += usize::from(peer.status.borrow().reaches_store);
        }
        (with_store, all)
    }

    /// The link to a random node with a newer configuration than `version`. Random, as the
    /// previously chosen node may not answer.
    pub fn link_to_newer_site(&self, version: u64, rng: &mut impl Rng) -> Option<Rc<Link>> {
        let peers = self.peers.borrow();
        let newer = peers.values().filter(|peer| peer.status.borrow().site_version > version);
        newer.filter_map(|peer| peer.open_link()).choose(rng)
    }

    /// All other nodes with an open link, as reported to peers.
    pub fn neighbours(&self) -> Vec<Neighbour> {
        let peers = self.peers.borrow();
        let connected = peers.values().filter(|peer| peer.open_link().is_some());
        let describe = |peer: &Rc<Peer>| Neighbour {
            address: peer.address,
            failure_domain: peer.failure_domain.borrow().clone(),
        };
        connected.map(describe).collect()
    }

    /// Updates a node from the hello that it sent on an inbound link.
    pub fn update_from_hello(&self, hello: &Hello) {
        let Some(peer) = self.get(hello.address) else { return };
        hello.failure_domain.clone_into(&mut peer.failure_domain.borrow_mut());
        peer.update_status(hello.status.clone());
    }

    /// Whether the target of another node sends the extended load report.
    pub fn has_extended(&self) -> bool {
        let peers = self.peers.borrow();
        let mut conditions = peers.values().filter_map(|peer| peer.condition.current());
        conditions.any(|(condition, _)| condition.is_extended())
    }

    /// Updates what the targets of each service are compared by. `own` is the condition of the local
    /// target, which belongs to `own_service`.
    pub fn update_references(&self, own_service: &str, own: Option<Condition>) {
        self.own_condition.set(own);
        let mut snapshots: HashMap<String, Snapshot> = HashMap::new();
        let peers = self.peers.borrow();
        if let Some(run_time_us) = own.and_then(placing::run_time) {
            let snapshot = snapshots.entry(own_service.to_owned()).or_default();
            snapshot.run_times_us.push(run_time_us);
        }
        for peer in peers.values() {
            let status = peer.status.borrow();
            if !status.ready || peer.open_link().is_none() {
                continue;
            }
            if !snapshots.contains_key(&status.service) {
                snapshots.insert(status.service.clone(), Snapshot::default());
            }
            let Some(snapshot) = snapshots.get_mut(&status.service) else { continue };
            let calls = status.load.running.saturating_add(status.load.waiting);
            snapshot.calls = snapshot.calls.saturating_add(calls);
            snapshot.own_calls += peer.in_flight.get();
            let condition = peer.condition.current().map(|(condition, _)| condition);
            snapshot.run_times_us.extend(condition.and_then(placing::run_time));
        }
        self.references.update(snapshots);
    }

    /// The run time of a target of `service` relative to the median of the service; 1 if it is
    /// unknown.
    pub fn slowdown(&self, service: &str, condition: Option<Condition>) -> f64 {
        placing::slowdown(condition, self.references.get(service))
    }

    /// What is known of a target of `service` with the given condition and its age; `None` unless it
    /// sends the extended load report.
    pub fn choice(&self, service: &str, known: Option<(Condition, Duration)>) -> Option<Choice> {
        let (condition, age) = known.filter(|(condition, _)| condition.is_extended())?;
        Some(Choice { condition, age, slowdown: self.slowdown(service, Some(condition)) })
    }

    /// Picks the target with the lowest cost, preferring the same failure domain. Skips nodes that
    /// were already tried.
    ///
    /// Where conditions are known, the call is spread over the targets that are as eligible as the
    /// cheapest one: those in the same failure domain and without penalties.
    pub fn pick(&self, wanted: &PickRequest<'_>, rng: &mut impl Rng) -> Option<Destination> {
        self.pick_among(self.peers.borrow().values(), wanted, rng)
    }

    /// Like `pick`, among the given nodes. Their order decides which random number each gets.
    pub fn pick_among<'a>(
        &self,
        peers: impl IntoIterator<Item = &'a Rc<Peer>>,
        wanted: &PickRequest<'_>,
        rng: &mut impl Rng,
    ) -> Option<Destination> {
        let now = Instant::now();
        let reference = self.references.get(wanted.service);
        let spread = reference.map_or(0.0, |reference| reference.spread());
        let mut cheapest: Option<(f64, Destination)> = None;
        if let Some(cost) = wanted.local_cost {
            cheapest = Some((cost, Destination::Local));
        }
        // Whether the cheapest target is in the same domain, unless it is local or has penalties.
        let mut cheapest_domain: Option<bool> = None;
        // The cheapest targets after spreading, in other domains and in the same one.
        let mut eligible: [Option<(f64, Rc<Peer>)>; 2] = [None, None];
        for peer in peers {
            if wanted.tried.contains(&peer.address) || peer.open_link().is_none() {
                continue;
            }
            {
                let status = peer.status.borrow();
                if !status.ready || status.service != wanted.service {
                    continue;
                }
            }
            if !wanted.allows_limited && peer.limit.is_held(now) {
                continue;
            }
            let is_same_domain = self.is_same_domain(peer);
            let penalties = peer.penalties(now);
            let mut cost = peer.utilisation(reference);
            if reference.is_some() {
                let slowdown = peer.slowdown(reference);
                cost = placing::cost(cost, slowdown);
                if spread > COST_JITTER && penalties == 0.0 {
                    let best = &mut eligible[usize::from(is_same_domain)];
                    let cost = cost
                        + placing::spread_cost(spread, slowdown)
                        + rng.random::<f64>() * spread;
                    if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                        *best = Some((cost, Rc::clone(peer)));
                    }
                }
            }
            cost += penalties;
            if !is_same_domain {
                cost =
                    cost.max(SAME_DOMAIN_UTILISATION_MAX - CROSS_DOMAIN_COST) + CROSS_DOMAIN_COST;
            }
            cost += rng.random::<f64>() * COST_JITTER;
            if cheapest.as_ref().is_none_or(|(least, _)| cost < *least) {
                cheapest = Some((cost, Destination::Peer(Rc::clone(peer))));
                cheapest_domain = (penalties == 0.0).then_some(is_same_domain);
            }
        }
        if let Some((_, peer)) = cheapest_domain.and_then(|same| eligible[usize::from(same)].take())
        {
            return Some(Destination::Peer(peer));
        }
        cheapest.map(|(_, destination)| destination)
    }

    /// The ready targets of other nodes by service; none unless one has a condition or
    /// `own_has_condition`. Pings the nodes of rejecting targets that have been silent.
    pub fn target_offers(&self, own_has_condition: bool) -> HashMap<String, Vec<TargetOffers>> {
        let mut offers: HashMap<String, Vec<TargetOffers>> = HashMap::new();
        let peers = self.peers.borrow();
        if !own_has_condition && peers.values().all(|peer| peer.condition.current().is_none()) {
            return offers;
        }
        for peer in peers.values() {
            let status = peer.status.borrow();
            let Some(link) = peer.open_link().filter(|_| status.ready) else { continue };
            // An unchanged condition is sent again at most as often as load reports, which is every
            // few seconds for a service of many targets, so any frame confirms it.
            let age = link.last_received().elapsed();
            let reported = peer.condition.current().map(|(condition, _)| (condition, age));
            let is_rejecting =
                reported.is_some_and(|(condition, _)| condition.rejected_percent > 0);
            if is_rejecting && age >= CONFIRM_AFTER && link.ping_age().is_zero() {
                link.ping();
            }
            let target = TargetOffers { load: status.load, reported };
            match offers.get_mut(&status.service) {
                Some(targets) => targets.push(target),
                None => _ = offers.insert(status.service.clone(), vec![target]),
            }
        }
        offers
    }

    /// Aggregated load of each service, including the local target with status `own`, whose demand
    /// is `own_load`. A target that has named a limit may have free slots and yet no capacity.
    pub fn services(&self, own: &Status, own_load: Load) -> HashMap<String, ServiceView> {
        let mut views = HashMap::new();
        let own_slowdown = self.slowdown(&own.service, self.own_condition.get());
        add_to_view(&mut views, own, own_load, own_slowdown);
        for peer in self.peers.borrow().values() {
            if peer.open_link().is_some() {
                let status = peer.status.borrow();
                let demand = peer.limit.demand_on(&status.incarnation);
                let load = demand.map_or(status.load, |demand| status.load.busier(demand));
                let slowdown = peer.slowdown(self.references.get(&status.service));
                add_to_view(&mut views, &status, load, slowdown);
            }
        }
        views
    }

    /// The use of each service by teams, for the services of which a target has sent a current
    /// report. Includes the local target with status `own` and its last report `own_use`.
    pub fn service_uses(
        &self,
        own: &Status,
        own_use: Option<(Rc<TeamUse>, Duration)>,
    ) -> HashMap<String, ServiceUse> {
        let mut uses: HashMap<String, ServiceUse> = HashMap::new();
        let peers = self.peers.borrow();
        // The number of targets of each service is not known yet; this is the most there can be.
        let targets_max = peers.len() + 1;
        let is_current = |report: &Option<(Rc<TeamUse>, Duration)>| {
            report.as_ref().is_some_and(|(_, age)| share::is_fresh(*age, targets_max))
        };
        if own.ready && is_current(&own_use) {
            uses.insert(own.service.clone(), ServiceUse::default());
        }
        for peer in peers.values() {
            if is_current(&peer.team_use.current()) && peer.open_link().is_some() {
                let status = peer.status.borrow();
                if status.ready && !uses.contains_key(&status.service) {
                    uses.insert(status.service.clone(), ServiceUse::default());
                }
            }
        }
        if uses.is_empty() {
            return uses;
        }
        for peer in peers.values() {
            let status = peer.status.borrow();
            if let Some(usage) = uses.get_mut(&status.service).filter(|_| status.ready) {
                usage.targets += usize::from(peer.open_link().is_some());
            }
        }
        if let Some(usage) = uses.get_mut(&own.service).filter(|_| own.ready) {
            usage.targets += 1;
            usage.add_target(own.load, own_use);
        }
        for peer in peers.values() {
            let status = peer.status.borrow();
            let Some(usage) = uses.get_mut(&status.service).filter(|_| status.ready) else {
                continue;
            };
            if peer.open_link().is_some() {
                usage.add_target(status.load, peer.team_use.current());
            }
        }
        uses
    }

    /// The capacity of each service with ready targets, including the local target with status `own`.
    pub fn capacities(
        &self,
        own: &Status,
        own_condition: Option<Condition>,
    ) -> HashMap<String, ServiceCapacity> {
        let mut capacities = HashMap::new();
        add_capacity(&mut capacities, own, own_condition.map(|known| (known, Duration::ZERO)));
        for peer in self.peers.borrow().values() {
            if peer.open_link().is_some() {
                add_capacity(&mut capacities, &peer.status.borrow(), peer.condition.current());
            }
        }
        capacities
    }
}

/// Adds one target to the capacity of its service. One without a condition counts as accepting all
/// offers.
fn add_capacity(
    capacities: &mut HashMap<String, ServiceCapacity>,
    status: &Status,
    condition: Option<(Condition, Duration)>,
) {
    if !status.ready {
        return;
    }
    if !capacities.contains_key(&status.service) {
        capacities.insert(status.service.clone(), ServiceCapacity::default());
    }
    let Some(capacity) = capacities.get_mut(&status.service) else { return };
    let rejected = condition.map_or(0.0, |(known, _)| f64::from(known.rejected_percent) / 100.0);
    capacity.capacity += f64::from(status.load.limit) * (1.0 - rejected);
    capacity.age = capacity.age.max(condition.map_or(Duration::ZERO, |(_, age)| age));
}

/// Adds one target with the given relative run time to the aggregated load of its service.
fn add_to_view(
    views: &mut HashMap<String, ServiceView>,
    status: &Status,
    load: Load,
    slowdown: f64,
) {
    if !status.ready {
        return;
    }
    let load = placing::weigh_load(load, slowdown);
    if !views.contains_key(&status.service) {
        views.insert(status.service.clone(), ServiceView::default());
    }
    let Some(view) = views.get_mut(&status.service) else { return };
    let weight = capacity_weight(f64::from(status.failing_percent) / 100.0);
    let weighted = |count: u32| (f64::from(count) * weight).ceil() as u32;
    view.load.running = view.load.running.saturating_add(weighted(load.running));
    view.load.waiting = view.load.waiting.saturating_add(weighted(load.waiting));
    view.load.limit = view.load.limit.saturating_add(weighted(load.limit));
    for work in &status.roots {
        if let Some(running) = view.roots.get_mut(&work.root) {
            *running = running.saturating_add(work.running);
            continue;
        }
        view.roots.insert(work.root.clone(), work.running);
    }
}
