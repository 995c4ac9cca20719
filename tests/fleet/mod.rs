//! A handful of real state machines of membership and configuration, joined by a lossy network and
//! a fake table. Time only moves from event to event; everything follows from one seed.

// Each test file uses another part.
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
    ConfigurationMark, Member, MemberRow, MemberState, Membership, MembershipAction,
    MembershipEvent, MembershipOptions, OwnMember,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Microseconds in a second.
pub const S: u64 = 1_000_000;

/// Something on its way to a node.
#[derive(Clone, Debug)]
enum Parcel {
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

/// One node.
pub struct Node {
    pub membership: Membership,
    pub configuration: Configuration,
    pub up: bool,
    pub frozen: bool,
    /// What routing would believe: state by node.
    pub routed: BTreeMap<NodeId, MemberState>,
    /// Nodes it has ever seen leaving.
    left: BTreeSet<NodeId>,
    pub in_force: Vec<u64>,
    /// What became of submissions, by their numbers.
    pub outcomes: Vec<(u64, SubmitOutcome)>,
    pub superseded: bool,
    pub sent_bytes: u64,
    pub sent_messages: u64,
    pub received_bytes: u64,
    started_us: u64,
    missed: Vec<Parcel>,
    wake_us: u64,
}

/// What the table does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Table {
    Up,
    Down,
    /// Writes take effect and their answers get lost.
    LoseAnswers,
}

pub struct Fleet {
    pub now_us: u64,
    pub nodes: Vec<Node>,
    pub loss: f64,
    pub duplicates: f64,
    pub table: Table,
    /// Nodes in different parts do not reach each other.
    pub part_of: Vec<usize>,
    pub member_rows: BTreeMap<String, MemberRow>,
    pub row: Option<TableRow>,
    pub reads: u64,
    pub writes: u64,
    pub deletes: u64,
    pub wakes: u64,
    /// When rows were read and written.
    pub read_at_us: Vec<u64>,
    pub write_at_us: Vec<u64>,
    /// What the membership's and the configuration's handling took, for figures only.
    pub membership_ns: u64,
    pub membership_events: u64,
    pub configuration_ns: u64,
    pub configuration_events: u64,
    by_address: BTreeMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    parcels: BTreeMap<u64, Parcel>,
    sequence: u64,
    rng: SmallRng,
    row_version: u64,
    options: MembershipOptions,
}

/// Rules with nothing in them.
pub fn no_rules() -> Rules {
    Rules { classes: vec![], routes: vec![], services: vec![], arms: vec![], policies: vec![] }
}

