//! The choice of a target for one attempt.

use rand::Rng;

use super::arms::ArmPolicy;
use super::cost::{Cost, Terms};
use super::floor::{FloorMemory, Floors};
use super::health::Ejection;
use super::router::{Pick, Router, Service};
use super::target::Target;
use crate::call::{ArmId, ClassRank, Level, NodeId, Refusal, RefusalReason};
use crate::clock::US_PER_MS;
use crate::config::TargetChoice;

/// A probe this late is made by any call, also by one that must run at most once.
const PROBE_OVERDUE_US: u64 = 2_000 * US_PER_MS;
/// The least Retry-After, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 200;
/// The longest Retry-After, before the drawn part, in milliseconds.
const RETRY_AFTER_MAX_MS: u64 = 2_000;

/// What the scan of a service's targets found.
#[derive(Debug, Default)]
struct Scan {
    /// An ejected target whose probe is due.
    probe: Option<usize>,
    /// When the next target below whose floor the call is will let it through.
    opens_in_us: Option<u64>,
}

impl Router {
    /// Picks the target for one attempt.
    ///
    /// Refused with `Shed` when the call's level is below the floor of every target that may be
    /// used, and with `NoTarget` when there is none, both with a Retry-After drawn from `rng`.
    pub fn pick<R: Rng>(
        &mut self,
        now_us: u64,
        ask: &Pick<'_>,
        rng: &mut R,
    ) -> Result<NodeId, Refusal> {
        let Some(&place) = self.service_places.get(ask.service) else {
            return Err(refusal(RefusalReason::NoTarget, 0, rng));
        };
        let arm = self.policies.index(ask.arm);
        let policy = *self.policies.get(arm);
        let picked = match policy.choice {
            TargetChoice::RoundRobin => self.next_in_turn(now_us, place, arm, &policy, ask),
            TargetChoice::LeastLoaded => {
                self.review_if_due(now_us, place, arm);
                self.least_loaded(now_us, place, arm, &policy, ask, rng)
            }
        };
        match picked {
            Ok(slot) => Ok(self.node_in(slot)),
            Err(Some(opens_in_us)) => Err(refusal(RefusalReason::Shed, opens_in_us, rng)),
            Err(None) => Err(refusal(RefusalReason::NoTarget, 0, rng)),
        }
    }

    /// The lowest floor among the targets of `service` that may be used; a call below it has no
    /// chance. Where there is no such target, or the arm does not refuse early, nothing is below.
    pub fn floor(&self, now_us: u64, service: &str, arm: ArmId, class: ClassRank) -> Level {
        let Some(&place) = self.service_places.get(service) else {
            return Level::LOWEST;
        };
        let arm = self.policies.index(arm);
        if !self.policies.get(arm).refuse_early {
            return Level::LOWEST;
        }
        let service = &self.services[place];
        let shared = &service.arms[arm].floors;
        let floor_of = |target: &Target| {
            floors(target, arm, shared).map_or(Level::LOWEST, |known| known.level(now_us, class))
        };
        let targets = self.active_targets(service);
        let well = targets.filter(|target| !is_ejected(target, arm));
        if let Some(floor) = well.map(floor_of).min() {
            return floor;
        }
        self.active_targets(service).map(floor_of).min().unwrap_or(Level::LOWEST)
    }

    /// Whether a target is known that would take the attempt now.
    pub fn may_pick(&self, now_us: u64, ask: &Pick<'_>) -> bool {
        let Some(&place) = self.service_places.get(ask.service) else {
            return false;
        };
        let arm = self.policies.index(ask.arm);
        let policy = self.policies.get(arm);
        let service = &self.services[place];
        let shared = &service.arms[arm].floors;
        for target in self.active_targets(service) {
            let avoided = ask.avoid.contains(&target.node);
            if !avoided && closed_for_us(floors(target, arm, shared), now_us, policy, ask) == 0 {
                return true;
            }
        }
        false
    }

    /// The median of what the targets of `service` take for a call, in microseconds; 0 where
    /// nothing is known yet.
    pub fn usual_latency_us(&self, service: &str, arm: ArmId) -> u64 {
        let Some(&place) = self.service_places.get(service) else {
            return 0;
        };
        self.services[place].arms[self.policies.index(arm)].usual.latency_us as u64
    }

