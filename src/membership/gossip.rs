//! The exchange between peers: digests, replies and the records that were missing.

use std::net::SocketAddr;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::call::NodeId;

use super::event::MembershipAction;
use super::interest::ServiceTag;
use super::member::Member;
use super::state::Membership;
use super::wire::{self, Body, Gossip, Group, Header, Record, Sign};

/// How many peers hear of a new version of the configuration in each round after it came in force.
const HELLO_PEERS: usize = 2;
/// The most requests for records in one reply.
const WANTED_MAX: usize = 64;
/// One in so many rounds also asks a seed or a member that is gone.
const PROBE_ROUNDS: u32 = 4;
/// The most leads in one reply.
const LEADS_MAX: usize = 4;

impl Membership {
    /// Sends to a few of all known nodes at once.
    pub(super) fn send_urgent(
        &self,
        body: Body,
        peers_max: usize,
        rng: &mut SmallRng,
        out: &mut Vec<MembershipAction>,
    ) {
        let bytes = self.message(body).encode();
        let mut peers = self.peer_addresses(|_| true);
        peers.extend(self.contacts.addresses());
        if peers.is_empty() {
            peers.clone_from(&self.options.seeds);
        }
        for to in peers.choose_multiple(rng, peers_max) {
            out.push(MembershipAction::SendGossip { to: *to, bytes: bytes.clone() });
        }
    }

    pub(super) fn take_gossip(
        &mut self,
        now_us: u64,
        bytes: &[u8],
        out: &mut Vec<MembershipAction>,
    ) {
        let Some(message) = Gossip::decode(bytes) else { return };
        let Header { from, address, configuration } = message.header;
        if from == self.own.node {
            return;
        }
        self.last_peer_us = Some(now_us);
        self.view.heard(from, now_us);
        out.push(MembershipAction::PeerConfiguration { peer: address, mark: configuration });
        match message.body {
            Body::Digest { own, own_service, groups } => {
                if !self.interests.has(own_service) {
                    self.contacts.note(now_us, address, own_service);
                }
                let body = self.reply(now_us, address, own, own_service, &groups);
                self.send(address, body, out);
            }
            Body::Reply { signs, records, wanted, leads } => {
                self.contacts.follow(&leads, self.own.peer_address);
                self.take_records(now_us, &records, out);
                for sign in &signs {
                    self.take_sign(now_us, sign);
                }
                self.send_wanted(now_us, address, &wanted, out);
            }
            Body::Records(records) => self.take_records(now_us, &records, out),
            Body::Hello => {}
        }
    }

    /// Takes a sign of life; false where the whole record is needed.
    fn take_sign(&mut self, now_us: u64, sign: &Sign) -> bool {
        let node = NodeId(sign.node);
        if node == self.own.node || !self.view.may_take(node, sign.beat) {
            return true;
        }
        let alive_us = now_us.saturating_sub(wire::age_us(sign.age_s));
        self.view.take_sign(node, sign.beat, sign.revision, alive_us)
    }

    fn take_records(&mut self, now_us: u64, records: &[Record], out: &mut Vec<MembershipAction>) {
        for record in records {
            let member = &record.member;
            if member.node == self.own.node || !self.interests.has_service(&member.service) {
                continue;
            }
            if member.same_place(&self.own) {
                self.meet_namesake(member, out);
                continue;
            }
            let alive_us = now_us.saturating_sub(wire::age_us(record.age_s));
            self.view.take(now_us, member, alive_us, &self.options, out);
        }
    }

    /// Takes the signs of a digest and makes the reply to it.
    fn reply(
        &mut self,
        now_us: u64,
        asker: SocketAddr,
        own: Sign,
        own_service: ServiceTag,
        groups: &[Group],
    ) -> Body {
        let mut signs = Vec::new();
        let mut records = Vec::new();
        let mut wanted = Vec::new();
        let mut leads = Vec::new();
        if self.interests.has(own_service) && !self.take_sign(now_us, &own) {
            wanted.push(NodeId(own.node));
        }
        for group in groups {
            if !self.interests.has(group.service) {
                if group.whole && group.signs.is_empty() {
                    leads.extend(self.contacts.lead(group.service, asker));
                }
                continue;
            }
            for sign in &group.signs {
                let known = self.take_sign(now_us, sign);
                if !known && wanted.len() < WANTED_MAX {
                    wanted.push(NodeId(sign.node));
                }
            }
            self.offer(now_us, own.node, group, &mut signs, &mut records);
        }
        leads.truncate(LEADS_MAX);
        Body::Reply { signs, records, wanted, leads }
    }

    /// Collects what the sender of `group` lacks.
    fn offer(
        &self,
        now_us: u64,
        asker: u64,
        group: &Group,
        signs: &mut Vec<Sign>,
        records: &mut Vec<Record>,
    ) {
        let mut theirs: Vec<&Sign> = group.signs.iter().collect();
        theirs.sort_unstable_by_key(|sign| sign.node);
        for (member, alive_us) in self.known(now_us, group.service) {
            if member.node.0 == asker {
                continue;
            }
            let place = theirs.binary_search_by_key(&member.node.0, |sign| sign.node);
            let sign = place.ok().map(|place| theirs[place]);
            let outdated = sign.is_some_and(|sign| sign.revision < member.revision);
            let lacking = sign.is_none() && group.whole;
            if (outdated || lacking) && records.len() < self.options.records_max {
                let age_s = wire::age_s(now_us.saturating_sub(alive_us));
                records.push(Record { member: member.clone(), age_s });
                continue;
            }
            if sign.is_some_and(|sign| sign.beat < member.beat) {
                signs.push(sign_of(now_us, member, alive_us));
            }
        }
    }

