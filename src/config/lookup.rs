//! Questions that the decision code asks the rules in force.

use super::{ArmSettings, ClassSettings, PolicySettings, Rules, ServiceSettings};
use crate::call::{ArmId, ClassRank, RootId};

impl Rules {
    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&ServiceSettings> {
        self.services.iter().find(|service| service.name == name)
    }

    /// The class called `name`.
    pub fn class(&self, name: &str) -> Option<&ClassSettings> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// The class of rank `rank`.
    pub fn class_of_rank(&self, rank: ClassRank) -> Option<&ClassSettings> {
        self.classes.iter().find(|class| class.rank == rank.0)
    }

    /// The class of a call: that of the first route that fits its service, method and path.
    ///
    /// `path` may carry a query, which is not looked at. A path that a target could read as another
    /// one (dot segments, empty segments, unreserved characters written as escapes) fits no route,
    /// so a call cannot slip into a class that it does not belong to.
    pub fn class_for(&self, service: &str, method: &str, path: &str) -> Option<&ClassSettings> {
        let path = path.split('?').next().unwrap_or_default();
        if !is_canonical(path) {
            return None;
        }
        for route in &self.routes {
            if route.service != service {
                continue;
            }
            if route.method.as_deref().is_some_and(|wanted| !wanted.eq_ignore_ascii_case(method)) {
                continue;
            }
            if is_below(path, &route.path_prefix) {
                return self.class(&route.class);
            }
        }
        None
    }

    /// The arm of a root: the same on every node that has the same arms in force, in whatever order
    /// they are listed, and independent of the root's byte in `Level`.
    ///
    /// The split is a weighted rendezvous: a change of shares moves no more roots than it must.
    ///
    /// # Panics
    ///
    /// Panics where there is no arm at all, which `check_rules` refuses.
    pub fn arm_for(&self, root: RootId) -> &ArmSettings {
        let mut best = &self.arms[0];
        let mut best_score = f64::NEG_INFINITY;
        for arm in &self.arms {
            if arm.share <= 0.0 {
                continue;
            }
            let score = arm.share / -unit_hash(root, arm.id).ln();
            if score > best_score {
                best = arm;
                best_score = score;
            }
        }
        best
    }

    /// The arm numbered `arm`, if it is in force.
    pub fn arm(&self, arm: ArmId) -> Option<&ArmSettings> {
        self.arms.iter().find(|candidate| candidate.id == arm.0)
    }

    /// The policy called `name`.
    pub fn policy(&self, name: &str) -> Option<&PolicySettings> {
        self.policies.iter().find(|policy| policy.name == name)
    }

    /// The policy that decides for `arm`.
    ///
    /// A call may carry an arm that has just been taken out of force, or that this node has not
    /// heard of yet; the first arm's policy decides for it.
    ///
    /// # Panics
    ///
    /// Panics where there is no arm or the arm's policy is missing, which `check_rules` refuses.
    pub fn policy_of(&self, arm: ArmId) -> &PolicySettings {
        let arm = self.arm(arm).unwrap_or(&self.arms[0]);
        self.policy(&arm.policy).expect("checked rules name only known policies")
    }
}

/// Whether `path` is `prefix` or lies below it.
pub(super) fn is_below(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}

/// Whether no target can read `path` as a different path.
pub(super) fn is_canonical(path: &str) -> bool {
    let Some(rest) = path.strip_prefix('/') else {
        return false;
    };
    if path.contains(['\\', '#']) {
        return false;
    }
    let mut segments = rest.split('/').peekable();
    while let Some(segment) = segments.next() {
        let is_last = segments.peek().is_none();
        if segment == "." || segment == ".." || (segment.is_empty() && !is_last) {
            return false;
        }
        if !has_canonical_escapes(segment) {
            return false;
        }
    }
    true
}

/// Whether the escapes of `segment` are well formed and stand only for characters that need one.
fn has_canonical_escapes(segment: &str) -> bool {
    for escape in segment.split('%').skip(1) {
        let Some(digits) = escape.get(..2) else {
            return false;
        };
        if !digits.bytes().all(|digit| digit.is_ascii_hexdigit()) {
            return false;
        }
        let Ok(byte) = u8::from_str_radix(digits, 16) else {
            return false;
        };
        let is_unreserved = byte.is_ascii_alphanumeric() || b"-._~/\\".contains(&byte);
        if is_unreserved || byte == 0 {
            return false;
        }
    }
    true
}

/// A number between 0 and 1, neither included, from a root and the number of an arm.
fn unit_hash(root: RootId, arm: u8) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    let low = mix(root.0 as u64 ^ u64::from(arm));
    let both = mix(low ^ (root.0 >> 64) as u64);
    let numerator = (both >> (u64::BITS - MANTISSA_BITS)) as f64 + 0.5;
    numerator / (1_u64 << MANTISSA_BITS) as f64
}

/// Mixes all bits of `value` (the output function of SplitMix64).
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
