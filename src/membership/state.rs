//! The state machine of the membership.

use std::net::SocketAddr;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::call::NodeId;
use crate::clock::US_PER_S;

use super::contact::Contacts;
use super::event::{MembershipAction, MembershipEvent};
use super::interest::{Interests, ServiceTag};
use super::member::{Member, MemberRow, MemberState};
use super::options::MembershipOptions;
use super::rows::{Rows, jitter};
use super::view::View;
use super::wire::{self, Body, ConfigurationMark, Gossip, Group, Header, Record, Sign};

/// How long after its start a node puts itself after a life it finds at its name. Later on, a life
/// that counts as later takes the name.
const CLAIM_NAME_US: u64 = 60 * US_PER_S;
/// How many peers hear at once of a change that is urgent.
const URGENT_PEERS: usize = 6;
/// In how many rounds after that a new version of the configuration is told to more peers.
const HELLO_REPEATS: u32 = 4;
/// How many peers hear it in each of these rounds.
const HELLO_PEERS: usize = 2;
/// The most requests for records in one reply.
const WANTED_MAX: usize = 64;
/// One in so many rounds also asks a seed or a member that is gone.
const PROBE_ROUNDS: u32 = 4;
/// The most leads in one reply.
const LEADS_MAX: usize = 4;

/// What a node tells about itself at its start.
#[derive(Clone, Debug)]
pub struct OwnMember {
    /// This life of the node.
    pub node: NodeId,
    /// The node's name.
    pub name: String,
    /// The service of the target beside it.
    pub service: String,
    /// The failure domain of its VM.
    pub failure_domain: String,
    /// Where other nodes connect.
    pub peer_address: SocketAddr,
    /// When this life began, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
}

/// What one node knows of the others.
#[derive(Debug)]
pub struct Membership {
    own: Member,
    started_us: u64,
    options: MembershipOptions,
    interests: Interests,
    view: View,
    rows: Rows,
    configuration: ConfigurationMark,
    next_gossip_us: u64,
    next_beat_us: u64,
    last_event_us: u64,
    /// When a peer was last heard.
    last_peer_us: Option<u64>,
    superseded: bool,
    /// In how many rounds the new version of the configuration is still told to more peers.
    repeat_hello: u32,
    contacts: Contacts,
}

impl Membership {
    /// The membership of a node that starts now and knows of nobody.
    pub fn new(
        now_us: u64,
        own: OwnMember,
        options: MembershipOptions,
        rng: &mut SmallRng,
    ) -> Self {
        let interests = Interests::new(&own.service);
        let rows = Rows::new(now_us, &own.service, &options, rng);
        let own = Member {
            node: own.node,
            name: own.name,
            service: own.service,
            failure_domain: own.failure_domain,
            peer_address: own.peer_address,
            slots: 0,
            connections: 0,
            state: MemberState::Serving,
            beat: 1,
            revision: 1,
            started_unix_ms: own.started_unix_ms,
        };
        Self {
            own,
            started_us: now_us,
            interests,
            view: View::default(),
            rows,
            configuration: ConfigurationMark::default(),
            next_gossip_us: now_us + rng.random_range(0..=options.gossip_us),
            next_beat_us: now_us + jitter(options.beat_us, rng),
            last_event_us: now_us,
            last_peer_us: None,
            superseded: false,
            repeat_hello: 0,
            contacts: Contacts::default(),
            options,
        }
    }

    /// Takes one event and adds what is to be done to `out`.
    pub fn handle(
        &mut self,
        now_us: u64,
        event: MembershipEvent<'_>,
        rng: &mut SmallRng,
        out: &mut Vec<MembershipAction>,
    ) {
        self.notice_freeze(now_us, rng);
        match event {
            MembershipEvent::TargetAnnounced { slots, connections } => {
                self.take_target(now_us, slots, connections, rng, out);
            }
            MembershipEvent::RowsRead { service, rows } => {
                self.take_rows(now_us, service, &rows, rng, out);
            }
            MembershipEvent::ReadFailed { .. } => {
                self.rows.read_failed(now_us, &self.options, rng);
            }
            MembershipEvent::RowWritten { version } => {
                self.rows.written(now_us, version, &self.options, rng);
            }
            MembershipEvent::RowConflict { version, present } => {
                self.take_conflict(now_us, version, present.as_ref(), rng, out);
            }
            MembershipEvent::WriteFailed => self.rows.write_failed(now_us, &self.options, rng),
            MembershipEvent::Gossip { bytes } => self.take_gossip(now_us, bytes, out),
            MembershipEvent::Heard { node } => self.view.heard(node, now_us),
            MembershipEvent::Configuration(mark) => self.take_configuration(mark, rng, out),
            MembershipEvent::Leave => self.leave(now_us, rng, out),
            MembershipEvent::Tick => {}
            MembershipEvent::WantService(service) => {
                if self.interests.add(service) {
                    self.rows.want(now_us, service, &self.options, rng);
                }
            }
        }
        self.run_timers(now_us, rng, out);
    }

