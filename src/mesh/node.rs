//! The state of a node, shared by its tasks, all of which run in one thread.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use eyre::bail;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::event::{EventLog, LogEvent};

use super::budget::RetryBudgets;
use super::caller_end::{CallerEnd, EndTimes};
use super::completion::{Completion, TargetOffers};
use super::departures::Departures;
use super::directory::Directory;
use super::follower::StoreWatch;
use super::frame::{
    Condition, FEATURE_CALLER_END, FEATURE_CONDITION, Frame, Hello, RootWork, Status,
};
use super::header_names::HeaderNames;
use super::inbound::InboundLinks;
use super::incarnation::Incarnation;
use super::limit_reports;
use super::link::Link;
use super::memory::MemoryBudget;
use super::metrics::MeshMetrics;
use super::overload::{Overload, ServiceView};
use super::quarantine::Quarantine;
use super::returns::Returns;
use super::running_requests::RunningRequests;
use super::settings::MeshSettings;
use super::site::{Route, Site};
use super::split::Splitter;
use super::target::{Heartbeat, Target};
use super::teams::admission;
use super::teams::quota::Quotas;
use super::teams::share::{self, TeamShares};
use super::teams::use_report::{self, UseMeter};
use super::unsent_answers::UnsentAnswers;

/// How long a root route is reported to peers after its last request has reached the target.
const ROOT_TTL: Duration = Duration::from_secs(20);
/// Time after which a requested configuration that has not arrived is requested again.
const SITE_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of peers asked for their linked nodes until the list of nodes has been read from
/// the store.
const NEIGHBOUR_REQUESTS_MAX: u32 = 3;
/// Fraction of the stop grace period during which a stopping node still accepts calls for its
/// target. The longest runs take half of the grace period, so the last ones accepted finish within
/// it.
const STOP_ACCEPT_SHARE: f64 = 1.0 / 3.0;
/// Fraction of the stop grace period before the end of the node after which waiting requests no
/// longer begin.
const STOP_RUN_SHARE: f64 = 0.25;
/// How long before the end of the grace period a stopping node gives up the requests that are still
/// running.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// Step to which the failure share is rounded down in the status sent to peers. The exact share
/// decays continuously and would change every status; shares below a tenth have no effect.
const FAILING_STEP_PERCENT: u8 = 5;
/// Interval at which changes of the set of routes being shed are logged.
const ADMISSION_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Parses a configuration document in the format of the platform adapter.
pub type ReadSite = Box<dyn Fn(&[u8]) -> eyre::Result<Site>>;

/// The active configuration, and the document it was parsed from.
#[derive(Clone, Debug)]
pub struct ActiveSite {
    /// The parsed configuration.
    pub site: Rc<Site>,
    /// The document as received.
    pub document: Bytes,
}

