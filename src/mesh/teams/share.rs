//! Divides the capacity of an overloaded service among the teams that use it, by max-min fairness.
//!
//! Every entry node computes the shares for itself, from the reports of the service's targets. It
//! estimates what each team would use if all its requests were admitted, and finds the level up to
//! which all teams can be served. A team that asks for more than its share is admitted with the
//! probability share / demand, all others up to the bound on requests in flight.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use crate::event::LogEvent;
use crate::mesh::frame::{Load, NotRun, Status, TeamUse};
use crate::mesh::node::Node;
use crate::mesh::overload::{Admitted, Overload, ServiceView};
use crate::mesh::site::Route;

use super::roster::Roster;
use super::use_report::{interval, sample_weight};

/// Minimum age at which a report is discarded. With many targets, the age is twice the interval
/// between their reports, so that one report may be lost.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// Time from the admission of a request until its runs are visible in the sampled use.
const USE_LAG: Duration = Duration::from_millis(200);
/// How long a team that is in no report is remembered beyond the age at which reports are
/// discarded, so that the probability applied before the oldest report is known.
const TEAM_TTL_MARGIN: Duration = Duration::from_secs(1);
/// Number of intervals into which the history of applied probabilities is divided at most. The
/// history of a team then fits into 64 entries.
const HISTORY_MAX: u32 = 60;
/// Maximum number of teams and ranks that are tracked for one service. All others count as not
/// listed. At 150 services and about 0.5 KB each, they take 38 MB of the 64 MB of a node.
const TEAMS_MAX: usize = 512;
/// How long a restricted team that is not listed is remembered. The restriction itself lowers its
/// use below that of unlisted teams; a team that is forgotten would be unrestricted again.
const RESTRICTED_TTL: Duration = Duration::from_secs(30);
/// Time constant with which the estimate of a team decays while it is not listed.
const UNLISTED_DECAY: Duration = Duration::from_secs(10);
/// Fraction of the slots that is divided. The rest absorbs random variation: without it, queues
/// would grow, and the use of full slots does not show by how much the demand exceeds them. In the
/// closed loop of the tests, 0.97 leaves teams within their share at 0.957 in the worst of 16 runs,
/// 0.95 at 0.984, and 0.93 uses 0.01 to 0.02 less of the capacity.
const DIVIDED_FRACTION: f64 = 0.95;
/// Utilisation, with queued requests, above which less than `DIVIDED_FRACTION` is divided.
const QUEUED_UTILISATION: f64 = 1.2;
/// Reduction of the divided capacity for each unit of utilisation above `QUEUED_UTILISATION`.
const QUEUE_REDUCTION: f64 = 0.3;
/// Minimum probability of admission, so that the demand of a team remains visible in its use.
const PROBABILITY_MIN: f64 = 0.02;
/// Exponent of the probability in the estimate of the demand. With 1, entries that began with
/// different probabilities would keep their ratio forever; with this, it fades over minutes, and a
/// team that is admitted with probability 0.25 gets 7% more than one that is hardly restricted.
const PROBABILITY_EXPONENT: f64 = 0.95;
/// Rate at which the divided capacity is corrected for the difference between the capacity and the
/// use, relative to that of the averages.
const CORRECTION_RATE: f64 = 0.15;
/// The range of the correction, as a fraction of the capacity.
const CORRECTION_RANGE: (f64, f64) = (-0.25, 0.1);
/// Demand below which a team does not count as using a service, in running requests.
const DEMAND_MIN: f64 = 0.01;

/// The use of one service by teams, as reported by its targets.
#[derive(Clone, Debug, Default)]
pub struct ServiceUse {
    /// The current reports, with their age.
    pub reports: Vec<(Rc<TeamUse>, Duration)>,
    /// The summed load of all targets.
    pub load: Load,
    /// The summed load of the targets without a current report.
    pub unreported: Load,
    /// Number of targets, on which the interval between their reports depends.
    pub targets: usize,
}

