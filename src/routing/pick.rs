//! The choice of a target for one attempt.

use rand::Rng;

use super::arms::ArmPolicy;
use super::cost::{Cost, Terms};
use super::health::{self, Ejection};
use super::record::ArmRecord;
use super::router::{Pick, Router, Service};
use super::target::Target;
use crate::call::{ArmId, ClassRank, Level, NodeId, Refusal, RefusalReason};
use crate::clock::US_PER_MS;
use crate::config::TargetChoice;

/// The time after which what is usual is worked out again.
const REVIEW_US: u64 = 20 * US_PER_MS;
/// The number of settled attempts after which what is usual is worked out again.
const REVIEW_ATTEMPTS: u32 = 8;
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
        let mut lowest = None;
        for target in self.active_targets(&self.services[place]) {
            let floor = floor_of(target, now_us, arm, class);
            lowest = Some(lowest.map_or(floor, |lowest: Level| lowest.min(floor)));
        }
        lowest.unwrap_or(Level::LOWEST)
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
            service.arms[arm].cursor = cursor + 1;
            let slot = service.active[cursor];
            let Some(target) = &self.targets[slot] else {
                continue;
            };
            if ask.avoid.contains(&target.node) {
                continue;
            }
            let wait_us = closed_for_us(target, now_us, arm, policy, ask);
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
        let service = &self.services[place];
        let terms = Terms {
            now_us,
            arm,
            arm_share: policy.share,
            warm_up_us: service.warm_up_us,
            usual: service.arms[arm].usual,
        };
        let best = self.best_of_sample(&candidates, &terms, rng);
        self.candidates = candidates;
        if let Some(slot) = scan.probe {
            self.note_probe(now_us, slot, arm);
            return Ok(slot);
        }
        best.ok_or(scan.opens_in_us)
    }

    /// Puts the targets that may take the call into `candidates`: those in good standing or, where
    /// there is none, the ejected ones.
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
        for &slot in &self.services[place].active {
            let Some(target) = &self.targets[slot] else {
                continue;
            };
            if ask.avoid.contains(&target.node) {
                continue;
            }
            let wait_us = closed_for_us(target, now_us, arm, policy, ask);
            if wait_us > 0 {
                scan.opens_in_us = sooner(scan.opens_in_us, wait_us);
                continue;
            }
            let Some(ejection) = target.record(arm).and_then(|record| record.ejection) else {
                candidates.push(slot);
                continue;
            };
            ejected.push(slot);
            if self.may_probe(now_us, &ejection, ask) {
                scan.probe = Some(slot);
            }
        }
        if candidates.is_empty() {
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

    /// The cheapest of one near target and two of all.
    fn best_of_sample<R: Rng>(
        &self,
        candidates: &[usize],
        terms: &Terms,
        rng: &mut R,
    ) -> Option<usize> {
        let (first, second) = two_of(candidates, rng)?;
        let mut best = first;
        let mut best_cost = self.cost(first, terms);
        let near = self.one_near(candidates, rng);
        for slot in [Some(second), near].into_iter().flatten() {
            let cost = self.cost(slot, terms);
            if cost.beats(&best_cost) {
                best = slot;
                best_cost = cost;
            }
        }
        Some(best)
    }

    /// The cost of the target in `slot`.
    fn cost(&self, slot: usize, terms: &Terms) -> Cost {
        match &self.targets[slot] {
            Some(target) => Cost::of(target, terms),
            None => Cost::never(),
        }
    }

    /// One of the candidates in the own failure domain.
    fn one_near<R: Rng>(&self, candidates: &[usize], rng: &mut R) -> Option<usize> {
        let mut chosen = None;
        let mut seen = 0u32;
        for &slot in candidates {
            if !self.targets[slot].as_ref().is_some_and(|target| target.near) {
                continue;
            }
            seen += 1;
            if rng.random_ratio(1, seen) {
                chosen = Some(slot);
            }
        }
        chosen
    }

    /// Works out again what is usual, and which targets get only probes, when that is due.
    fn review_if_due(&mut self, now_us: u64, place: usize, arm: usize) {
        let state = &mut self.services[place].arms[arm];
        let old = now_us.saturating_sub(state.reviewed_us) >= REVIEW_US;
        if !old && state.unreviewed < REVIEW_ATTEMPTS {
            return;
        }
        state.reviewed_us = now_us;
        state.unreviewed = 0;
        let records = self.active_targets(&self.services[place]);
        let usual = health::usual(records.filter_map(|target| target.record(arm)));
        self.services[place].arms[arm].usual = usual;
        self.review_ejections(now_us, place, arm);
    }

    /// Ejects the worst targets, but never more than half.
    fn review_ejections(&mut self, now_us: u64, place: usize, arm: usize) {
        let service = &self.services[place];
        let usual = service.arms[arm].usual;
        let most = service.active.len() / 2;
        let mut ejected = Vec::new();
        let mut bad = Vec::new();
        for &slot in &service.active {
            let Some(record) = self.targets[slot].as_ref().and_then(|target| target.record(arm))
            else {
                continue;
            };
            let badness = health::badness(record, now_us, usual);
            if record.ejection.is_some() {
                ejected.push((badness, slot));
            } else if badness > 1.0 {
                bad.push((badness, slot));
            }
        }
        bad.sort_by(|left, right| right.0.total_cmp(&left.0));
        bad.truncate(most.saturating_sub(ejected.len()));
        for (_, slot) in bad {
            self.change_record(slot, arm, |record| record.ejection = Some(Ejection::start(now_us)));
        }
        ejected.sort_by(|left, right| right.0.total_cmp(&left.0));
        for &(_, slot) in ejected.iter().skip(most) {
            self.change_record(slot, arm, |record| health::readmit(record, now_us));
        }
    }

    /// Changes the record of the target in `slot`.
    fn change_record(&mut self, slot: usize, arm: usize, change: impl FnOnce(&mut ArmRecord)) {
        let record = self.targets[slot].as_mut().and_then(|target| target.records.get_mut(arm));
        if let Some(record) = record {
            change(record);
        }
    }
}