/// Where the node with this index is reached.
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
            part_of: Vec::new(),
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
            parcels: BTreeMap::new(),
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
        self.part_of.push(0);
        self.nodes.push(Node {
            membership,
            configuration,
            up: true,
            frozen: false,
            routed: BTreeMap::new(),
            left: BTreeSet::new(),
            in_force: vec![],
            outcomes: vec![],
            superseded: false,
            sent_bytes: 0,
            sent_messages: 0,
            received_bytes: 0,
            started_us: self.now_us,
            missed: vec![],
            wake_us: u64::MAX,
        });
        for call in calls {
            self.tell(index, MembershipEvent::WantService(call));
        }
        self.tell(index, MembershipEvent::TargetAnnounced { slots: 10, connections: 100 });
        index
    }

    /// Hands an event to the membership of a node.
    pub fn tell(&mut self, index: usize, event: MembershipEvent<'_>) {
        let node = &mut self.nodes[index];
        let mut out = Vec::new();
        let began = Instant::now();
        node.membership.handle(self.now_us - node.started_us, event, &mut self.rng, &mut out);
        self.membership_ns += began.elapsed().as_nanos() as u64;
        self.membership_events += 1;
        for action in out {
            self.act(index, action);
        }
        self.plan_wake(index);
    }

    /// Hands an event to the configuration of a node.
    pub fn configure(&mut self, index: usize, event: ConfigurationEvent<'_>) {
        let node = &mut self.nodes[index];
        let mut out = Vec::new();
        let began = Instant::now();
        node.configuration.handle(self.now_us - node.started_us, event, &mut self.rng, &mut out);
        self.configuration_ns += began.elapsed().as_nanos() as u64;
        self.configuration_events += 1;
        for action in out {
            self.act_configuration(index, action);
        }
        let node = &self.nodes[index];
        let mark = ConfigurationMark {
            version: node.configuration.version(),
            confirmed: node.configuration.is_confirmed(),
        };
        self.tell(index, MembershipEvent::Configuration(mark));
    }

    pub fn submit(&mut self, index: usize, submission: u64, based_on: u64, document: &str) {
        let submit = Submit {
            submission,
            based_on,
            by: format!("operator {submission}"),
            at_unix_ms: self.now_us / 1000,
            document: document.to_owned(),
        };
        self.configure(index, ConfigurationEvent::Submit(submit));
    }

    /// Kills a node.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].up = false;
    }

    /// Stops a node without killing it; it hears nothing and sends nothing until `thaw`.
    pub fn freeze(&mut self, index: usize) {
        self.nodes[index].frozen = true;
    }

    pub fn thaw(&mut self, index: usize) {
        self.nodes[index].frozen = false;
        for parcel in std::mem::take(&mut self.nodes[index].missed) {
            self.deliver(index, parcel);
        }
        self.deliver(index, Parcel::Wake);
    }

    /// Runs for this many seconds.
    pub fn run(&mut self, seconds: u64) {
        self.run_until(self.now_us + seconds * S);
    }

    pub fn run_until(&mut self, until_us: u64) {
        while let Some(Reverse((at_us, sequence, index))) = self.queue.peek().copied() {
            if at_us > until_us {
                break;
            }
            self.queue.pop();
            self.now_us = at_us;
            let Some(parcel) = self.parcels.remove(&sequence) else { continue };
            if matches!(parcel, Parcel::Wake) && self.nodes[index].wake_us != at_us {
                continue;
            }
            self.deliver(index, parcel);
        }
        self.now_us = until_us;
    }

    fn deliver(&mut self, index: usize, parcel: Parcel) {
        if !self.nodes[index].up {
            return;
        }
        if self.nodes[index].frozen {
            self.nodes[index].missed.push(parcel);
            return;
        }
        match parcel {
            Parcel::Wake => {
                self.wakes += 1;
                self.nodes[index].wake_us = u64::MAX;
                self.configure(index, ConfigurationEvent::Tick);
                self.tell(index, MembershipEvent::Tick);
            }
            Parcel::Gossip(bytes) => {
                self.nodes[index].received_bytes += bytes.len() as u64;
                self.tell(index, MembershipEvent::Gossip { bytes: &bytes });
            }
            Parcel::Configuration(bytes) => {
                self.nodes[index].received_bytes += bytes.len() as u64;
                self.configure(index, ConfigurationEvent::Peer(&bytes));
            }
            Parcel::Rows(service, Some(rows)) => {
                self.tell(index, MembershipEvent::RowsRead { service: &service, rows });
            }
            Parcel::Rows(service, None) => {
                self.tell(index, MembershipEvent::ReadFailed { service: &service });
            }
            Parcel::OwnRow(OwnRow::Written(version)) => {
                self.tell(index, MembershipEvent::RowWritten { version });
            }
            Parcel::OwnRow(OwnRow::Conflict(present)) => {
                let version = present.as_ref().map(|row| row.version);
                let present = present.map(|row| row.member);
                self.tell(index, MembershipEvent::RowConflict { version, present });
            }
            Parcel::OwnRow(OwnRow::Failed) => self.tell(index, MembershipEvent::WriteFailed),
            Parcel::Read(read) => self.configure(index, ConfigurationEvent::TableRead(read)),
            Parcel::Write(submission, write) => {
                self.configure(index, ConfigurationEvent::TableWritten { submission, write });
            }
        }
    }

    fn plan_wake(&mut self, index: usize) {
        let node = &self.nodes[index];
        let local_us = node.membership.next_wake_us().min(node.configuration.next_wake_us());
        let at_us = (node.started_us + local_us).max(self.now_us + 1);
        if at_us < node.wake_us {
            self.nodes[index].wake_us = at_us;
            self.push(at_us, index, Parcel::Wake);
        }
    }

    fn push(&mut self, at_us: u64, index: usize, parcel: Parcel) {
        self.sequence += 1;
        self.parcels.insert(self.sequence, parcel);
        self.queue.push(Reverse((at_us, self.sequence, index)));
    }

    /// Sends over the network, which loses, delays, reorders and doubles.
    fn send(&mut self, from: usize, to: SocketAddr, parcel: Parcel, bytes: usize) {
        self.nodes[from].sent_bytes += bytes as u64;
        self.nodes[from].sent_messages += 1;
        let Some(&index) = self.by_address.get(&to) else { return };
        if self.part_of[from] != self.part_of[index] {
            return;
        }
        let copies = if self.rng.random_bool(self.duplicates) { 2 } else { 1 };
        for _ in 0..copies {
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let delay_us = self.rng.random_range(500..4_000);
            self.push(self.now_us + delay_us, index, parcel.clone());
        }
    }

    fn answer(&mut self, index: usize, parcel: Parcel) {
        let delay_us = self.rng.random_range(2_000..20_000);
        self.push(self.now_us + delay_us, index, parcel);
    }

    fn act(&mut self, index: usize, action: MembershipAction) {
        match action {
            MembershipAction::WriteRow { member, expected } => {
                self.writes += 1;
                self.write_at_us.push(self.now_us);
                let parcel = self.write_member(member, expected);
                self.answer(index, Parcel::OwnRow(parcel));
            }
            MembershipAction::DeleteRow { key, version } => {
                self.deletes += 1;
                let fits = self.member_rows.get(&key).is_some_and(|row| row.version == version);
                if fits && self.table != Table::Down {
                    self.member_rows.remove(&key);
                }
            }
            MembershipAction::ReadRows { service } => {
                self.reads += 1;
                self.read_at_us.push(self.now_us);
                let rows = self.member_rows.values().filter(|r| r.member.service == service);
                let rows = (self.table != Table::Down).then(|| rows.cloned().collect());
                self.answer(index, Parcel::Rows(service, rows));
            }
            MembershipAction::SendGossip { to, bytes } => {
                let length = bytes.len();
                self.send(index, to, Parcel::Gossip(bytes), length);
            }
            MembershipAction::Added(member) | MembershipAction::Changed(member) => {
                let node = &mut self.nodes[index];
                if member.state == MemberState::Leaving {
                    node.left.insert(member.node);
                }
                let back = node.left.contains(&member.node) && member.state == MemberState::Serving;
                assert!(!back, "a leaving member is serving again");
                node.routed.insert(member.node, member.state);
            }
            MembershipAction::Gone(node) => {
                self.nodes[index].routed.remove(&node);
            }
            MembershipAction::PeerConfiguration { peer, mark } => {
                let ConfigurationMark { version, confirmed } = mark;
                let heard = PeerVersion { peer, version, confirmed };
                self.configure(index, ConfigurationEvent::PeerHas(heard));
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

    fn act_configuration(&mut self, index: usize, action: ConfigurationAction) {
        match action {
            ConfigurationAction::ReadTable => {
                self.reads += 1;
                self.read_at_us.push(self.now_us);
                let read = match (self.table, self.row.clone()) {
                    (Table::Down, _) => RowRead::Failed,
                    (_, Some(row)) => RowRead::Present(row),
                    (_, None) => RowRead::Absent,
                };
                self.answer(index, Parcel::Read(read));
            }
            ConfigurationAction::WriteTable { expected, accepted } => {
                let write = self.write_configuration(&accepted, expected);
                self.answer(index, Parcel::Write(accepted.entry.submission, write));
            }
            ConfigurationAction::SendPeer { to, bytes } => {
                let length = bytes.len();
                self.send(index, to, Parcel::Configuration(bytes), length);
            }
            ConfigurationAction::InForce { version, .. } => {
                let versions = &mut self.nodes[index].in_force;
                assert!(versions.last().is_none_or(|last| *last < version), "went backwards");
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

    /// Whether `index` believes that `other` serves.
    pub fn sees(&self, index: usize, other: usize) -> bool {
        let node = self.nodes[other].membership.own().node;
        self.nodes[index].routed.get(&node) == Some(&MemberState::Serving)
    }

    /// How many nodes that run have this version in force.
    pub fn with_version(&self, version: u64) -> usize {
        let up = self.nodes.iter().filter(|node| node.up);
        up.filter(|node| node.configuration.version() == version).count()
    }
}
