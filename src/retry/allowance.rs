//! The retry allowance of each root: how many extra attempts its whole call tree may make. It is
//! kept at the root's entry node.

use std::collections::{BTreeSet, HashMap};

use crate::call::RootId;

/// The allowance of one root.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    /// Extra attempts left.
    remaining: u8,
    /// The root's deadline.
    deadline_us: u64,
}

/// The retry allowances of all roots that entered at this node.
///
/// Each root has one counter for its whole call tree. Calls carry no part of it, so a lost answer
/// neither consumes nor restores allowance, and the extra attempts of a root never exceed the
/// allowance it was opened with.
#[derive(Debug, Default)]
pub struct RootAllowances {
    /// The open roots by ID.
    roots: HashMap<RootId, Allowance>,
    /// The open roots ordered by deadline.
    deadlines: BTreeSet<(u64, RootId)>,
}

impl RootAllowances {
    /// Creates an empty set of allowances.
    pub fn new() -> Self {
        Self::default()
    }

    /// Opens the allowance of `root`. A root that is already open keeps what it has left, so
    /// opening it again does not refill it. A root whose deadline has passed is not opened.
    pub fn open(&mut self, now_us: u64, root: RootId, allowance: u8, deadline_us: u64) {
        self.expire(now_us);
        if deadline_us <= now_us || self.roots.contains_key(&root) {
            return;
        }
        self.roots.insert(root, Allowance { remaining: allowance, deadline_us });
        self.deadlines.insert((deadline_us, root));
    }

    /// Takes one extra attempt from the allowance of `root`.
    ///
    /// Returns false if none is left, the deadline has passed or the root is not open here.
    pub fn take(&mut self, now_us: u64, root: RootId) -> bool {
        let Some(allowance) = self.roots.get_mut(&root) else {
            return false;
        };
        if allowance.deadline_us <= now_us || allowance.remaining == 0 {
            return false;
        }
        allowance.remaining -= 1;
        true
    }

    /// Removes the allowance of `root`, whose outcome is known.
    pub fn close(&mut self, root: RootId) {
        if let Some(allowance) = self.roots.remove(&root) {
            self.deadlines.remove(&(allowance.deadline_us, root));
        }
    }

    /// Removes the roots whose deadline has passed.
    pub fn expire(&mut self, now_us: u64) {
        while let Some(&(deadline_us, root)) = self.deadlines.first() {
            if deadline_us > now_us {
                return;
            }
            self.deadlines.pop_first();
            self.roots.remove(&root);
        }
    }

    /// The number of open roots.
    pub fn len(&self) -> usize {
        self.roots.len()
    }

    /// Whether no root is open.
    pub fn is_empty(&self) -> bool {
        self.roots.is_empty()
    }
}