    /// The targets of `service` that may be used.
    pub(super) fn active_targets<'a>(
        &'a self,
        service: &'a Service,
    ) -> impl Iterator<Item = &'a Target> {
        service.active.iter().filter_map(|slot| self.targets[*slot].as_ref())
    }

    /// The node of the target in `slot`.
    fn node_in(&self, slot: usize) -> NodeId {
        self.targets[slot].as_ref().map_or(NodeId(0), |target| target.node)
    }

    /// The next target in turn that may take the call, else when one will.
    fn next_in_turn(
        &mut self,
        now_us: u64,
        place: usize,
        arm: usize,
        policy: &ArmPolicy,
        ask: &Pick<'_>,
    ) -> Result<usize, Option<u64>> {
        let service = &mut self.services[place];
        let count = service.active.len();
        let mut opens_in_us = None;
        for _ in 0..count {
            let cursor = service.arms[arm].cursor % count;
            service.arms[arm].cursor = cursor.wrapping_add(1);
            let slot = service.active[cursor];
            let Some(target) = &self.targets[slot] else {
                continue;
            };
            if ask.avoid.contains(&target.node) {
                continue;
            }
            let floors = floors(target, arm, &service.arms[arm].floors);
            let wait_us = closed_for_us(floors, now_us, policy, ask);
            if wait_us == 0 {
                return Ok(slot);
            }
            opens_in_us = sooner(opens_in_us, wait_us);
        }
        Err(opens_in_us)
    }

    /// The best of a few targets that may take the call, else when one will.
    fn least_loaded<R: Rng>(
        &mut self,
        now_us: u64,
        place: usize,
        arm: usize,
        policy: &ArmPolicy,
        ask: &Pick<'_>,
        rng: &mut R,
    ) -> Result<usize, Option<u64>> {
        let mut candidates = std::mem::take(&mut self.candidates);
        let scan = self.scan(now_us, place, arm, policy, ask, &mut candidates);
        let service = &mut self.services[place];
        let turn = service.arms[arm].cursor;
        service.arms[arm].cursor = turn.wrapping_add(1);
        let terms = Terms {
            now_us,
            arm,
            arm_share: policy.share,
            warm_up_us: service.warm_up_us,
            usual: service.arms[arm].usual,
        };
        let best = self.best_of_sample(&candidates, turn, &terms, rng);
        self.candidates = candidates;
        if let Some(slot) = scan.probe {
            self.note_probe(now_us, slot, arm);
            return Ok(slot);
        }
        best.ok_or(scan.opens_in_us)
    }

    /// Puts the targets that may take the call into `candidates`: those in good standing or, where
    /// no target at all is in good standing, the ejected ones.
    ///
    /// Calls that are below the floor of every target in good standing must not all go to an ejected
    /// one, whose floor is low only because nobody asks it.
    fn scan(
        &self,
        now_us: u64,
        place: usize,
        arm: usize,
        policy: &ArmPolicy,
        ask: &Pick<'_>,
        candidates: &mut Vec<usize>,
    ) -> Scan {
        candidates.clear();
        let mut scan = Scan::default();
        let mut ejected = Vec::new();
        let mut any_well = false;
        let service = &self.services[place];
        let shared = &service.arms[arm].floors;
        for &slot in &service.active {
            let Some(target) = &self.targets[slot] else {
                continue;
            };
            if ask.avoid.contains(&target.node) {
                continue;
            }
            let ejection = target.record(arm).and_then(|record| record.ejection);
            any_well |= ejection.is_none();
            let wait_us = closed_for_us(floors(target, arm, shared), now_us, policy, ask);
            if wait_us > 0 {
                scan.opens_in_us = sooner(scan.opens_in_us, wait_us);
                continue;
            }
            let Some(ejection) = ejection else {
                candidates.push(slot);
                continue;
            };
            ejected.push(slot);
            if self.may_probe(now_us, &ejection, ask) {
                scan.probe = Some(slot);
            }
        }
        if !any_well {
            candidates.append(&mut ejected);
        }
        scan
    }

    /// Whether the call may be used to see whether an ejected target is well again: first attempts
    /// only, and calls that can be sent again if at all possible.
    fn may_probe(&self, now_us: u64, ejection: &Ejection, ask: &Pick<'_>) -> bool {
        if now_us < ejection.probe_us || !ask.avoid.is_empty() {
            return false;
        }
        let overdue = now_us - ejection.probe_us >= PROBE_OVERDUE_US;
        overdue || !self.at_most_once.contains(&ask.class)
    }

    /// Counts the probe of an ejected target.
    fn note_probe(&mut self, now_us: u64, slot: usize, arm: usize) {
        let record = self.targets[slot].as_mut().and_then(|target| target.records.get_mut(arm));
        if let Some(ejection) = record.and_then(|record| record.ejection.as_mut()) {
            ejection.probed(now_us);
        }
    }

    /// The target whose turn it is, unless one drawn at random is clearly cheaper; then the better of
    /// that and the near target whose turn it is.
    ///
    /// Turns spread the calls of one sender evenly, which two random targets would not; comparing
    /// finds out those that are busier or worse than the others. The margin keeps senders that see
    /// the same reports from going to the same target all at once. Where the one in turn is ill, one
    /// at random may well be ill too, and all are compared.
    fn best_of_sample<R: Rng>(
        &self,
        candidates: &[usize],
        turn: usize,
        terms: &Terms,
        rng: &mut R,
    ) -> Option<usize> {
        let count = candidates.len();
        if count == 0 {
            return None;
        }
        let mut best = candidates[turn % count];
        let mut best_cost = self.cost(best, terms);
        let drawn = candidates[rng.random_range(0..count)];
        let rivals = if best_cost.is_ill() { candidates } else { &[drawn] };
        for &rival in rivals {
            let rival_cost = self.cost(rival, terms);
            if rival_cost.clearly_beats(&best_cost) {
                best = rival;
                best_cost = rival_cost;
            }
        }
        let Some(near) = self.near_in_turn(candidates, turn) else {
            return Some(best);
        };
        if self.cost(near, terms).beats(&best_cost) { Some(near) } else { Some(best) }
    }

    /// The cost of the target in `slot`.
    fn cost(&self, slot: usize, terms: &Terms) -> Cost {
        match &self.targets[slot] {
            Some(target) => Cost::of(target, terms),
            None => Cost::never(),
        }
    }

    /// The candidate in the own failure domain whose turn it is.
    fn near_in_turn(&self, candidates: &[usize], turn: usize) -> Option<usize> {
        let is_near = |slot: &usize| self.targets[*slot].as_ref().is_some_and(|target| target.near);
        let count = candidates.iter().copied().filter(|slot| is_near(slot)).count();
        if count == 0 {
            return None;
        }
        candidates.iter().copied().filter(|slot| is_near(slot)).nth(turn % count)
    }
}

