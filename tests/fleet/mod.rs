//! Simulates nodes that run the real membership and configuration state machines over a lossy
//! network and a fake table service. Time is simulated, and a run is determined by its seed.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Instant;

use aspenspring::call::NodeId;
use aspenspring::config::Rules;
use aspenspring::configuration::{
    Accepted, Configuration, ConfigurationAction, ConfigurationEvent, ConfigurationOptions,
    PeerVersion, RowRead, RowWrite, Submit, SubmitOutcome, TableRow,
};
use aspenspring::membership::{
    Member, MemberRow, MemberState, Membership, MembershipAction, MembershipEvent,
    MembershipOptions, OwnMember, ReportedConfiguration,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Microseconds in a second.
pub const US_PER_S: u64 = 1_000_000;

/// An event that is scheduled for a node.
#[derive(Clone, Debug)]
enum Delivery {
    Wake,
    Gossip(Vec<u8>),
    Configuration(Vec<u8>),
    Rows(String, Option<Vec<MemberRow>>),
    OwnRow(OwnRow),
    Read(RowRead),
    Write(u64, RowWrite),
}

#[derive(Clone, Debug)]
enum OwnRow {
    Written(u64),
    Conflict(Option<MemberRow>),
    Failed,
}

/// A simulated node: one incarnation.
pub struct Node {
    pub membership: Membership,
    pub configuration: Configuration,
    pub up: bool,
    pub paused: bool,
    /// The state of each known member, as reported to routing.
    pub member_states: BTreeMap<NodeId, MemberState>,
    /// Members that it has ever known as leaving.
    seen_leaving: BTreeSet<NodeId>,
    /// The configuration versions that came into force, in order.
    pub in_force: Vec<u64>,
    /// The outcomes of submissions, with their IDs.
    pub outcomes: Vec<(u64, SubmitOutcome)>,
    pub superseded: bool,
    pub sent_bytes: u64,
    pub sent_messages: u64,
    pub received_bytes: u64,
    started_us: u64,
    /// Events that arrived while the node was paused.
    held_deliveries: Vec<Delivery>,
    wake_us: u64,
}

/// The behaviour of the table service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Table {
    Up,
    Down,
    /// Writes are applied, but their answers are lost.
    LoseAnswers,
}

pub struct Fleet {
    pub now_us: u64,
    pub nodes: Vec<Node>,
    /// The probability that a message is lost.
    pub loss: f64,
    /// The probability that a message is delivered twice.
    pub duplicates: f64,
    pub table: Table,
    /// The partition of each node. Nodes in different partitions cannot reach each other.
    pub partition_of: Vec<usize>,
    pub member_rows: BTreeMap<String, MemberRow>,
    /// The row of the accepted configuration.
    pub row: Option<TableRow>,
    pub reads: u64,
    pub writes: u64,
    pub deletes: u64,
    pub wakes: u64,
    /// When rows were read.
    pub read_at_us: Vec<u64>,
    /// When member rows were written.
    pub write_at_us: Vec<u64>,
    /// Real time spent in the two state machines and the number of events they handled, for
    /// measurements only.
    pub membership_ns: u64,
    pub membership_events: u64,
    pub configuration_ns: u64,
    pub configuration_events: u64,
    by_address: BTreeMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    deliveries: BTreeMap<u64, Delivery>,
    sequence: u64,
    rng: SmallRng,
    row_version: u64,
    options: MembershipOptions,
}

/// Empty rules.
pub fn no_rules() -> Rules {
    Rules { classes: vec![], routes: vec![], services: vec![], arms: vec![], policies: vec![] }
}

/// The peer address of the node with this index.
pub fn address(index: usize) -> SocketAddr {
    let [_, a, b, c] = (index as u32 + 1).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, a, b, c), 7000))
}

impl Fleet {
    pub fn new(seed: u64, options: MembershipOptions) -> Self {
        Self {
            now_us: 0,
            nodes: Vec::new(),
            loss: 0.0,
            duplicates: 0.0,
            table: Table::Up,
            partition_of: Vec::new(),
            member_rows: BTreeMap::new(),
            row: None,
            reads: 0,
            writes: 0,
            deletes: 0,
            wakes: 0,
            read_at_us: vec![],
            write_at_us: vec![],
            membership_ns: 0,
            membership_events: 0,
            configuration_ns: 0,
            configuration_events: 0,
            by_address: BTreeMap::new(),
            queue: BinaryHeap::new(),
            deliveries: BTreeMap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
            row_version: 0,
            options,
        }
    }

