//! What joins membership and configuration to the node.

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
    ConfigurationMark, Member, MemberState, Membership, MembershipAction, MembershipEvent,
    MembershipOptions, OwnMember, row_prefix,
};
use crate::routing::Peer;

use super::event::{Asker, NodeAction};
use super::note::Note;
use super::platform::Asked;
use super::{Node, NodeIdentity};

/// The other nodes, and the configuration in force.
pub(super) struct Roster {
    /// The other nodes.
    membership: Membership,
    /// The configuration in force.
    configuration: Configuration,
    /// The random numbers of both, apart from those of the calls.
    rng: SmallRng,
    /// The mark that the membership was told last.
    mark: ConfigurationMark,
}

impl Roster {
    /// The roster of a node that knows nobody.
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
        Self { membership, configuration, rng, mark: ConfigurationMark::default() }
    }

    /// Whether the node knows its configuration well enough to serve.
    pub(super) fn is_ready(&self) -> bool {
        self.configuration.is_ready()
    }

    /// The version of the configuration in force; 0 for the settings of the start.
    pub(super) fn version(&self) -> u64 {
        self.configuration.version()
    }

    /// The configuration in force, or none for the settings of the start.
    pub(super) fn accepted(&self) -> Option<&Accepted> {
        self.configuration.accepted().map(Arc::as_ref)
    }

    /// How many other members are known.
    pub(super) fn member_count(&self) -> usize {
        self.membership.member_count()
    }

    /// The nodes whose keys this node has, the oldest first.
    pub(super) fn inherited(&self) -> Vec<NodeId> {
        self.membership.own().inherited.clone()
    }

    /// When either wants to be told that time has passed, in microseconds.
    pub(super) fn next_wake_us(&self) -> Option<u64> {
        Some(self.membership.next_wake_us().min(self.configuration.next_wake_us()))
    }
}

impl Node {
    /// Lets membership and configuration look at their timers.
    pub(super) fn run_roster(&mut self, now_us: u64, out: &mut Vec<NodeAction>) {
        if self.roster.membership.next_wake_us() <= now_us {
            self.tell_membership(now_us, MembershipEvent::Tick, out);
        }
        if self.roster.configuration.next_wake_us() <= now_us {
            self.tell_configuration(now_us, ConfigurationEvent::Tick, out);
        }
    }

    /// Asks for the nodes of a service that calls go to.
    pub(super) fn want_service(&mut self, now_us: u64, service: &str, out: &mut Vec<NodeAction>) {
        if self.wanted.contains_key(service) || self.rules.service(service).is_none() {
            return;
        }
        self.wanted.insert(service.to_owned(), now_us);
        self.tell_membership(now_us, MembershipEvent::WantService(service), out);
    }

    /// Asks for the nodes of the services that the target beside this node is known to call, before
    /// it calls them.
    fn want_calls_of_own_service(&mut self, now_us: u64, out: &mut Vec<NodeAction>) {
        let rules = self.rules.clone();
        let Some(own) = rules.service(&self.settings.node.service) else { return };
        for service in &own.calls {
            self.want_service(now_us, service, out);
        }
    }

    /// Makes it known that the target beside this node is there, or, with zeros, gone.
    pub(super) fn announce_target(
        &mut self,
        now_us: u64,
        slots: u32,
        connections: u32,
        out: &mut Vec<NodeAction>,
    ) {
        self.want_calls_of_own_service(now_us, out);
        let event = MembershipEvent::TargetAnnounced { slots, connections };
        self.tell_membership(now_us, event, out);
        self.put_self(now_us, slots);
    }

    /// Makes it known that this node takes no new work.
    pub(super) fn announce_leaving(&mut self, now_us: u64, out: &mut Vec<NodeAction>) {
        self.tell_membership(now_us, MembershipEvent::Leave, out);
        self.router.remove(now_us, self.identity.id);
    }