/// The state of a node.
pub struct Node {
    /// The start-up settings.
    pub settings: MeshSettings,
    /// The names of the headers that the node reads and writes.
    pub header_names: HeaderNames,
    /// The peers.
    pub directory: Directory,
    /// The local target.
    pub target: Target,
    /// The departures of the local target.
    pub departures: Departures,
    /// Admission of callers' requests.
    pub overload: Overload,
    /// Admission by the probability that call trees complete.
    pub completion: Completion,
    /// Whether a target of the deployment has sent the extended load report.
    has_extended_reports: Cell<bool>,
    /// The promises to callers that were refused.
    pub returns: Returns,
    /// The requests that the target is running.
    pub running_requests: RunningRequests,
    /// The quotas of teams.
    pub quotas: Quotas,
    /// How the teams use the local target.
    pub use_meter: UseMeter,
    /// The shares of the teams in overloaded services.
    pub shares: TeamShares,
    /// Requests that were running when targets crashed.
    pub quarantine: Quarantine,
    /// The root routes of requests that have reached the target, with the time of the last request.
    recent_roots: RefCell<HashMap<String, Instant>>,
    /// The version that was active when a newer one was last requested, and the time of that
    /// request.
    last_site_request: Cell<Option<(u64, Instant)>>,
    /// Number of peers that were asked for their linked nodes.
    neighbour_requests: Cell<u32>,
    /// When the routes being shed were last compared with those logged.
    admission_logged: Cell<Option<Instant>>,
    /// The routes last logged as being shed.
    shed_routes: RefCell<HashSet<Rc<str>>>,
    /// The routes last logged as being restricted to the trees that complete.
    unlikely_routes: RefCell<HashSet<Rc<str>>>,
    /// Distributes the requests of split routes among services.
    pub splitter: Splitter,
    /// The retry budgets.
    pub budgets: RetryBudgets,
    /// The random number generator for routing and admission.
    pub rng: RefCell<SmallRng>,
    /// Requests of callers that were accepted and not yet answered.
    pub in_flight: Cell<usize>,
    /// Calls of this node and its peers that wait for the target or run on it.
    pub serving: Cell<usize>,
    /// The memory for request and answer bodies.
    pub memory: MemoryBudget,
    /// The event log.
    pub log: EventLog,
    /// The metrics.
    pub metrics: MeshMetrics,
    /// Whether the node has had time to connect to its peers, or no longer waits for the list of
    /// nodes in the store. It is not ready before that.
    pub has_joined: Cell<bool>,
    /// Whether the list of all nodes has been read from the store.
    pub has_read_nodes: Cell<bool>,
    /// The state of the store, and this node's role in following it.
    pub store_watch: StoreWatch,
    active_site: RefCell<Option<ActiveSite>>,
    read_site: ReadSite,
    /// When the node began to stop.
    stopping_since: Cell<Option<Instant>>,
    /// The end of this process, known once it is stopping.
    pub own_end: CallerEnd,
    /// Cancelled when the process is about to exit; requests that are still running then are answered
    /// without their result.
    pub ending: CancellationToken,
    /// Answers that callers have not read completely.
    pub unsent_answers: UnsentAnswers,
    /// The links on which peers call this node, with the status and load last sent on them.
    pub inbound: InboundLinks,
    /// The links that this node has dialled.
    dialled: RefCell<Vec<Rc<Link>>>,
}

impl Node {
    /// Creates a node that knows only its settings.
    pub fn new(
        settings: MeshSettings,
        header_names: HeaderNames,
        read_site: ReadSite,
        log: EventLog,
    ) -> Self {
        Self {
            directory: Directory::new(settings.listen.peers, &settings.node.failure_domain),
            target: Target::new(settings.target.address),
            departures: Departures::default(),
            overload: Overload::new(settings.overload.policy),
            completion: Completion::new(&settings.retry),
            has_extended_reports: Cell::default(),
            returns: Returns::default(),
            running_requests: RunningRequests::default(),
            quotas: Quotas::new(
                settings.listen.peers,
                settings.teams.quota,
                settings.teams.tolerance(),
            ),
            use_meter: UseMeter::default(),
            shares: TeamShares::default(),
            quarantine: Quarantine::default(),
            recent_roots: RefCell::default(),
            last_site_request: Cell::default(),
            neighbour_requests: Cell::default(),
            admission_logged: Cell::default(),
            shed_routes: RefCell::default(),
            unlikely_routes: RefCell::default(),
            splitter: Splitter::default(),
            budgets: RetryBudgets::new(&settings.retry),
            rng: RefCell::new(SmallRng::from_os_rng()),
            in_flight: Cell::default(),
            serving: Cell::default(),
            memory: MemoryBudget::new(settings.node.memory_bytes()),
            log,
            metrics: MeshMetrics::new(),
            has_joined: Cell::default(),
            has_read_nodes: Cell::default(),
            store_watch: StoreWatch::default(),
            active_site: RefCell::default(),
            read_site,
            stopping_since: Cell::default(),
            own_end: CallerEnd::default(),
            ending: CancellationToken::new(),
            unsent_answers: UnsentAnswers::default(),
            inbound: InboundLinks::new(&settings.node.failure_domain, settings.overload.policy),
            dialled: RefCell::default(),
            settings,
            header_names,
        }
    }