    pub fn options() -> MembershipOptions {
        MembershipOptions::builder().build()
    }

    /// Starts a node of `service` that calls `calls`; returns its index.
    pub fn start(&mut self, name: &str, service: &str, calls: &[&str]) -> usize {
        self.start_at(name, service, calls, self.now_us / 1000)
    }

    /// Starts a node whose wall clock shows `started_unix_ms`.
    pub fn start_at(
        &mut self,
        name: &str,
        service: &str,
        calls: &[&str],
        started_unix_ms: u64,
    ) -> usize {
        let index = self.nodes.len();
        let peer_address = address(index);
        let own = OwnMember {
            node: NodeId(self.rng.random()),
            name: name.to_owned(),
            service: service.to_owned(),
            failure_domain: "hall-a".to_owned(),
            peer_address,
            started_unix_ms,
        };
        let membership = Membership::new(0, own, self.options.clone(), &mut self.rng);
        let options = ConfigurationOptions::builder()
            .reply_to(peer_address)
            .site_nodes(self.options.site_nodes)
            .build();
        let build =
            Box::new(
                |document: &str| {
                    if document.contains("bad") { Err("bad".to_owned()) } else { Ok(no_rules()) }
                },
            );
        let configuration = Configuration::new(0, options, build, &mut self.rng);
        self.by_address.insert(peer_address, index);
        self.partition_of.push(0);
        self.nodes.push(Node {
            membership,
            configuration,
            up: true,
            paused: false,
            member_states: BTreeMap::new(),
            seen_leaving: BTreeSet::new(),
            in_force: vec![],
            outcomes: vec![],
            superseded: false,
            sent_bytes: 0,
            sent_messages: 0,
            received_bytes: 0,
            started_us: self.now_us,
            held_deliveries: vec![],
            wake_us: u64::MAX,
        });
        for call in calls {
            self.handle_membership(index, MembershipEvent::TrackService(call));
        }
        self.handle_membership(
            index,
            MembershipEvent::TargetAnnounced { slots: 10, connections: 100 },
        );
        index
    }

    /// Passes an event to a node's membership and carries out the resulting actions.
    pub fn handle_membership(&mut self, index: usize, event: MembershipEvent<'_>) {
        let node = &mut self.nodes[index];
        let mut actions = Vec::new();
        let began = Instant::now();
        node.membership.handle(self.now_us - node.started_us, event, &mut self.rng, &mut actions);
        self.membership_ns += began.elapsed().as_nanos() as u64;
        self.membership_events += 1;
        for action in actions {
            self.run_membership_action(index, action);
        }
        self.schedule_wake(index);
    }

    /// Passes an event to a node's configuration and carries out the resulting actions.
    pub fn handle_configuration(&mut self, index: usize, event: ConfigurationEvent<'_>) {
        let node = &mut self.nodes[index];
        let mut actions = Vec::new();
        let began = Instant::now();
        node.configuration.handle(
            self.now_us - node.started_us,
            event,
            &mut self.rng,
            &mut actions,
        );
        self.configuration_ns += began.elapsed().as_nanos() as u64;
        self.configuration_events += 1;
        for action in actions {
            self.run_configuration_action(index, action);
        }
        let node = &self.nodes[index];
        let reported = ReportedConfiguration {
            version: node.configuration.version(),
            confirmed: node.configuration.is_confirmed(),
        };
        self.handle_membership(index, MembershipEvent::Configuration(reported));
    }