    /// The members of a service, this node among them, with the time of their last sign of life.
    fn known(&self, now_us: u64, tag: ServiceTag) -> impl Iterator<Item = (&Member, u64)> {
        let own = (self.interests.own() == tag).then_some((&self.own, now_us));
        let entries = self.view.entries().filter(move |entry| entry.tag == tag);
        own.into_iter().chain(entries.map(|entry| (&entry.member, entry.alive_us)))
    }

    fn send_wanted(
        &self,
        now_us: u64,
        to: SocketAddr,
        wanted: &[NodeId],
        out: &mut Vec<MembershipAction>,
    ) {
        let mut records = Vec::new();
        for node in wanted.iter().take(self.options.records_max) {
            if *node == self.own.node {
                records.push(Record { member: self.own.clone(), age_s: 0 });
                continue;
            }
            let Some(entry) = self.view.get(*node) else { continue };
            let age_s = wire::age_s(now_us.saturating_sub(entry.alive_us));
            records.push(Record { member: entry.member.clone(), age_s });
        }
        if !records.is_empty() {
            self.send(to, Body::Records(records), out);
        }
    }

    /// One round: a digest to a member of the own service, and now and then one to each service
    /// this node calls. All members of a service call the same services, so they share that work.
    pub(super) fn gossip(
        &mut self,
        now_us: u64,
        rng: &mut SmallRng,
        out: &mut Vec<MembershipAction>,
    ) {
        let own = self.interests.own();
        let own_peers = self.peer_addresses(|tag| tag == own);
        if let Some(to) = own_peers.choose(rng) {
            let digest = self.digest(now_us, self.interests.tags(), rng);
            self.send(*to, digest, out);
        }
        let sharers = u32::try_from(own_peers.len()).unwrap_or(u32::MAX).saturating_add(1);
        for tag in self.interests.tags() {
            if tag == own || !rng.random_ratio(1, sharers) {
                continue;
            }
            let peers = self.peer_addresses(|other| other == tag);
            let Some(to) = peers.choose(rng) else { continue };
            let digest = self.digest(now_us, vec![tag], rng);
            self.send(*to, digest, out);
        }
        self.contacts.age(now_us);
        if self.repeat_hello > 0 {
            self.repeat_hello -= 1;
            self.send_urgent(Body::Hello, HELLO_PEERS, rng, out);
        }
        if self.lacks_members() || rng.random_ratio(1, PROBE_ROUNDS) {
            self.probe(now_us, rng, out);
        }
    }

    /// Whether some service this node cares about has no known member.
    fn lacks_members(&self) -> bool {
        self.interests.tags().iter().any(|tag| self.view.size(*tag) == 0)
    }

    /// Asks a lead, a seed or a member that is gone, so that parts that lost each other meet again.
    fn probe(&mut self, now_us: u64, rng: &mut SmallRng, out: &mut Vec<MembershipAction>) {
        let mut addresses = self.view.lost_addresses();
        addresses.extend(self.contacts.take_lead());
        let known = self.peer_addresses(|_| true);
        let seeds = self.options.seeds.iter().copied();
        addresses.extend(seeds.filter(|seed| *seed != self.own.peer_address));
        addresses.retain(|address| !known.contains(address));
        let Some(to) = addresses.choose(rng) else { return };
        let digest = self.digest(now_us, self.interests.tags(), rng);
        self.send(*to, digest, out);
    }

    /// A digest of what is known of these services, limited in size.
    fn digest(&self, now_us: u64, tags: Vec<ServiceTag>, rng: &mut SmallRng) -> Body {
        let total: usize = tags.iter().map(|tag| self.view.size(*tag)).sum();
        let whole = total <= self.options.signs_max;
        let mut groups = Vec::new();
        for tag in tags {
            let entries = self.view.entries().filter(|entry| entry.tag == tag);
            let mut signs: Vec<Sign> =
                entries.map(|entry| sign_of(now_us, &entry.member, entry.alive_us)).collect();
            if !whole {
                let share = (signs.len() * self.options.signs_max).div_ceil(total);
                signs = signs.choose_multiple(rng, share).copied().collect();
            }
            groups.push(Group { service: tag, whole, signs });
        }
        let own = sign_of(now_us, &self.own, now_us);
        Body::Digest { own, own_service: self.interests.own(), groups }
    }

    /// The peer addresses of the members of the services that `fits` names.
    fn peer_addresses(&self, fits: impl Fn(ServiceTag) -> bool) -> Vec<SocketAddr> {
        let entries = self.view.entries().filter(|entry| fits(entry.tag));
        entries.map(|entry| entry.member.peer_address).collect()
    }

    fn message(&self, body: Body) -> Gossip {
        let header = Header {
            from: self.own.node,
            address: self.own.peer_address,
            configuration: self.configuration,
        };
        Gossip { header, body }
    }

    fn send(&self, to: SocketAddr, body: Body, out: &mut Vec<MembershipAction>) {
        let bytes = self.message(body).encode();
        out.push(MembershipAction::SendGossip { to, bytes });
    }
}

/// The sign of life of `member`, last alive at `alive_us`.
fn sign_of(now_us: u64, member: &Member, alive_us: u64) -> Sign {
    Sign {
        node: member.node.0,
        beat: member.beat,
        revision: member.revision,
        age_s: wire::age_s(now_us.saturating_sub(alive_us)),
    }
}
