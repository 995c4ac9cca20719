//! The routing part of each arm's policy.

use crate::call::ArmId;
use crate::config::{Rules, TargetChoice};

/// How one arm chooses targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ArmPolicy {
    /// The arm.
    pub id: ArmId,
    /// The way a target is chosen.
    pub choice: TargetChoice,
    /// Whether targets whose floor is above the call's level are passed over.
    pub refuse_early: bool,
    /// The arm's share of the slots of every target.
    pub share: f64,
}

/// The arms in force; never empty.
#[derive(Clone, Debug)]
pub(super) struct ArmPolicies(Vec<ArmPolicy>);

impl ArmPolicies {
    /// The arms of `rules`, or a single default one where there is none.
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

    /// The place of `arm` among the arms, if it is in force.
    pub fn place(&self, arm: ArmId) -> Option<usize> {
        self.0.iter().position(|policy| policy.id == arm)
    }

    /// The place of the arm whose policy decides for `arm`: the first one where `arm` is not in
    /// force here.
    pub fn index(&self, arm: ArmId) -> usize {
        self.place(arm).unwrap_or(0)
    }

    /// The policy at `index`.
    pub fn get(&self, index: usize) -> &ArmPolicy {
        &self.0[index]
    }

    /// How many arms there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// For each arm of `self`, its place in `old`.
    pub fn places_in(&self, old: &ArmPolicies) -> Vec<Option<usize>> {
        let mut places = Vec::with_capacity(self.0.len());
        for policy in &self.0 {
            places.push(old.place(policy.id));
        }
        places
    }
}