    /// The active configuration, if any.
    pub fn site(&self) -> Option<Rc<Site>> {
        self.active_site.borrow().as_ref().map(|active_site| Rc::clone(&active_site.site))
    }

    /// The active configuration with its document, if any.
    pub fn active_site(&self) -> Option<ActiveSite> {
        self.active_site.borrow().clone()
    }

    /// The version of the active configuration; 0 if there is none.
    pub fn site_version(&self) -> u64 {
        self.active_site.borrow().as_ref().map_or(0, |active_site| active_site.site.version)
    }

    /// Activates a configuration if it is newer than the active one. Returns whether it was
    /// activated.
    pub fn apply_document(
        &self,
        document: &Bytes,
        learned_from: &'static str,
    ) -> eyre::Result<bool> {
        let site = (self.read_site)(document)?;
        if site.version <= self.site_version() {
            return Ok(false);
        }
        self.log.emit(&LogEvent::ConfigInForce { config_version: site.version, learned_from });
        let active_site = ActiveSite { site: Rc::new(site), document: document.clone() };
        self.active_site.replace(Some(active_site));
        Ok(true)
    }

    /// Applies a heartbeat of the local target.
    ///
    /// # Errors
    ///
    /// The heartbeat names a service that is not in the configuration, or 0 slots. It is rejected,
    /// as it comes from a foreign or misconfigured target, and the state of the target is
    /// unchanged.
    pub fn apply_heartbeat(&self, heartbeat: &Heartbeat) -> eyre::Result<()> {
        if heartbeat.slots == 0 {
            bail!("the heartbeat states 0 slots");
        }
        if self.site().is_some_and(|site| !site.expects_service(&heartbeat.service)) {
            bail!("service {:?} is not in the configuration", heartbeat.service);
        }
        if self.target.apply_heartbeat(heartbeat) {
            self.target_changed("heartbeat");
        }
        Ok(())
    }

