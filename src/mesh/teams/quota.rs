//! A node's state for the quotas of all teams: the leases that it holds and the quotas that it owns.

use std::cell::{Cell, Ref, RefCell};
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;

use serde::Deserialize;
use siphasher::sip::SipHasher24;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::lease::{Lease, Step};
use super::owner::{Grant, OwnedQuota, Tolerance};
use super::roster::Quota;

/// How a quota is distributed among the entry nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuotaPolicy {
    /// The owner of a team's quota leases tokens to entry nodes on request.
    #[default]
    Leased,
    /// Each entry node has an equal share of the quota.
    Equal,
}

/// The nodes from which the owners of quotas are chosen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// This node and those that it is connected to, except stopping ones while there are others;
    /// sorted and never empty.
    pub members: Vec<SocketAddr>,
    /// The number of known nodes, including the members.
    pub known: usize,
}

impl Fleet {
    /// The share of the fleet that this node is connected to.
    pub fn share(&self) -> f64 {
        (self.members.len() as f64 / self.known.max(1) as f64).min(1.0)
    }

    /// The member that owns a team's quota, by rendezvous hashing: nodes with the same members choose the same
    /// owner, and adding or removing a member changes the owner of as few teams as possible.
    pub fn owner(&self, team: &str) -> Option<SocketAddr> {
        self.members.iter().copied().max_by_key(|member| {
            let mut hasher = SipHasher24::new();
            (team, member).hash(&mut hasher);
            hasher.finish()
        })
    }
}

/// The owner of a team's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This node.
    This,
    /// Another node.
    Other(SocketAddr),
    /// This node does not know the other nodes yet.
    Unknown,
}

/// An entry node's lease of a team's quota, and a signal to the requests that wait for tokens.
#[derive(Debug)]
pub struct TeamLease {
    /// The lease.
    pub lease: RefCell<Lease>,
    /// Wakes the requests that wait for the owner's answer.
    pub answered: Notify,
    /// Whether the node that answered last does not own the quota.
    pub asked_wrong_node: Cell<bool>,
    /// The node that was asked last.
    asked: Cell<Option<SocketAddr>>,
}

impl TeamLease {
    /// The next step for a request, if `owner` owns the quota. A request to the previous owner counts
    /// as lost: while it is awaited, tokens accrue at the new owner besides those that the equal share
    /// admits.
    pub fn next_step(&self, owner: SocketAddr, now: Instant) -> Step {
        let mut lease = self.lease.borrow_mut();
        if self.asked.replace(Some(owner)) != Some(owner) {
            lease.forget_request();
        }
        lease.next_step(now)
    }
}

/// A node's state for the quotas of all teams.
#[derive(Debug)]
pub struct Quotas {
    own_address: SocketAddr,
    /// By how much a quota may be exceeded.
    pub tolerance: Tolerance,
    /// How quotas are distributed among nodes.
    pub policy: QuotaPolicy,
    fleet: RefCell<Fleet>,
    /// Whether this node knows all nodes of the fleet. Before that it grants nothing: all nodes that
    /// start at the same time would own each quota.
    is_fleet_known: Cell<bool>,
    fleet_changed_at: Cell<Instant>,
    /// Wakes the requests that wait for the fleet to be known.
    fleet_changed: Notify,
    owners: RefCell<HashMap<Rc<str>, Owner>>,
    leases: RefCell<HashMap<Rc<str>, Rc<TeamLease>>>,
    owned: RefCell<HashMap<Rc<str>, OwnedQuota>>,
}

impl Quotas {
    /// The state at the start of a node: no quota is in use, and the fleet is not known.
    pub fn new(own_address: SocketAddr, policy: QuotaPolicy, tolerance: Tolerance) -> Self {
        Self {
            own_address,
            tolerance,
            policy,
            fleet: RefCell::new(Fleet { members: vec![own_address], known: 1 }),
            is_fleet_known: Cell::default(),
            fleet_changed_at: Cell::new(Instant::now()),
            fleet_changed: Notify::new(),
            owners: RefCell::default(),
            leases: RefCell::default(),
            owned: RefCell::default(),
        }
    }

