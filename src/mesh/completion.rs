//! Admission by the probability that a call tree completes.
//!
//! Where the targets of a service reject a share of all offers, a tree with many calls there
//! completes only with retries, and their number is limited by the retry budget. Trees that run out
//! of it have wasted all their runs. So each entry node admits only as many requests of a route as
//! its own part of the budget can complete, the most important and then the cheapest ones first.
//!
//! It decides by what it knows anyway: the conditions of the targets, and the calls that its own
//! trees have made. The setting `overload.completion` switches it on; without targets that have a
//! condition, nothing is decided.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::budget::RankFractions;
use super::frame::{Condition, Load, ServiceCalls};
use super::overload::ADJUST_INTERVAL;
use super::retry_window::{BUCKET, BUCKETS, RetryWindow};
use super::settings::RetrySection;
use super::site::Route;

/// Fraction of the budget of the senders that admission plans with. The rest is held back, as
/// retries are spread unevenly over the senders of the next level.
const PLANNED_FRACTION: f64 = 0.9;
/// Probability of completing without retries from which a route is not restricted.
const COMPLETES_MIN: f64 = 0.9;
/// Probability of completing without retries from which a tree with a single call is not restricted:
/// one that is rejected has cost no run, and its offers show when the targets have recovered.
const SINGLE_CALL_COMPLETES_MIN: f64 = 0.3;
/// Mean number of calls of a tree up to which it counts as one with a single call.
const SINGLE_CALL_MAX: f64 = 1.0;
/// Minimum admission probability of the cheapest route that reaches a service, so that its targets
/// get offers and its recovery is noticed.
const PROBE_PROBABILITY: f64 = 0.02;
/// Least pass rate that is assumed, which bounds the retries that a call is expected to need.
const PASS_MIN: f64 = 0.02;
/// Weight of the latest pass rate in the average. A rejected share is known to nine tenths after
/// 0.2 s, as is its end, and a share that is due to chance is averaged out.
const LATEST_WEIGHT: f64 = 0.7;
/// Silence of a target's node after which its condition no longer restricts anything.
const CONDITION_TTL: Duration = Duration::from_secs(3);
/// Exponent of the decrease in a target's share of offers per unit of rejected share above that of
/// the best target. Senders prefer others: a target that rejects 0.5 more gets 0.08 of the offers
/// that its capacity would give it.
const OFFER_DECREASE: f64 = 5.0;
/// Half of the step to which rejected shares are rounded down in reports.
const REJECTED_HALF_STEP: f64 = 0.025;
/// Weight of the requests asked in the last interval in the demand averaged over about a second,
/// which follows a rise.
const DEMAND_WEIGHT: f64 = 0.1;
/// Weight of the requests asked in the last interval in the demand averaged over about 20 s. With the
/// shorter average alone, an entry that gets a request every few seconds seems to have no demand
/// when the next one comes, and admits it.
const SLOW_DEMAND_WEIGHT: f64 = 0.005;
/// Least weight of one tree in the mean number of calls.
const CALLS_WEIGHT_MIN: f64 = 0.05;
/// Maximum number of calls to one service that are learned from one tree. Reports come from other
/// nodes and may be wrong, and one tree moves a mean by up to `CALLS_WEIGHT_MIN` of this.
const CALLS_MAX: u32 = 100;
/// Maximum number of repeats per request that are counted from one tree: the offers that a sender
/// makes for one request.
const REPEATS_PER_REQUEST_MAX: u32 = 12;
/// Mean number of calls below which a service is no longer learned for a route.
const CALLS_MIN: f64 = 0.01;
/// Maximum number of services learned for a route.
const SERVICES_MAX: usize = 64;
/// Maximum number of routes, and of services with a budget. Reports may name any number of them.
const TRACKED_MAX: usize = 1_024;
/// Demand below which a rank is no longer tracked, in requests per second. It is reached 78 s after
/// a single request.
const DEMAND_MIN_PER_S: f64 = 0.001;

/// Shortest time in which the remaining budget is spent, in buckets. The calls of a tree take about
/// a second.
const SPEND_BUCKETS_MIN: usize = 2;

/// What a node knows of one ready target of a service.
#[derive(Clone, Copy, Debug)]
pub struct TargetOffers {
    /// Its load.
    pub load: Load,
    /// Its condition, and the time for which nothing has been received from its node; `None` if it
    /// has no condition.
    pub reported: Option<(Condition, Duration)>,
}