    /// Whether the node accepts new requests of callers.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.has_joined.get() && self.site_version() > 0
    }

    /// Whether the node has had the time to learn of all other nodes. One that has not reached the store
    /// has to be linked to another node, which knows them.
    fn knows_fleet(&self) -> bool {
        self.has_joined.get() && (self.has_read_nodes.get() || self.directory.linked() > 0)
    }

    /// Whether the node is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Whether the node accepts calls for the local target: it knows the target's departures, and is
    /// not about to end.
    ///
    /// A stopping node keeps serving its target for a part of the grace period: the target is still
    /// running, and cannot be reached while its node restarts. Calls accepted until then finish
    /// within the rest of the grace period.
    pub fn accepts_calls(&self) -> bool {
        if !self.departures.is_settled(self.site_version() > 0) {
            return false;
        }
        let grace = Duration::from_millis(self.settings.timing.stop_grace_ms);
        let until = grace.mul_f64(STOP_ACCEPT_SHARE);
        self.stopping_since.get().is_none_or(|since| since.elapsed() < until)
    }

    /// Whether a request that arrives now would most likely be cut off by the end of the process.
    ///
    /// Requests are accepted until then: the node reports that it is not ready, but callers may
    /// have no other node to use.
    pub fn is_closing(&self) -> bool {
        let grace = Duration::from_millis(self.settings.timing.stop_grace_ms);
        self.stopping_since.get().is_some_and(|since| since.elapsed() > grace / 2)
    }

    /// Begins to stop. From then on, `is_ready`, `accepts_calls` and `is_closing` determine which
    /// requests are still accepted. Returns when the requests that are still running are given up.
    pub fn stop(&self) -> Instant {
        let now = Instant::now();
        let grace = Duration::from_millis(self.settings.timing.stop_grace_ms);
        let ends_at = now + grace.saturating_sub(STOP_MARGIN);
        let begin_by = ends_at.checked_sub(grace.mul_f64(STOP_RUN_SHARE)).unwrap_or(now);
        self.stopping_since.set(Some(now));
        let times = EndTimes { begin_by, ends_at };
        self.own_end.announce(times);
        self.broadcast_status();
        for link in self.dialled() {
            link.announce_end(times);
        }
        ends_at
    }

    /// The service of the local target.
    pub fn own_service(&self) -> String {
        let current = self.target.current();
        current.map_or_else(|| self.settings.node.service.clone(), |known| known.service.clone())
    }

    /// Logs that the state of the target has changed, and sends the new status to the peers.
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
        self.broadcast_status();
    }

    /// The status of the node, as sent to peers.
    pub fn status(&self) -> Status {
        let current = self.target.current();
        Status {
            service: self.own_service(),
            incarnation: current
                .as_ref()
                .map(|known| known.incarnation.clone())
                .unwrap_or_default(),
            ready: current.is_some() && self.accepts_calls(),
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

    /// The share of the target's recent answers that were failures, in percent.
    fn failing_percent(&self) -> u8 {
        let steps =
            (self.target.failing.share(Instant::now()) * 100.0) as u8 / FAILING_STEP_PERCENT;
        steps * FAILING_STEP_PERCENT
    }

    /// Number of requests of each root route that the target is running.
    fn root_work(&self) -> Vec<RootWork> {
        let roots = self.recent_roots.borrow();
        let of_root = |root: &String| RootWork {
            root: root.clone(),
            running: self.running_requests.running_of(root) as u32,
        };
        let mut work: Vec<RootWork> = roots.keys().map(of_root).collect();
        work.sort_unstable_by(|one, other| one.root.cmp(&other.root));
        work
    }

    /// Records that a request of the route `root` has reached the target.
    pub fn record_root(&self, root: &str) {
        let now = Instant::now();
        let mut roots = self.recent_roots.borrow_mut();
        if let Some(last) = roots.get_mut(root) {
            *last = now;
            return;
        }
        roots.insert(root.to_owned(), now);
    }

    /// Periodic upkeep: sends load reports that are due, requests a newer configuration, updates
    /// the role in following the store, and adjusts quotas and admission.
    pub fn adjust(&self) {
        self.recent_roots.borrow_mut().retain(|_, last| last.elapsed() < ROOT_TTL);
        let status = self.status();
        let (near, all) = self.directory.remote_targets(&status.service);
        self.inbound.send_due_updates(&status, near + 1, all + 1);
        let newer =
            self.directory.link_to_newer_site(self.site_version(), &mut *self.rng.borrow_mut());
        if let Some(link) = newer {
            self.request_site(&link);
        }
        self.update_store_role();
        let Some(site) = self.site() else { return };
        if !site.teams.is_empty() {
            let fleet = self.directory.fleet(self.is_stopping());
            if self.quotas.is_fleet_known() || self.knows_fleet() {
                self.quotas.set_fleet(fleet, Instant::now());
            } else {
                self.quotas.set_partial_fleet(fleet, Instant::now());
            }
            admission::return_expired_tokens(self);
        }
        limit_reports::send_due(self, all + 1);
        if !self.has_extended_reports.get() {
            let is_extended = self.target.condition().is_some() || self.directory.has_extended();
            self.has_extended_reports.set(is_extended);
        }
        if let Some(condition) = self.reported_condition() {
            self.inbound.send_due_condition(condition, all + 1);
        }
        if self.has_extended_reports.get() {
            self.directory.update_references(&status.service, self.target.condition());
        }
        use_report::send_due(self, &site.teams, all + 1);
        let services = self.directory.services(&status, self.target.gate.demand());
        let entries = self.directory.linked() + 1;
        self.overload.adjust(&services, site.rank_max(), entries);
        share::adjust(self, &status, &services, &site.teams);
        if self.completion_is_on() {
            self.budgets.set_rank_max(site.rank_max());
            self.completion.set_rank_max(site.rank_max());
            self.completion.adjust(&self.target_offers());
        }
        self.adjust_returns(&status, &services);
        if self.admission_logged.get().is_none_or(|last| last.elapsed() >= ADMISSION_LOG_INTERVAL) {
            self.admission_logged.set(Some(Instant::now()));
            self.log_admission(&site, &services);
            self.log_completion(&site);
            for change in self.shares.take_changes() {
                self.log.emit(&change);
            }
        }
    }

    /// Whether admission by completion and retries of rejected offers are on.
    pub fn completion_is_on(&self) -> bool {
        self.settings.overload.completion.is_on(self.has_extended_reports.get())
    }

    /// The condition of the target as reported to peers, if it is.
    pub fn reported_condition(&self) -> Option<Condition> {
        let rejected = || self.completion_is_on().then(|| self.target.conditions.current());
        self.target.condition().or_else(rejected)
    }

    /// Updates the promises to callers that were refused.
    fn adjust_returns(&self, status: &Status, services: &HashMap<String, ServiceView>) {
        if !self.settings.overload.returns.is_on(self.has_extended_reports.get()) {
            return;
        }
        let mut capacities = self.directory.capacities(status, self.reported_condition());
        for (service, capacity) in &mut capacities {
            let Some(view) = services.get(service) else { continue };
            capacity.roots = view.roots.keys().cloned().collect();
        }
        let now = Instant::now();
        for voided in self.returns.adjust(capacities, now) {
            self.log.emit(&LogEvent::PromisesVoided {
                service: voided.service,
                slots_before: voided.capacity_before as u32,
                slots: voided.capacity as u32,
                age_ms: voided.age.as_millis() as u64,
                voided: voided.voided as u32,
                kept: voided.kept as u32,
            });
        }
        self.overload.set_reserved(self.returns.reserved(now));
    }

    /// Requests the configuration from a peer that has a newer one.
    pub fn request_newer_site(&self, status: &Status, link: &Link) {
        if status.site_version > self.site_version() {
            self.request_site(link);
        }
    }

    /// Requests the configuration, unless a request is pending. All peers announce a new version at
    /// about the same time, but one copy is enough.
    fn request_site(&self, link: &Link) {
        let version = self.site_version();
        let is_pending = self
            .last_site_request
            .get()
            .is_some_and(|(active, at)| active == version && at.elapsed() < SITE_REQUEST_TIMEOUT);
        if is_pending {
            return;
        }
        self.last_site_request.set(Some((version, Instant::now())));
        link.send(&Frame::SiteWanted);
    }

    /// Whether another peer may be asked for its linked nodes. Counts the request if so.
    pub fn try_neighbour_request(&self) -> bool {
        let sent = self.neighbour_requests.get();
        if self.has_read_nodes.get() || sent >= NEIGHBOUR_REQUESTS_MAX {
            return false;
        }
        self.neighbour_requests.set(sent + 1);
        true
    }

    /// Updates this node's role in following the store.
    fn update_store_role(&self) {
        let (with_store, all) = self.directory.predecessors_in_domain();
        if self.store_watch.update_role(with_store, all) {
            let role = self.store_watch.role().name();
            let is_first = self.store_watch.is_first();
            self.log.emit(&LogEvent::FollowerChanged { role, is_first });
        }
    }

    /// Logs the routes that have begun or ceased to be shed.
    fn log_admission(&self, site: &Site, services: &HashMap<String, ServiceView>) {
        let probability = |route: &Route| self.overload.admission_probability(route);
        for (route, probability) in take_changed(&self.shed_routes, site, probability) {
            let limited_by = self.overload.limited_by(&route).unwrap_or_default();
            let load = services.get(&limited_by).map(|view| view.load).unwrap_or_default();
            self.log.emit(&LogEvent::AdmissionChanged {
                root: route.name.to_string(),
                limited_by,
                admitted_percent: (probability * 100.0) as u32,
                running: load.running,
                waiting: load.waiting,
                limit: load.limit,
            });
        }
    }

    /// The ready targets of each service that has one with a condition.
    fn target_offers(&self) -> HashMap<String, Vec<TargetOffers>> {
        let own = self.target.current().filter(|_| self.accepts_calls());
        let own_condition = own.as_ref().and_then(|_| self.reported_condition());
        let mut offers = self.directory.target_offers(own_condition.is_some());
        if let Some(own) = own {
            let reported = own_condition.map(|condition| (condition, Duration::ZERO));
            let target = TargetOffers { load: self.target.load(), reported };
            offers.entry(own.service.clone()).or_default().push(target);
        }
        offers.retain(|_, targets| targets.iter().any(|target| target.reported.is_some()));
        offers
    }

    /// Logs the routes that have begun or ceased to be restricted to the trees that complete.
    fn log_completion(&self, site: &Site) {
        let probability = |route: &Route| self.completion.admission_probability(&route.name);
        for (route, probability) in take_changed(&self.unlikely_routes, site, probability) {
            let inputs = self.completion.restriction(&route.name);
            self.log.emit(&LogEvent::CompletionChanged {
                root: route.name.to_string(),
                limited_by: inputs.service,
                admitted_percent: (probability * 100.0) as u32,
                pass_percent: inputs.pass.map_or(100, |pass| (pass.share * 100.0) as u32),
                age_ms: inputs.pass.map_or(0, |pass| pass.age.as_millis() as u64),
                calls_percent: (inputs.calls * 100.0) as u32,
                retries_per_1000_s: (inputs.retries_per_s * 1_000.0) as u32,
                asked_per_1000_s: (inputs.asked_per_s * 1_000.0) as u32,
            });
        }
    }

    /// The first frame on a new link.
    ///
    /// `left_incarnations` are the incarnations of the peer's target that the peer had reported as
    /// gone.
    pub fn hello(&self, left_incarnations: Vec<Incarnation>) -> Hello {
        Hello {
            address: self.settings.listen.peers,
            failure_domain: self.settings.node.failure_domain.clone(),
            status: self.status(),
            left_incarnations,
            features: FEATURE_CONDITION | FEATURE_CALLER_END,
        }
    }

    /// Sends the status of the node to all peers that call it.
    pub fn broadcast_status(&self) {
        self.inbound.broadcast_status(&self.status());
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

/// The routes whose requests have begun or ceased to be refused since they were last logged, with the
/// probability of admission. `logged` are the routes last logged as being refused.
fn take_changed(
    logged: &RefCell<HashSet<Rc<str>>>,
    site: &Site,
    probability: impl Fn(&Route) -> f64,
) -> Vec<(Rc<Route>, f64)> {
    let mut logged = logged.borrow_mut();
    let mut changed = Vec::new();
    for route in site.routes() {
        let probability = probability(&route);
        let is_refused = probability < 1.0;
        if logged.contains(&route.name) == is_refused {
            continue;
        }
        if is_refused {
            logged.insert(Rc::clone(&route.name));
        } else {
            logged.remove(&route.name);
        }
        changed.push((route, probability));
    }
    changed
}

/// Adds an amount to a counter until dropped.
pub struct CountGuard<'a> {
    counter: &'a Cell<usize>,
    amount: usize,
}

impl<'a> CountGuard<'a> {
    /// Adds `amount` to `counter` until dropped.
    pub fn new(counter: &'a Cell<usize>, amount: usize) -> Self {
        counter.set(counter.get() + amount);
        Self { counter, amount }
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.counter.set(self.counter.get() - self.amount);
    }
}
