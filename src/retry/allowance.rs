//! The extra attempts each root may still cause, counted at its entry node.

use std::collections::{BTreeSet, HashMap};

use crate::call::RootId;

/// What one root may still cause.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    /// Extra attempts left.
    left: u8,
    /// When the root's deadline passes.
    deadline_us: u64,
}

/// The retry allowances of all roots that entered at this node.
///
/// There is one counter for a root over its whole call tree. Nothing is lent with calls, so a lost
/// answer loses no allowance and cannot add any: the extra attempts of a root never exceed what it
/// was opened with.
#[derive(Debug, Default)]
pub struct RootAllowances {
    /// The open roots.
    roots: HashMap<RootId, Allowance>,
    /// The open roots in the order of their deadlines.
    deadlines: BTreeSet<(u64, RootId)>,
}

impl RootAllowances {
    /// No open root.
    pub fn new() -> Self {
        Self::default()
    }

    /// Begins the allowance of `root`; a root that is open already keeps what it has left, so that
    /// opening twice cannot refill it.
    pub fn open(&mut self, now_us: u64, root: RootId, allowance: u8, deadline_us: u64) {
        self.expire(now_us);
        if deadline_us <= now_us || self.roots.contains_key(&root) {
            return;
        }
        self.roots.insert(root, Allowance { left: allowance, deadline_us });
        self.deadlines.insert((deadline_us, root));
    }

    /// Takes one extra attempt from `root`. False when nothing is left, when the deadline has
    /// passed and when the root is not open here.
    pub fn take(&mut self, now_us: u64, root: RootId) -> bool {
        let Some(entry) = self.roots.get_mut(&root) else {
            return false;
        };
        if entry.deadline_us <= now_us || entry.left == 0 {
            return false;
        }
        entry.left -= 1;
        true
    }

    /// Ends the allowance of `root`, because its outcome is known.
    pub fn close(&mut self, root: RootId) {
        if let Some(entry) = self.roots.remove(&root) {
            self.deadlines.remove(&(entry.deadline_us, root));
        }
    }

    /// Forgets the roots whose deadline has passed.
    pub fn expire(&mut self, now_us: u64) {
        while let Some(&(deadline_us, root)) = self.deadlines.first() {
            if deadline_us > now_us {
                return;
            }
            self.deadlines.pop_first();
            self.roots.remove(&root);
        }
    }

    /// How many roots are open.
    pub fn len(&self) -> usize {
        self.roots.len()
    }

    /// Whether no root is open.
    pub fn is_empty(&self) -> bool {
        self.roots.is_empty()
    }
}