    /// When `Tick` is due next.
    pub fn next_wake_us(&self) -> u64 {
        let wake_us = self.next_gossip_us.min(self.next_beat_us);
        if self.superseded { wake_us } else { wake_us.min(self.rows.next_wake_us()) }
    }

    /// The known members of `service`, without this node itself.
    pub fn members<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Member> {
        let members = self.view.entries().map(|entry| &entry.member);
        members.filter(move |member| member.service == service)
    }

    /// How many members are known over all services.
    pub fn member_count(&self) -> usize {
        self.view.len()
    }

    /// What this node tells about itself.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Whether this node leaves.
    pub fn is_leaving(&self) -> bool {
        self.own.state == MemberState::Leaving
    }

    /// A pause of the process must not be taken for the silence of everybody else.
    fn notice_freeze(&mut self, now_us: u64, rng: &mut SmallRng) {
        let pause_us = now_us.saturating_sub(self.last_event_us);
        self.last_event_us = now_us;
        if pause_us < self.options.freeze_us {
            return;
        }
        self.view.forgive(now_us, pause_us);
        self.rows.read_soon(now_us, rng);
        self.next_beat_us = now_us;
        self.next_gossip_us = now_us;
    }

    fn take_target(
        &mut self,
        now_us: u64,
        slots: u32,
        connections: u32,
        rng: &mut SmallRng,
        out: &mut Vec<MembershipAction>,
    ) {
        if (self.own.slots, self.own.connections) == (slots, connections) {
            return;
        }
        self.own.slots = slots;
        self.own.connections = connections;
        self.change_own(now_us, rng, out);
    }

    fn leave(&mut self, now_us: u64, rng: &mut SmallRng, out: &mut Vec<MembershipAction>) {
        if self.is_leaving() {
            return;
        }
        self.own.state = MemberState::Leaving;
        self.change_own(now_us, rng, out);
    }

    /// Spreads a change of the own record.
    fn change_own(&mut self, now_us: u64, rng: &mut SmallRng, out: &mut Vec<MembershipAction>) {
        self.own.revision += 1;
        self.own.beat += 1;
        self.rows.write_soon(now_us, rng);
        let record = Record { member: self.own.clone(), age_s: 0 };
        self.send_urgent(Body::Records(vec![record]), URGENT_PEERS, rng, out);
    }

    fn take_configuration(
        &mut self,
        mark: ConfigurationMark,
        rng: &mut SmallRng,
        out: &mut Vec<MembershipAction>,
    ) {
        let newer = mark.version > self.configuration.version;
        self.configuration = mark;
        if newer {
            self.repeat_hello = HELLO_REPEATS;
            self.send_urgent(Body::Hello, URGENT_PEERS, rng, out);
        }
    }