    /// Makes this node itself a choice for calls to its own service, as long as it has a target.
    fn put_self(&mut self, now_us: u64, slots: u32) {
        if slots == 0 || self.leave_after_us.is_some() {
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

    /// Takes in a sign of life of a node, with its load.
    pub(super) fn take_pong(
        &mut self,
        now_us: u64,
        from: NodeId,
        load: &LoadReport,
        out: &mut Vec<NodeAction>,
    ) {
        self.router.heartbeat(now_us, from, load);
        self.tell_membership(now_us, MembershipEvent::Heard { node: from }, out);
    }

    /// Takes in a membership message.
    pub(super) fn take_gossip(&mut self, now_us: u64, bytes: &[u8], out: &mut Vec<NodeAction>) {
        self.tell_membership(now_us, MembershipEvent::Gossip { bytes }, out);
    }

    /// Takes in a message of the configuration.
    pub(super) fn take_configuration(
        &mut self,
        now_us: u64,
        bytes: &[u8],
        out: &mut Vec<NodeAction>,
    ) {
        self.tell_configuration(now_us, ConfigurationEvent::Peer(bytes), out);
    }

    /// Takes in a document that an operator wants in force.
    pub(super) fn take_submission(
        &mut self,
        now_us: u64,
        submit: Submit,
        out: &mut Vec<NodeAction>,
    ) {
        self.tell_configuration(now_us, ConfigurationEvent::Submit(submit), out);
    }

    /// Tells the membership something and carries out what it asks for.
    pub(super) fn tell_membership(
        &mut self,
        now_us: u64,
        event: MembershipEvent<'_>,
        out: &mut Vec<NodeAction>,
    ) {
        let mut actions = Vec::new();
        let roster = &mut self.roster;
        roster.membership.handle(now_us, event, &mut roster.rng, &mut actions);
        for action in actions {
            self.do_for_membership(now_us, action, out);
        }
    }

    /// Tells the configuration something and carries out what it asks for.
    pub(super) fn tell_configuration(
        &mut self,
        now_us: u64,
        event: ConfigurationEvent<'_>,
        out: &mut Vec<NodeAction>,
    ) {
        let mut actions = Vec::new();
        let roster = &mut self.roster;
        roster.configuration.handle(now_us, event, &mut roster.rng, &mut actions);
        for action in actions {
            self.do_for_configuration(now_us, action, out);
        }
        self.pass_mark_on(now_us, out);
    }

    /// Carries out what the membership asks for.
    fn do_for_membership(
        &mut self,
        now_us: u64,
        action: MembershipAction,
        out: &mut Vec<NodeAction>,
    ) {
        match action {
            MembershipAction::Added(member) | MembershipAction::Changed(member) => {
                self.put_member(now_us, &member, out);
            }
            MembershipAction::Gone(node) => self.forget(now_us, node, out),
            MembershipAction::SendGossip { to, bytes } => {
                out.push(NodeAction::Send { to, message: Message::Gossip(bytes.into()) });
            }
            MembershipAction::PeerConfiguration { peer, mark } => {
                let told = PeerVersion { peer, version: mark.version, confirmed: mark.confirmed };
                self.tell_configuration(now_us, ConfigurationEvent::PeerHas(told), out);
            }
            MembershipAction::Superseded { .. } => self.leave(now_us, Asker::Successor, out),
            MembershipAction::WriteRow { member, expected } => {
                self.write_member(&member, expected, out);
            }
            MembershipAction::DeleteRow { key, version } => {
                let operation = StoreOperation::Delete { key, version: Some(version) };
                self.ask_store(Asked::MemberDelete, operation, out);
            }
            MembershipAction::ReadRows { service } => {
                let operation = StoreOperation::ReadRows { prefix: row_prefix(&service) };
                self.ask_store(Asked::Members { service }, operation, out);
            }
        }
    }

    /// Makes a member a choice for calls to its service, as long as it has a target.
    ///
    /// A member whose target is not there, yet or for now, is no choice but does not count as
    /// leaving, which would be for good.
    fn put_member(&mut self, now_us: u64, member: &Member, out: &mut Vec<NodeAction>) {
        self.heirs.note(now_us, &member.inherited, member.node);
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
        self.router.put(now_us, peer_of(now_us, member));
        self.resume_resolving(now_us, &member.service, out);
    }

    /// Forgets a node that is gone for good.
    fn forget(&mut self, now_us: u64, node: NodeId, out: &mut Vec<NodeAction>) {
        if let Some(peer) = self.router.address(node) {
            out.push(NodeAction::Forget { peer });
        }
        self.router.remove(now_us, node);
    }

    /// Carries out what the configuration asks for.
    fn do_for_configuration(
        &mut self,
        now_us: u64,
        action: ConfigurationAction,
        out: &mut Vec<NodeAction>,
    ) {
        match action {
            ConfigurationAction::SendPeer { to, bytes } => {
                out.push(NodeAction::Send { to, message: Message::Configuration(bytes.into()) });
            }
            ConfigurationAction::InForce { version, rules } => {
                self.put_in_force(now_us, version, rules, out);
            }
            ConfigurationAction::Submitted { submission, outcome } => {
                out.push(NodeAction::Submitted { submission, outcome });
            }
            ConfigurationAction::ReadTable => {
                let operation = StoreOperation::ReadRow { key: ROW_KEY.to_owned() };
                self.ask_store(Asked::ConfigurationRead, operation, out);
            }
            ConfigurationAction::WriteTable { expected, accepted } => {
                self.write_configuration(expected, &accepted, out);
            }
            // Whether the node may serve is asked for when it matters.
            ConfigurationAction::Ready(_) | ConfigurationAction::Unusable { .. } => {}
        }
    }

    /// Puts new rules in force.
    fn put_in_force(
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

    /// Lets the membership tell others which version of the configuration this node has.
    fn pass_mark_on(&mut self, now_us: u64, out: &mut Vec<NodeAction>) {
        let mark = ConfigurationMark {
            version: self.roster.configuration.version(),
            confirmed: self.roster.configuration.is_confirmed(),
        };
        if mark == self.roster.mark {
            return;
        }
        self.roster.mark = mark;
        self.tell_membership(now_us, MembershipEvent::Configuration(mark), out);
    }
}

/// A member as the router sees it.
fn peer_of(now_us: u64, member: &Member) -> Peer {
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
