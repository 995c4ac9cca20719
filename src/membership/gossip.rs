//! Gossip between peers: sends digests, replies to them, and sends the records that a peer lacks.

use std::net::SocketAddr;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::call::NodeId;

use super::event::MembershipAction;
use super::interest::ServiceTag;
use super::member::Member;
use super::state::Membership;
use super::wire::{self, Body, Gossip, Group, Header, Heartbeat, Record};

/// How many peers receive a hello in each of the rounds that follow a configuration change.
const HELLO_PEERS: usize = 2;
/// Maximum number of records requested in one reply.
const WANTED_MAX: usize = 64;
/// On average, one round in this many also probes a seed, a referral or a removed member.
const PROBE_ROUNDS: u32 = 4;
/// Maximum number of referrals in one reply.
const REFERRALS_MAX: usize = 4;

impl Membership {
    /// Sends `body` immediately to at most `peers_max` random members and contacts, or to seeds if
    /// none are known.
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

    pub(super) fn handle_gossip(
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
        self.last_gossip_us = Some(now_us);
        self.view.mark_alive(from, now_us);
        out.push(MembershipAction::PeerConfiguration { peer: address, reported: configuration });
        match message.body {
            Body::Digest { own, own_service, groups } => {
                if !self.interests.contains(own_service) {
                    self.contacts.record(now_us, address, own_service);
                }
                let body = self.build_reply(now_us, address, own, own_service, &groups);
                self.send(address, body, out);
            }
            Body::Reply { heartbeats, records, wanted, referrals } => {
                self.contacts.add_referrals(&referrals, self.own.peer_address);
                self.apply_records(now_us, &records, out);
                for heartbeat in &heartbeats {
                    self.apply_heartbeat(now_us, heartbeat);
                }
                self.send_requested(now_us, address, &wanted, out);
            }
            Body::Records(records) => self.apply_records(now_us, &records, out),
            Body::Hello => {}
        }
    }

    /// Applies a heartbeat; returns false if the full record is needed.
    fn apply_heartbeat(&mut self, now_us: u64, heartbeat: &Heartbeat) -> bool {
        let node = NodeId(heartbeat.node);
        if node == self.own.node || !self.view.accepts(node, heartbeat.beat) {
            return true;
        }
        let alive_us = now_us.saturating_sub(wire::age_us(heartbeat.age_s));
        self.view.apply_heartbeat(node, heartbeat.beat, heartbeat.revision, alive_us)
    }

    fn apply_records(&mut self, now_us: u64, records: &[Record], out: &mut Vec<MembershipAction>) {
        for record in records {
            let member = &record.member;
            if member.node == self.own.node || !self.interests.has_service(&member.service) {
                continue;
            }
            if member.is_same_node(&self.own) {
                self.resolve_name_conflict(member, out);
                continue;
            }
            let alive_us = now_us.saturating_sub(wire::age_us(record.age_s));
            self.view.apply_record(now_us, member, alive_us, &self.options, out);
        }
    }

    /// Applies the heartbeats of a digest and builds the reply to it.
    fn build_reply(
        &mut self,
        now_us: u64,
        requester: SocketAddr,
        own: Heartbeat,
        own_service: ServiceTag,
        groups: &[Group],
    ) -> Body {
        let mut heartbeats = Vec::new();
        let mut records = Vec::new();
        let mut wanted = Vec::new();
        let mut referrals = Vec::new();
        if self.interests.contains(own_service) && !self.apply_heartbeat(now_us, &own) {
            wanted.push(NodeId(own.node));
        }
        for group in groups {
            if !self.interests.contains(group.service) {
                if group.whole && group.heartbeats.is_empty() {
                    referrals.extend(self.contacts.referral(group.service, requester));
                }
                continue;
            }
            for heartbeat in &group.heartbeats {
                let is_current = self.apply_heartbeat(now_us, heartbeat);
                if !is_current && wanted.len() < WANTED_MAX {
                    wanted.push(NodeId(heartbeat.node));
                }
            }
            self.collect_missing(now_us, own.node, group, &mut heartbeats, &mut records);
        }
        referrals.truncate(REFERRALS_MAX);
        Body::Reply { heartbeats, records, wanted, referrals }
    }

    /// Collects the heartbeats and records that the sender of `group` lacks.
    fn collect_missing(
        &self,
        now_us: u64,
        requester: u64,
        group: &Group,
        heartbeats: &mut Vec<Heartbeat>,
        records: &mut Vec<Record>,
    ) {
        let mut theirs: Vec<&Heartbeat> = group.heartbeats.iter().collect();
        theirs.sort_unstable_by_key(|heartbeat| heartbeat.node);
        for (member, alive_us) in self.known_members(now_us, group.service) {
            if member.node.0 == requester {
                continue;
            }
            let place = theirs.binary_search_by_key(&member.node.0, |heartbeat| heartbeat.node);
            let heartbeat = place.ok().map(|place| theirs[place]);
            let outdated = heartbeat.is_some_and(|heartbeat| heartbeat.revision < member.revision);
            let lacking = heartbeat.is_none() && group.whole;
            if (outdated || lacking) && records.len() < self.options.records_max {
                let age_s = wire::age_s(now_us.saturating_sub(alive_us));
                records.push(Record { member: member.clone(), age_s });
                continue;
            }
            if heartbeat.is_some_and(|heartbeat| heartbeat.beat < member.beat) {
                heartbeats.push(heartbeat_of(now_us, member, alive_us));
            }
        }
    }

