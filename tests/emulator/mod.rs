//! A simulation of a deployment under load, on a paused clock: call trees over targets with slots,
//! entry nodes with the product's own admission control, and callers that retry.
//!
//! Networks and payloads are not simulated: 30 s of a busy deployment take one or two seconds, so a
//! change to admission can be evaluated before it is tried on real processes. The queues and all
//! decisions at entry nodes run the product's own code.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use aspenspring::mesh::budget::RetryBudgets;
use aspenspring::mesh::completion::{Completion, TargetOffers};
use aspenspring::mesh::condition::ConditionTracker;
use aspenspring::mesh::directory::utilisation_of;
use aspenspring::mesh::frame::{Load, ServiceCalls};
use aspenspring::mesh::gate::{Gate, GateError};
use aspenspring::mesh::overload::{ADJUST_INTERVAL, Overload, Policy, ServiceView};
use aspenspring::mesh::settings::RetrySection;
use aspenspring::mesh::site::{Route, RouteKind, Share};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// How often nodes receive the load of all targets; the interval of a busy target.
const LOAD_PUBLISH_INTERVAL: Duration = Duration::from_millis(180);
/// The one-way latency of a message between nodes.
const HOP_LATENCY: Duration = Duration::from_micros(500);
/// Maximum number of offers of a call whose targets reject it.
const OFFERS_MAX: u32 = 12;
/// The longest pause before a call is offered again, in milliseconds.
const OFFER_PAUSE_MS: f64 = 10.0;
/// The limits on retries.
const RETRY: RetrySection = RetrySection { share: 0.2, slack: 49 };
/// The length of a report window.
const WINDOW: Duration = Duration::from_secs(2);

/// A service.
#[derive(Clone, Debug)]
pub struct Service {
    /// The relative speed of each target; 1 is nominal.
    pub speeds: Vec<f64>,
    /// How many requests each target runs concurrently.
    pub slots: u32,
}

/// A kind of request, from callers or between targets.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Its name, which is also that of its route.
    pub name: &'static str,
    /// The index of its service.
    pub service: usize,
    /// The rank of its route.
    pub rank: u8,
    /// The typical run time without downstream calls, in milliseconds.
    pub work_ms: f64,
    /// The timeout of the request, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer has its full value, in milliseconds.
    pub objective_ms: u64,
    /// The value of an answer in time.
    pub value: f64,
    /// Sequential calls made by each run: the index of their kind and their number.
    pub calls: Option<(usize, usize)>,
    /// Its relative weight among callers' requests; 0 for calls between targets.
    pub weight: f64,
}

/// Targets of one service that send extended load reports and reject a share of all offers for a
/// time.
#[derive(Clone, Copy, Debug)]
pub struct Rejecting {
    /// The index of the service.
    pub service: usize,
    /// The share of offers rejected.
    pub share: f64,
    /// Start and end, in seconds.
    pub times_s: (f64, f64),
    /// Whether entry nodes admit by the probability that trees complete.
    pub by_completion: bool,
}

/// A simulated scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The services.
    pub services: Vec<Service>,
    /// The kinds of requests.
    pub kinds: Vec<Kind>,
    /// The load as steps: the start in seconds and the requests per second from then on.
    pub load: Vec<(f64, f64)>,
    /// The simulated duration, in seconds.
    pub duration_s: f64,
    /// How often a caller retries after a refusal or failure.
    pub retries: u32,
    /// Targets that name a limit: their service, and the requests per second of each.
    pub limit: Option<(usize, f64)>,
    /// Targets that reject offers.
    pub rejecting: Option<Rejecting>,
}

/// The outcomes of one kind of request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Requests, without callers' retries.
    pub offered: u64,
    /// Requests answered within the objective.
    pub in_time: u64,
    /// Requests answered later.
    pub late: u64,
    /// Refusals at an entry node, with callers' retries.
    pub refused: u64,
    /// Call trees that were admitted and failed.
    pub failed: u64,
}