/// The share of offers to a service that its targets accept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PassRate {
    /// The share, from 0 to 1.
    pub share: f64,
    /// How long ago one of the targets' nodes was last heard.
    pub age: Duration,
}

impl PassRate {
    /// The pass rate of a service; `None` unless one of its targets has a condition.
    ///
    /// Each target is weighted by the offers that it gets from senders: these avoid targets that
    /// reject more than others, as long as the others have capacity. Targets without a condition,
    /// or with an outdated one, count as accepting all offers.
    pub fn of(targets: &[TargetOffers]) -> Option<Self> {
        let age = targets.iter().filter_map(|target| Some(target.reported?.1)).min()?;
        let rejected = |target: &TargetOffers| {
            let current = target.reported.filter(|(_, age)| *age < CONDITION_TTL);
            let percent = current.map_or(0, |(condition, _)| condition.rejected_percent.min(100));
            let share = f64::from(percent) / 100.0;
            if percent == 0 { 0.0 } else { (share + REJECTED_HALF_STEP).min(1.0) }
        };
        let best = targets.iter().map(rejected).fold(1.0, f64::min);
        let offer_weight =
            |target: &TargetOffers| (-(rejected(target) - best) * OFFER_DECREASE).exp();
        let (mut demand, mut capacity, mut preferred) = (0.0, 0.0, 0.0);
        for target in targets {
            let limit = f64::from(target.load.limit.max(1));
            demand += f64::from(target.load.running) + f64::from(target.load.waiting);
            capacity += limit;
            preferred += limit * offer_weight(target);
        }
        // What the preferred targets can't take goes to all.
        let excess = (demand - preferred) / (capacity - preferred).max(f64::EPSILON);
        let excess = excess.clamp(0.0, 1.0);
        let (mut offers, mut passed) = (0.0, 0.0);
        for target in targets {
            let preference = offer_weight(target);
            let weight =
                f64::from(target.load.limit.max(1)) * (preference + (1.0 - preference) * excess);
            offers += weight;
            passed += weight * (1.0 - rejected(target));
        }
        Some(Self { share: passed / offers, age })
    }

    /// The average of this pass rate and a later one.
    fn averaged(self, latest: Self) -> Self {
        Self { share: self.share + LATEST_WEIGHT * (latest.share - self.share), ..latest }
    }

    /// The retries that one call is expected to need.
    fn retries_per_call(self) -> f64 {
        let share = self.share.max(PASS_MIN);
        (1.0 - share) / share
    }
}

/// This node's part of the retry budget of a service: what its own trees have earned and spent.
///
/// Follows the same windows as the budgets of the senders, so that entries plan what senders grant.
#[derive(Debug)]
struct TreeBudget {
    window: RetryWindow,
    has_begun: bool,
}

impl TreeBudget {
    fn new(bucket: u64) -> Self {
        Self { window: RetryWindow::new(bucket), has_begun: false }
    }

    fn record(&mut self, calls: &ServiceCalls) {
        if !self.has_begun {
            self.window.begin();
            self.has_begun = true;
        }
        let requests = calls.requests.min(CALLS_MAX);
        // A tree whose runs were all repeated by its callers has repeats without a request.
        let repeats = calls.repeats.min(REPEATS_PER_REQUEST_MAX * requests.max(1));
        let bucket = self.window.current();
        bucket.requests = bucket.requests.saturating_add(requests);
        bucket.spent += f64::from(repeats);
    }

    /// The rate at which requests of `rank` may spend the budget, in retries per second. `pending`
    /// are the retries that trees in flight are expected to need, by rank.
    ///
    /// The most important rank may use up the whole budget within `SPEND_BUCKETS_MIN`. All others
    /// get the highest constant rate that exceeds the budget in none of the windows until these
    /// end, so retries that leave the window on the way become available again. Windows that begin
    /// during a fault are earned by fewer requests. They are spent in a proportionally shorter time:
    /// otherwise the rate falls with every window, and budget is left over after a fault of 10 s.
    fn rate(
        &self,
        share: f64,
        rank: u8,
        pending: &BTreeMap<u8, f64>,
        fractions: RankFractions,
    ) -> f64 {
        let windows = self.window.windows().map(|(requests, spent)| (requests * share, spent));
        let most = windows.iter().map(|(budget, _)| *budget).fold(f64::MIN_POSITIVE, f64::max);
        let mut rate = f64::INFINITY;
        for (age, (budget, spent)) in windows.into_iter().enumerate() {
            if rank > 0 && age + SPEND_BUCKETS_MIN > BUCKETS {
                continue;
            }
            let left = remaining((budget, spent), rank, pending, fractions);
            let until_end = budget / most * BUCKETS as f64 - age as f64;
            let spend_buckets = if rank == 0 { 0.0 } else { until_end };
            let spend_buckets = spend_buckets.max(SPEND_BUCKETS_MIN as f64);
            rate = rate.min(left / (BUCKET.as_secs_f64() * spend_buckets));
        }
        rate.max(0.0)
    }
}