/// The floor of `target` for calls of `class`.
pub(super) fn floor_of(target: &Target, now_us: u64, arm: usize, class: ClassRank) -> Level {
    target.record(arm).map_or(Level::LOWEST, |record| record.floors.level(now_us, class))
}

/// How long the call is below the floor of `target`; 0 when it may go there.
fn closed_for_us(
    target: &Target,
    now_us: u64,
    arm: usize,
    policy: &ArmPolicy,
    ask: &Pick<'_>,
) -> u64 {
    if !policy.refuse_early {
        return 0;
    }
    target.record(arm).map_or(0, |record| record.floors.opens_in_us(now_us, ask.class, ask.level))
}

/// The shorter of two waits.
fn sooner(known_us: Option<u64>, wait_us: u64) -> Option<u64> {
    Some(known_us.map_or(wait_us, |known_us| known_us.min(wait_us)))
}

/// Two different candidates drawn at random, or twice the same where there is only one.
fn two_of<R: Rng>(candidates: &[usize], rng: &mut R) -> Option<(usize, usize)> {
    let count = candidates.len();
    if count == 0 {
        return None;
    }
    let first = rng.random_range(0..count);
    let step = if count > 1 { rng.random_range(1..count) } else { 0 };
    Some((candidates[first], candidates[(first + step) % count]))
}

/// A refusal whose Retry-After is drawn around the wait, so that callers refused together do not
/// come back together.
fn refusal<R: Rng>(reason: RefusalReason, wait_us: u64, rng: &mut R) -> Refusal {
    let wait_ms = (wait_us / US_PER_MS).clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
    let drawn_ms = rng.random_range(0..=wait_ms);
    Refusal { reason, retry_after_ms: (wait_ms + drawn_ms) as u32 }
}