/// The results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Outcomes by kind, in the order of the scenario.
    pub tallies: Vec<Tally>,
    /// Value earned and value offered, in windows of two seconds.
    pub windows: Vec<(f64, f64)>,
    /// Runs at targets.
    pub runs: u64,
    /// Runs of call trees that failed.
    pub wasted_runs: u64,
    /// The work of the busiest service as a share of its slots, sampled each `ADJUST_INTERVAL`.
    pub work: Vec<f64>,
}

impl Report {
    /// Value earned as a share of the value offered.
    pub fn earned(&self) -> f64 {
        let (earned, offered) = self
            .windows
            .iter()
            .fold((0.0, 0.0), |(earned, offered), window| (earned + window.0, offered + window.1));
        earned / offered
    }

    /// The smallest share earned in a window. The last window is left out, because its requests are cut
    /// off.
    pub fn worst_window(&self) -> f64 {
        let whole = &self.windows[..self.windows.len() - 1];
        whole.iter().map(|(earned, offered)| earned / offered).fold(1.0, f64::min)
    }

    /// Wasted runs as a share of all runs.
    pub fn wasted(&self) -> f64 {
        self.wasted_runs as f64 / self.runs.max(1) as f64
    }

    /// The mean and the standard deviation of the busiest service's work between two times in seconds.
    pub fn work_mean_and_deviation(&self, from_s: f64, to_s: f64) -> (f64, f64) {
        let index = |at_s: f64| (at_s / ADJUST_INTERVAL.as_secs_f64()) as usize;
        let work = &self.work[index(from_s)..index(to_s).min(self.work.len())];
        let count = work.len().max(1) as f64;
        let mean = work.iter().sum::<f64>() / count;
        let variance = work.iter().map(|one| (one - mean).powi(2)).sum::<f64>() / count;
        (mean, variance.sqrt())
    }
}

/// A target with its node.
struct Node {
    service: usize,
    speed: f64,
    gate: Rc<Gate>,
    overload: Overload,
    completion: Completion,
    budgets: RetryBudgets,
    conditions: ConditionTracker,
    /// Requests running here, by the route of their root.
    running: RefCell<HashMap<usize, u32>>,
    /// The last known load of each node, by index.
    known_loads: RefCell<Vec<Load>>,
    /// Calls sent to each node since its load was last received.
    sent_calls: RefCell<Vec<u32>>,
}

struct Simulation {
    scenario: Scenario,
    nodes: Vec<Node>,
    routes: Vec<Route>,
    /// The last published view of each service.
    published_views: RefCell<HashMap<String, ServiceView>>,
    /// The last published conditions of the targets of each service.
    published_offers: RefCell<HashMap<String, Vec<TargetOffers>>>,
    rng: RefCell<SmallRng>,
    started: Instant,
    report: RefCell<Report>,
}

/// A root request with all its downstream calls.
#[derive(Clone)]
struct CallTree {
    root: usize,
    runs: Rc<Cell<u64>>,
    /// Its calls by service.
    calls: Rc<RefCell<Vec<ServiceCalls>>>,
}

/// Simulates a scenario with the given policy and seed.
pub fn simulate(scenario: &Scenario, policy: Policy, seed: u64) -> Report {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let simulation = Rc::new(Simulation::new(scenario.clone(), policy, seed));
        let publisher = spawn_local(publish_loads(Rc::clone(&simulation)));
        let adjuster = spawn_local(adjust_admission(Rc::clone(&simulation)));
        generate_load(&simulation).await;
        publisher.abort();
        adjuster.abort();
        simulation.report.take()
    })
}

impl Simulation {
    fn new(scenario: Scenario, policy: Policy, seed: u64) -> Self {
        let mut nodes = Vec::new();
        for (service, config) in scenario.services.iter().enumerate() {
            for speed in &config.speeds {
                let gate = Rc::new(Gate::default());
                gate.set_slots(config.slots);
                let limit = scenario.limit.filter(|(limited, _)| *limited == service);
                gate.pacer.set(limit.map(|(_, per_s)| per_s));
                nodes.push(Node {
                    service,
                    speed: *speed,
                    gate,
                    overload: Overload::new(policy),
                    completion: Completion::new(&RETRY),
                    budgets: RetryBudgets::new(&RETRY),
                    conditions: ConditionTracker::default(),
                    running: RefCell::default(),
                    known_loads: RefCell::default(),
                    sent_calls: RefCell::default(),
                });
            }
        }
        for node in &nodes {
            node.known_loads.replace(nodes.iter().map(|other| other.gate.load()).collect());
            node.sent_calls.replace(vec![0; nodes.len()]);
        }
        let routes = scenario.kinds.iter().map(route).collect();
        let tallies = vec![Tally::default(); scenario.kinds.len()];
        Self {
            nodes,
            routes,
            published_views: RefCell::default(),
            published_offers: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            started: Instant::now(),
            report: RefCell::new(Report { tallies, ..Report::default() }),
            scenario,
        }
    }