/// Whether `target` gets only probes.
fn is_ejected(target: &Target, arm: usize) -> bool {
    target.record(arm).is_some_and(|record| record.ejection.is_some())
}

/// The floors of `target`, together with those its service told last.
fn floors<'a>(target: &'a Target, arm: usize, shared: &'a FloorMemory) -> Option<Floors<'a>> {
    target.record(arm).map(|record| Floors { own: &record.floors, shared })
}

/// How long the call is below the floor of a target; 0 when it may go there.
fn closed_for_us(
    floors: Option<Floors<'_>>,
    now_us: u64,
    policy: &ArmPolicy,
    ask: &Pick<'_>,
) -> u64 {
    match floors {
        Some(floors) if policy.refuse_early => floors.closed_for_us(now_us, ask.class, ask.level),
        _ => 0,
    }
}

/// The shorter of two waits.
fn sooner(known_us: Option<u64>, wait_us: u64) -> Option<u64> {
    Some(known_us.map_or(wait_us, |known_us| known_us.min(wait_us)))
}

/// A refusal whose Retry-After is drawn around the wait, so that callers refused together do not
/// come back together.
fn refusal<R: Rng>(reason: RefusalReason, wait_us: u64, rng: &mut R) -> Refusal {
    let wait_ms = (wait_us / US_PER_MS).clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
    let drawn_ms = rng.random_range(0..=wait_ms);
    Refusal { reason, retry_after_ms: (wait_ms + drawn_ms) as u32 }
}
