//! The other nodes, and the choice of the one that gets a call.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::failing::{FailureShare, worth_of};
use super::frame::{Hello, Load, Neighbour, Status};
use super::link::Link;
use super::overload::ServiceView;
use super::teams::quota::Fleet;

/// How busy a target in the own failure domain may be before one elsewhere is taken, as a share of
/// what it can run. Bytes between failure domains cost; a queue costs more.
const NEAR_UNTIL: f64 = 0.95;
/// What being in another failure domain counts, on the scale of that share.
const FAR_COST: f64 = 0.35;
/// How much busier a target counts that has started only lately.
const COLD_FACTOR: f64 = 2.0;
/// How much busier a node counts of which nothing was heard for `SUSPECT_AFTER`.
const SUSPECT_COST: f64 = 3.0;
/// After this silence on a link that has calls waiting, others are preferred.
const SUSPECT_AFTER: Duration = Duration::from_millis(900);
/// Ties are broken by chance within this share, so that senders do not all pick the same target.
const TIE_SPREAD: f64 = 0.06;
/// For how long a node counts that was read of and has not been reached: rows of nodes that are gone stay.
const NEW_COUNTS_FOR: Duration = Duration::from_secs(5);
/// How long a target is avoided after it failed a call, at least.
const AVOID_AFTER_FAILURE: Duration = Duration::from_millis(400);

/// Another node.
#[derive(Debug)]
pub struct Peer {
    /// Where it listens for other nodes.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: RefCell<String>,
    /// The connection that calls go over.
    pub link: RefCell<Option<Rc<Link>>>,
    /// What it said last about itself.
    pub status: RefCell<Status>,
    /// Calls that wait for its answer.
    pub in_flight: Cell<u32>,
    in_flight_at_report: Cell<u32>,
    avoided_until: Cell<Option<Instant>>,
    /// Wakes whoever tries to reach it, as it has just been heard.
    pub greeted: Notify,
    /// How many of its answers were failures of late.
    pub failing: FailureShare,
    /// Whether it was ever linked with this node.
    pub was_linked: Cell<bool>,
    /// When this node first heard of it.
    met: Instant,
}

impl Peer {
    fn new(address: SocketAddr, failure_domain: &str) -> Self {
        Self {
            address,
            failure_domain: RefCell::new(failure_domain.to_owned()),
            link: RefCell::default(),
            status: RefCell::default(),
            in_flight: Cell::default(),
            in_flight_at_report: Cell::default(),
            avoided_until: Cell::default(),
            greeted: Notify::new(),
            failing: FailureShare::default(),
            was_linked: Cell::default(),
            met: Instant::now(),
        }
    }

    /// The connection that calls go over, if it is open.
    pub fn open_link(&self) -> Option<Rc<Link>> {
        self.link.borrow().as_ref().filter(|link| link.is_open()).cloned()
    }

    /// Takes in what the target has to do.
    pub fn take_load(&self, load: Load) {
        self.status.borrow_mut().load = load;
        self.in_flight_at_report.set(self.in_flight.get());
    }

    /// Takes in its state.
    pub fn take_status(&self, status: Status) {
        let load = status.load;
        if self.status.borrow().incarnation != status.incarnation {
            self.failing.forget();
        }
        *self.status.borrow_mut() = status;
        self.take_load(load);
    }

    /// Gives it no calls for a moment.
    pub fn avoid(&self) {
        self.avoided_until.set(Some(Instant::now() + AVOID_AFTER_FAILURE));
    }

    /// How busy its target is, as a share of what it can run.
    fn busy(&self, now: Instant) -> f64 {
        let status = self.status.borrow();
        let sent_since = self.in_flight.get().saturating_sub(self.in_flight_at_report.get());
        let mut busy = busy_share(status.load, sent_since, status.cold);
        if self.avoided_until.get().is_some_and(|until| now < until) {
            busy += SUSPECT_COST;
        }
        let link = self.link.borrow();
        let silent = link.as_ref().is_some_and(|link| now - link.heard() > SUSPECT_AFTER);
        if silent && self.in_flight.get() > 0 {
            busy += SUSPECT_COST;
        }
        busy + self.failing.cost(now)
    }
}

/// How busy a target is, as a share of what it can run.
pub fn busy_share(load: Load, sent_since: u32, is_cold: bool) -> f64 {
    let work = f64::from(load.running + load.waiting + sent_since);
    let busy = (work + 1.0) / f64::from(load.limit.max(1));
    if is_cold { busy * COLD_FACTOR } else { busy }
}

/// Where a call goes.
#[derive(Clone, Debug)]
pub enum Destination {
    /// The target beside this node.
    Own,
    /// The target beside another node.
    Peer(Rc<Peer>),
}

/// What is asked of the directory.
pub struct Wanted<'a> {
    /// The service.
    pub service: &'a str,
    /// How busy the target beside this node is, as a share of what it can run, if it may take the
    /// call.
    pub own_busy: Option<f64>,
    /// Nodes that were tried already.
    pub tried: &'a [SocketAddr],
}

/// The other nodes.
#[derive(Debug)]
pub struct Directory {
    own_address: SocketAddr,
    own_failure_domain: String,
    peers: RefCell<HashMap<SocketAddr, Rc<Peer>>>,
}

impl Directory {
    /// A directory without any other node.
    pub fn new(own_address: SocketAddr, own_failure_domain: &str) -> Self {
        Self {
            own_address,
            own_failure_domain: own_failure_domain.to_owned(),
            peers: RefCell::default(),
        }
    }

    /// Adds a node. Gives it back if it was not known.
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

    /// Forgets the node at `address`.
    pub fn remove(&self, address: SocketAddr) {
        self.peers.borrow_mut().remove(&address);
    }