impl ServiceUse {
    /// Adds a target with its last report.
    pub fn add_target(&mut self, load: Load, report: Option<(Rc<TeamUse>, Duration)>) {
        let add = |sum: &mut Load| {
            sum.running = sum.running.saturating_add(load.running);
            sum.waiting = sum.waiting.saturating_add(load.waiting);
            sum.limit = sum.limit.saturating_add(load.limit);
        };
        add(&mut self.load);
        match report.filter(|(_, age)| is_fresh(*age, self.targets)) {
            Some(report) => self.reports.push(report),
            None => add(&mut self.unreported),
        }
    }

    /// The capacity that is divided among teams, in running requests. `utilisation` is the mean
    /// utilisation of the service.
    fn capacity(&self, utilisation: f64) -> f64 {
        let reported: f64 = self.reports.iter().map(|(report, _)| f64::from(report.limit)).sum();
        let queued = (utilisation - QUEUED_UTILISATION).clamp(0.0, 1.0);
        let limit = reported + f64::from(self.unreported.limit);
        limit * DIVIDED_FRACTION * (1.0 - QUEUE_REDUCTION * queued)
            - f64::from(self.unreported.running)
    }

    /// The reported running requests of all teams.
    fn running(&self) -> f64 {
        let mut milli = 0;
        for (report, _) in &self.reports {
            milli += report.teams.iter().map(|used| u64::from(used.running_milli)).sum::<u64>();
            milli += report.others.iter().map(|used| u64::from(used.running_milli)).sum::<u64>();
        }
        milli as f64 / 1000.0
    }

    /// The age of the oldest report.
    fn oldest(&self) -> Duration {
        self.reports.iter().map(|(_, age)| *age).max().unwrap_or_default()
    }
}

/// Whether a report of this age is still used. `targets` is the number of targets of the service.
pub fn is_fresh(age: Duration, targets: usize) -> bool {
    age < report_ttl(targets)
}

/// Age at which a report is discarded.
fn report_ttl(targets: usize) -> Duration {
    REPORT_TTL.max(interval(targets) * 2)
}

/// How the requests of one team and rank are treated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Entitlement {
    /// No shares are in force for them: the load and the rank decide.
    None,
    /// The team is within its share, or the rank is more important than those that are divided.
    Within,
    /// The team asks for more than its share.
    Above(ShareState),
}

/// The share of a team that asks for more, as known to an entry node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareState {
    /// The probability of admission.
    pub probability: f64,
    /// The share, in running requests.
    pub share: f64,
    /// The estimated demand, in running requests.
    pub demand: f64,
    /// The age of the oldest report at the last adjustment.
    pub reports_age: Duration,
}

impl fmt::Display for ShareState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { probability, share, demand, reports_age } = self;
        write!(
            f,
            "asks for {demand:.1} running requests, its share is {share:.1}; admitted {:.0} in 100, \
             reports up to {} ms old",
            probability * 100.0,
            reports_age.as_millis()
        )
    }
}

/// The probability of admission that was applied, averaged like the use, over the last seconds.
#[derive(Debug)]
struct Applied {
    /// Sum and number of the probabilities applied since the last adjustment.
    pending: Cell<(f64, u32)>,
    /// The part of the probability that is due to the load: the last applied one divided by that of
    /// the share.
    by_load: f64,
    mean: f64,
    /// Earlier means, the last one at the last time of `ServiceShares::history_times`.
    history: VecDeque<f32>,
}

impl Default for Applied {
    fn default() -> Self {
        Self { pending: Cell::default(), by_load: 1.0, mean: 1.0, history: VecDeque::new() }
    }
}

impl Applied {
    fn record(&self, probability: f64) {
        let (sum, count) = self.pending.get();
        self.pending.set((sum + probability, count + 1));
    }

    /// Ends an interval during which the probability of the share was `by_share`. The mean is added
    /// to the history if `is_kept`, of which the last `length` are kept.
    fn adjust(&mut self, by_share: f64, weight: f64, is_kept: bool, length: usize) {
        let (sum, count) = self.pending.take();
        if count > 0 {
            self.by_load = (sum / f64::from(count) / by_share).clamp(0.0, 1.0);
        }
        self.mean += weight * (by_share * self.by_load - self.mean);
        if is_kept {
            self.history.push_back(self.mean as f32);
        }
        while self.history.len() > length {
            self.history.pop_front();
        }
    }