/// Retries that requests of `rank` may still spend in a window with a `budget` for all ranks.
///
/// Senders leave a part of the budget to more important ranks. So trees of less important ranks that
/// were in flight when a fault began can't use up more than their own part.
fn remaining(
    (budget, mut spent): (f64, f64),
    rank: u8,
    pending: &BTreeMap<u8, f64>,
    fractions: RankFractions,
) -> f64 {
    for (other, retries) in pending.iter().rev() {
        let bound = if *other < rank { f64::INFINITY } else { budget * fractions.of(*other) };
        spent = spent.max((spent + retries).min(bound));
    }
    budget * fractions.of(rank) - spent
}

/// State of one service.
#[derive(Debug)]
struct ServiceState {
    /// The averaged pass rate; `None` if no target has a condition.
    pass: Option<PassRate>,
    budget: TreeBudget,
    /// Retries that trees in flight are expected to need, by rank.
    pending: BTreeMap<u8, f64>,
    /// Retries per second expected of the requests admitted so far, while decisions are made.
    planned_per_s: f64,
}

impl ServiceState {
    fn new(bucket: u64) -> Self {
        let budget = TreeBudget::new(bucket);
        Self { pass: None, budget, pending: BTreeMap::new(), planned_per_s: 0.0 }
    }
}

/// Demand of one rank of a route, and the decision for it.
#[derive(Clone, Debug)]
struct Demand {
    /// Requests since the last decision.
    asked: u32,
    /// Demand averaged over about a second, in requests per second.
    recent_per_s: f64,
    /// Demand averaged over about 20 s, in requests per second.
    slow_per_s: f64,
    probability: f64,
    /// The service that limits the probability; empty if none does.
    limited_by: String,
    /// Admitted requests in flight.
    in_flight: Rc<Cell<u32>>,
}

impl Default for Demand {
    fn default() -> Self {
        Self {
            asked: 0,
            recent_per_s: 0.0,
            slow_per_s: 0.0,
            probability: 1.0,
            limited_by: String::new(),
            in_flight: Rc::default(),
        }
    }
}

impl Demand {
    /// Includes the requests of the last interval in the averages.
    fn update(&mut self) {
        let latest = f64::from(self.asked) / ADJUST_INTERVAL.as_secs_f64();
        self.asked = 0;
        self.recent_per_s += DEMAND_WEIGHT * (latest - self.recent_per_s);
        self.slow_per_s += SLOW_DEMAND_WEIGHT * (latest - self.slow_per_s);
    }

    /// The demand planned for, in requests per second: rises within a second, falls within 20 s.
    fn per_s(&self) -> f64 {
        self.recent_per_s.max(self.slow_per_s)
    }

    /// The probability at which `permitted` retries per second cover the demand if each request is
    /// expected to need `retries`.
    fn covered(&self, permitted: f64, retries: f64) -> f64 {
        let needed = retries * self.per_s();
        if needed > 0.0 {
            return permitted.max(0.0) / needed;
        }
        // A rank that has only trees in flight.
        if permitted > 0.0 { 1.0 } else { 0.0 }
    }
}

/// State of one root route.
#[derive(Debug, Default)]
struct RootState {
    /// Mean number of calls of a successful tree, by service.
    calls: HashMap<String, f64>,
    /// Number of successful trees.
    trees: u32,
    /// Demand by rank.
    demand: BTreeMap<u8, Demand>,
}

