//! Passes events from the node to its membership and configuration, and applies their actions.

use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::call::{LoadReport, Message, NodeId};
use crate::clock::US_PER_MS;
use crate::config::{Rules, Settings};
use crate::configuration::{
    Accepted, BuildRules, Configuration, ConfigurationAction, ConfigurationEvent,
    ConfigurationOptions, PeerVersion, ROW_KEY, Submit,
};
use crate::duty::store::StoreOperation;
use crate::event::LogEvent;
use crate::membership::{
    Member, MemberState, Membership, MembershipAction, MembershipEvent, MembershipOptions,
    OwnMember, ReportedConfiguration, row_prefix,
};
use crate::routing::Peer;

use super::event::{LeaveRequester, NodeAction};
use super::note::Note;
use super::platform::StoreRequestPurpose;
use super::{Node, NodeIdentity};

/// The membership of the site and the configuration in force.
pub(super) struct Cluster {
    /// The known members of the site.
    membership: Membership,
    /// The configuration in force.
    configuration: Configuration,
    /// Random numbers for membership and configuration, separate from those for calls.
    rng: SmallRng,
    /// The configuration version last passed to membership.
    reported: ReportedConfiguration,
}

impl Cluster {
    /// Creates the state of a node without known members.
    pub(super) fn new(
        now_us: u64,
        identity: &NodeIdentity,
        settings: &Arc<Settings>,
        build: BuildRules,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(identity.seed.rotate_left(32));
        let own = OwnMember {
            node: identity.id,
            name: settings.node.name.clone(),
            service: settings.node.service.clone(),
            failure_domain: settings.node.failure_domain.clone(),
            peer_address: identity.peer_address,
            started_unix_ms: identity.origin_unix_ms + now_us / US_PER_MS,
        };
        let site_nodes = settings.rules.services.iter().map(|service| service.targets).sum();
        let options = MembershipOptions::builder()
            .announce_us(settings.platform.announce_ms * US_PER_MS)
            .poll_us(settings.platform.poll_ms * US_PER_MS)
            .site_nodes(site_nodes)
            .seeds(settings.node.seeds.clone())
            .build();
        let membership = Membership::new(now_us, own, options, &mut rng);
        let options = ConfigurationOptions::builder()
            .reply_to(identity.peer_address)
            .poll_us(settings.platform.poll_ms * US_PER_MS)
            .site_nodes(site_nodes)
            .build();
        let configuration = Configuration::new(now_us, options, build, &mut rng);
        Self { membership, configuration, rng, reported: ReportedConfiguration::default() }
    }

    /// Whether the node's configuration is current enough to serve.
    pub(super) fn is_ready(&self) -> bool {
        self.configuration.is_ready()
    }

    /// The version of the configuration in force; 0 for the settings the node was started with.
    pub(super) fn version(&self) -> u64 {
        self.configuration.version()
    }

    /// The configuration in force; none for the settings the node was started with.
    pub(super) fn accepted(&self) -> Option<&Accepted> {
        self.configuration.accepted().map(Arc::as_ref)
    }

    /// How many other members are known.
    pub(super) fn member_count(&self) -> usize {
        self.membership.member_count()
    }

    /// When membership or configuration next needs a tick, in microseconds.
    pub(super) fn next_wake_us(&self) -> Option<u64> {
        Some(self.membership.next_wake_us().min(self.configuration.next_wake_us()))
    }
}

impl Node {
    /// Runs the timers of membership and configuration that are due.
    pub(super) fn tick_cluster(&mut self, now_us: u64, out: &mut Vec<NodeAction>) {
        if self.cluster.membership.next_wake_us() <= now_us {
            self.notify_membership(now_us, MembershipEvent::Tick, out);
        }
        if self.cluster.configuration.next_wake_us() <= now_us {
            self.notify_configuration(now_us, ConfigurationEvent::Tick, out);
        }
    }

    /// Requests the members of a service, the first time a call goes to it.
    pub(super) fn request_members(
        &mut self,
        now_us: u64,
        service: &str,
        out: &mut Vec<NodeAction>,
    ) {
        if self.members_requested_us.contains_key(service) || self.rules.service(service).is_none()
        {
            return;
        }
        self.members_requested_us.insert(service.to_owned(), now_us);
        self.notify_membership(now_us, MembershipEvent::TrackService(service), out);
    }