    /// The mean before the last `skipped` of the history; the oldest one known if that was before.
    fn mean_before(&self, skipped: usize) -> f64 {
        let index = self.history.len().saturating_sub(skipped + 1);
        self.history.get(index).map_or(1.0, |mean| f64::from(*mean)).max(PROBABILITY_MIN)
    }
}

/// A team in the reports of a service.
#[derive(Debug)]
struct TeamDemand {
    /// The estimated demand in running requests, from the current reports and averaged.
    estimate: f64,
    demand: f64,
    /// The last estimate, decayed, which is used if no report lists the team.
    unlisted_estimate: f64,
    share: f64,
    /// The probability of admission that follows from the share.
    probability: f64,
    applied: Applied,
    reported_at: Instant,
}

impl TeamDemand {
    /// How long the team is remembered while it is in no report; `unrestricted` if it may use all it
    /// asks for.
    fn ttl(&self, unrestricted: Duration) -> Duration {
        if self.probability < 1.0 { RESTRICTED_TTL.max(unrestricted) } else { unrestricted }
    }

    fn new(now: Instant) -> Self {
        Self {
            estimate: 0.0,
            demand: f64::NAN,
            unlisted_estimate: 0.0,
            share: f64::INFINITY,
            probability: 1.0,
            applied: Applied::default(),
            reported_at: now,
        }
    }
}

/// The demand of the requests of one rank on a service.
#[derive(Debug, Default)]
struct RankDemand {
    teams: HashMap<Rc<str>, TeamDemand>,
    /// The number and the demand of the teams that are not listed.
    others: (u32, f64),
}

impl RankDemand {
    fn total(&self) -> f64 {
        self.others.1 + self.teams.values().map(|team| team.demand).sum::<f64>()
    }

    fn team_count(&self) -> u32 {
        let listed = self.teams.values().filter(|team| team.demand > DEMAND_MIN).count();
        (listed as u32).saturating_add(self.others.0)
    }

    /// The water level at `capacity`: the share of a team of weight 1.
    fn level(&self, capacity: f64, roster: &Roster) -> f64 {
        let mut demands: Vec<(f64, f64)> = Vec::with_capacity(self.teams.len() + 1);
        for (name, team) in &self.teams {
            demands.push((team.demand, roster.share_weight(name)));
        }
        let (count, demand) = self.others;
        if count > 0 {
            demands.push((demand, f64::from(count) * roster.share_weight("")));
        }
        water_level(demands, capacity)
    }
}

/// The level to which `capacity` fills demands, each given with its weight. Demands below the level
/// times their weight are met in full.
pub fn water_level(mut demands: Vec<(f64, f64)>, capacity: f64) -> f64 {
    demands.sort_unstable_by(|one, other| (one.0 / one.1).total_cmp(&(other.0 / other.1)));
    let mut left = capacity.max(0.0);
    let mut weight: f64 = demands.iter().map(|(_, weight)| weight).sum();
    for (demand, own_weight) in demands {
        let level = left / weight;
        if demand > level * own_weight {
            return level;
        }
        left -= demand;
        weight -= own_weight;
    }
    f64::INFINITY
}

/// The shares of one service.
#[derive(Debug, Default)]
struct ServiceShares {
    ranks: BTreeMap<u8, RankDemand>,
    /// The rank at which the capacity runs out; `None` if it suffices, or if one team is alone.
    divided: Option<u8>,
    capacity: f64,
    /// Correction of the divided capacity, as a fraction of it.
    correction: f64,
    level: f64,
    /// Whether the unlisted teams of the divided rank together ask for more than their shares.
    are_others_above: bool,
    /// Mean utilisation of the service.
    utilisation: f64,
    reports: usize,
    oldest: Duration,
    adjusted_at: Option<Instant>,
    /// The times of the applied probabilities that teams keep, oldest first.
    history_times: VecDeque<Instant>,
    /// The root routes of the requests that reach the service.
    roots: HashSet<String>,
    /// Whether shares were in force when this was last logged.
    is_logged: bool,
}