impl RootState {
    /// Learns the calls of a successful tree.
    fn learn(&mut self, calls: &[ServiceCalls]) {
        self.trees = self.trees.saturating_add(1);
        let weight = (1.0 / f64::from(self.trees)).max(CALLS_WEIGHT_MIN);
        for (service, mean) in &mut self.calls {
            if !calls.iter().any(|known| known.service == *service) {
                *mean -= weight * *mean;
            }
        }
        self.calls.retain(|_, mean| *mean >= CALLS_MIN);
        for known in calls {
            let requests = f64::from(known.requests.min(CALLS_MAX));
            if let Some(mean) = self.calls.get_mut(&known.service) {
                *mean += weight * (requests - *mean);
            } else if requests > 0.0 && self.calls.len() < SERVICES_MAX {
                self.calls.insert(known.service.clone(), weight * requests);
            }
        }
    }

    /// The rank with the lowest probability of admission, and its demand.
    fn most_restricted(&self) -> Option<(u8, &Demand)> {
        let least = self
            .demand
            .iter()
            .min_by(|one, other| one.1.probability.total_cmp(&other.1.probability));
        least.map(|(rank, demand)| (*rank, demand))
    }
}

/// Counts an admitted request as in flight until dropped. Its expected retries are charged for as
/// long, as the actual ones are known only when its tree ends.
#[derive(Debug)]
pub struct TreeInFlight(Rc<Cell<u32>>);

impl Drop for TreeInFlight {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// The inputs of the decision about a route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Restriction {
    /// The service that limits the route; empty if it is not restricted.
    pub service: String,
    /// The pass rate of that service.
    pub pass: Option<PassRate>,
    /// Mean number of calls of a tree to that service.
    pub calls: f64,
    /// Retries per second that the budget permits to the requests of the rank.
    pub retries_per_s: f64,
    /// Demand, in requests per second.
    pub asked_per_s: f64,
}

/// Admission of requests by the probability that their trees complete, at one entry node.
#[derive(Debug)]
pub struct Completion {
    /// Retries planned per call of this node's trees, before the fraction that senders use.
    share: f64,
    rank_fractions: Cell<RankFractions>,
    started: Instant,
    /// Whether any target has a condition.
    is_on: Cell<bool>,
    services: RefCell<HashMap<String, ServiceState>>,
    roots: RefCell<HashMap<Rc<str>, RootState>>,
}

impl Completion {
    /// Creates the state for the given limits on retries.
    pub fn new(settings: &RetrySection) -> Self {
        Self {
            share: settings.share * PLANNED_FRACTION,
            rank_fractions: Cell::default(),
            started: Instant::now(),
            is_on: Cell::default(),
            services: RefCell::default(),
            roots: RefCell::default(),
        }
    }

    /// Sets the least important rank.
    pub fn set_rank_max(&self, rank_max: u8) {
        self.rank_fractions.set(RankFractions::up_to(rank_max));
    }

    /// Whether a caller's request is admitted. Counts it as demand.
    pub fn admits(&self, route: &Route, rank: u8, rng: &mut impl Rng) -> bool {
        if !self.is_on.get() {
            return true;
        }
        let is_admitted = |root: &mut RootState, rng: &mut _| {
            let demand = root.demand.entry(rank).or_default();
            demand.asked += 1;
            demand.probability >= 1.0 || Rng::random::<f64>(rng) < demand.probability
        };
        self.with_root(&route.name, |root| is_admitted(root, rng)).unwrap_or(true)
    }

    /// Counts an admitted request as in flight; `None` if nothing needs to be counted.
    pub fn begin_tree(&self, root: &Rc<str>, rank: u8) -> Option<TreeInFlight> {
        if !self.is_on.get() {
            return None;
        }
        self.with_root(root, |root| {
            let in_flight = &root.demand.entry(rank).or_default().in_flight;
            in_flight.set(in_flight.get() + 1);
            TreeInFlight(Rc::clone(in_flight))
        })
    }

    /// Records the calls of a caller's request that has its outcome. Failed trees count for the
    /// budget only, as they lack the calls that they did not come to.
    pub fn record_tree(&self, root: &Rc<str>, calls: &[ServiceCalls], has_succeeded: bool) {
        if calls.is_empty() {
            return;
        }
        let bucket = RetryWindow::number(self.started);
        let mut services = self.services.borrow_mut();
        for known in calls {
            if !services.contains_key(&known.service) {
                if services.len() >= TRACKED_MAX {
                    continue;
                }
                services.insert(known.service.clone(), ServiceState::new(bucket));
            }
            let Some(state) = services.get_mut(&known.service) else { continue };
            state.budget.window.advance(bucket);
            state.budget.record(known);
        }
        if has_succeeded {
            self.with_root(root, |root| root.learn(calls));
        }
    }

