//! The state of a node, shared by its tasks. All of them run in one thread.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eyre::bail;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use crate::event::{EventLog, LogEvent};

use super::ancestry::Ancestry;
use super::budget::RetryBudgets;
use super::callers::Callers;
use super::directory::Directory;
use super::follower::StoreWatch;
use super::frame::{Frame, Hello, RootWork, Status};
use super::incarnation::Incarnation;
use super::link::Link;
use super::metrics::MeshMetrics;
use super::overload::{Overload, ServiceView};
use super::quarantine::Quarantine;
use super::settings::MeshSettings;
use super::site::Site;
use super::split::Splitter;
use super::target::{Heartbeat, Target};
use super::teams::admission;
use super::teams::quota::Quotas;
use super::vocabulary::Vocabulary;

/// How long a route by which requests have reached the target is remembered as such.
const ROOTS_REMEMBERED: Duration = Duration::from_secs(20);
/// After this time a configuration that was asked for and did not come is asked for elsewhere.
const SITE_PATIENCE: Duration = Duration::from_millis(300);
/// How many nodes are asked for others, by a node that cannot read of them in the store.
const NEIGHBOURS_ASKED_MAX: u32 = 3;
/// The part of the grace for which a stopping node takes calls for its target. The longest runs take
/// half of the grace, and so end within it.
const STOP_TAKES_CALLS_SHARE: f64 = 1.0 / 3.0;
/// The steps in which other nodes are told of the share of failures, in hundredths: a share fades all
/// the time, and less than a tenth of failures makes no difference.
const FAILING_STEP_PERCENT: u8 = 5;
/// How often it is looked whether requests of a route have begun to be refused, or no longer are.
const REPORT_EVERY: Duration = Duration::from_secs(1);

/// Reads a configuration in the form in which the platform's adapter holds it.
pub type ReadSite = Box<dyn Fn(&[u8]) -> eyre::Result<Site>>;

/// The configuration in force, and the document it was read from.
#[derive(Clone, Debug)]
pub struct InForce {
    /// The configuration.
    pub site: Rc<Site>,
    /// The document.
    pub document: Bytes,
}

/// The state of a node.
pub struct Node {
    /// What it was told at its start.
    pub settings: MeshSettings,
    /// The names of the headers it reads and writes.
    pub vocabulary: Vocabulary,
    /// The other nodes.
    pub directory: Directory,
    /// The target beside the node.
    pub target: Target,
    /// Which requests are admitted.
    pub overload: Overload,
    /// What the target is running.
    pub ancestry: Ancestry,
    /// The quotas of teams.
    pub quotas: Quotas,
    /// Which requests have run on targets as they ended.
    pub quarantine: Quarantine,
    /// The routes by which requests began that reach the target, and when one did last.
    roots: RefCell<HashMap<String, Instant>>,
    /// The version that a newer configuration was asked for last, and when.
    site_asked: Cell<Option<(u64, Instant)>>,
    /// How many nodes were asked for others.
    neighbours_asked: Cell<u32>,
    /// When it was looked last which routes are refused.
    reported: Cell<Option<Instant>>,
    /// The routes of which requests are refused for want of room, as they were reported.
    refused_routes: RefCell<HashSet<Rc<str>>>,
    /// Shares the requests of split routes.
    pub splitter: Splitter,
    /// How many repeats may be sent.
    pub budgets: RetryBudgets,
    /// The random numbers of its choices.
    pub rng: RefCell<SmallRng>,
    /// Requests of callers that were taken in and not answered.
    pub in_flight: Cell<usize>,
    /// Calls of other nodes that are waiting or running.
    pub serving: Cell<usize>,
    /// Bytes of request bodies held.
    pub held_bytes: Cell<usize>,
    /// Where events are logged.
    pub log: EventLog,
    /// What is counted.
    pub metrics: MeshMetrics,
    /// Whether other nodes have been looked for.
    pub has_looked_around: Cell<bool>,
    /// Whether all other nodes were read of in the store.
    pub has_read_nodes: Cell<bool>,
    /// The store, and this node's part in following it.
    pub store_watch: StoreWatch,
    in_force: RefCell<Option<InForce>>,
    read_site: ReadSite,
    /// When the node was told to stop.
    stopping_since: Cell<Option<Instant>>,
    /// The links on which other nodes call this one, and what they were told.
    pub callers: Callers,
    /// The links that this node has dialled.
    dialled: RefCell<Vec<Rc<Link>>>,
}