    /// Requests the members of the services that the local target is configured to call, before it
    /// calls them.
    fn request_downstream_members(&mut self, now_us: u64, out: &mut Vec<NodeAction>) {
        let rules = self.rules.clone();
        let Some(own) = rules.service(&self.settings.node.service) else { return };
        for service in &own.calls {
            self.request_members(now_us, service, out);
        }
    }

    /// Announces the local target to the site; 0 slots mean that the target is gone.
    pub(super) fn announce_target(
        &mut self,
        now_us: u64,
        slots: u32,
        connections: u32,
        out: &mut Vec<NodeAction>,
    ) {
        self.request_downstream_members(now_us, out);
        let event = MembershipEvent::TargetAnnounced { slots, connections };
        self.notify_membership(now_us, event, out);
        self.update_own_peer(now_us, slots);
    }

    /// Announces that this node is leaving.
    pub(super) fn announce_leaving(&mut self, now_us: u64, out: &mut Vec<NodeAction>) {
        self.notify_membership(now_us, MembershipEvent::Leave, out);
        self.router.remove(now_us, self.identity.id);
    }

    /// Updates the router's entry for this node, which exists while it has a target and is not
    /// leaving.
    fn update_own_peer(&mut self, now_us: u64, slots: u32) {
        if slots == 0 || self.stop_after_us.is_some() {
            self.router.remove(now_us, self.identity.id);
            return;
        }
        let peer = Peer {
            node: self.identity.id,
            service: self.settings.node.service.clone(),
            failure_domain: self.settings.node.failure_domain.clone(),
            address: self.identity.peer_address,
            slots,
            leaving: false,
            first_seen_us: now_us,
        };
        self.router.put(now_us, peer);
    }

    /// Handles a heartbeat reply, which carries the load of the replying node.
    pub(super) fn on_pong(
        &mut self,
        now_us: u64,
        from: NodeId,
        load: &LoadReport,
        out: &mut Vec<NodeAction>,
    ) {
        self.router.heartbeat(now_us, from, load);
        self.notify_membership(now_us, MembershipEvent::MessageReceived { node: from }, out);
    }

    /// Handles a membership message.
    pub(super) fn on_gossip(&mut self, now_us: u64, bytes: &[u8], out: &mut Vec<NodeAction>) {
        self.notify_membership(now_us, MembershipEvent::Gossip { bytes }, out);
    }

    /// Handles a configuration message.
    pub(super) fn on_configuration(
        &mut self,
        now_us: u64,
        bytes: &[u8],
        out: &mut Vec<NodeAction>,
    ) {
        self.notify_configuration(now_us, ConfigurationEvent::PeerMessage(bytes), out);
    }

    /// Handles a configuration submitted by an operator.
    pub(super) fn on_submit(&mut self, now_us: u64, submit: Submit, out: &mut Vec<NodeAction>) {
        self.notify_configuration(now_us, ConfigurationEvent::Submit(submit), out);
    }

    /// Passes an event to membership and applies the resulting actions.
    pub(super) fn notify_membership(
        &mut self,
        now_us: u64,
        event: MembershipEvent<'_>,
        out: &mut Vec<NodeAction>,
    ) {
        let mut actions = Vec::new();
        let cluster = &mut self.cluster;
        cluster.membership.handle(now_us, event, &mut cluster.rng, &mut actions);
        for action in actions {
            self.apply_membership_action(now_us, action, out);
        }
    }

    /// Passes an event to configuration and applies the resulting actions.
    pub(super) fn notify_configuration(
        &mut self,
        now_us: u64,
        event: ConfigurationEvent<'_>,
        out: &mut Vec<NodeAction>,
    ) {
        let mut actions = Vec::new();
        let cluster = &mut self.cluster;
        cluster.configuration.handle(now_us, event, &mut cluster.rng, &mut actions);
        for action in actions {
            self.apply_configuration_action(now_us, action, out);
        }
        self.report_configuration(now_us, out);
    }