impl ServiceShares {
    fn adjust(&mut self, usage: &ServiceUse, roster: &Roster, now: Instant) {
        let elapsed = self.adjusted_at.replace(now).map(|last| now - last);
        let weight = sample_weight(elapsed.unwrap_or_default());
        let utilisation = usage.load.utilisation();
        if elapsed.is_none() {
            self.utilisation = utilisation;
        }
        self.utilisation += weight * (utilisation - self.utilisation);
        self.reports = usage.reports.len();
        self.oldest = usage.oldest();
        let team_ttl = report_ttl(usage.targets) + TEAM_TTL_MARGIN;
        self.estimate(usage, elapsed.unwrap_or_default(), now);
        for rank in self.ranks.values_mut() {
            rank.teams.retain(|_, team| now - team.reported_at < team.ttl(team_ttl));
            for team in rank.teams.values_mut() {
                let demand = if team.demand.is_nan() { team.estimate } else { team.demand };
                team.demand = demand + weight * (team.estimate - demand);
            }
        }
        self.ranks.retain(|_, rank| !rank.teams.is_empty() || rank.others.0 > 0);
        let capacity = usage.capacity(self.utilisation);
        let unused = 1.0 - usage.running() / capacity.max(1.0);
        let correction = self.correction + CORRECTION_RATE * weight * unused;
        let (least, most) = CORRECTION_RANGE;
        self.correction = if self.divided.is_some() { correction.clamp(least, most) } else { 0.0 };
        self.divide(capacity * (1.0 + self.correction), roster);
        let times = &mut self.history_times;
        let is_kept = times.back().is_none_or(|at| now - *at >= team_ttl / HISTORY_MAX);
        times.extend(is_kept.then_some(now));
        while times.front().is_some_and(|at| now - *at > team_ttl) {
            times.pop_front();
        }
        for rank in self.ranks.values_mut() {
            for team in rank.teams.values_mut() {
                team.applied.adjust(team.probability, weight, is_kept, times.len());
            }
        }
    }

    /// Estimates the demand of each team by its use and by the probability with which the requests
    /// that are now visible in the use were admitted. A known team that is not listed is assumed to
    /// be among the others, if there are any; `elapsed` is the time since the last estimate.
    fn estimate(&mut self, usage: &ServiceUse, elapsed: Duration, now: Instant) {
        let decay = (-elapsed.as_secs_f64() / UNLISTED_DECAY.as_secs_f64()).exp();
        for rank in self.ranks.values_mut() {
            rank.others = (0, 0.0);
            for team in rank.teams.values_mut() {
                team.unlisted_estimate = team.estimate * decay;
                team.estimate = 0.0;
            }
        }
        let times = &self.history_times;
        let later_than = |delay| times.iter().rev().take_while(|at| now - **at < delay).count();
        let mut tracked: usize = self.ranks.values().map(|rank| rank.teams.len()).sum();
        for (report, age) in &usage.reports {
            let skipped = later_than(*age + USE_LAG);
            for used in &report.teams {
                let running = f64::from(used.running_milli) / 1000.0;
                let rank = self.ranks.entry(used.rank).or_default();
                if !rank.teams.contains_key(used.team.as_str()) {
                    if tracked >= TEAMS_MAX {
                        rank.others = (rank.others.0.max(1), rank.others.1 + running);
                        continue;
                    }
                    tracked += 1;
                    rank.teams.insert(used.team.as_str().into(), TeamDemand::new(now));
                }
                let Some(team) = rank.teams.get_mut(used.team.as_str()) else { continue };
                let admitted = team.applied.mean_before(skipped);
                team.estimate += running / admitted.powf(PROBABILITY_EXPONENT);
                team.reported_at = now;
            }
            for used in &report.others {
                let (count, demand) = &mut self.ranks.entry(used.rank).or_default().others;
                // Mostly the same teams use all targets.
                *count = (*count).max(used.teams);
                *demand += f64::from(used.running_milli) / 1000.0;
            }
        }
        let skipped = later_than(usage.oldest() + USE_LAG);
        for rank in self.ranks.values_mut().filter(|rank| rank.others.0 > 0) {
            for team in rank.teams.values_mut().filter(|team| team.reported_at != now) {
                team.estimate = team.unlisted_estimate;
                let admitted = team.applied.mean_before(skipped);
                let (count, demand) = &mut rank.others;
                *count = count.saturating_sub(1);
                *demand = (*demand - team.estimate * admitted.powf(PROBABILITY_EXPONENT)).max(0.0);
            }
            if rank.others.0 == 0 {
                rank.others.1 = 0.0;
            }
        }
    }