impl Node {
    /// A node that knows nothing yet but its settings.
    pub fn new(
        settings: MeshSettings,
        vocabulary: Vocabulary,
        read_site: ReadSite,
        log: EventLog,
    ) -> Self {
        Self {
            directory: Directory::new(settings.listen.peers, &settings.node.failure_domain),
            target: Target::new(settings.target.address),
            overload: Overload::new(settings.overload.policy),
            ancestry: Ancestry::default(),
            quotas: Quotas::new(
                settings.listen.peers,
                settings.teams.quota,
                settings.teams.tolerance(),
            ),
            quarantine: Quarantine::default(),
            roots: RefCell::default(),
            site_asked: Cell::default(),
            neighbours_asked: Cell::default(),
            reported: Cell::default(),
            refused_routes: RefCell::default(),
            splitter: Splitter::default(),
            budgets: RetryBudgets::new(&settings.retry),
            rng: RefCell::new(SmallRng::from_os_rng()),
            in_flight: Cell::default(),
            serving: Cell::default(),
            held_bytes: Cell::default(),
            log,
            metrics: MeshMetrics::new(),
            has_looked_around: Cell::default(),
            has_read_nodes: Cell::default(),
            store_watch: StoreWatch::default(),
            in_force: RefCell::default(),
            read_site,
            stopping_since: Cell::default(),
            callers: Callers::new(&settings.node.failure_domain, settings.overload.policy),
            dialled: RefCell::default(),
            settings,
            vocabulary,
        }
    }

    /// The configuration in force, where one is known.
    pub fn site(&self) -> Option<Rc<Site>> {
        self.in_force.borrow().as_ref().map(|in_force| Rc::clone(&in_force.site))
    }

    /// The configuration in force with its document.
    pub fn in_force(&self) -> Option<InForce> {
        self.in_force.borrow().clone()
    }

    /// The version of the configuration in force; 0 where none is known.
    pub fn site_version(&self) -> u64 {
        self.in_force.borrow().as_ref().map_or(0, |in_force| in_force.site.version)
    }

    /// Takes in a configuration. Says whether it is in force now; an older one never is.
    pub fn take_document(
        &self,
        document: &Bytes,
        learned_from: &'static str,
    ) -> eyre::Result<bool> {
        let site = (self.read_site)(document)?;
        if site.version <= self.site_version() {
            return Ok(false);
        }
        self.log.emit(&LogEvent::ConfigInForce { config_version: site.version, learned_from });
        let in_force = InForce { site: Rc::new(site), document: document.clone() };
        self.in_force.replace(Some(in_force));
        Ok(true)
    }

    /// Takes in what the target beside the node says of itself.
    ///
    /// # Errors
    ///
    /// A heartbeat that names a service unknown to the configuration, or no slots, is somebody
    /// else's or a mistake. It is refused, and what is believed of the target holds.
    pub fn take_heartbeat(&self, heartbeat: &Heartbeat) -> eyre::Result<()> {
        if heartbeat.slots == 0 {
            bail!("a target without slots");
        }
        if self.site().is_some_and(|site| !site.may_have(&heartbeat.service)) {
            bail!("the configuration names no service {:?}", heartbeat.service);
        }
        if self.target.take_heartbeat(heartbeat) {
            self.target_changed("heartbeat");
        }
        Ok(())
    }