    /// The nodes from which the owners of quotas are chosen.
    pub fn fleet(&self) -> Ref<'_, Fleet> {
        self.fleet.borrow()
    }

    /// Whether this node knows all nodes of the fleet.
    pub fn is_fleet_known(&self) -> bool {
        self.is_fleet_known.get()
    }

    /// Updates the fleet. Drops the state of quotas that another node owns now, as it would be out of date if
    /// this node became their owner again.
    pub fn set_fleet(&self, fleet: Fleet, now: Instant) {
        self.update_fleet(fleet, true, now);
    }

    /// Updates the part of the fleet that is known so far, while the node is starting.
    pub fn set_partial_fleet(&self, fleet: Fleet, now: Instant) {
        self.update_fleet(fleet, false, now);
    }

    fn update_fleet(&self, fleet: Fleet, is_known: bool, now: Instant) {
        let was_known = self.is_fleet_known.replace(is_known);
        if *self.fleet.borrow() == fleet && was_known == is_known {
            return;
        }
        self.owners.borrow_mut().clear();
        self.fleet_changed_at.set(now);
        self.owned.borrow_mut().retain(|team, _| fleet.owner(team) == Some(self.own_address));
        self.fleet.replace(fleet);
        self.fleet_changed.notify_waiters();
    }

    /// The node that owns a team's quota. While the fleet is not known, it is the most likely one of the
    /// others; a node that does not own the quota does not grant it.
    pub fn owner(&self, team: &Rc<str>) -> Owner {
        let mut owners = self.owners.borrow_mut();
        *owners.entry(Rc::clone(team)).or_insert_with(|| self.find_owner(team))
    }

    fn find_owner(&self, team: &str) -> Owner {
        let fleet = self.fleet.borrow();
        if self.is_fleet_known() {
            let owner = fleet.owner(team).filter(|owner| *owner != self.own_address);
            return owner.map_or(Owner::This, Owner::Other);
        }
        let is_other = |member: &SocketAddr| *member != self.own_address;
        let members = fleet.members.iter().copied().filter(is_other).collect();
        let owner = Fleet { members, known: fleet.known }.owner(team);
        owner.map_or(Owner::Unknown, Owner::Other)
    }

    /// Waits until an owner of a team's quota is known.
    pub async fn wait_for_owner(&self, team: &Rc<str>) {
        loop {
            let fleet_changed = self.fleet_changed.notified();
            if self.owner(team) != Owner::Unknown {
                return;
            }
            fleet_changed.await;
        }
    }

    /// Grants up to `wanted` tokens of a team's quota; none if this node does not own it or does not know that.
    pub fn grant(&self, team: &Rc<str>, quota: Quota, wanted: u32, now: Instant) -> Option<Grant> {
        if self.owner(team) != Owner::This {
            return None;
        }
        let share = self.fleet.borrow().share();
        let mut owned = self.owned.borrow_mut();
        let owned = owned.entry(Rc::clone(team)).or_insert_with(|| {
            OwnedQuota::new(quota, &self.tolerance, share, self.fleet_changed_at.get(), now)
        });
        Some(owned.grant(quota, share, wanted, now))
    }

    /// Returns tokens that were granted and not used. Does nothing if this node does not own the quota.
    pub fn put_back(&self, team: &str, tokens: u32, now: Instant) {
        if let Some(owned) = self.owned.borrow_mut().get_mut(team) {
            owned.put_back(tokens, now);
        }
    }

    /// This node's lease of a team's quota; created if there is none.
    pub fn lease(&self, team: &Rc<str>, now: Instant) -> Rc<TeamLease> {
        let mut leases = self.leases.borrow_mut();
        let lease = leases.entry(Rc::clone(team)).or_insert_with(|| {
            let lease = RefCell::new(Lease::new(now));
            let (answered, asked_wrong_node) = (Notify::new(), Cell::default());
            Rc::new(TeamLease { lease, answered, asked_wrong_node, asked: Cell::default() })
        });
        Rc::clone(lease)
    }

    /// This node's lease of a team's quota, if there is one.
    pub fn existing_lease(&self, team: &str) -> Option<Rc<TeamLease>> {
        self.leases.borrow().get(team).cloned()
    }

    /// Removes the tokens of expired leases, and returns their number by team. Also drops the leases of idle teams.
    pub fn take_expired(&self, now: Instant) -> Vec<(Rc<str>, u32)> {
        let mut expired = Vec::new();
        self.leases.borrow_mut().retain(|team, team_lease| {
            let mut lease = team_lease.lease.borrow_mut();
            let tokens = lease.take_expired(now);
            if tokens > 0 {
                expired.push((Rc::clone(team), tokens));
            }
            !lease.is_idle(now)
        });
        expired
    }
}