    /// Divides `capacity` among the teams of the rank at which it runs out.
    fn divide(&mut self, capacity: f64, roster: &Roster) {
        self.capacity = capacity;
        self.divided = None;
        let mut left = capacity;
        let mut has_run_out = false;
        for (rank, demand) in &mut self.ranks {
            let total = demand.total();
            let runs_out = !has_run_out && total > left.max(0.0);
            has_run_out |= runs_out;
            let is_divided = runs_out && demand.team_count() > 1;
            let level = if is_divided { demand.level(left, roster) } else { f64::INFINITY };
            if is_divided {
                self.divided = Some(*rank);
                self.level = level;
                let (count, others) = demand.others;
                let share = level * f64::from(count) * roster.share_weight("");
                self.are_others_above = others > share;
            }
            for (name, team) in &mut demand.teams {
                team.share = level * roster.share_weight(name);
                let is_above = team.demand > team.share;
                let probability = if is_above { team.share / team.demand } else { 1.0 };
                team.probability = probability.max(PROBABILITY_MIN);
            }
            left -= total;
        }
    }

    fn team(&self, name: &str, rank: u8) -> Option<&TeamDemand> {
        self.ranks.get(&rank)?.teams.get(name)
    }

    /// How requests of a team and rank are treated because of this service.
    fn entitlement(&self, name: &str, rank: u8) -> Entitlement {
        let Some(divided) = self.divided.filter(|divided| rank <= *divided) else {
            return Entitlement::None;
        };
        match self.team(name, rank) {
            Some(team) if rank == divided && team.probability < 1.0 => {
                let TeamDemand { probability, share, demand, .. } = *team;
                let reports_age = self.oldest;
                Entitlement::Above(ShareState { probability, share, demand, reports_age })
            }
            None if rank == divided && self.are_others_above => Entitlement::None,
            _ => Entitlement::Within,
        }
    }

    /// Number of teams that ask for more than their share.
    fn teams_above(&self) -> usize {
        let teams = self.ranks.values().flat_map(|rank| rank.teams.values());
        teams.filter(|team| team.probability < 1.0).count()
    }
}

/// The shares of all overloaded services, as computed by one entry node.
#[derive(Debug, Default)]
pub struct TeamShares {
    services: RefCell<HashMap<String, ServiceShares>>,
}

impl TeamShares {
    /// Adjusts the shares to the reported use. Services without a current report have none. `views`
    /// tells which root routes reach each service.
    pub fn adjust(
        &self,
        uses: &HashMap<String, ServiceUse>,
        views: &HashMap<String, ServiceView>,
        roster: &Roster,
        now: Instant,
    ) {
        let mut services = self.services.borrow_mut();
        services.retain(|service, shares| {
            let is_used = uses.get(service).is_some_and(|usage| !usage.reports.is_empty());
            if !is_used && !shares.is_logged {
                return false;
            }
            if !is_used {
                // Kept until the end of the shares is logged.
                *shares = ServiceShares { is_logged: true, ..ServiceShares::default() };
            }
            true
        });
        for (service, usage) in uses {
            let Some(view) = views.get(service).filter(|_| !usage.reports.is_empty()) else {
                continue;
            };
            if !services.contains_key(service) {
                services.insert(service.clone(), ServiceShares::default());
            }
            let Some(shares) = services.get_mut(service) else { continue };
            shares.roots.clear();
            shares.roots.extend(view.roots.keys().cloned());
            shares.adjust(usage, roster, now);
        }
    }

    /// How requests of a team and rank are treated on `route`: by the service with the least share
    /// among those that the route reaches.
    pub fn entitlement(&self, route: &Route, team: &str, rank: u8) -> Entitlement {
        let mut least = Entitlement::Within;
        let mut is_divided = false;
        for shares in self.services.borrow().values() {
            if !shares.roots.contains(&*route.name) || shares.divided.is_none() {
                continue;
            }
            is_divided = true;
            least = match (least, shares.entitlement(team, rank)) {
                (Entitlement::Above(one), Entitlement::Above(other)) => {
                    Entitlement::Above(if other.probability < one.probability {
                        other
                    } else {
                        one
                    })
                }
                (above @ Entitlement::Above(_), _) | (_, above @ Entitlement::Above(_)) => above,
                (Entitlement::Within, Entitlement::Within) => Entitlement::Within,
                _ => Entitlement::None,
            };
        }
        if is_divided { least } else { Entitlement::None }
    }