    /// Decides the probabilities of admission for the next interval, by the ready targets of each
    /// service that has a target with a condition.
    pub fn adjust(&self, targets: &HashMap<String, Vec<TargetOffers>>) {
        let mut services = self.services.borrow_mut();
        let bucket = RetryWindow::number(self.started);
        for (service, offers) in targets {
            if !services.contains_key(service) {
                services.insert(service.clone(), ServiceState::new(bucket));
            }
            let Some(state) = services.get_mut(service) else { continue };
            let latest = PassRate::of(offers);
            let average =
                |latest: PassRate| state.pass.map_or(latest, |pass| pass.averaged(latest));
            state.pass = latest.map(average);
        }
        for (service, state) in services.iter_mut() {
            state.budget.window.advance(bucket);
            state.pending.clear();
            state.planned_per_s = 0.0;
            if !targets.contains_key(service) {
                state.pass = None;
            }
        }
        services.retain(|_, state| state.pass.is_some() || state.budget.window.has_requests());
        self.is_on.set(services.values().any(|state| state.pass.is_some()));
        let mut roots = self.roots.borrow_mut();
        if !self.is_on.get() {
            roots.retain(|_, root| {
                root.demand.clear();
                root.trees > 0
            });
            return;
        }
        roots.retain(|_, root| {
            update_demand(&mut root.demand);
            root.trees > 0 || !root.demand.is_empty()
        });
        if services.values().all(|state| state.pass.is_none_or(|pass| pass.share >= 1.0)) {
            lift(&mut roots);
            return;
        }
        let mut plans = plans(&mut roots, &services);
        for plan in &plans {
            for (service, retries) in &plan.retries {
                let Some(state) = services.get_mut(*service) else { continue };
                for (rank, demand) in plan.demand.iter() {
                    let pending = state.pending.entry(*rank).or_default();
                    *pending += f64::from(demand.in_flight.get()) * retries;
                }
            }
        }
        decide(&mut plans, &mut services, self.share, self.rank_fractions.get());
        probe(&mut plans);
    }

    /// The probability that a request of the route is admitted, averaged over its ranks.
    pub fn admission_probability(&self, route: &str) -> f64 {
        let roots = self.roots.borrow();
        let Some(root) = roots.get(route) else { return 1.0 };
        let (mut asked, mut admitted) = (0.0, 0.0);
        for demand in root.demand.values() {
            asked += demand.per_s();
            admitted += demand.per_s() * demand.probability;
        }
        if asked > 0.0 { admitted / asked } else { 1.0 }
    }

    /// The inputs of the latest decision about the route.
    pub fn restriction(&self, route: &str) -> Restriction {
        let (roots, services) = (self.roots.borrow(), self.services.borrow());
        let Some(root) = roots.get(route) else { return Restriction::default() };
        let Some((rank, demand)) = root.most_restricted() else { return Restriction::default() };
        let state = services.get(&demand.limited_by);
        Restriction {
            service: demand.limited_by.clone(),
            pass: state.and_then(|state| state.pass),
            calls: root.calls.get(&demand.limited_by).copied().unwrap_or(0.0),
            retries_per_s: state.map_or(0.0, |state| {
                state.budget.rate(self.share, rank, &state.pending, self.rank_fractions.get())
            }),
            asked_per_s: root.demand.values().map(Demand::per_s).sum(),
        }
    }

    /// The pass rates of all services that have one.
    pub fn pass_rates(&self) -> Vec<(String, PassRate)> {
        let services = self.services.borrow();
        let known = services.iter().filter_map(|(name, state)| Some((name.clone(), state.pass?)));
        known.collect()
    }

    /// Calls `take` with the state of a route; `None` if there are too many routes.
    fn with_root<T>(&self, name: &Rc<str>, take: impl FnOnce(&mut RootState) -> T) -> Option<T> {
        let mut roots = self.roots.borrow_mut();
        if let Some(root) = roots.get_mut(name) {
            return Some(take(root));
        }
        if roots.len() >= TRACKED_MAX {
            return None;
        }
        Some(take(roots.entry(Rc::clone(name)).or_default()))
    }
}

