//! The routing settings of each arm's policy.

use crate::call::ArmId;
use crate::config::{Rules, TargetChoice};

/// The routing policy of one arm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ArmPolicy {
    pub id: ArmId,
    /// How a target is chosen.
    pub choice: TargetChoice,
    /// Whether targets whose floor is above the call's level are skipped.
    pub refuse_early: bool,
    /// The arm's share of the slots of every target.
    pub share: f64,
}

/// The policies of the arms in force; never empty.
#[derive(Clone, Debug)]
pub(super) struct ArmPolicies(Vec<ArmPolicy>);

impl ArmPolicies {
    /// Creates the policies of the arms in `rules`, or a single default one if there are no arms.
    pub fn new(rules: &Rules) -> Self {
        let mut policies = Vec::with_capacity(rules.arms.len());
        for arm in &rules.arms {
            let Some(policy) = rules.policy(&arm.policy) else {
                continue;
            };
            policies.push(ArmPolicy {
                id: ArmId(arm.id),
                choice: policy.choice,
                refuse_early: policy.refuse_early,
                share: arm.share,
            });
        }
        if policies.is_empty() {
            policies.push(ArmPolicy {
                id: ArmId(0),
                choice: TargetChoice::LeastLoaded,
                refuse_early: true,
                share: 1.0,
            });
        }
        Self(policies)
    }

    /// The index of `arm`, if it is in force.
    pub fn position(&self, arm: ArmId) -> Option<usize> {
        self.0.iter().position(|policy| policy.id == arm)
    }

    /// The index of the policy that applies to `arm`: the first one if `arm` is not in force here.
    pub fn index_or_first(&self, arm: ArmId) -> usize {
        self.position(arm).unwrap_or(0)
    }

    pub fn get(&self, index: usize) -> &ArmPolicy {
        &self.0[index]
    }

    /// The number of arms.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// For each arm of `self`, its index in `old`.
    pub fn positions_in(&self, old: &ArmPolicies) -> Vec<Option<usize>> {
        let mut positions = Vec::with_capacity(self.0.len());
        for policy in &self.0 {
            positions.push(old.position(policy.id));
        }
        positions
    }
}