    /// Admits a request by the share of its team and by the load.
    pub fn admit(
        &self,
        overload: &Overload,
        route: &Route,
        team: &str,
        rank: u8,
        rng: &mut impl Rng,
    ) -> Result<Admitted, NotRun> {
        if self.services.borrow().is_empty() {
            return overload.admit(route, rank, rng).ok_or(NotRun::Shed);
        }
        let entitlement = self.entitlement(route, team, rank);
        self.record_applied(entitlement, overload, route, team, rank);
        match entitlement {
            Entitlement::None => overload.admit(route, rank, rng).ok_or(NotRun::Shed),
            Entitlement::Within => overload.admit_within_share(route, rng).ok_or(NotRun::Shed),
            Entitlement::Above(state) if rng.random::<f64>() < state.probability => {
                overload.admit_shared(route, rank, rng).ok_or(NotRun::Shed)
            }
            Entitlement::Above(_) => {
                overload.record_refusal(route);
                Err(NotRun::OverShare)
            }
        }
    }

    /// Describes the share because of which requests of a team are refused, for the log.
    pub fn describe(&self, route: &Route, team: &str, rank: u8) -> String {
        match self.entitlement(route, team, rank) {
            Entitlement::Above(state) => state.to_string(),
            Entitlement::None | Entitlement::Within => String::new(),
        }
    }

    /// Records the probability with which a request is admitted, for the estimate of the demand.
    fn record_applied(
        &self,
        entitlement: Entitlement,
        overload: &Overload,
        route: &Route,
        team: &str,
        rank: u8,
    ) {
        let probability = match entitlement {
            Entitlement::None => overload.admission_probability_at(route, rank),
            Entitlement::Within => overload.protected_probability(route),
            Entitlement::Above(state) => {
                state.probability * overload.shared_probability(route, rank)
            }
        };
        for shares in self.services.borrow().values() {
            if !shares.roots.contains(&*route.name) {
                continue;
            }
            let Some(tracked) = shares.team(team, rank) else { continue };
            tracked.applied.record(probability);
        }
    }

    /// Number of teams that ask for more than their share, summed over all services.
    pub fn teams_above(&self) -> usize {
        self.services.borrow().values().map(ServiceShares::teams_above).sum()
    }

    /// The services whose shares have come into force or ceased to be in force since the last call.
    pub fn take_changes(&self) -> Vec<LogEvent> {
        let mut changes = Vec::new();
        for (service, shares) in self.services.borrow_mut().iter_mut() {
            let is_divided = shares.divided.is_some();
            if shares.is_logged == is_divided {
                continue;
            }
            shares.is_logged = is_divided;
            let milli = |running: f64| (running.max(0.0) * 1000.0) as u64;
            changes.push(LogEvent::TeamSharesChanged {
                service: service.clone(),
                in_force: is_divided,
                rank: u32::from(shares.divided.unwrap_or(0)),
                capacity_milli: milli(shares.capacity),
                demand_milli: milli(shares.ranks.values().map(RankDemand::total).sum()),
                level_milli: if is_divided { milli(shares.level) } else { 0 },
                teams_above: shares.teams_above() as u32,
                reports: shares.reports as u32,
                oldest_ms: shares.oldest.as_millis() as u64,
            });
        }
        changes
    }
}

/// Adjusts the shares of a node, whose status is `own`. There are none unless the settings ask for
/// fair shares.
pub fn adjust(node: &Node, own: &Status, views: &HashMap<String, ServiceView>, roster: &Roster) {
    let uses = if roster.is_empty() || !node.settings.teams.fair_shares {
        HashMap::new()
    } else {
        node.directory.service_uses(own, node.use_meter.sent.current())
    };
    node.shares.adjust(&uses, views, roster, Instant::now());
}