    /// The members of a service, including this node, each with the time when it was last known to
    /// be alive.
    fn known_members(&self, now_us: u64, tag: ServiceTag) -> impl Iterator<Item = (&Member, u64)> {
        let own = (self.interests.own() == tag).then_some((&self.own, now_us));
        let entries = self.view.entries().filter(move |entry| entry.tag == tag);
        own.into_iter().chain(entries.map(|entry| (&entry.member, entry.alive_us)))
    }

    fn send_requested(
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

    /// Runs one gossip round: sends a digest to a member of the node's service and, at random, to a
    /// member of each service that this node calls. All members of a service call the same
    /// services, so each sends the latter digest with a probability of 1 / (size of its service).
    pub(super) fn run_gossip_round(
        &mut self,
        now_us: u64,
        rng: &mut SmallRng,
        out: &mut Vec<MembershipAction>,
    ) {
        let own = self.interests.own();
        let own_peers = self.peer_addresses(|tag| tag == own);
        if let Some(to) = own_peers.choose(rng) {
            let digest = self.build_digest(now_us, self.interests.tags(), rng);
            self.send(*to, digest, out);
        }
        let service_size = u32::try_from(own_peers.len()).unwrap_or(u32::MAX).saturating_add(1);
        for tag in self.interests.tags() {
            if tag == own || !rng.random_ratio(1, service_size) {
                continue;
            }
            let peers = self.peer_addresses(|other| other == tag);
            let Some(to) = peers.choose(rng) else { continue };
            let digest = self.build_digest(now_us, vec![tag], rng);
            self.send(*to, digest, out);
        }
        self.contacts.expire(now_us);
        if self.hello_rounds_left > 0 {
            self.hello_rounds_left -= 1;
            self.send_urgent(Body::Hello, HELLO_PEERS, rng, out);
        }
        if self.lacks_members() || rng.random_ratio(1, PROBE_ROUNDS) {
            self.probe(now_us, rng, out);
        }
    }

    /// Whether a tracked service has no known member.
    fn lacks_members(&self) -> bool {
        self.interests.tags().iter().any(|tag| self.view.size(*tag) == 0)
    }

    /// Sends a digest to a referral, a seed or a removed member, which merges partitions once they
    /// reach each other again.
    fn probe(&mut self, now_us: u64, rng: &mut SmallRng, out: &mut Vec<MembershipAction>) {
        let mut addresses = self.view.lost_addresses();
        addresses.extend(self.contacts.next_referral());
        let known_addresses = self.peer_addresses(|_| true);
        let seeds = self.options.seeds.iter().copied();
        addresses.extend(seeds.filter(|seed| *seed != self.own.peer_address));
        addresses.retain(|address| !known_addresses.contains(address));
        let Some(to) = addresses.choose(rng) else { return };
        let digest = self.build_digest(now_us, self.interests.tags(), rng);
        self.send(*to, digest, out);
    }

    /// Builds a digest of these services with about `heartbeats_max` random heartbeats at most.
    fn build_digest(&self, now_us: u64, tags: Vec<ServiceTag>, rng: &mut SmallRng) -> Body {
        let total: usize = tags.iter().map(|tag| self.view.size(*tag)).sum();
        let whole = total <= self.options.heartbeats_max;
        let mut groups = Vec::new();
        for tag in tags {
            let entries = self.view.entries().filter(|entry| entry.tag == tag);
            let mut heartbeats: Vec<Heartbeat> =
                entries.map(|entry| heartbeat_of(now_us, &entry.member, entry.alive_us)).collect();
            if !whole {
                let share = (heartbeats.len() * self.options.heartbeats_max).div_ceil(total);
                heartbeats = heartbeats.choose_multiple(rng, share).copied().collect();
            }
            groups.push(Group { service: tag, whole, heartbeats });
        }
        let own = heartbeat_of(now_us, &self.own, now_us);
        Body::Digest { own, own_service: self.interests.own(), groups }
    }

    /// The peer addresses of all members whose service tag satisfies `matches`.
    fn peer_addresses(&self, matches: impl Fn(ServiceTag) -> bool) -> Vec<SocketAddr> {
        let entries = self.view.entries().filter(|entry| matches(entry.tag));
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

/// The heartbeat of `member`, which was last known to be alive at `alive_us`.
fn heartbeat_of(now_us: u64, member: &Member, alive_us: u64) -> Heartbeat {
    Heartbeat {
        node: member.node.0,
        beat: member.beat,
        revision: member.revision,
        age_s: wire::age_s(now_us.saturating_sub(alive_us)),
    }
}