    /// Whether the node takes new requests of callers.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.has_looked_around.get() && self.site_version() > 0
    }

    /// Whether the node was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Whether the target beside the node still takes calls.
    ///
    /// A node that was told to stop goes on serving its target for a part of its grace: the target has
    /// not gone, and while a node restarts nobody reaches it. What is taken in then is finished in the
    /// rest of the grace.
    pub fn takes_calls(&self) -> bool {
        let grace = Duration::from_millis(self.settings.timing.stop_grace_ms);
        let until = grace.mul_f64(STOP_TAKES_CALLS_SHARE);
        self.stopping_since.get().is_none_or(|since| since.elapsed() < until)
    }

    /// Whether a request that came now would most likely be cut off by the end of the process.
    ///
    /// Callers are told that the node stops, but may have nowhere else to go.
    pub fn is_closing(&self) -> bool {
        let grace = Duration::from_millis(self.settings.timing.stop_grace_ms);
        self.stopping_since.get().is_some_and(|since| since.elapsed() > grace / 2)
    }

    /// Begins to stop. What is still taken in is told by `is_ready`, `takes_calls` and `is_closing`.
    pub fn stop(&self) {
        self.stopping_since.set(Some(Instant::now()));
        self.tell_status();
    }

    /// The service of the target beside the node.
    pub fn own_service(&self) -> String {
        let current = self.target.current();
        current.map_or_else(|| self.settings.node.service.clone(), |known| known.service.clone())
    }

    /// Tells other nodes, and the log, that what is believed of the target has changed.
    pub fn target_changed(&self, learned_from: &'static str) {
        let current = self.target.current();
        let state = match &current {
            Some(instance) if instance.is_cold => "cold",
            Some(_) => "ready",
            None => "none",
        };
        self.log.emit(&LogEvent::TargetChanged {
            instance: current.map(|instance| instance.incarnation.id.clone()).unwrap_or_default(),
            service: self.own_service(),
            state,
            learned_from,
            limit: self.target.load().limit,
        });
        self.tell_status();
    }

    /// The state of the node.
    pub fn status(&self) -> Status {
        let current = self.target.current();
        Status {
            service: self.own_service(),
            incarnation: current
                .as_ref()
                .map(|known| known.incarnation.clone())
                .unwrap_or_default(),
            ready: current.is_some() && self.takes_calls(),
            stopping: self.is_stopping(),
            cold: current.is_some_and(|known| known.is_cold),
            site_version: self.site_version(),
            reaches_store: self.store_watch.reaches_store() && !self.is_stopping(),
            roots: self.root_work(),
            left: self.target.left(),
            load: self.target.load(),
            failing_percent: self.failing_percent(),
        }
    }

    /// The share of the target's answers that were failures of late, in hundredths.
    fn failing_percent(&self) -> u8 {
        let steps =
            (self.target.failing.share(Instant::now()) * 100.0) as u8 / FAILING_STEP_PERCENT;
        steps * FAILING_STEP_PERCENT
    }

    /// What the target does for requests of each route.
    fn root_work(&self) -> Vec<RootWork> {
        let roots = self.roots.borrow();
        let of_root = |root: &String| RootWork {
            root: root.clone(),
            running: self.ancestry.running_of(root) as u32,
        };
        let mut work: Vec<RootWork> = roots.keys().map(of_root).collect();
        work.sort_unstable_by(|one, other| one.root.cmp(&other.root));
        work
    }

    /// Notes that a request that began by the route `root` has reached the target.
    pub fn note_root(&self, root: &str) {
        let now = Instant::now();
        let mut roots = self.roots.borrow_mut();
        if let Some(last) = roots.get_mut(root) {
            *last = now;
            return;
        }
        roots.insert(root.to_owned(), now);
    }

    /// Adjusts what is admitted, and tells other nodes where the target's work has changed a lot.
    pub fn adjust(&self) {
        self.roots.borrow_mut().retain(|_, last| last.elapsed() < ROOTS_REMEMBERED);
        let status = self.status();
        let (near, all) = self.directory.siblings(&status.service);
        self.callers.tell_what_is_due(&status, near + 1, all + 1);
        let newer =
            self.directory.with_newer_site(self.site_version(), &mut *self.rng.borrow_mut());
        if let Some(link) = newer {
            self.ask_for_site(&link);
        }
        self.follow_store();
        let Some(site) = self.site() else { return };
        if !site.teams.is_empty() {
            let fleet = self.directory.fleet(self.is_stopping());
            self.quotas.set_fleet(fleet, Instant::now());
            admission::return_expired_tokens(self);
        }
        let services = self.directory.services(&status);
        let entries = self.directory.linked() + 1;
        self.overload.adjust(&services, site.rank_max(), entries);
        if self.reported.get().is_none_or(|last| last.elapsed() >= REPORT_EVERY) {
            self.reported.set(Some(Instant::now()));
            self.report_admission(&site, &services);
        }
    }

    /// Asks for the configuration where the other node has a newer one.
    pub fn want_site(&self, status: &Status, link: &Link) {
        if status.site_version > self.site_version() {
            self.ask_for_site(link);
        }
    }

    /// Asks for the configuration, unless it was asked for a moment ago. Where a new version comes up,
    /// all links tell of it at once; one copy is enough.
    fn ask_for_site(&self, link: &Link) {
        let version = self.site_version();
        let is_asked = self
            .site_asked
            .get()
            .is_some_and(|(asked, at)| asked == version && at.elapsed() < SITE_PATIENCE);
        if is_asked {
            return;
        }
        self.site_asked.set(Some((version, Instant::now())));
        link.send(&Frame::SiteWanted);
    }

    /// Whether another node is to be asked for the nodes that it knows.
    pub fn wants_neighbours(&self) -> bool {
        let asked = self.neighbours_asked.get();
        if self.has_read_nodes.get() || asked >= NEIGHBOURS_ASKED_MAX {
            return false;
        }
        self.neighbours_asked.set(asked + 1);
        true
    }

    /// Decides whether this node follows the store, for itself and for others.
    fn follow_store(&self) {
        let (with_store, all) = self.directory.near_before();
        if self.store_watch.take_place(with_store, all) {
            let role = self.store_watch.role().name();
            let is_first = self.store_watch.is_first();
            self.log.emit(&LogEvent::FollowerChanged { role, is_first });
        }
    }

    /// Writes which routes have begun to be refused for want of room, or no longer are.
    fn report_admission(&self, site: &Site, services: &HashMap<String, ServiceView>) {
        let mut refused = self.refused_routes.borrow_mut();
        for route in site.routes() {
            let passing = self.overload.passing(&route);
            let is_refused = passing < 1.0;
            if refused.contains(&route.name) == is_refused {
                continue;
            }
            if is_refused {
                refused.insert(Rc::clone(&route.name));
            } else {
                refused.remove(&route.name);
            }
            let limited_by = self.overload.limited_by(&route).unwrap_or_default();
            let load = services.get(&limited_by).map(|view| view.load).unwrap_or_default();
            self.log.emit(&LogEvent::AdmissionChanged {
                root: route.name.to_string(),
                limited_by,
                admitted_percent: (passing * 100.0) as u32,
                running: load.running,
                waiting: load.waiting,
                limit: load.limit,
            });
        }
    }

    /// What the node says of itself when it meets another one.
    ///
    /// `left_incarnations` are those of the other node's target that are known to have left.
    pub fn hello(&self, left_incarnations: Vec<Incarnation>) -> Hello {
        Hello {
            address: self.settings.listen.peers,
            failure_domain: self.settings.node.failure_domain.clone(),
            status: self.status(),
            left_incarnations,
        }
    }

    /// Tells the state of the node to all that call it.
    pub fn tell_status(&self) {
        self.callers.tell_status(&self.status());
    }

    /// The links that this node has dialled.
    pub fn dialled(&self) -> Vec<Rc<Link>> {
        self.dialled.borrow().clone()
    }

    /// Adds a link that this node has dialled.
    pub fn add_dialled(&self, link: &Rc<Link>) {
        self.dialled.borrow_mut().push(Rc::clone(link));
    }

    /// Removes a link that this node had dialled.
    pub fn remove_dialled(&self, link: &Rc<Link>) {
        self.dialled.borrow_mut().retain(|known| !Rc::ptr_eq(known, link));
    }
}

/// Counts something for as long as it lasts.
pub struct Counted<'a> {
    counter: &'a Cell<usize>,
    amount: usize,
}

impl<'a> Counted<'a> {
    /// Adds `amount` to `counter` until dropped.
    pub fn new(counter: &'a Cell<usize>, amount: usize) -> Self {
        counter.set(counter.get() + amount);
        Self { counter, amount }
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.counter.set(self.counter.get() - self.amount);
    }
}