    pub fn submit(&mut self, index: usize, submission: u64, based_on: u64, document: &str) {
        let submit = Submit {
            submission,
            based_on,
            by: format!("operator {submission}"),
            at_unix_ms: self.now_us / 1000,
            document: document.to_owned(),
        };
        self.handle_configuration(index, ConfigurationEvent::Submit(submit));
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].up = false;
    }

    /// Pauses a node. Until `resume`, it handles no events and sends nothing.
    pub fn pause(&mut self, index: usize) {
        self.nodes[index].paused = true;
    }

    pub fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
        for delivery in std::mem::take(&mut self.nodes[index].held_deliveries) {
            self.deliver(index, delivery);
        }
        self.deliver(index, Delivery::Wake);
    }

    /// Runs the simulation for this many seconds.
    pub fn run(&mut self, seconds: u64) {
        self.run_until(self.now_us + seconds * US_PER_S);
    }

    pub fn run_until(&mut self, until_us: u64) {
        while let Some(Reverse((at_us, sequence, index))) = self.queue.peek().copied() {
            if at_us > until_us {
                break;
            }
            self.queue.pop();
            self.now_us = at_us;
            let Some(delivery) = self.deliveries.remove(&sequence) else { continue };
            if matches!(delivery, Delivery::Wake) && self.nodes[index].wake_us != at_us {
                continue;
            }
            self.deliver(index, delivery);
        }
        self.now_us = until_us;
    }

    fn deliver(&mut self, index: usize, delivery: Delivery) {
        if !self.nodes[index].up {
            return;
        }
        if self.nodes[index].paused {
            self.nodes[index].held_deliveries.push(delivery);
            return;
        }
        match delivery {
            Delivery::Wake => {
                self.wakes += 1;
                self.nodes[index].wake_us = u64::MAX;
                self.handle_configuration(index, ConfigurationEvent::Tick);
                self.handle_membership(index, MembershipEvent::Tick);
            }
            Delivery::Gossip(bytes) => {
                self.nodes[index].received_bytes += bytes.len() as u64;
                self.handle_membership(index, MembershipEvent::Gossip { bytes: &bytes });
            }
            Delivery::Configuration(bytes) => {
                self.nodes[index].received_bytes += bytes.len() as u64;
                self.handle_configuration(index, ConfigurationEvent::PeerMessage(&bytes));
            }
            Delivery::Rows(service, Some(rows)) => {
                self.handle_membership(
                    index,
                    MembershipEvent::RowsRead { service: &service, rows },
                );
            }
            Delivery::Rows(service, None) => {
                self.handle_membership(index, MembershipEvent::ReadFailed { service: &service });
            }
            Delivery::OwnRow(OwnRow::Written(version)) => {
                self.handle_membership(index, MembershipEvent::RowWritten { version });
            }
            Delivery::OwnRow(OwnRow::Conflict(present)) => {
                let version = present.as_ref().map(|row| row.version);
                let present = present.map(|row| row.member);
                self.handle_membership(index, MembershipEvent::RowConflict { version, present });
            }
            Delivery::OwnRow(OwnRow::Failed) => {
                self.handle_membership(index, MembershipEvent::WriteFailed);
            }
            Delivery::Read(read) => {
                self.handle_configuration(index, ConfigurationEvent::RowRead(read));
            }
            Delivery::Write(submission, write) => {
                self.handle_configuration(
                    index,
                    ConfigurationEvent::RowWritten { submission, write },
                );
            }
        }
    }

    fn schedule_wake(&mut self, index: usize) {
        let node = &self.nodes[index];
        let local_us = node.membership.next_wake_us().min(node.configuration.next_wake_us());
        let at_us = (node.started_us + local_us).max(self.now_us + 1);
        if at_us < node.wake_us {
            self.nodes[index].wake_us = at_us;
            self.push(at_us, index, Delivery::Wake);
        }
    }

    fn push(&mut self, at_us: u64, index: usize, delivery: Delivery) {
        self.sequence += 1;
        self.deliveries.insert(self.sequence, delivery);
        self.queue.push(Reverse((at_us, self.sequence, index)));
    }

    /// Sends over the network, which drops, delays, reorders and duplicates messages.
    fn send(&mut self, from: usize, to: SocketAddr, delivery: Delivery, bytes: usize) {
        self.nodes[from].sent_bytes += bytes as u64;
        self.nodes[from].sent_messages += 1;
        let Some(&index) = self.by_address.get(&to) else { return };
        if self.partition_of[from] != self.partition_of[index] {
            return;
        }
        let copies = if self.rng.random_bool(self.duplicates) { 2 } else { 1 };
        for _ in 0..copies {
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let delay_us = self.rng.random_range(500..4_000);
            self.push(self.now_us + delay_us, index, delivery.clone());
        }
    }

    fn reply(&mut self, index: usize, delivery: Delivery) {
        let delay_us = self.rng.random_range(2_000..20_000);
        self.push(self.now_us + delay_us, index, delivery);
    }

    fn run_membership_action(&mut self, index: usize, action: MembershipAction) {
        match action {
            MembershipAction::WriteRow { member, expected } => {
                self.writes += 1;
                self.write_at_us.push(self.now_us);
                let delivery = self.write_member(member, expected);
                self.reply(index, Delivery::OwnRow(delivery));
            }
            MembershipAction::DeleteRow { key, version } => {
                self.deletes += 1;
                let version_matches =
                    self.member_rows.get(&key).is_some_and(|row| row.version == version);
                if version_matches && self.table != Table::Down {
                    self.member_rows.remove(&key);
                }
            }
            MembershipAction::ReadRows { service } => {
                self.reads += 1;
                self.read_at_us.push(self.now_us);
                let rows = self.member_rows.values().filter(|r| r.member.service == service);
                let rows = (self.table != Table::Down).then(|| rows.cloned().collect());
                self.reply(index, Delivery::Rows(service, rows));
            }
            MembershipAction::SendGossip { to, bytes } => {
                let length = bytes.len();
                self.send(index, to, Delivery::Gossip(bytes), length);
            }
            MembershipAction::Added(member) | MembershipAction::Changed(member) => {
                let node = &mut self.nodes[index];
                if member.state == MemberState::Leaving {
                    node.seen_leaving.insert(member.node);
                }
                let rejoined = node.seen_leaving.contains(&member.node)
                    && member.state == MemberState::Serving;
                assert!(!rejoined, "a leaving member is serving again");
                node.member_states.insert(member.node, member.state);
            }
            MembershipAction::Gone(node) => {
                self.nodes[index].member_states.remove(&node);
            }
            MembershipAction::PeerConfiguration { peer, reported } => {
                let ReportedConfiguration { version, confirmed } = reported;
                let peer_version = PeerVersion { peer, version, confirmed };
                self.handle_configuration(index, ConfigurationEvent::PeerVersion(peer_version));
            }
            MembershipAction::Superseded { .. } => self.nodes[index].superseded = true,
        }
    }

    fn write_member(&mut self, member: Member, expected: Option<u64>) -> OwnRow {
        if self.table == Table::Down {
            return OwnRow::Failed;
        }
        let key = member.row_key();
        let present = self.member_rows.get(&key);
        if present.map(|row| row.version) != expected {
            return OwnRow::Conflict(present.cloned());
        }
        self.row_version += 1;
        let version = self.row_version;
        self.member_rows.insert(key, MemberRow { member, version });
        if self.table == Table::LoseAnswers {
            return OwnRow::Failed;
        }
        OwnRow::Written(version)
    }

    fn run_configuration_action(&mut self, index: usize, action: ConfigurationAction) {
        match action {
            ConfigurationAction::ReadRow => {
                self.reads += 1;
                self.read_at_us.push(self.now_us);
                let read = match (self.table, self.row.clone()) {
                    (Table::Down, _) => RowRead::Failed,
                    (_, Some(row)) => RowRead::Present(row),
                    (_, None) => RowRead::Absent,
                };
                self.reply(index, Delivery::Read(read));
            }
            ConfigurationAction::WriteRow { expected, accepted } => {
                let write = self.write_configuration(&accepted, expected);
                self.reply(index, Delivery::Write(accepted.entry.submission, write));
            }
            ConfigurationAction::SendMessage { to, bytes } => {
                let length = bytes.len();
                self.send(index, to, Delivery::Configuration(bytes), length);
            }
            ConfigurationAction::InForce { version, .. } => {
                let versions = &mut self.nodes[index].in_force;
                assert!(
                    versions.last().is_none_or(|last| *last < version),
                    "the version in force decreased"
                );
                versions.push(version);
            }
            ConfigurationAction::Submitted { submission, outcome } => {
                self.nodes[index].outcomes.push((submission, outcome));
            }
            ConfigurationAction::Ready(_) | ConfigurationAction::Unusable { .. } => {}
        }
    }

    fn write_configuration(&mut self, accepted: &Accepted, expected: Option<u64>) -> RowWrite {
        self.writes += 1;
        if self.table == Table::Down {
            return RowWrite::NotApplied;
        }
        if self.row.as_ref().map(|row| row.row_version) != expected {
            return RowWrite::Conflict { present: self.row.clone() };
        }
        self.row_version += 1;
        let row_version = self.row_version;
        self.row = Some(TableRow { row_version, accepted: accepted.clone() });
        if self.table == Table::LoseAnswers {
            return RowWrite::MayHaveBeenApplied;
        }
        RowWrite::Written { row_version }
    }

    /// Whether node `index` knows node `other` as serving.
    pub fn sees_serving(&self, index: usize, other: usize) -> bool {
        let node = self.nodes[other].membership.own().node;
        self.nodes[index].member_states.get(&node) == Some(&MemberState::Serving)
    }

    /// How many nodes that are up have this version in force.
    pub fn count_with_version(&self, version: u64) -> usize {
        let up = self.nodes.iter().filter(|node| node.up);
        up.filter(|node| node.configuration.version() == version).count()
    }
}
