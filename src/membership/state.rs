//! The membership state machine.

use std::net::SocketAddr;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::call::NodeId;

use super::contact::Contacts;
use super::event::{MembershipAction, MembershipEvent};
use super::interest::{Interests, ServiceTag};
use super::member::{Member, MemberState};
use super::options::MembershipOptions;
use super::rows::{RowSchedule, jitter};
use super::view::View;
use super::wire::{Body, Record, ReportedConfiguration};

/// How many peers are notified immediately of an urgent change.
const URGENT_PEERS: usize = 6;
/// The number of gossip rounds in which a new configuration version is announced to more peers.
const HELLO_ROUNDS: u32 = 4;

/// A node's description of itself at start-up.
#[derive(Clone, Debug)]
pub struct OwnMember {
    /// The ID of this incarnation.
    pub node: NodeId,
    /// The node's name.
    pub name: String,
    /// The service of its target.
    pub service: String,
    /// The failure domain of its VM.
    pub failure_domain: String,
    /// The address that other nodes connect to.
    pub peer_address: SocketAddr,
    /// When this incarnation started, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
}

/// One node's view of the other nodes.
#[derive(Debug)]
pub struct Membership {
    pub(super) own: Member,
    /// How often this incarnation moved its start time past that of another with its name.
    pub(super) start_time_moves: u32,
    pub(super) options: MembershipOptions,
    pub(super) interests: Interests,
    pub(super) view: View,
    pub(super) row_schedule: RowSchedule,
    pub(super) configuration: ReportedConfiguration,
    next_gossip_us: u64,
    next_beat_us: u64,
    last_event_us: u64,
    /// When the last gossip message of a peer arrived.
    pub(super) last_gossip_us: Option<u64>,
    pub(super) superseded: bool,
    /// The remaining gossip rounds in which the new configuration version is announced.
    pub(super) hello_rounds_left: u32,
    pub(super) contacts: Contacts,
}

impl Membership {
    /// Creates the membership of a starting node, which knows no other nodes.
    pub fn new(
        now_us: u64,
        own: OwnMember,
        options: MembershipOptions,
        rng: &mut SmallRng,
    ) -> Self {
        let interests = Interests::new(&own.service);
        let row_schedule = RowSchedule::new(now_us, &own.service, &options, rng);
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
            start_time_moves: 0,
            interests,
            view: View::default(),
            row_schedule,
            configuration: ReportedConfiguration::default(),
            next_gossip_us: now_us + rng.random_range(0..=options.gossip_us),
            next_beat_us: now_us + jitter(options.beat_us, rng),
            last_event_us: now_us,
            last_gossip_us: None,
            superseded: false,
            hello_rounds_left: 0,
            contacts: Contacts::default(),
            options,
        }
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(
        &mut self,
        now_us: u64,
        event: MembershipEvent<'_>,
        rng: &mut SmallRng,
        out: &mut Vec<MembershipAction>,
    ) {
        self.detect_pause(now_us, rng);
        match event {
            MembershipEvent::TargetAnnounced { slots, connections } => {
                self.update_target(now_us, slots, connections, rng, out);
            }
            MembershipEvent::RowsRead { service, rows } => {
                self.handle_rows(now_us, service, &rows, rng, out);
            }
            MembershipEvent::ReadFailed { .. } => {
                self.row_schedule.read_failed(now_us, &self.options, rng);
            }
            MembershipEvent::RowWritten { version } => {
                self.row_schedule.write_succeeded(now_us, version, &self.options, rng);
            }
            MembershipEvent::RowConflict { version, present } => {
                self.handle_conflict(now_us, version, present.as_ref(), rng, out);
            }
            MembershipEvent::WriteFailed => {
                self.row_schedule.write_failed(now_us, &self.options, rng);
            }
            MembershipEvent::Gossip { bytes } => self.handle_gossip(now_us, bytes, out),
            MembershipEvent::MessageReceived { node } => self.view.mark_alive(node, now_us),
            MembershipEvent::Configuration(reported) => {
                self.update_configuration(reported, rng, out)
            }
            MembershipEvent::Leave => self.leave(now_us, rng, out),
            MembershipEvent::Tick => {}
            MembershipEvent::TrackService(service) => {
                if self.interests.add(service) {
                    self.row_schedule.add_service(now_us, service, &self.options, rng);
                }
            }
        }
        self.run_timers(now_us, rng, out);
    }

