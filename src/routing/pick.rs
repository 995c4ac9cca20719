//! Picks a target for one attempt.

use rand::Rng;

use super::arms::ArmPolicy;
use super::cost::{Cost, CostInput};
use super::floor::{FloorReports, TargetFloors};
use super::health::Ejection;
use super::router::{PickRequest, Router, Service};
use super::target::Target;
use crate::call::{ArmId, ClassRank, Level, NodeId, Refusal, RefusalReason};
use crate::clock::US_PER_MS;
use crate::config::TargetChoice;

/// A probe that is overdue by this time may use any call, even one that must run at most once.
const PROBE_OVERDUE_US: u64 = 2_000 * US_PER_MS;
/// The minimum Retry-After, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 200;
/// The maximum Retry-After before jitter is added, in milliseconds.
const RETRY_AFTER_MAX_MS: u64 = 2_000;

/// The result of scanning a service's targets.
#[derive(Debug, Default)]
struct Scan {
    /// An ejected target that is to be probed with this call.
    probe: Option<usize>,
    /// When the first target whose floor is above the call's level will admit it.
    admits_in_us: Option<u64>,
}

impl Router {
    /// Picks the target for one attempt.
    ///
    /// Refused with `Shed` if the call's level is below the floor of every target that may be used,
    /// and with `NoTarget` if there is no such target, both with a Retry-After that has jitter from
    /// `rng`.
    pub fn pick<R: Rng>(
        &mut self,
        now_us: u64,
        request: &PickRequest<'_>,
        rng: &mut R,
    ) -> Result<NodeId, Refusal> {
        let Some(&service_index) = self.service_indexes.get(request.service) else {
            return Err(refusal(RefusalReason::NoTarget, 0, rng));
        };
        let arm = self.policies.index_or_first(request.arm);
        let policy = *self.policies.get(arm);
        let picked = match policy.choice {
            TargetChoice::RoundRobin => {
                self.round_robin(now_us, service_index, arm, &policy, request)
            }
            TargetChoice::LeastLoaded => {
                self.review_if_due(now_us, service_index, arm);
                self.least_loaded(now_us, service_index, arm, &policy, request, rng)
            }
        };
        match picked {
            Ok(target_index) => Ok(self.node_at_index(target_index)),
            Err(Some(admits_in_us)) => Err(refusal(RefusalReason::Shed, admits_in_us, rng)),
            Err(None) => Err(refusal(RefusalReason::NoTarget, 0, rng)),
        }
    }

    /// The lowest floor among the targets of `service` that may be used; a call below it cannot be
    /// admitted by any. `Level::LOWEST` if there is no such target, or if the arm does not refuse
    /// early.
    pub fn floor(&self, now_us: u64, service: &str, arm: ArmId, class: ClassRank) -> Level {
        let Some(&service_index) = self.service_indexes.get(service) else {
            return Level::LOWEST;
        };
        let arm = self.policies.index_or_first(arm);
        if !self.policies.get(arm).refuse_early {
            return Level::LOWEST;
        }
        let service = &self.services[service_index];
        let shared = &service.arms[arm].floors;
        let floor_of = |target: &Target| {
            target_floors(target, arm, shared)
                .map_or(Level::LOWEST, |known| known.level(now_us, class))
        };
        let targets = self.active_targets(service);
        let healthy = targets.filter(|target| !is_ejected(target, arm));
        if let Some(floor) = healthy.map(floor_of).min() {
            return floor;
        }
        self.active_targets(service).map(floor_of).min().unwrap_or(Level::LOWEST)
    }

    /// Whether a known target that is not avoided has a floor that admits the attempt now.
    pub fn may_pick(&self, now_us: u64, request: &PickRequest<'_>) -> bool {
        let Some(&service_index) = self.service_indexes.get(request.service) else {
            return false;
        };
        let arm = self.policies.index_or_first(request.arm);
        let policy = self.policies.get(arm);
        let service = &self.services[service_index];
        let shared = &service.arms[arm].floors;
        for target in self.active_targets(service) {
            let is_avoided = request.avoid.contains(&target.node);
            if !is_avoided
                && floor_wait_us(target_floors(target, arm, shared), now_us, policy, request) == 0
            {
                return true;
            }
        }
        false
    }

    /// The lower median of the latencies of the targets of `service`, in microseconds; 0 while
    /// unknown.
    pub fn median_latency_us(&self, service: &str, arm: ArmId) -> u64 {
        let Some(&service_index) = self.service_indexes.get(service) else {
            return 0;
        };
        self.services[service_index].arms[self.policies.index_or_first(arm)].baseline.latency_us
            as u64
    }

