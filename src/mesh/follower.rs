//! Decides which nodes follow the configuration in the store on behalf of the others.
//!
//! A few nodes in each failure domain do; the others receive new versions over their links. Each
//! node decides for itself from the status of its peers, so no election is needed, and a node that
//! has lost all its links follows the store on its own.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// Number of nodes in each failure domain that follow the store. With two, one still receives
/// changes while the connection of the other is dead but not yet detected as such.
const FOLLOWERS_PER_DOMAIN: usize = 2;

/// Maximum number of additional substitutes. A node that does not follow the store does not know
/// whether it can reach it, so an outage that cuts off some followers may have cut off their
/// substitutes as well.
const SPARE_SUBSTITUTES_MAX: usize = 2;

/// How a node receives configuration changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Follows the store.
    #[default]
    Follower,
    /// Follows the store in place of nodes that can't reach it.
    Substitute,
    /// Receives changes from other nodes.
    Informed,
}

impl Role {
    /// The role of a node by the number of nodes before it in the address order of its failure
    /// domain: those that have not reported the store as unreachable, and all.
    pub fn of(before_with_store: usize, before: usize) -> Self {
        let unreachable = before - before_with_store;
        let followers = FOLLOWERS_PER_DOMAIN + unreachable.min(SPARE_SUBSTITUTES_MAX);
        if before < FOLLOWERS_PER_DOMAIN {
            Self::Follower
        } else if before_with_store < followers {
            Self::Substitute
        } else {
            Self::Informed
        }
    }

    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Follower => "follows",
            Self::Substitute => "substitutes",
            Self::Informed => "hears",
        }
    }
}

/// State of the connection to the store, and this node's role in following it.
#[derive(Debug)]
pub struct StoreWatch {
    /// Wakes the task that follows the store, if this node's role requires it.
    pub follow_requested: Notify,
    /// Wakes the task that waits for the store's answer when this node becomes the first of its
    /// failure domain.
    pub became_first: Notify,
    reaches_store: Cell<bool>,
    role: Cell<Role>,
    is_first: Cell<bool>,
    last_answer_at: Cell<Instant>,
}

impl Default for StoreWatch {
    fn default() -> Self {
        Self {
            follow_requested: Notify::new(),
            became_first: Notify::new(),
            reaches_store: Cell::new(true),
            is_first: Cell::new(true),
            role: Cell::default(),
            last_answer_at: Cell::new(Instant::now()),
        }
    }
}

impl StoreWatch {
    /// The role of this node.
    pub fn role(&self) -> Role {
        self.role.get()
    }

    /// Whether this node is the first of its failure domain that reaches the store.
    pub fn is_first(&self) -> bool {
        self.is_first.get()
    }

    /// Updates the role from the number of nodes before this one in the address order of its
    /// failure domain: those that have not reported the store as unreachable, and all. Returns whether the role or `is_first`
    /// has changed.
    pub fn update_role(&self, before_with_store: usize, before: usize) -> bool {
        let (role, is_first) = (Role::of(before_with_store, before), before_with_store == 0);
        if role != Role::Informed {
            self.follow_requested.notify_one();
        }
        let was_first = self.is_first.replace(is_first);
        if is_first && !was_first {
            // The other nodes now rely on this one's pending request, which may be an old one that
            // was lost.
            self.became_first.notify_waiters();
        }
        self.role.replace(role) != role || was_first != is_first
    }

    /// Records an answer of the store.
    pub fn record_answer(&self) {
        self.reaches_store.set(true);
        self.last_answer_at.set(Instant::now());
    }

    /// Marks the store as unreachable until it answers again, so that other nodes follow it
    /// instead.
    pub fn mark_unreachable(&self) {
        self.reaches_store.set(false);
    }

    /// Whether the store was reachable at the last attempt.
    pub fn reaches_store(&self) -> bool {
        self.reaches_store.get()
    }

    /// Time since the store last answered a request for the configuration. In normal operation it
    /// grows up to the long-poll wait; more means that a request was lost.
    pub fn silence(&self) -> Duration {
        self.last_answer_at.get().elapsed()
    }
}
