//! Which nodes follow the configuration in the store for the others.
//!
//! A few of each failure domain do; the others hear of a new version on their links. Every node decides
//! for itself by what its neighbours say, so nobody has to be elected, and where all links are lost each
//! node follows by itself.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// How many nodes of each failure domain follow the store. One more than one: while a follower's
/// connection is silent and not yet noticed to be, the other brings the changes.
const FOLLOWERS_PER_DOMAIN: usize = 2;

/// What a node does about the configuration in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// It follows the store.
    #[default]
    Follows,
    /// It follows the store in place of others that do not reach it.
    Substitutes,
    /// It hears of changes from other nodes.
    Hears,
}

impl Role {
    /// The role of a node with so many others before it in the order of its failure domain: those that
    /// reach the store, and all.
    pub fn of(before_with_store: usize, before: usize) -> Self {
        if before < FOLLOWERS_PER_DOMAIN {
            Self::Follows
        } else if before_with_store < FOLLOWERS_PER_DOMAIN {
            Self::Substitutes
        } else {
            Self::Hears
        }
    }

    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Follows => "follows",
            Self::Substitutes => "substitutes",
            Self::Hears => "hears",
        }
    }
}

/// What a node knows of the store, and of its part in following it.
#[derive(Debug)]
pub struct StoreWatch {
    /// Wakes whoever follows the store where this node has to.
    pub to_follow: Notify,
    /// Wakes whoever waits for an answer of the store when the node becomes the first of its failure domain.
    pub became_first: Notify,
    reaches_store: Cell<bool>,
    role: Cell<Role>,
    is_first: Cell<bool>,
    heard: Cell<Instant>,
}

impl Default for StoreWatch {
    fn default() -> Self {
        Self {
            to_follow: Notify::new(),
            became_first: Notify::new(),
            reaches_store: Cell::new(true),
            is_first: Cell::new(true),
            role: Cell::default(),
            heard: Cell::new(Instant::now()),
        }
    }
}

impl StoreWatch {
    /// What the node does about the store.
    pub fn role(&self) -> Role {
        self.role.get()
    }

    /// Whether no node of the failure domain that reaches the store comes before this one.
    pub fn is_first(&self) -> bool {
        self.is_first.get()
    }

    /// Takes the place of a node with so many others before it in the order of its failure domain: those that
    /// reach the store, and all. Says whether its part is another one now.
    pub fn take_place(&self, before_with_store: usize, before: usize) -> bool {
        let (role, is_first) = (Role::of(before_with_store, before), before_with_store == 0);
        if role != Role::Hears {
            self.to_follow.notify_one();
        }
        let was_first = self.is_first.replace(is_first);
        if is_first && !was_first {
            // The others count on this node's question now, which may be an old one that was lost.
            self.became_first.notify_waiters();
        }
        self.role.replace(role) != role || was_first != is_first
    }

    /// Notes that the store has answered.
    pub fn note_heard(&self) {
        self.reaches_store.set(true);
        self.heard.set(Instant::now());
    }

    /// Notes that others are to follow the store in place of this node, until it answers again.
    pub fn note_away(&self) {
        self.reaches_store.set(false);
    }

    /// Whether the node reaches the store, as far as it knows.
    pub fn reaches_store(&self) -> bool {
        self.reaches_store.get()
    }

    /// For how long the store has answered no question of this node about the configuration. In a calm time
    /// it grows up to the time for which the store is asked to wait; more means that a question is lost.
    pub fn silence(&self) -> Duration {
        self.heard.get().elapsed()
    }
}
