//! The known members, when each was last known to be alive, and tombstones of removed members.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::call::NodeId;

use super::event::MembershipAction;
use super::interest::ServiceTag;
use super::member::{Member, MemberState};
use super::options::MembershipOptions;

/// A known member.
#[derive(Debug)]
pub(super) struct Entry {
    /// Its latest known record.
    pub(super) member: Member,
    /// The tag of its service.
    pub(super) tag: ServiceTag,
    /// When the member was last known to be alive.
    pub(super) alive_us: u64,
}

/// The data that is kept of a removed member.
#[derive(Debug)]
struct Tombstone {
    /// Its last heartbeat counter; only a higher one brings the member back.
    beat: u64,
    /// Whether it left; if so, it can never come back.
    has_left: bool,
    /// Its peer address.
    address: SocketAddr,
    /// When it was removed.
    removed_us: u64,
}

/// The members that a node knows, without the node itself.
#[derive(Debug, Default)]
pub(super) struct View {
    entries: BTreeMap<NodeId, Entry>,
    tombstones: BTreeMap<NodeId, Tombstone>,
    /// The number of known members of each service.
    sizes: BTreeMap<ServiceTag, usize>,
}

impl View {
    /// The entry of `node`.
    pub(super) fn get(&self, node: NodeId) -> Option<&Entry> {
        self.entries.get(&node)
    }

    /// All entries.
    pub(super) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// How many members of the service are known.
    pub(super) fn size(&self, tag: ServiceTag) -> usize {
        self.sizes.get(&tag).copied().unwrap_or(0)
    }

    /// How many members are known.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether information about `node` with this heartbeat counter may be applied, given its
    /// tombstone.
    pub(super) fn accepts(&self, node: NodeId, beat: u64) -> bool {
        self.tombstones
            .get(&node)
            .is_none_or(|tombstone| !tombstone.has_left && beat > tombstone.beat)
    }

    /// Applies a heartbeat of a known member; returns false if the node is unknown or the
    /// heartbeat's revision is newer than that of the record.
    pub(super) fn apply_heartbeat(
        &mut self,
        node: NodeId,
        beat: u64,
        revision: u32,
        alive_us: u64,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(&node) else { return false };
        if beat > entry.member.beat {
            entry.member.beat = beat;
            entry.alive_us = entry.alive_us.max(alive_us);
        }
        revision <= entry.member.revision
    }

    /// Marks `node` as alive now because a message from it arrived.
    pub(super) fn mark_alive(&mut self, node: NodeId, now_us: u64) {
        let Some(entry) = self.entries.get_mut(&node) else { return };
        entry.alive_us = entry.alive_us.max(now_us);
    }

    /// Applies a full record whose member was alive at `alive_us`.
    pub(super) fn apply_record(
        &mut self,
        now_us: u64,
        member: &Member,
        alive_us: u64,
        options: &MembershipOptions,
        out: &mut Vec<MembershipAction>,
    ) {
        let tag = ServiceTag::new(&member.service);
        if !self.accepts(member.node, member.beat) {
            return;
        }
        if now_us.saturating_sub(alive_us) >= options.age_out_us(self.size(tag)) {
            return;
        }
        if self.entries.contains_key(&member.node) {
            self.update(member, alive_us, out);
            return;
        }
        let earlier = self.entries.values().find(|known| known.member.is_same_node(member));
        let earlier = earlier.map(|known| (known.member.node, member.supersedes(&known.member)));
        if let Some((_, false)) = earlier {
            // No tombstone is added: a new incarnation whose clock is behind corrects its start
            // time and is then accepted.
            return;
        }
        if let Some((node, true)) = earlier {
            self.remove(now_us, node, options, out);
        }
        if self.entries.len() >= options.members_max {
            return;
        }
        self.tombstones.remove(&member.node);
        *self.sizes.entry(tag).or_insert(0) += 1;
        self.entries.insert(member.node, Entry { member: member.clone(), tag, alive_us });
        out.push(MembershipAction::Added(member.clone()));
    }

    /// Applies a record of a known member.
    fn update(&mut self, member: &Member, alive_us: u64, out: &mut Vec<MembershipAction>) {
        let Some(entry) = self.entries.get_mut(&member.node) else { return };
        if member.beat > entry.member.beat {
            entry.member.beat = member.beat;
            entry.alive_us = entry.alive_us.max(alive_us);
        }
        if member.revision <= entry.member.revision {
            return;
        }
        let beat = entry.member.beat;
        let was_leaving = entry.member.state == MemberState::Leaving;
        entry.member = Member { beat, ..member.clone() };
        if was_leaving {
            entry.member.state = MemberState::Leaving;
        }
        out.push(MembershipAction::Changed(entry.member.clone()));
    }

    /// Removes members whose heartbeats stopped, and expired tombstones.
    pub(super) fn expire(
        &mut self,
        now_us: u64,
        options: &MembershipOptions,
        out: &mut Vec<MembershipAction>,
    ) {
        let mut silent = Vec::new();
        for entry in self.entries.values() {
            let age_out_us = options.age_out_us(self.size(entry.tag));
            if now_us.saturating_sub(entry.alive_us) >= age_out_us {
                silent.push(entry.member.node);
            }
        }
        for node in silent {
            self.remove(now_us, node, options, out);
        }
        let kept_us = options.tombstone_us;
        let is_young =
            |tombstone: &Tombstone| now_us.saturating_sub(tombstone.removed_us) < kept_us;
        self.tombstones.retain(|_, tombstone| tombstone.has_left || is_young(tombstone));
    }

    /// Moves the last-alive time of every member forward by `pause_us`, during which this node
    /// could not receive anything.
    pub(super) fn extend_last_alive(&mut self, now_us: u64, pause_us: u64) {
        for entry in self.entries.values_mut() {
            entry.alive_us = (entry.alive_us + pause_us).min(now_us);
        }
    }

    /// The peer addresses of removed members that may come back.
    pub(super) fn lost_addresses(&self) -> Vec<SocketAddr> {
        self.tombstones
            .values()
            .filter(|tombstone| !tombstone.has_left)
            .map(|tombstone| tombstone.address)
            .collect()
    }

    fn remove(
        &mut self,
        now_us: u64,
        node: NodeId,
        options: &MembershipOptions,
        out: &mut Vec<MembershipAction>,
    ) {
        let Some(entry) = self.entries.remove(&node) else { return };
        if let Some(size) = self.sizes.get_mut(&entry.tag) {
            *size = size.saturating_sub(1);
        }
        self.add_tombstone(now_us, &entry.member, options);
        out.push(MembershipAction::Gone(node));
    }

    /// Adds a tombstone for `member`, which does not expire if the member was leaving.
    fn add_tombstone(&mut self, now_us: u64, member: &Member, options: &MembershipOptions) {
        let has_left = member.state == MemberState::Leaving;
        if self.tombstones.len() >= options.tombstones_max {
            let oldest = self
                .tombstones
                .iter()
                .min_by_key(|(_, tombstone)| (tombstone.has_left, tombstone.removed_us));
            if let Some(oldest) = oldest.map(|(node, _)| *node) {
                self.tombstones.remove(&oldest);
            }
        }
        let tombstone = Tombstone {
            beat: member.beat,
            has_left,
            address: member.peer_address,
            removed_us: now_us,
        };
        self.tombstones.insert(member.node, tombstone);
    }
}
