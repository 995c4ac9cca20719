//! The quotas of all teams, as far as one node decides about them.

use std::cell::{Cell, Ref, RefCell};
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;

use serde::Deserialize;
use siphasher::sip::SipHasher24;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::lease::Lease;
use super::owner::{Grant, Owned, Tolerance};
use super::roster::Quota;

/// How a quota is shared among the entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuotaPolicy {
    /// The owner of a team leases tokens to the entries that ask.
    #[default]
    Leased,
    /// Each entry has an equal share.
    Equal,
}

/// The nodes among which owners are found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// This node, and those that it is linked with, unless they are stopping; sorted.
    pub members: Vec<SocketAddr>,
    /// How many nodes there are as far as is known, the members among them.
    pub known: usize,
}

impl Fleet {
    /// The part of the fleet that this node sees.
    pub fn share(&self) -> f64 {
        (self.members.len() as f64 / self.known.max(1) as f64).min(1.0)
    }

    /// The member that owns a team's quota: nodes with the same members find the same one, and a member
    /// that comes or goes changes the owner of as few teams as can be.
    pub fn owner(&self, team: &str) -> Option<SocketAddr> {
        self.members.iter().copied().max_by_key(|member| {
            let mut hasher = SipHasher24::new();
            (team, member).hash(&mut hasher);
            hasher.finish()
        })
    }
}

/// What an entry holds of a team's quota, and a signal to the requests that wait for more.
#[derive(Debug)]
pub struct TeamLease {
    /// What it holds.
    pub lease: RefCell<Lease>,
    /// Wakes the requests that wait for the owner's answer.
    pub answered: Notify,
    /// Whether the node that was asked last does not own the quota.
    pub has_misasked: Cell<bool>,
}

/// The quotas of all teams, as far as one node decides about them.
#[derive(Debug)]
pub struct Quotas {
    own_address: SocketAddr,
    /// By how much quotas may be exceeded.
    pub tolerance: Tolerance,
    /// How quotas are shared.
    pub policy: QuotaPolicy,
    fleet: RefCell<Fleet>,
    fleet_changed: Cell<Instant>,
    owners: RefCell<HashMap<Rc<str>, SocketAddr>>,
    leases: RefCell<HashMap<Rc<str>, Rc<TeamLease>>>,
    owned: RefCell<HashMap<Rc<str>, Owned>>,
}

impl Quotas {
    /// No quota was used yet, and no other node is known.
    pub fn new(own_address: SocketAddr, policy: QuotaPolicy, tolerance: Tolerance) -> Self {
        Self {
            own_address,
            tolerance,
            policy,
            fleet: RefCell::new(Fleet { members: vec![own_address], known: 1 }),
            fleet_changed: Cell::new(Instant::now()),
            owners: RefCell::default(),
            leases: RefCell::default(),
            owned: RefCell::default(),
        }
    }

    /// The nodes among which owners are found.
    pub fn fleet(&self) -> Ref<'_, Fleet> {
        self.fleet.borrow()
    }

    /// Takes in which nodes there are. What is kept of teams that another node owns now is dropped: by the
    /// time they come back it is out of date.
    pub fn set_fleet(&self, fleet: Fleet, now: Instant) {
        if *self.fleet.borrow() == fleet {
            return;
        }
        self.owners.borrow_mut().clear();
        self.fleet_changed.set(now);
        self.owned.borrow_mut().retain(|team, _| fleet.owner(team) == Some(self.own_address));
        self.fleet.replace(fleet);
    }

    /// The node that owns a team's quota; none is this one.
    pub fn owner(&self, team: &Rc<str>) -> Option<SocketAddr> {
        let mut owners = self.owners.borrow_mut();
        let owner = owners
            .entry(Rc::clone(team))
            .or_insert_with(|| self.fleet.borrow().owner(team).unwrap_or(self.own_address));
        (*owner != self.own_address).then_some(*owner)
    }

    /// Grants tokens of a team's quota, if this node owns it.
    pub fn grant(&self, team: &Rc<str>, quota: Quota, wanted: u32, now: Instant) -> Option<Grant> {
        if self.owner(team).is_some() {
            return None;
        }
        let share = self.fleet.borrow().share();
        let mut owned = self.owned.borrow_mut();
        let owned = owned.entry(Rc::clone(team)).or_insert_with(|| {
            Owned::new(quota, &self.tolerance, share, self.fleet_changed.get(), now)
        });
        Some(owned.grant(quota, share, wanted, now))
    }

    /// Takes back tokens that were granted and not used.
    pub fn put_back(&self, team: &str, tokens: u32, now: Instant) {
        if let Some(owned) = self.owned.borrow_mut().get_mut(team) {
            owned.put_back(tokens, now);
        }
    }

    /// What this node holds of a team's quota.
    pub fn lease(&self, team: &Rc<str>, now: Instant) -> Rc<TeamLease> {
        let mut leases = self.leases.borrow_mut();
        let lease = leases.entry(Rc::clone(team)).or_insert_with(|| {
            let lease = RefCell::new(Lease::new(now));
            Rc::new(TeamLease { lease, answered: Notify::new(), has_misasked: Cell::default() })
        });
        Rc::clone(lease)
    }

    /// What this node holds of a team's quota, if it has asked for any.
    pub fn known_lease(&self, team: &str) -> Option<Rc<TeamLease>> {
        self.leases.borrow().get(team).cloned()
    }

    /// Takes the tokens out of all leases that were not used in time, each with its team. Teams that have
    /// sent nothing for long are forgotten.
    pub fn take_unused(&self, now: Instant) -> Vec<(Rc<str>, u32)> {
        let mut unused = Vec::new();
        self.leases.borrow_mut().retain(|team, held| {
            let mut lease = held.lease.borrow_mut();
            let tokens = lease.take_unused(now);
            if tokens > 0 {
                unused.push((Rc::clone(team), tokens));
            }
            !lease.is_idle(now)
        });
        unused
    }
}
