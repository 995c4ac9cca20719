//! Lookups in the rules: services, classes of calls, arms of root requests and policies.

use super::{ArmSettings, ClassSettings, PolicySettings, Rules, ServiceSettings};
use crate::call::{ArmId, ClassRank, RootId};

impl Rules {
    /// The service named `name`.
    pub fn service(&self, name: &str) -> Option<&ServiceSettings> {
        self.services.iter().find(|service| service.name == name)
    }

    /// The class named `name`.
    pub fn class(&self, name: &str) -> Option<&ClassSettings> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// The class of rank `rank`.
    pub fn class_of_rank(&self, rank: ClassRank) -> Option<&ClassSettings> {
        self.classes.iter().find(|class| class.rank == rank.0)
    }

    /// The class of a call: that of the first route that matches its service, method and path.
    ///
    /// `path` may have a query, which is ignored. A path that a target could normalize to another
    /// one (dot segments, empty segments, percent-encoded unreserved characters) matches no route,
    /// so that a call cannot obtain the class of a different path.
    pub fn class_for(&self, service: &str, method: &str, path: &str) -> Option<&ClassSettings> {
        let path = path.split('?').next().unwrap_or_default();
        if !is_canonical(path) {
            return None;
        }
        for route in &self.routes {
            if route.service != service {
                continue;
            }
            if route
                .method
                .as_deref()
                .is_some_and(|expected| !expected.eq_ignore_ascii_case(method))
            {
                continue;
            }
            if has_path_prefix(path, &route.path_prefix) {
                return self.class(&route.class);
            }
        }
        None
    }

    /// The arm of a root request. Nodes with the same arms choose the same one, regardless of the
    /// order of the arms. The choice is independent of the shedding order
    /// ([`Level`](crate::call::Level)), which also hashes the root.
    ///
    /// Uses weighted rendezvous hashing, so that a change of shares reassigns no more roots than
    /// necessary.
    ///
    /// # Panics
    ///
    /// Panics if there are no arms, which `check_rules` rejects.
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

    /// The arm with the id `arm`, if it is in these rules.
    pub fn arm(&self, arm: ArmId) -> Option<&ArmSettings> {
        self.arms.iter().find(|candidate| candidate.id == arm.0)
    }

    /// The policy named `name`.
    pub fn policy(&self, name: &str) -> Option<&PolicySettings> {
        self.policies.iter().find(|policy| policy.name == name)
    }

    /// The policy of `arm`, or that of the first arm if `arm` is unknown.
    ///
    /// A call may carry an arm that was just removed, or one from rules that this node has not
    /// received yet.
    ///
    /// # Panics
    ///
    /// Panics if there are no arms or the arm's policy is missing, which `check_rules` rejects.
    pub fn policy_of(&self, arm: ArmId) -> &PolicySettings {
        let arm = self.arm(arm).unwrap_or(&self.arms[0]);
        self.policy(&arm.policy).expect("checked rules name only known policies")
    }
}

/// Whether `prefix` is a prefix of `path` by whole segments.
pub(super) fn has_path_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}

/// Whether `path` is in a form that no target normalizes to a different path.
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

/// Whether every percent-encoding in `segment` is well formed and is kept by normalization.
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

/// A hash of a root and the id of an arm as a number between 0 and 1, both exclusive.
fn unit_hash(root: RootId, arm: u8) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    let low = mix(root.0 as u64 ^ u64::from(arm));
    let hash = mix(low ^ (root.0 >> 64) as u64);
    let numerator = (hash >> (u64::BITS - MANTISSA_BITS)) as f64 + 0.5;
    numerator / (1_u64 << MANTISSA_BITS) as f64
}

/// The output function of SplitMix64, which mixes all bits of `value`.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