/// Updates the average demand, and forgets the ranks that have none.
fn update_demand(by_rank: &mut BTreeMap<u8, Demand>) {
    by_rank.retain(|_, demand| {
        demand.update();
        demand.per_s() > DEMAND_MIN_PER_S || demand.in_flight.get() > 0
    });
}

/// Admits all requests, as no target rejects offers.
fn lift(roots: &mut HashMap<Rc<str>, RootState>) {
    for demand in roots.values_mut().flat_map(|root| root.demand.values_mut()) {
        demand.probability = 1.0;
        demand.limited_by.clear();
    }
}

/// A route in one decision.
struct RootPlan<'a> {
    name: &'a str,
    /// The retries that a tree is expected to need, by service with rejecting targets.
    retries: Vec<(&'a str, f64)>,
    /// Their sum.
    retries_sum: f64,
    /// The probability that a tree completes without retries.
    completes: f64,
    /// The mean number of calls of a tree to all services.
    calls: f64,
    demand: &'a mut BTreeMap<u8, Demand>,
}

/// The routes with demand, in order of the retries that a tree needs.
fn plans<'a>(
    roots: &'a mut HashMap<Rc<str>, RootState>,
    services: &HashMap<String, ServiceState>,
) -> Vec<RootPlan<'a>> {
    let mut plans = Vec::new();
    for (name, RootState { calls, demand, .. }) in roots {
        let all_calls = calls.values().sum();
        if demand.is_empty() {
            continue;
        }
        let (mut retries, mut retries_sum, mut completes) = (Vec::new(), 0.0, 1.0);
        for (service, calls) in calls.iter() {
            let Some(pass) = services.get(service).and_then(|state| state.pass) else { continue };
            let needed = calls * pass.retries_per_call();
            if needed > 0.0 {
                retries.push((service.as_str(), needed));
                retries_sum += needed;
                completes *= pass.share.max(0.0).powf(*calls);
            }
        }
        plans.push(RootPlan { name, retries, retries_sum, completes, calls: all_calls, demand });
    }
    plans.sort_by(|one, other| {
        one.retries_sum.total_cmp(&other.retries_sum).then_with(|| one.name.cmp(other.name))
    });
    plans
}

/// Divides the budgets among the routes, in order of rank and then of the retries that a tree
/// needs.
fn decide(
    plans: &mut [RootPlan],
    services: &mut HashMap<String, ServiceState>,
    share: f64,
    fractions: RankFractions,
) {
    let ranks = |(index, plan): (usize, &RootPlan)| -> Vec<_> {
        plan.demand.keys().map(|rank| (*rank, index)).collect()
    };
    let mut order: Vec<(u8, usize)> = plans.iter().enumerate().flat_map(ranks).collect();
    order.sort_unstable();
    for (rank, index) in order {
        let RootPlan { retries, completes, calls, demand, .. } = &mut plans[index];
        let Some(demand) = demand.get_mut(&rank) else { continue };
        let (mut probability, mut limited_by) = (1.0, "");
        if *completes < COMPLETES_MIN {
            for (service, retries) in retries.iter() {
                let Some(state) = services.get(*service) else { continue };
                let permitted =
                    state.budget.rate(share, rank, &state.pending, fractions) - state.planned_per_s;
                let covered = demand.covered(permitted, *retries);
                if covered < probability {
                    (probability, limited_by) = (covered, service);
                }
            }
        }
        for (service, retries) in retries.iter() {
            if let Some(state) = services.get_mut(*service) {
                state.planned_per_s += probability * demand.per_s() * retries;
            }
        }
        // The budget is charged for what it covers only: without it, senders don't retry.
        if *calls <= SINGLE_CALL_MAX && *completes >= SINGLE_CALL_COMPLETES_MIN {
            (probability, limited_by) = (1.0, "");
        }
        demand.probability = probability;
        limited_by.clone_into(&mut demand.limited_by);
    }
}

/// Keeps a small probability of admission for the cheapest route that reaches each service with
/// rejecting targets.
fn probe(plans: &mut [RootPlan]) {
    let mut probed: HashSet<&str> = HashSet::new();
    for plan in plans {
        let mut is_cheapest = false;
        for (service, _) in &plan.retries {
            is_cheapest |= probed.insert(service);
        }
        if !is_cheapest {
            continue;
        }
        for demand in plan.demand.values_mut() {
            demand.probability = demand.probability.max(PROBE_PROBABILITY);
        }
    }
}