    /// The targets of `service` that may be used.
    pub(super) fn active_targets<'a>(
        &'a self,
        service: &'a Service,
    ) -> impl Iterator<Item = &'a Target> {
        service.active.iter().filter_map(|target_index| self.targets[*target_index].as_ref())
    }

    /// The node of the target at `target_index`.
    fn node_at_index(&self, target_index: usize) -> NodeId {
        self.targets[target_index].as_ref().map_or(NodeId(0), |target| target.node)
    }

    /// Picks the next target in round-robin order that admits the call. The error is the time until
    /// one will, if there is any.
    fn round_robin(
        &mut self,
        now_us: u64,
        service_index: usize,
        arm: usize,
        policy: &ArmPolicy,
        request: &PickRequest<'_>,
    ) -> Result<usize, Option<u64>> {
        let service = &mut self.services[service_index];
        let count = service.active.len();
        let mut admits_in_us = None;
        for _ in 0..count {
            let cursor = service.arms[arm].cursor % count;
            service.arms[arm].cursor = cursor.wrapping_add(1);
            let target_index = service.active[cursor];
            let Some(target) = &self.targets[target_index] else {
                continue;
            };
            if request.avoid.contains(&target.node) {
                continue;
            }
            let floors = target_floors(target, arm, &service.arms[arm].floors);
            let wait_us = floor_wait_us(floors, now_us, policy, request);
            if wait_us == 0 {
                return Ok(target_index);
            }
            admits_in_us = shorter_wait(admits_in_us, wait_us);
        }
        Err(admits_in_us)
    }

    /// Picks the cheapest of a few targets that admit the call. The error is the time until one
    /// will, if there is any.
    fn least_loaded<R: Rng>(
        &mut self,
        now_us: u64,
        service_index: usize,
        arm: usize,
        policy: &ArmPolicy,
        request: &PickRequest<'_>,
        rng: &mut R,
    ) -> Result<usize, Option<u64>> {
        let mut candidates = std::mem::take(&mut self.candidates);
        let scan = self.scan(now_us, service_index, arm, policy, request, &mut candidates);
        let service = &mut self.services[service_index];
        let turn = service.arms[arm].cursor;
        service.arms[arm].cursor = turn.wrapping_add(1);
        let input = CostInput {
            now_us,
            arm,
            arm_share: policy.share,
            warm_up_us: service.warm_up_us,
            baseline: service.arms[arm].baseline,
        };
        let best = self.cheapest_of_sample(&candidates, turn, &input, rng);
        self.candidates = candidates;
        if let Some(target_index) = scan.probe {
            self.record_probe(now_us, target_index, arm);
            return Ok(target_index);
        }
        best.ok_or(scan.admits_in_us)
    }

    /// Puts the targets that admit the call into `candidates`: those that are not ejected or, if
    /// all targets are ejected, the ejected ones.
    ///
    /// Calls that are below the floor of every healthy target must not all go to an ejected one,
    /// whose floor is low only because it gets no calls that could refresh it.
    fn scan(
        &self,
        now_us: u64,
        service_index: usize,
        arm: usize,
        policy: &ArmPolicy,
        request: &PickRequest<'_>,
        candidates: &mut Vec<usize>,
    ) -> Scan {
        candidates.clear();
        let mut scan = Scan::default();
        let mut ejected = Vec::new();
        let mut any_healthy = false;
        let service = &self.services[service_index];
        let shared = &service.arms[arm].floors;
        for &target_index in &service.active {
            let Some(target) = &self.targets[target_index] else {
                continue;
            };
            if request.avoid.contains(&target.node) {
                continue;
            }
            let ejection = target.record(arm).and_then(|record| record.ejection);
            any_healthy |= ejection.is_none();
            let wait_us =
                floor_wait_us(target_floors(target, arm, shared), now_us, policy, request);
            if wait_us > 0 {
                scan.admits_in_us = shorter_wait(scan.admits_in_us, wait_us);
                continue;
            }
            let Some(ejection) = ejection else {
                candidates.push(target_index);
                continue;
            };
            ejected.push(target_index);
            if self.may_probe(now_us, &ejection, request) {
                scan.probe = Some(target_index);
            }
        }
        if !any_healthy {
            candidates.append(&mut ejected);
        }
        scan
    }

    /// Whether the call may probe an ejected target: only a first attempt may, and only a call that
    /// can be retried unless the probe is overdue.
    fn may_probe(&self, now_us: u64, ejection: &Ejection, request: &PickRequest<'_>) -> bool {
        if now_us < ejection.next_probe_us || !request.avoid.is_empty() {
            return false;
        }
        let is_overdue = now_us - ejection.next_probe_us >= PROBE_OVERDUE_US;
        is_overdue || !self.at_most_once.contains(&request.class)
    }

    /// Records the probe of an ejected target.
    fn record_probe(&mut self, now_us: u64, target_index: usize, arm: usize) {
        let record =
            self.targets[target_index].as_mut().and_then(|target| target.records.get_mut(arm));
        if let Some(ejection) = record.and_then(|record| record.ejection.as_mut()) {
            ejection.record_probe(now_us);
        }
    }

    /// Picks the candidate whose turn it is, or a random one if that is clearly cheaper, and then
    /// the near candidate whose turn it is if that is cheaper still.
    ///
    /// Taking turns spreads the calls of one sender evenly, which choosing from two random targets
    /// would not. The comparison avoids targets that are busier or worse than the others, and its
    /// margin keeps senders that see the same reports from all switching to the same target. If the
    /// candidate whose turn it is is degraded, a random one may be degraded too, so all candidates
    /// are compared.
    fn cheapest_of_sample<R: Rng>(
        &self,
        candidates: &[usize],
        turn: usize,
        input: &CostInput,
        rng: &mut R,
    ) -> Option<usize> {
        let count = candidates.len();
        if count == 0 {
            return None;
        }
        let mut best = candidates[turn % count];
        let mut best_cost = self.cost(best, input);
        let random = candidates[rng.random_range(0..count)];
        let alternatives = if best_cost.is_degraded() { candidates } else { &[random] };
        for &alternative in alternatives {
            let alternative_cost = self.cost(alternative, input);
            if alternative_cost.is_clearly_below(&best_cost) {
                best = alternative;
                best_cost = alternative_cost;
            }
        }
        let Some(near) = self.near_candidate(candidates, turn) else {
            return Some(best);
        };
        if self.cost(near, input).is_below(&best_cost) { Some(near) } else { Some(best) }
    }

    /// The cost of the target at `target_index`.
    fn cost(&self, target_index: usize, input: &CostInput) -> Cost {
        match &self.targets[target_index] {
            Some(target) => Cost::of(target, input),
            None => Cost::unavailable(),
        }
    }

    /// Among the candidates in this node's failure domain, the one whose turn it is.
    fn near_candidate(&self, candidates: &[usize], turn: usize) -> Option<usize> {
        let is_near = |target_index: &usize| {
            self.targets[*target_index].as_ref().is_some_and(|target| target.near)
        };
        let count = candidates.iter().copied().filter(|target_index| is_near(target_index)).count();
        if count == 0 {
            return None;
        }
        candidates.iter().copied().filter(|target_index| is_near(target_index)).nth(turn % count)
    }
}