    /// Applies an action of membership.
    fn apply_membership_action(
        &mut self,
        now_us: u64,
        action: MembershipAction,
        out: &mut Vec<NodeAction>,
    ) {
        match action {
            MembershipAction::Added(member) | MembershipAction::Changed(member) => {
                self.update_peer(now_us, &member, out);
            }
            MembershipAction::Gone(node) => self.remove_peer(now_us, node, out),
            MembershipAction::SendGossip { to, bytes } => {
                out.push(NodeAction::Send { to, message: Message::Gossip(bytes.into()) });
            }
            MembershipAction::PeerConfiguration { peer, reported } => {
                let event =
                    PeerVersion { peer, version: reported.version, confirmed: reported.confirmed };
                self.notify_configuration(now_us, ConfigurationEvent::PeerVersion(event), out);
            }
            MembershipAction::Superseded { .. } => {
                self.start_leaving(now_us, LeaveRequester::Successor, out);
            }
            MembershipAction::WriteRow { member, expected } => {
                self.write_member(&member, expected, out);
            }
            MembershipAction::DeleteRow { key, version } => {
                let operation = StoreOperation::Delete { key, version: Some(version) };
                self.send_store_request(StoreRequestPurpose::MemberDelete, operation, out);
            }
            MembershipAction::ReadRows { service } => {
                let operation = StoreOperation::ReadRows { prefix: row_prefix(&service) };
                self.send_store_request(StoreRequestPurpose::Members { service }, operation, out);
            }
        }
    }

    /// Updates the router's entry for a member, which exists while the member has a target.
    ///
    /// A member without a target is not marked as leaving, because leaving is final.
    fn update_peer(&mut self, now_us: u64, member: &Member, out: &mut Vec<NodeAction>) {
        if member.slots == 0 {
            self.router.remove(now_us, member.node);
            return;
        }
        let event = LogEvent::MemberAdded {
            member: member.node,
            service: member.service.clone(),
            address: member.peer_address,
            learned_from: "table or peer",
        };
        if self.router.address(member.node).is_none() {
            self.log(event, out);
        }
        self.router.put(now_us, to_peer(now_us, member));
        self.resume_waiting_for_members(now_us, &member.service, out);
    }

    /// Removes a node that is gone for good and closes its connection.
    fn remove_peer(&mut self, now_us: u64, node: NodeId, out: &mut Vec<NodeAction>) {
        if let Some(peer) = self.router.address(node) {
            out.push(NodeAction::Forget { peer });
        }
        self.router.remove(now_us, node);
    }

    /// Applies an action of configuration.
    fn apply_configuration_action(
        &mut self,
        now_us: u64,
        action: ConfigurationAction,
        out: &mut Vec<NodeAction>,
    ) {
        match action {
            ConfigurationAction::SendMessage { to, bytes } => {
                out.push(NodeAction::Send { to, message: Message::Configuration(bytes.into()) });
            }
            ConfigurationAction::InForce { version, rules } => {
                self.apply_rules(now_us, version, rules, out);
            }
            ConfigurationAction::Submitted { submission, outcome } => {
                out.push(NodeAction::Submitted { submission, outcome });
            }
            ConfigurationAction::ReadRow => {
                let operation = StoreOperation::ReadRow { key: ROW_KEY.to_owned() };
                self.send_store_request(StoreRequestPurpose::ConfigurationRead, operation, out);
            }
            ConfigurationAction::WriteRow { expected, accepted } => {
                self.write_configuration(expected, &accepted, out);
            }
            // Readiness is checked where it is needed, by `is_ready`.
            ConfigurationAction::Ready(_) | ConfigurationAction::Unusable { .. } => {}
        }
    }

    /// Applies new rules.
    fn apply_rules(
        &mut self,
        now_us: u64,
        version: u64,
        rules: Arc<Rules>,
        out: &mut Vec<NodeAction>,
    ) {
        self.rules = rules;
        self.admission.apply_rules(now_us, &self.rules, &self.settings.node.service);
        self.router.apply_rules(&self.rules);
        self.reset_budgets();
        let rules = self.rules.clone();
        out.push(NodeAction::Note(Note::RulesInForce { version, rules }));
        let learned_from = "table or peer";
        self.log(LogEvent::ConfigInForce { config_version: version, learned_from }, out);
    }

    /// Passes a changed configuration version to membership, which reports it to other nodes.
    fn report_configuration(&mut self, now_us: u64, out: &mut Vec<NodeAction>) {
        let reported = ReportedConfiguration {
            version: self.cluster.configuration.version(),
            confirmed: self.cluster.configuration.is_confirmed(),
        };
        if reported == self.cluster.reported {
            return;
        }
        self.cluster.reported = reported;
        self.notify_membership(now_us, MembershipEvent::Configuration(reported), out);
    }
}

/// Converts a member to a peer of the router.
fn to_peer(now_us: u64, member: &Member) -> Peer {
    Peer {
        node: member.node,
        service: member.service.clone(),
        failure_domain: member.failure_domain.clone(),
        address: member.peer_address,
        slots: member.slots,
        leaving: member.state == MemberState::Leaving,
        first_seen_us: now_us,
    }
}
