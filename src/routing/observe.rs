//! Updates the statistics of targets from their attempts, and reports them to operators.

use super::health;
use super::router::{Observation, Outcome, Router};
use super::target::{Link, Target};
use super::view::{ArmView, LinkState, PeerView};
use crate::call::{ArmId, LoadReport, NodeId, RefusalReason};

/// How much a refusal for lack of capacity counts in the error rate.
const CAPACITY_REFUSAL_WEIGHT: f32 = 0.5;

impl Router {
    /// Counts an attempt of `arm` that is sent to `node`.
    ///
    /// Attempts of an arm that is not in force here are not counted, and their outcomes do not
    /// change any statistics.
    pub fn sent(&mut self, now_us: u64, node: NodeId, arm: ArmId) {
        let Some(arm) = self.policies.position(arm) else {
            return;
        };
        let arms = self.policies.len();
        if let Some(target) = self.target_mut(node) {
            target.record_mut(arm, arms).sent(now_us);
        }
    }

    /// Records how an attempt that was sent to `node` was settled.
    pub fn observed(&mut self, now_us: u64, node: NodeId, observation: &Observation) {
        let leaving = observation.load.is_some_and(|load: LoadReport| load.leaving);
        if leaving || observation.outcome == Outcome::Refused(RefusalReason::Leaving) {
            self.set_leaving(node);
        }
        let Some(arm) = self.policies.position(observation.arm) else {
            return;
        };
        let arms = self.policies.len();
        let Some(&target_index) = self.index_by_node.get(&node) else {
            return;
        };
        let Some(target) = self.targets[target_index].as_mut() else {
            return;
        };
        let state = &mut self.services[target.service].arms[arm];
        state.settled_since_review += 1;
        let is_connected = target.link == Link::Up;
        let record = target.record_mut(arm, arms);
        record.settled(now_us);
        let waited_us = observation.latency_us as f32;
        if let Some(load) = &observation.load {
            record.report(now_us, load);
            record.floors.record(now_us, observation.class, load.floor);
            state.floors.record(now_us, observation.class, load.floor);
        }
        match observation.outcome {
            Outcome::Answered { healthy: true } => {
                record.add_latency(observation.latency_us);
                record.add_outcome(0.0);
                health::settle_probe(record, now_us, state.baseline, Some(observation.latency_us));
            }
            Outcome::Answered { healthy: false } => {
                record.add_outcome(1.0);
                health::settle_probe(record, now_us, state.baseline, None);
            }
            // All attempts on a lost connection fail together, which says little about the target.
            Outcome::Lost if !is_connected => {}
            // The caller cancelled, or the deadline passed, before an answer was due.
            Outcome::Lost
                if observation.load.is_none()
                    && health::is_close_to_baseline(waited_us, state.baseline) => {}
            Outcome::Lost => {
                record.add_latency_at_least(observation.latency_us);
                record.add_outcome(1.0);
                health::settle_probe(record, now_us, state.baseline, None);
            }
            Outcome::Refused(reason) => {
                if let Some(failure) = failure_weight(reason) {
                    record.add_outcome(failure);
                    health::settle_probe(record, now_us, state.baseline, None);
                }
            }
        }
    }

    /// The state of all targets as reported to operators, ordered by service and node.
    pub fn view(&self, now_us: u64) -> Vec<PeerView> {
        let mut views = Vec::with_capacity(self.index_by_node.len());
        for (target_index, target) in self.targets.iter().enumerate() {
            let Some(target) = target else {
                continue;
            };
            views.push(self.view_of(now_us, target_index, target));
        }
        views.sort_by(|left, right| (&left.service, left.node).cmp(&(&right.service, right.node)));
        views
    }

    /// The state of one target as reported to operators.
    fn view_of(&self, now_us: u64, target_index: usize, target: &Target) -> PeerView {
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
                errors: record.error_rate,
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
            active: service.active.contains(&target_index),
            leaving: target.leaving,
            link,
            arms,
        }
    }
}

/// How much a refusal counts in the error rate of the target, from 0 to 1; `None` if it says
/// nothing about the target.
fn failure_weight(reason: RefusalReason) -> Option<f32> {
    match reason {
        RefusalReason::NotReady | RefusalReason::NoTarget | RefusalReason::TargetUnreachable => {
            Some(1.0)
        }
        RefusalReason::QueueFull | RefusalReason::NodeFull | RefusalReason::TargetDeclined => {
            Some(CAPACITY_REFUSAL_WEIGHT)
        }
        _ => None,
    }
}