    /// Sends to a few of all known nodes at once.
    fn send_urgent(
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

    fn take_rows(
        &mut self,
        now_us: u64,
        service: &str,
        rows: &[MemberRow],
        rng: &mut SmallRng,
        out: &mut Vec<MembershipAction>,
    ) {
        for row in rows {
            if row.member.service != service || !self.interests.has_service(service) {
                continue;
            }
            if row.member.same_place(&self.own) {
                self.rows.own_version = Some(row.version);
                self.meet_namesake(now_us, &row.member, out);
                continue;
            }
            // Nobody knows when the row was written, so its member is given the full time to age out.
            self.view.take(now_us, &row.member, now_us, &self.options, out);
        }
        self.delete_dead(now_us, service, rows, rng, out);
        let fresh = self.is_kept_fresh(now_us);
        let own = self.interests.own();
        let empty =
            self.interests.tags().iter().any(|tag| *tag != own && self.view.size(*tag) == 0);
        self.rows.read(now_us, service, fresh, empty, &self.options, rng);
    }

    /// Deletes one row of a member that is long dead. Many nodes see the same rows, so each of them
    /// deletes only now and then.
    fn delete_dead(
        &mut self,
        now_us: u64,
        service: &str,
        rows: &[MemberRow],
        rng: &mut SmallRng,
        out: &mut Vec<MembershipAction>,
    ) {
        let sharers = u32::try_from(self.view.size(self.interests.own()) + 1).unwrap_or(u32::MAX);
        let mut dead = self.rows.dead(now_us, service, rows, &self.options);
        dead.retain(|row| self.view.get(row.member.node).is_none());
        dead.retain(|row| !row.member.same_place(&self.own));
        let Some(row) = dead.choose(rng) else { return };
        if rng.random_ratio(1, sharers) {
            let key = row.member.row_key();
            out.push(MembershipAction::DeleteRow { key, version: row.version });
        }
    }

    /// Whether peers were heard of late, so that the table is only the second source.
    fn is_kept_fresh(&self, now_us: u64) -> bool {
        let limit_us = 4 * self.options.beat_us;
        self.last_peer_us.is_some_and(|at_us| now_us.saturating_sub(at_us) < limit_us)
    }

    fn take_conflict(
        &mut self,
        now_us: u64,
        version: Option<u64>,
        present: Option<&Member>,
        rng: &mut SmallRng,
        out: &mut Vec<MembershipAction>,
    ) {
        if let Some(member) = present {
            self.meet_namesake(now_us, member, out);
        }
        self.rows.conflicted(now_us, version, rng);
    }

    /// Settles which of two lives with one name counts.
    fn meet_namesake(&mut self, now_us: u64, other: &Member, out: &mut Vec<MembershipAction>) {
        if other.node == self.own.node || !other.supersedes(&self.own) || self.superseded {
            return;
        }
        if now_us.saturating_sub(self.started_us) < CLAIM_NAME_US {
            self.own.started_unix_ms = other.started_unix_ms + 1;
            self.own.revision += 1;
            self.own.beat += 1;
            return;
        }
        self.superseded = true;
        self.own.state = MemberState::Leaving;
        self.own.revision += 1;
        out.push(MembershipAction::Superseded { by: other.node });
    }

    fn take_gossip(&mut self, now_us: u64, bytes: &[u8], out: &mut Vec<MembershipAction>) {
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
                self.meet_namesake(now_us, member, out);
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

    fn run_timers(&mut self, now_us: u64, rng: &mut SmallRng, out: &mut Vec<MembershipAction>) {
        if now_us >= self.next_beat_us {
            let size = self.view.size(self.interests.own()) + 1;
            self.own.beat += 1;
            self.next_beat_us = now_us + jitter(self.options.beat_interval_us(size), rng);
        }
        if now_us >= self.next_gossip_us {
            self.view.age(now_us, &self.options, out);
            self.gossip(now_us, rng, out);
            let interval_us = self.options.gossip_interval_us(self.view.len());
            self.next_gossip_us = now_us + jitter(interval_us, rng);
        }
        if self.superseded {
            return;
        }
        if self.rows.write_due(now_us, &self.options) {
            let expected = self.rows.own_version;
            out.push(MembershipAction::WriteRow { member: self.own.clone(), expected });
        }
        let (interests, view) = (&self.interests, &self.view);
        let own = interests.own();
        self.rows.skip_told(|service| {
            let tag = ServiceTag::new(service);
            tag != own && view.size(tag) > 0
        });
        if let Some(service) = self.rows.read_due(now_us, &self.options) {
            out.push(MembershipAction::ReadRows { service });
        }
    }

    /// One round: a digest to a member of the own service, and now and then one to each service
    /// this node calls. All members of a service call the same services, so they share that work.
    fn gossip(&mut self, now_us: u64, rng: &mut SmallRng, out: &mut Vec<MembershipAction>) {
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