    /// When the next `Tick` is due.
    pub fn next_wake_us(&self) -> u64 {
        let wake_us =
            self.next_gossip_us.min(self.next_beat_us).min(self.row_schedule.next_read_us());
        if self.superseded { wake_us } else { wake_us.min(self.row_schedule.next_write_us()) }
    }

    /// The known members of `service`, except this node itself.
    pub fn members<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Member> {
        let members = self.view.entries().map(|entry| &entry.member);
        members.filter(move |member| member.service == service)
    }

    /// How many members are known across all services.
    pub fn member_count(&self) -> usize {
        self.view.len()
    }

    /// The record of this node itself.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Whether this node is leaving.
    pub fn is_leaving(&self) -> bool {
        self.own.state == MemberState::Leaving
    }

    /// Detects a pause of the process, which must not be mistaken for the silence of all members.
    fn detect_pause(&mut self, now_us: u64, rng: &mut SmallRng) {
        let pause_us = now_us.saturating_sub(self.last_event_us);
        self.last_event_us = now_us;
        if pause_us < self.options.pause_min_us {
            return;
        }
        self.view.extend_last_alive(now_us, pause_us);
        self.row_schedule.schedule_read(now_us, rng);
        self.next_beat_us = now_us;
        self.next_gossip_us = now_us;
    }

    fn update_target(
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
        self.publish_own_change(now_us, rng, out);
    }

    fn leave(&mut self, now_us: u64, rng: &mut SmallRng, out: &mut Vec<MembershipAction>) {
        if self.is_leaving() {
            return;
        }
        self.own.state = MemberState::Leaving;
        self.publish_own_change(now_us, rng, out);
    }

    /// Publishes a change of the node's own record.
    fn publish_own_change(
        &mut self,
        now_us: u64,
        rng: &mut SmallRng,
        out: &mut Vec<MembershipAction>,
    ) {
        self.own.revision += 1;
        self.own.beat += 1;
        self.row_schedule.schedule_write(now_us, rng);
        let record = Record { member: self.own.clone(), age_s: 0 };
        self.send_urgent(Body::Records(vec![record]), URGENT_PEERS, rng, out);
    }

    fn update_configuration(
        &mut self,
        reported: ReportedConfiguration,
        rng: &mut SmallRng,
        out: &mut Vec<MembershipAction>,
    ) {
        let is_newer = reported.version > self.configuration.version;
        self.configuration = reported;
        if is_newer {
            self.hello_rounds_left = HELLO_ROUNDS;
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
            self.view.expire(now_us, &self.options, out);
            self.run_gossip_round(now_us, rng, out);
            let interval_us = self.options.gossip_interval_us(self.view.len());
            self.next_gossip_us = now_us + jitter(interval_us, rng);
        }
        // A superseded incarnation must not write the row, which belongs to the later one. It still
        // reads rows, because the calls in flight need members.
        if !self.superseded && self.row_schedule.start_due_write(now_us, &self.options) {
            let expected = self.row_schedule.own_version;
            out.push(MembershipAction::WriteRow { member: self.own.clone(), expected });
        }
        let (interests, view) = (&self.interests, &self.view);
        let own = interests.own();
        self.row_schedule.skip_known(|service| {
            let tag = ServiceTag::new(service);
            tag != own && view.size(tag) > 0
        });
        if let Some(service) = self.row_schedule.start_due_read(now_us, &self.options) {
            out.push(MembershipAction::ReadRows { service });
        }
    }
}