    fn random(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// The current load, in requests per second.
    fn rate(&self) -> f64 {
        let now_s = self.started.elapsed().as_secs_f64();
        let steps = self.scenario.load.iter().filter(|(from_s, _)| *from_s <= now_s);
        steps.max_by(|a, b| a.0.total_cmp(&b.0)).map_or(0.0, |(_, rate)| *rate)
    }

    /// A random kind of caller request, by weight.
    fn random_kind(&self) -> usize {
        let total: f64 = self.scenario.kinds.iter().map(|kind| kind.weight).sum();
        let mut left = self.random() * total;
        for (index, kind) in self.scenario.kinds.iter().enumerate() {
            left -= kind.weight;
            if left < 0.0 {
                return index;
            }
        }
        0
    }

    /// The least busy target of a service that was not tried, according to the loads known to node `sender`.
    fn pick_target(&self, sender: usize, service: usize, tried: &[usize]) -> Option<usize> {
        let node = &self.nodes[sender];
        let (known_loads, sent_calls) = (node.known_loads.borrow(), node.sent_calls.borrow());
        let mut best = (f64::INFINITY, None);
        for (index, other) in self.nodes.iter().enumerate() {
            if other.service != service || tried.contains(&index) {
                continue;
            }
            let busy =
                utilisation_of(known_loads[index], sent_calls[index], false) + self.random() * 0.06;
            if busy < best.0 {
                best = (busy, Some(index));
            }
        }
        best.1
    }

    /// The current view of each service.
    fn views(&self) -> HashMap<String, ServiceView> {
        let mut views: HashMap<String, ServiceView> = HashMap::new();
        for node in &self.nodes {
            let view = views.entry(service_name(node.service)).or_default();
            let load = node.gate.demand();
            view.load.running += load.running;
            view.load.waiting += load.waiting;
            view.load.limit += load.limit;
            for (root, running) in node.running.borrow().iter() {
                let name = self.routes[*root].name.to_string();
                *view.roots.entry(name).or_default() += running;
            }
        }
        views
    }

    /// The targets of the service that rejects offers, with their conditions.
    fn offers(&self) -> HashMap<String, Vec<TargetOffers>> {
        let mut offers: HashMap<String, Vec<TargetOffers>> = HashMap::new();
        let Some(rejecting) = self.scenario.rejecting.filter(|fault| fault.by_completion) else {
            return offers;
        };
        for node in self.nodes.iter().filter(|node| node.service == rejecting.service) {
            let reported = Some((node.conditions.current(), Duration::ZERO));
            let target = TargetOffers { load: node.gate.load(), reported };
            offers.entry(service_name(node.service)).or_default().push(target);
        }
        offers
    }

    /// Whether a target of `service` rejects the offer that it gets now.
    fn rejects(&self, service: usize) -> bool {
        let now_s = self.started.elapsed().as_secs_f64();
        let is_rejecting = |fault: &Rejecting| {
            fault.service == service && (fault.times_s.0..fault.times_s.1).contains(&now_s)
        };
        let current = self.scenario.rejecting.filter(is_rejecting);
        current.is_some_and(|fault| self.random() < fault.share)
    }

    /// Adds value to the window that contains `at`.
    fn record_value(&self, at: Instant, earned: f64, offered: f64) {
        let index = ((at - self.started).as_secs_f64() / WINDOW.as_secs_f64()) as usize;
        let mut report = self.report.borrow_mut();
        if report.windows.len() <= index {
            report.windows.resize(index + 1, (0.0, 0.0));
        }
        report.windows[index].0 += earned;
        report.windows[index].1 += offered;
    }
}

fn service_name(index: usize) -> String {
    format!("service-{index}")
}

fn route(kind: &Kind) -> Route {
    Route {
        name: kind.name.into(),
        host: "host".to_owned(),
        prefix: "/".to_owned(),
        kind: RouteKind::AtMostOnce,
        timeout_ms: kind.timeout_ms,
        objective_ms: kind.objective_ms,
        rank: kind.rank,
        attempts_max: 1,
        needs_no_key: false,
        split: vec![Share { service: service_name(kind.service), weight: 1 }],
    }
}

/// Periodically publishes the load of all nodes to each node.
async fn publish_loads(simulation: Rc<Simulation>) {
    loop {
        sleep(LOAD_PUBLISH_INTERVAL).await;
        let loads: Vec<Load> = simulation.nodes.iter().map(|node| node.gate.load()).collect();
        for node in &simulation.nodes {
            node.known_loads.replace(loads.clone());
            node.sent_calls.borrow_mut().fill(0);
        }
        simulation.published_views.replace(simulation.views());
        simulation.published_offers.replace(simulation.offers());
    }
}

/// Periodically adjusts admission at all nodes and samples the work of the busiest service.
async fn adjust_admission(simulation: Rc<Simulation>) {
    let rank_max = simulation.scenario.kinds.iter().map(|kind| kind.rank).max().unwrap_or(0);
    loop {
        sleep(ADJUST_INTERVAL).await;
        let mut busiest: f64 = 0.0;
        for view in simulation.views().values() {
            busiest = busiest.max(view.load.utilisation());
        }
        simulation.report.borrow_mut().work.push(busiest);
        let published_views = simulation.published_views.borrow().clone();
        for node in &simulation.nodes {
            node.overload.adjust(&published_views, rank_max, simulation.nodes.len());
            node.completion.adjust(&simulation.published_offers.borrow());
        }
    }
}

/// Starts callers, with exponentially distributed gaps, until the scenario ends.
async fn generate_load(simulation: &Rc<Simulation>) {
    let end = simulation.started + Duration::from_secs_f64(simulation.scenario.duration_s);
    let mut next = simulation.started;
    while next < end {
        sleep_until(next).await;
        let kind = simulation.random_kind();
        spawn_local(run_caller(Rc::clone(simulation), kind));
        let pause_s = -(1.0 - simulation.random()).ln() / simulation.rate();
        next += Duration::from_secs_f64(pause_s);
    }
}

/// One caller, which retries after a refusal or failure.
async fn run_caller(simulation: Rc<Simulation>, index: usize) {
    let kind = &simulation.scenario.kinds[index];
    let started = Instant::now();
    simulation.record_value(started, 0.0, kind.value);
    simulation.report.borrow_mut().tallies[index].offered += 1;
    for _ in 0..=simulation.scenario.retries {
        let entry = simulation.rng.borrow_mut().random_range(0..simulation.nodes.len());
        let Node { overload, completion, .. } = &simulation.nodes[entry];
        let route = &simulation.routes[index];
        let is_likely = completion.admits(route, route.rank, &mut *simulation.rng.borrow_mut());
        let admit = || overload.admit(route, route.rank, &mut *simulation.rng.borrow_mut());
        let Some(_admitted) = is_likely.then(admit).flatten() else {
            simulation.report.borrow_mut().tallies[index].refused += 1;
            let share = 0.3 + 0.4 * simulation.random();
            sleep(Duration::from_millis((kind.objective_ms as f64 * share) as u64)).await;
            continue;
        };
        let _tree = completion.begin_tree(&route.name, route.rank);
        let tree = CallTree { root: index, runs: Rc::default(), calls: Rc::default() };
        let deadline = Instant::now() + Duration::from_millis(kind.timeout_ms);
        let call = make_call(Rc::clone(&simulation), entry, index, tree.clone(), deadline);
        let is_served = timeout_at(deadline, call).await.unwrap_or(false);
        completion.record_tree(&route.name, &tree.calls.borrow(), is_served);
        let mut report = simulation.report.borrow_mut();
        report.runs += tree.runs.get();
        if !is_served {
            report.wasted_runs += tree.runs.get();
            report.tallies[index].failed += 1;
            continue;
        }
        drop(report);
        let in_time = started.elapsed() <= Duration::from_millis(kind.objective_ms);
        let mut report = simulation.report.borrow_mut();
        let tally = &mut report.tallies[index];
        if in_time {
            tally.in_time += 1
        } else {
            tally.late += 1
        }
        drop(report);
        simulation.record_value(started, if in_time { kind.value } else { kind.value * 0.4 }, 0.0);
        return;
    }
}

/// Makes one call from node `sender`; returns whether it succeeded.
async fn make_call(
    simulation: Rc<Simulation>,
    sender: usize,
    index: usize,
    tree: CallTree,
    deadline: Instant,
) -> bool {
    let kind = &simulation.scenario.kinds[index];
    let deadline = deadline.min(Instant::now() + Duration::from_millis(kind.timeout_ms));
    let mut tried = Vec::new();
    let service = service_name(kind.service);
    let mut offers = 1;
    simulation.nodes[sender].budgets.record_request(&service);
    record_call(&tree, &service, false);
    while let Some(target) = simulation.pick_target(sender, kind.service, &tried) {
        simulation.nodes[sender].sent_calls.borrow_mut()[target] += 1;
        sleep(HOP_LATENCY).await;
        let end = run_at_target(&simulation, target, index, &tree, deadline).await;
        sleep(HOP_LATENCY).await;
        let node = &simulation.nodes[sender];
        node.known_loads.borrow_mut()[target] = simulation.nodes[target].gate.load();
        node.sent_calls.borrow_mut()[target] = 0;
        match end {
            Err(Refusal::Gate(GateError::Limited)) => tried.push(target),
            Err(Refusal::Rejected) => {
                let rank = simulation.scenario.kinds[tree.root].rank;
                let nodes = simulation.nodes.len();
                let is_in_budget = {
                    let mut rng = simulation.rng.borrow_mut();
                    node.budgets.try_take(&service, rank, nodes, &mut *rng)
                };
                let pause_ms = simulation.random() * OFFER_PAUSE_MS;
                if offers == OFFERS_MAX || !is_in_budget {
                    return false;
                }
                offers += 1;
                record_call(&tree, &service, true);
                sleep(Duration::from_secs_f64(pause_ms / 1_000.0)).await;
            }
            _ => return end == Ok(true),
        }
    }
    let refused_last = &simulation.nodes[tried[tried.len() - 1]];
    refused_last.gate.pacer.record_unmet();
    false
}

/// Records a call of a tree, or a repeated offer of one.
fn record_call(tree: &CallTree, service: &str, is_repeat: bool) {
    let mut calls = tree.calls.borrow_mut();
    let known = calls.iter().position(|known| known.service == service);
    let index = known.unwrap_or_else(|| {
        calls.push(ServiceCalls { service: service.to_owned(), ..ServiceCalls::default() });
        calls.len() - 1
    });
    calls[index].requests += u32::from(!is_repeat);
    calls[index].repeats += u32::from(is_repeat);
}

/// Why a call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Refusal {
    /// The queue of the target refused it.
    Gate(GateError),
    /// The target rejected it.
    Rejected,
}

