//! What settled attempts teach, and what operators see of it.

use super::health;
use super::router::{Observation, Outcome, Router};
use super::target::{Link, Target};
use super::view::{ArmView, LinkState, PeerView};
use crate::call::{ArmId, LoadReport, NodeId, RefusalReason};

/// How much a refusal for want of room counts as a failure.
const CROWDED_FAILURE: f32 = 0.5;

impl Router {
    /// Counts an attempt of `arm` that is sent to `node`.
    ///
    /// Attempts of arms that are not in force here are neither counted nor learnt from.
    pub fn sent(&mut self, now_us: u64, node: NodeId, arm: ArmId) {
        let Some(arm) = self.policies.place(arm) else {
            return;
        };
        let arms = self.policies.len();
        if let Some(target) = self.target_mut(node) {
            target.record_mut(arm, arms).sent(now_us);
        }
    }

    /// Takes in how an attempt that was sent to `node` was settled.
    pub fn observed(&mut self, now_us: u64, node: NodeId, seen: &Observation) {
        let leaving = seen.load.is_some_and(|load: LoadReport| load.leaving);
        if leaving || seen.outcome == Outcome::Refused(RefusalReason::Leaving) {
            self.set_leaving(node);
        }
        let Some(arm) = self.policies.place(seen.arm) else {
            return;
        };
        let arms = self.policies.len();
        let Some(&slot) = self.slots.get(&node) else {
            return;
        };
        let Some(target) = self.targets[slot].as_mut() else {
            return;
        };
        let state = &mut self.services[target.service].arms[arm];
        state.unreviewed += 1;
        let connected = target.link == Link::Up;
        let record = target.record_mut(arm, arms);
        record.settled(now_us);
        let waited_us = seen.latency_us as f32;
        if let Some(load) = &seen.load {
            record.report(now_us, load);
            record.floors.tell(now_us, seen.class, load.floor);
            state.floors.tell(now_us, seen.class, load.floor);
        }
        match seen.outcome {
            Outcome::Answered { healthy: true } => {
                record.add_latency(seen.latency_us);
                record.add_error(0.0);
                health::settle_probe(record, now_us, state.usual, Some(seen.latency_us));
            }
            Outcome::Answered { healthy: false } => {
                record.add_error(1.0);
                health::settle_probe(record, now_us, state.usual, None);
            }
            // A lost connection takes all that was on it along, which says little of the target.
            Outcome::Lost if !connected => {}
            // The caller gave up, or the deadline came, before an answer was due.
            Outcome::Lost if seen.load.is_none() && health::is_usual(waited_us, state.usual) => {}
            Outcome::Lost => {
                record.add_latency_at_least(seen.latency_us);
                record.add_error(1.0);
                health::settle_probe(record, now_us, state.usual, None);
            }
            Outcome::Refused(reason) => {
                if let Some(failure) = failure_of(reason) {
                    record.add_error(failure);
                    health::settle_probe(record, now_us, state.usual, None);
                }
            }
        }
    }

    /// What operators see, in the order of services and nodes.
    pub fn view(&self, now_us: u64) -> Vec<PeerView> {
        let mut views = Vec::with_capacity(self.slots.len());
        for (slot, target) in self.targets.iter().enumerate() {
            let Some(target) = target else {
                continue;
            };
            views.push(self.view_of(now_us, slot, target));
        }
        views.sort_by(|left, right| (&left.service, left.node).cmp(&(&right.service, right.node)));
        views
    }

    /// What operators see of one target.
    fn view_of(&self, now_us: u64, slot: usize, target: &Target) -> PeerView {
        let service = &self.services[target.service];
        let link = match target.link {
            Link::Up => LinkState::Up,
            Link::Lost { since_us } => LinkState::Lost { for_us: now_us.saturating_sub(since_us) },
        };
        let mut arms = Vec::with_capacity(target.records.len());
        for (arm, record) in target.records.iter().enumerate() {
            let policy = self.policies.get(arm);
            let arm_slots = f64::from(target.slots) * policy.share;
            arms.push(ArmView {
                arm: policy.id,
                outstanding: record.outstanding,
                latency_us: record.latency_us as u64,
                errors: record.errors,
                utilisation: record.load(now_us) / record.capacity(now_us, arm_slots),
                ejected: record.ejection.is_some(),
                floor: record.floors.highest(now_us),
            });
        }
        PeerView {
            node: target.node,
            service: service.name.clone(),
            address: target.address,
            near: target.near,
            active: service.active.contains(&slot),
            leaving: target.leaving,
            link,
            arms,
        }
    }
}

/// How much a refusal says that the target is unfit, from 0 to 1; none where it says nothing.
fn failure_of(reason: RefusalReason) -> Option<f32> {
    match reason {
        RefusalReason::NotReady | RefusalReason::NoTarget | RefusalReason::TargetUnreachable => {
            Some(1.0)
        }
        RefusalReason::QueueFull | RefusalReason::NodeFull | RefusalReason::TargetDeclined => {
            Some(CROWDED_FAILURE)
        }
        _ => None,
    }
}