/// Whether `target` is ejected in this arm and gets only probes.
fn is_ejected(target: &Target, arm: usize) -> bool {
    target.record(arm).is_some_and(|record| record.ejection.is_some())
}

/// The floors of `target`, combined with those last reported for its service.
fn target_floors<'a>(
    target: &'a Target,
    arm: usize,
    shared: &'a FloorReports,
) -> Option<TargetFloors<'a>> {
    target.record(arm).map(|record| TargetFloors { own: &record.floors, shared })
}

/// How long the call will be below the floor of a target; 0 if the target admits it.
fn floor_wait_us(
    floors: Option<TargetFloors<'_>>,
    now_us: u64,
    policy: &ArmPolicy,
    request: &PickRequest<'_>,
) -> u64 {
    match floors {
        Some(floors) if policy.refuse_early => floors.wait_us(now_us, request.class, request.level),
        _ => 0,
    }
}

/// The shorter of two waiting times.
fn shorter_wait(known_us: Option<u64>, wait_us: u64) -> Option<u64> {
    Some(known_us.map_or(wait_us, |known_us| known_us.min(wait_us)))
}

/// A refusal whose Retry-After has jitter, so that callers that were refused together do not retry
/// together.
fn refusal<R: Rng>(reason: RefusalReason, wait_us: u64, rng: &mut R) -> Refusal {
    let wait_ms = (wait_us / US_PER_MS).clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
    let jitter_ms = rng.random_range(0..=wait_ms);
    Refusal { reason, retry_after_ms: (wait_ms + jitter_ms) as u32 }
}