/// Waits for a slot at a target and runs a call in it; returns whether it succeeded, or why it was
/// refused.
async fn run_at_target(
    simulation: &Rc<Simulation>,
    target: usize,
    index: usize,
    tree: &CallTree,
    deadline: Instant,
) -> Result<bool, Refusal> {
    let kind = &simulation.scenario.kinds[index];
    let node = &simulation.nodes[target];
    let start_by = deadline - (node.gate.mean_run() / 2).max(Duration::from_millis(3));
    let rank = simulation.scenario.kinds[tree.root].rank;
    let Ok(entered) = timeout_at(start_by, node.gate.enter(rank)).await else { return Ok(false) };
    let _slot = entered.map_err(Refusal::Gate)?;
    if simulation.scenario.rejecting.is_some_and(|fault| fault.service == node.service) {
        let is_rejected = simulation.rejects(node.service);
        node.conditions.record_slowness(100);
        node.conditions.record_offer(is_rejected);
        if is_rejected {
            return Err(Refusal::Rejected);
        }
    }
    tree.runs.set(tree.runs.get() + 1);
    let _running = RunningGuard::new(&node.running, tree.root);
    let factor = 0.5 + simulation.random();
    let work = Duration::from_secs_f64(kind.work_ms * factor / node.speed / 1_000.0);
    if timeout_at(deadline, sleep(work)).await.is_err() {
        return Ok(false);
    }
    let Some((called, times)) = kind.calls else { return Ok(true) };
    for _ in 0..times {
        let call = make_call(Rc::clone(simulation), target, called, tree.clone(), deadline);
        if !timeout_at(deadline, Box::pin(call)).await.unwrap_or(false) {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Counts a request as running at a target until dropped.
struct RunningGuard<'a> {
    running: &'a RefCell<HashMap<usize, u32>>,
    root: usize,
}

impl<'a> RunningGuard<'a> {
    fn new(running: &'a RefCell<HashMap<usize, u32>>, root: usize) -> Self {
        *running.borrow_mut().entry(root).or_default() += 1;
        Self { running, root }
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        *self.running.borrow_mut().entry(self.root).or_default() -= 1;
    }
}

/// A chain of four services whose last one is the bottleneck. The kind `browse` passes all four,
/// `book` enters the chain at the second, and `look` calls only the last. `scale` is the number of
/// targets of each service. `load` is a list of steps: the start in seconds, and the load as a
/// share of the bottleneck's capacity.
pub fn deep_chain(scale: usize, load: &[(f64, f64)]) -> Scenario {
    deep_chain_of(scale, 40, load)
}

/// Like [`deep_chain`], with `slots` concurrent requests at each target of the last service and
/// proportional numbers at the others.
pub fn deep_chain_of(scale: usize, slots: u32, load: &[(f64, f64)]) -> Scenario {
    let speeds = |all: &[f64]| (0..scale).map(|index| all[index % all.len()]).collect();
    let service = |base_slots: u32, all: &[f64]| Service {
        speeds: speeds(all),
        slots: (base_slots * slots).div_ceil(40),
    };
    let kind = |name, service, rank, work_ms, timeout_ms| Kind {
        name,
        service,
        rank,
        work_ms,
        timeout_ms,
        objective_ms: 1_200,
        value: 0.0,
        calls: None,
        weight: 0.0,
    };
    let kinds = vec![
        Kind { value: 1.0, calls: Some((3, 2)), weight: 6.0, ..kind("browse", 0, 2, 100.0, 1_500) },
        Kind { value: 3.0, calls: Some((4, 1)), weight: 2.0, ..kind("book", 1, 0, 140.0, 900) },
        Kind { value: 2.0, weight: 1.5, objective_ms: 150, ..kind("look", 3, 1, 40.0, 600) },
        Kind { calls: Some((4, 1)), ..kind("stock", 1, 0, 15.0, 3_000) },
        Kind { calls: Some((5, 4)), ..kind("index", 2, 0, 15.0, 2_500) },
        kind("price", 3, 0, 25.0, 700),
    ];
    let services = vec![
        service(150, &[0.5, 1.0, 1.5]),
        service(200, &[0.6, 1.0, 1.4]),
        service(200, &[0.7, 1.6]),
        service(40, &[0.6, 1.0, 1.4]),
    ];
    let used_slots = (f64::from(services[3].slots) * 0.94).floor();
    let capacity: f64 = services[3].speeds.iter().map(|speed| speed * used_slots).sum();
    // The work of one request at the bottleneck, in seconds, by the weights of the kinds.
    let work_s = (6.0 * 8.0 * 0.025 + 2.0 * 4.0 * 0.025 + 1.5 * 0.040) / 9.5;
    let rate = capacity / work_s;
    let load = load.iter().map(|(from_s, share)| (*from_s, share * rate)).collect();
    Scenario { services, kinds, load, duration_s: 30.0, retries: 2, limit: None, rejecting: None }
}
