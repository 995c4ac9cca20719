//! The members a node knows, how old the news of each is, and whom it remembers as gone.

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
    /// What is known of it.
    pub(super) member: Member,
    /// The tag of its service.
    pub(super) tag: ServiceTag,
    /// When the member showed the last sign of life known here.
    pub(super) alive_us: u64,
}

/// What is remembered of a member that is gone.
#[derive(Debug)]
struct Tombstone {
    /// Its last beat; only a higher one brings it back.
    beat: u64,
    /// Whether it can never come back, because it left.
    ended: bool,
    /// Where it was reached.
    address: SocketAddr,
    /// When it went.
    gone_us: u64,
}

/// The members a node knows. The node itself is not among them.
#[derive(Debug, Default)]
pub(super) struct View {
    entries: BTreeMap<NodeId, Entry>,
    tombstones: BTreeMap<NodeId, Tombstone>,
    /// How many members each service has.
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

    /// Whether news of `node` with this beat can say anything.
    pub(super) fn may_take(&self, node: NodeId, beat: u64) -> bool {
        self.tombstones.get(&node).is_none_or(|gone| !gone.ended && beat > gone.beat)
    }

    /// Takes a sign of life of a known member; false if the node is unknown or the sign's revision
    /// is newer than the record.
    pub(super) fn take_sign(
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

    /// Notes that something arrived from `node` itself.
    pub(super) fn heard(&mut self, node: NodeId, now_us: u64) {
        let Some(entry) = self.entries.get_mut(&node) else { return };
        entry.alive_us = entry.alive_us.max(now_us);
    }

    /// Takes a whole record whose member was alive at `alive_us`.
    pub(super) fn take(
        &mut self,
        now_us: u64,
        member: &Member,
        alive_us: u64,
        options: &MembershipOptions,
        out: &mut Vec<MembershipAction>,
    ) {
        let tag = ServiceTag::new(&member.service);
        if !self.may_take(member.node, member.beat) {
            return;
        }
        if now_us.saturating_sub(alive_us) >= options.age_out_us(self.size(tag)) {
            return;
        }
        if self.entries.contains_key(&member.node) {
            self.update(member, alive_us, out);
            return;
        }
        let earlier = self.entries.values().find(|known| known.member.same_place(member));
        let earlier = earlier.map(|known| (known.member.node, member.supersedes(&known.member)));
        if let Some((_, false)) = earlier {
            // Not remembered as ended: a new life whose clock is behind corrects itself.
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

    /// Takes a record of a known member.
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
        let left = entry.member.state == MemberState::Leaving;
        entry.member = Member { beat, ..member.clone() };
        if left {
            entry.member.state = MemberState::Leaving;
        }
        out.push(MembershipAction::Changed(entry.member.clone()));
    }

    /// Lets go of members without a sign of life for too long, and of old memories.
    pub(super) fn age(
        &mut self,
        now_us: u64,
        options: &MembershipOptions,
        out: &mut Vec<MembershipAction>,
    ) {
        let mut gone = Vec::new();
        for entry in self.entries.values() {
            let age_out_us = options.age_out_us(self.size(entry.tag));
            if now_us.saturating_sub(entry.alive_us) >= age_out_us {
                gone.push(entry.member.node);
            }
        }
        for node in gone {
            self.remove(now_us, node, options, out);
        }
        let kept_us = options.tombstone_us;
        let is_young = |gone: &Tombstone| now_us.saturating_sub(gone.gone_us) < kept_us;
        self.tombstones.retain(|_, gone| gone.ended || is_young(gone));
    }

    /// Moves every sign of life forward by `pause_us`, during which this node could not hear any.
    pub(super) fn forgive(&mut self, now_us: u64, pause_us: u64) {
        for entry in self.entries.values_mut() {
            entry.alive_us = (entry.alive_us + pause_us).min(now_us);
        }
    }

    /// Where members were reached that are gone and might come back.
    pub(super) fn lost_addresses(&self) -> Vec<SocketAddr> {
        self.tombstones.values().filter(|gone| !gone.ended).map(|gone| gone.address).collect()
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
        self.bury(now_us, &entry.member, options);
        out.push(MembershipAction::Gone(node));
    }

    /// Remembers that `member` is gone, and that for ever if it was leaving.
    fn bury(&mut self, now_us: u64, member: &Member, options: &MembershipOptions) {
        let ended = member.state == MemberState::Leaving;
        if self.tombstones.len() >= options.tombstones_max {
            let oldest = self.tombstones.iter().min_by_key(|(_, gone)| (gone.ended, gone.gone_us));
            if let Some(oldest) = oldest.map(|(node, _)| *node) {
                self.tombstones.remove(&oldest);
            }
        }
        let tombstone =
            Tombstone { beat: member.beat, ended, address: member.peer_address, gone_us: now_us };
        self.tombstones.insert(member.node, tombstone);
    }
}
