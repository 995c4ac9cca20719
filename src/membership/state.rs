//! The state machine of the membership.

use std::net::SocketAddr;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::call::NodeId;

use super::contact::Contacts;
use super::event::{MembershipAction, MembershipEvent};
use super::inherited::Inherited;
use super::interest::{Interests, ServiceTag};
use super::member::{Member, MemberState};
use super::options::MembershipOptions;
use super::rows::{Rows, jitter};
use super::view::View;
use super::wire::{Body, ConfigurationMark, Record};

/// How many peers hear at once of a change that is urgent.
const URGENT_PEERS: usize = 6;
/// In how many rounds after that a new version of the configuration is told to more peers.
const HELLO_REPEATS: u32 = 4;

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
    pub(super) own: Member,
    /// How often this life has put itself after another at its name.
    pub(super) claims: u32,
    pub(super) options: MembershipOptions,
    pub(super) interests: Interests,
    pub(super) view: View,
    pub(super) rows: Rows,
    pub(super) configuration: ConfigurationMark,
    next_gossip_us: u64,
    next_beat_us: u64,
    last_event_us: u64,
    /// When a peer was last heard.
    pub(super) last_peer_us: Option<u64>,
    pub(super) superseded: bool,
    /// In how many rounds the new version of the configuration is still told to more peers.
    pub(super) repeat_hello: u32,
    pub(super) contacts: Contacts,
    /// The nodes that left this one their keys.
    inherited: Inherited,
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
            inherited: Vec::new(),
        };
        Self {
            own,
            claims: 0,
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
            inherited: Inherited::default(),
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
            MembershipEvent::Inherited { owners } => {
                if self.inherited.add(now_us, owners) {
                    self.name_inherited(now_us, rng, out);
                }
            }
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
        let wake_us = self.next_gossip_us.min(self.next_beat_us).min(self.rows.next_read_us());
        if self.superseded { wake_us } else { wake_us.min(self.rows.next_write_us()) }
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

    /// Spreads whose keys this node has.
    fn name_inherited(&mut self, now_us: u64, rng: &mut SmallRng, out: &mut Vec<MembershipAction>) {
        self.own.inherited = self.inherited.list();
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

    fn run_timers(&mut self, now_us: u64, rng: &mut SmallRng, out: &mut Vec<MembershipAction>) {
        if now_us >= self.next_beat_us {
            let size = self.view.size(self.interests.own()) + 1;
            self.own.beat += 1;
            self.next_beat_us = now_us + jitter(self.options.beat_interval_us(size), rng);
        }
        if now_us >= self.next_gossip_us {
            self.view.age(now_us, &self.options, out);
            if self.inherited.age(now_us) {
                self.name_inherited(now_us, rng, out);
            }
            self.gossip(now_us, rng, out);
            let interval_us = self.options.gossip_interval_us(self.view.len());
            self.next_gossip_us = now_us + jitter(interval_us, rng);
        }
        // The row belongs to the later life now; rows are still read for the calls in flight.
        if !self.superseded && self.rows.write_due(now_us, &self.options) {
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
}