    /// Whether another node is in the own failure domain.
    fn is_near(&self, peer: &Peer) -> bool {
        *peer.failure_domain.borrow() == self.own_failure_domain
    }

    /// How many other nodes are connected.
    pub fn linked(&self) -> usize {
        self.peers.borrow().values().filter(|peer| peer.open_link().is_some()).count()
    }

    /// The nodes among which the owners of quotas are found.
    ///
    /// A node that stops is none of them, nor one that was read of and never reached within `NEW_COUNTS_FOR`.
    /// One that was linked and is not any more may be behind a cut: it counts as known until it is forgotten.
    pub fn fleet(&self, is_stopping: bool) -> Fleet {
        let mut fleet = Fleet { members: Vec::new(), known: 0 };
        if !is_stopping {
            fleet.members.push(self.own_address);
            fleet.known = 1;
        }
        for peer in self.peers.borrow().values() {
            if peer.status.borrow().stopping {
                continue;
            }
            let is_linked = peer.open_link().is_some();
            if is_linked {
                fleet.members.push(peer.address);
            }
            let may_be_there = peer.was_linked.get() || peer.met.elapsed() < NEW_COUNTS_FOR;
            fleet.known += usize::from(is_linked || may_be_there);
        }
        fleet.members.sort_unstable();
        fleet
    }

    /// How many targets of `service` are ready beside other nodes: in the own failure domain, and in
    /// all.
    pub fn siblings(&self, service: &str) -> (usize, usize) {
        let (mut near, mut all) = (0, 0);
        for peer in self.peers.borrow().values() {
            let status = peer.status.borrow();
            if !status.ready || status.service != service {
                continue;
            }
            all += 1;
            near += usize::from(self.is_near(peer));
        }
        (near, all)
    }

    /// How many linked nodes of the own failure domain come before this one in the order of addresses:
    /// those that reach the store, and all.
    pub fn near_before(&self) -> (usize, usize) {
        let (mut with_store, mut all) = (0, 0);
        for peer in self.peers.borrow().values() {
            let is_before = peer.address < self.own_address;
            if !is_before || !self.is_near(peer) || peer.open_link().is_none() {
                continue;
            }
            all += 1;
            with_store += usize::from(peer.status.borrow().reaches_store);
        }
        (with_store, all)
    }

    /// The link to a node that has told of a newer configuration than `version`: any of them, as the one
    /// that was asked before may not answer.
    pub fn with_newer_site(&self, version: u64, rng: &mut impl Rng) -> Option<Rc<Link>> {
        let peers = self.peers.borrow();
        let newer = peers.values().filter(|peer| peer.status.borrow().site_version > version);
        newer.filter_map(|peer| peer.open_link()).choose(rng)
    }

    /// All other nodes that are connected, as they are told of.
    pub fn neighbours(&self) -> Vec<Neighbour> {
        let peers = self.peers.borrow();
        let connected = peers.values().filter(|peer| peer.open_link().is_some());
        let tell = |peer: &Rc<Peer>| Neighbour {
            address: peer.address,
            failure_domain: peer.failure_domain.borrow().clone(),
        };
        connected.map(tell).collect()
    }

    /// Takes in what a node says of itself over a link that it was called on.
    pub fn take_hello(&self, hello: &Hello) {
        let Some(peer) = self.get(hello.address) else { return };
        hello.failure_domain.clone_into(&mut peer.failure_domain.borrow_mut());
        peer.take_status(hello.status.clone());
    }

    /// The destination of a call: the least busy target, near ones first.
    ///
    /// Nodes that were tried already are not taken again.
    pub fn pick(&self, wanted: &Wanted<'_>, rng: &mut impl Rng) -> Option<Destination> {
        let now = Instant::now();
        let mut best: Option<(f64, Destination)> = None;
        if let Some(busy) = wanted.own_busy {
            best = Some((busy, Destination::Own));
        }
        for peer in self.peers.borrow().values() {
            if wanted.tried.contains(&peer.address) || peer.open_link().is_none() {
                continue;
            }
            {
                let status = peer.status.borrow();
                if !status.ready || status.service != wanted.service {
                    continue;
                }
            }
            let mut cost = peer.busy(now);
            if !self.is_near(peer) {
                cost = cost.max(NEAR_UNTIL - FAR_COST) + FAR_COST;
            }
            cost += rng.random::<f64>() * TIE_SPREAD;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, Destination::Peer(Rc::clone(peer))));
            }
        }
        best.map(|(_, destination)| destination)
    }

    /// What is known of each service, `own` among its targets.
    pub fn services(&self, own: &Status) -> HashMap<String, ServiceView> {
        let mut views = HashMap::new();
        add_to_view(&mut views, own);
        for peer in self.peers.borrow().values() {
            if peer.open_link().is_some() {
                add_to_view(&mut views, &peer.status.borrow());
            }
        }
        views
    }
}

/// Adds one target to what is known of its service.
fn add_to_view(views: &mut HashMap<String, ServiceView>, status: &Status) {
    if !status.ready {
        return;
    }
    if !views.contains_key(&status.service) {
        views.insert(status.service.clone(), ServiceView::default());
    }
    let Some(view) = views.get_mut(&status.service) else { return };
    let worth = worth_of(f64::from(status.failing_percent) / 100.0);
    let part = |count: u32| (f64::from(count) * worth).ceil() as u32;
    view.load.running += part(status.load.running);
    view.load.waiting += part(status.load.waiting);
    view.load.limit += part(status.load.limit);
    for work in &status.roots {
        if let Some(running) = view.roots.get_mut(&work.root) {
            *running += work.running;
            continue;
        }
        view.roots.insert(work.root.clone(), work.running);
    }
}
