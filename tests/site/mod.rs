//! A simulated site of real [`Node`]s: a network that loses, duplicates, delays and partitions,
//! targets that call each other, and the platform's table. Invariants are checked at every step; a
//! violation is returned as an error.

mod platform;
mod target;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use aspenspring::call::{HttpRequest, Message, NodeId, RootId, Verdict};
use aspenspring::config::Settings;
use aspenspring::configuration::site_rules;
use aspenspring::duty::peer::ReturnPath;
use aspenspring::node::{
    CallEnd, IncomingRequest, LeaveRequester, Node, NodeAction, NodeEvent, NodeIdentity, Ticket,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use platform::Table;
pub use platform::TableMode;
use target::Targets;

/// Microseconds in a millisecond.
pub const US_PER_MS: u64 = 1_000;
/// The retry allowance of every root in the simulated site.
const ALLOWANCE: u32 = 3;
/// How often a target announces itself, in microseconds.
const ANNOUNCE_EVERY_US: u64 = 2_000 * US_PER_MS;
/// The wall clock at time zero, in milliseconds since the Unix epoch.
const ORIGIN_UNIX_MS: u64 = 1_800_000_000_000;
/// The first ticket of calls made by targets; smaller tickets are those of outside callers.
const FIRST_CHILD_TICKET: u64 = 1 << 40;

/// An event scheduled for one process of a host.
#[derive(Debug)]
struct ScheduledEvent {
    host: usize,
    incarnation: u32,
    event: NodeEvent,
}

/// A host with a fixed address, on which a node process can be killed and restarted.
struct Host {
    node: Option<Node>,
    incarnation: u32,
    address: SocketAddr,
    service: &'static str,
    paused_until_us: u64,
    next_tick_us: u64,
    /// The configuration version in force.
    config_version: u64,
    is_leaving: bool,
}

/// A call by an outside caller.
pub struct Call {
    pub host: usize,
    /// The incarnation of the node that received the call.
    incarnation: u32,
    pub service: &'static str,
    pub path: String,
    /// Whether other calls use the same key, so that runs of the path may belong to them.
    has_shared_key: bool,
    pub deadline_us: u64,
    pub end: Option<CallEnd>,
}

/// The faults of the network.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    pub loss: f64,
    pub duplicate: f64,
    pub delay_max_us: u64,
}

/// Several nodes and their simulated environment.
pub struct Site {
    pub now_us: u64,
    pub network: Network,
    pub table: Table,
    pub calls: Vec<Call>,
    rng: SmallRng,
    queue: BTreeMap<(u64, u64), ScheduledEvent>,
    sequence: u64,
    hosts: Vec<Host>,
    /// When the partition between a sending and a receiving host ends, in microseconds.
    partitions: HashMap<(usize, usize), u64>,
    targets: Targets,
    /// Retries sent over the network, by root.
    retries: HashMap<RootId, u32>,
}

/// An error is the description of a violated invariant.
pub type InvariantResult = Result<(), String>;

impl Site {
    /// A site of three services that call each other in a chain, two nodes each, all up.
    pub fn start(seed: u64, network: Network) -> Self {
        Self::with_services(seed, network, &["front", "front", "mid", "mid", "deep", "deep"])
    }

    /// A site of one node, whose target makes no calls.
    pub fn single_node(seed: u64, network: Network) -> Self {
        Self::with_services(seed, network, &["deep"])
    }

    /// A site with one node for each entry of `services`.
    fn with_services(seed: u64, network: Network, services: &[&'static str]) -> Self {
        let mut site = Self {
            now_us: 0,
            network,
            table: Table::default(),
            calls: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
            hosts: Vec::new(),
            partitions: HashMap::new(),
            targets: Targets::default(),
            retries: HashMap::new(),
        };
        for (index, service) in services.iter().enumerate() {
            site.hosts.push(Host {
                node: None,
                incarnation: 0,
                address: SocketAddr::from(([127, 0, 0, 1], 4_000 + index as u16)),
                service,
                paused_until_us: 0,
                next_tick_us: u64::MAX,
                config_version: 0,
                is_leaving: false,
            });
            site.restart(index);
        }
        site
    }

    /// Starts a new node process on a host, as after a kill or on a replaced VM.
    pub fn restart(&mut self, index: usize) {
        let identity = NodeIdentity::builder()
            .id(NodeId(self.rng.random()))
            .peer_address(self.hosts[index].address)
            .seed(self.rng.random())
            .origin_unix_ms(ORIGIN_UNIX_MS)
            .build();
        let settings = Arc::new(settings(index, self.hosts[index].service));
        let node = Node::new(self.now_us, identity, settings, site_rules("site"));
        let host = &mut self.hosts[index];
        host.node = Some(node);
        host.incarnation += 1;
        host.config_version = 0;
        host.is_leaving = false;
        host.next_tick_us = u64::MAX;
        self.targets.drop_host(index);
        let announcement = target::announcement(index, self.hosts[index].service);
        self.schedule(index, self.now_us, NodeEvent::TargetAnnounced(announcement));
        self.schedule_link_events(index, |peer| NodeEvent::LinkUp { peer }, 100 * US_PER_MS);
    }

    /// Kills the node process of a host.
    pub fn kill(&mut self, index: usize) {
        self.hosts[index].node = None;
        self.hosts[index].incarnation += 1;
        self.targets.drop_host(index);
        self.schedule_link_events(index, |peer| NodeEvent::LinkLost { peer }, 20 * US_PER_MS);
    }

    /// Schedules a connection event about this host at every other host.
    fn schedule_link_events(
        &mut self,
        index: usize,
        make_event: impl Fn(SocketAddr) -> NodeEvent,
        after_us: u64,
    ) {
        let peer = self.hosts[index].address;
        for other in 0..self.hosts.len() {
            if other != index {
                self.schedule(other, self.now_us + after_us, make_event(peer));
            }
        }
    }

    /// Pauses a node process for a while; it receives no event about the pause.
    pub fn pause(&mut self, index: usize, for_us: u64) {
        self.hosts[index].paused_until_us = self.now_us + for_us;
    }

    /// Partitions two hosts for a while; new connections work afterwards.
    pub fn partition(&mut self, one: usize, other: usize, for_us: u64) {
        let until_us = self.now_us + for_us;
        for (from, to) in [(one, other), (other, one)] {
            self.partitions.insert((from, to), until_us);
            let peer = self.hosts[to].address;
            self.schedule(from, self.now_us + for_us / 2, NodeEvent::LinkLost { peer });
            self.schedule(from, until_us + US_PER_MS, NodeEvent::LinkUp { peer });
        }
    }

    /// Requests that a node leave.
    pub fn leave(&mut self, index: usize) {
        self.schedule(index, self.now_us, NodeEvent::Leave { asked_by: LeaveRequester::Signal });
        self.hosts[index].is_leaving = true;
    }

    /// Submits a configuration at a node.
    pub fn submit(&mut self, index: usize, based_on: u64) {
        let document = serde_json::json!({ "base": rules() }).to_string();
        let submission = self.rng.random();
        let by = format!("host {index}");
        let at_unix_ms = ORIGIN_UNIX_MS + self.now_us / US_PER_MS;
        let submit =
            aspenspring::configuration::Submit { submission, based_on, by, at_unix_ms, document };
        self.schedule(index, self.now_us, NodeEvent::Submit(submit));
    }

    /// Makes a call by an outside caller at a node.
    pub fn call(&mut self, host: usize, confirm: bool) {
        let kind = if confirm { "confirm" } else { "page" };
        let path = format!("/{kind}/{}", self.calls.len());
        self.call_path(host, confirm, path, None);
    }

    /// Makes a confirmation with a caller-supplied key; the path depends only on the key.
    pub fn confirm_with_key(&mut self, host: usize, key: &str) {
        self.call_path(host, true, format!("/confirm/{key}"), Some(key.to_owned()));
    }

    /// Makes a call with a given path.
    fn call_path(&mut self, host: usize, confirm: bool, path: String, key: Option<String>) {
        let id = self.calls.len();
        let has_shared_key = key.is_some();
        let method = if confirm { "POST" } else { "GET" };
        let request = HttpRequest {
            method: method.to_owned(),
            path: path.clone(),
            headers: Vec::new(),
            body: bytes::Bytes::new(),
        };
        let incoming = IncomingRequest {
            ticket: Ticket(id as u64),
            service: self.hosts[host].service.to_owned(),
            request,
            deadline_ms: None,
            key,
            trace: None,
        };
        let deadline_us = self.now_us + 1_000 * US_PER_MS;
        let is_up = self.hosts[host].node.is_some();
        let incarnation = if is_up { self.hosts[host].incarnation } else { u32::MAX };
        let service = self.hosts[host].service;
        self.calls.push(Call {
            host,
            incarnation,
            service,
            path,
            has_shared_key,
            deadline_us,
            end: None,
        });
        self.schedule(host, self.now_us, NodeEvent::CallerCall(incoming));
    }

    /// Disconnects the caller of the last call.
    pub fn disconnect_last_caller(&mut self) {
        let ticket = Ticket(self.calls.len() as u64 - 1);
        let host = self.calls[ticket.0 as usize].host;
        self.schedule(host, self.now_us, NodeEvent::CallerGone { ticket });
    }

    /// Calls that are running, queued or being forwarded, over all nodes.
    pub fn in_flight(&self) -> u64 {
        self.hosts.iter().filter_map(|host| host.node.as_ref()).map(Node::in_flight).sum()
    }

    /// Processes all events up to `until_us`.
    pub fn run(&mut self, until_us: u64) -> InvariantResult {
        while let Some((&(at_us, sequence), _)) = self.queue.first_key_value() {
            if at_us > until_us {
                break;
            }
            let Some(scheduled) = self.queue.remove(&(at_us, sequence)) else { break };
            self.now_us = self.now_us.max(at_us);
            self.process(scheduled)?;
        }
        self.now_us = until_us;
        Ok(())
    }

    /// Passes an event to its node, or postpones it while the node is paused.
    fn process(&mut self, scheduled: ScheduledEvent) -> InvariantResult {
        let host = &mut self.hosts[scheduled.host];
        if host.incarnation != scheduled.incarnation {
            return Ok(());
        }
        if host.paused_until_us > self.now_us {
            let at_us = host.paused_until_us;
            self.sequence += 1;
            self.queue.insert((at_us, self.sequence), scheduled);
            return Ok(());
        }
        let Some(node) = &mut host.node else { return Ok(()) };
        if let NodeEvent::TargetAnnounced(announcement) = &scheduled.event {
            // A target repeats its announcement as long as its node runs.
            let repeated = NodeEvent::TargetAnnounced(announcement.clone());
            let event = ScheduledEvent { event: repeated, ..scheduled };
            self.sequence += 1;
            self.queue.insert((self.now_us + ANNOUNCE_EVERY_US, self.sequence), event);
        }
        let mut actions = Vec::new();
        node.handle(self.now_us, scheduled.event, &mut actions);
        let version = node.config_version();
        if version < host.config_version {
            return Err(format!(
                "config version went back from {} to {version}",
                host.config_version
            ));
        }
        host.config_version = version;
        let wake_us = node.next_wake_us();
        self.schedule_tick(scheduled.host, wake_us);
        for action in actions {
            self.apply_action(scheduled.host, action)?;
        }
        Ok(())
    }

    /// Schedules the node's next tick.
    fn schedule_tick(&mut self, index: usize, wake_us: Option<u64>) {
        let Some(wake_us) = wake_us else { return };
        let wake_us = wake_us.max(self.now_us + 1);
        let host = &mut self.hosts[index];
        let is_scheduled = host.next_tick_us > self.now_us && host.next_tick_us <= wake_us;
        if is_scheduled {
            return;
        }
        host.next_tick_us = wake_us;
        self.schedule(index, wake_us, NodeEvent::Tick);
    }

    /// Schedules an event for the current incarnation of a host.
    fn schedule(&mut self, host: usize, at_us: u64, event: NodeEvent) {
        self.sequence += 1;
        let incarnation = self.hosts[host].incarnation;
        self.queue.insert((at_us, self.sequence), ScheduledEvent { host, incarnation, event });
    }

    /// Applies an action of a node.
    fn apply_action(&mut self, index: usize, action: NodeAction) -> InvariantResult {
        match action {
            NodeAction::Reply { ticket, end } => self.on_reply(index, ticket, end),
            NodeAction::Send { to, message } => self.send(index, to, message),
            NodeAction::Return { path, message } => {
                let (to, incarnation) = path.parts();
                let peer = self.hosts[index].address;
                let event = |message| NodeEvent::PeerReply { peer, message };
                if self.hosts[to as usize].incarnation == incarnation {
                    self.transmit(index, to as usize, message, event);
                }
                Ok(())
            }
            NodeAction::RunTarget(call) => {
                let host = &self.hosts[index];
                let events = self.targets.run(index, host.service, *call, &mut self.rng)?;
                self.schedule_all(index, events);
                Ok(())
            }
            NodeAction::AbortTarget { attempt } => {
                let events = self.targets.abort(index, attempt);
                self.schedule_all(index, events);
                Ok(())
            }
            NodeAction::Store(request) => {
                if let Some(event) = self.table.handle(request) {
                    self.schedule(index, self.now_us + 5 * US_PER_MS, NodeEvent::Store(event));
                }
                Ok(())
            }
            NodeAction::Exit => {
                let node = self.hosts[index].node.as_ref();
                if node.is_some_and(|node| node.in_flight() > 0) {
                    return Err("a node exited with calls in flight".to_owned());
                }
                self.kill(index);
                Ok(())
            }
            NodeAction::Forget { .. } | NodeAction::Submitted { .. } | NodeAction::Note(_) => {
                Ok(())
            }
        }
    }

    /// Schedules events of a target at its node.
    fn schedule_all(&mut self, index: usize, events: Vec<(u64, NodeEvent)>) {
        for (after_us, event) in events {
            self.schedule(index, self.now_us + after_us, event);
        }
    }

    /// Handles the result of a call by an outside caller or a target.
    fn on_reply(&mut self, index: usize, ticket: Ticket, end: CallEnd) -> InvariantResult {
        if ticket.0 >= FIRST_CHILD_TICKET {
            let events = self.targets.on_child_ended(index, ticket, &end, &mut self.rng);
            self.schedule_all(index, events);
            return Ok(());
        }
        let call = &mut self.calls[ticket.0 as usize];
        if call.end.is_some() {
            return Err(format!("{} was answered twice", call.path));
        }
        if let Verdict::Answered(answer) = &end.verdict {
            if answer.status == 200 && answer.body != call.path.as_bytes() {
                return Err(format!("{} got the answer of another request", call.path));
            }
        }
        call.end = Some(end);
        self.check_not_run(ticket.0 as usize)
    }

    /// Sends a message to an address and checks the retry allowance of its root.
    fn send(&mut self, from: usize, to: SocketAddr, message: Message) -> InvariantResult {
        if let Message::Call(frame) = &message {
            if frame.retry > 0 {
                let retries = self.retries.entry(frame.root).or_default();
                *retries += 1;
                if *retries > ALLOWANCE {
                    return Err(format!(
                        "{retries} retries for one root exceed the allowance of {ALLOWANCE}"
                    ));
                }
            }
        }
        let Some(to) = self.hosts.iter().position(|host| host.address == to) else { return Ok(()) };
        let path = ReturnPath::from_parts(from as u32, self.hosts[from].incarnation);
        self.transmit(from, to, message, |message| NodeEvent::PeerRequest { path, message });
        Ok(())
    }

    /// Delivers a message with a delay, loses it or duplicates it.
    fn transmit(
        &mut self,
        from: usize,
        to: usize,
        message: Message,
        make_event: impl Fn(Message) -> NodeEvent,
    ) {
        let partitioned_until_us = self.partitions.get(&(from, to)).copied().unwrap_or(0);
        if partitioned_until_us > self.now_us || self.rng.random_bool(self.network.loss) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_bool(self.network.duplicate));
        for _ in 0..copies {
            let delay_us = self.rng.random_range(100..=100 + self.network.delay_max_us);
            self.schedule(to, self.now_us + delay_us, make_event(message.clone()));
        }
    }

    /// Checks that a call answered "not run" never ran.
    fn check_not_run(&self, id: usize) -> InvariantResult {
        let call = &self.calls[id];
        let Some(end) = &call.end else { return Ok(()) };
        if call.has_shared_key {
            return Ok(());
        }
        if end.verdict.is_not_run() && self.targets.runs(call.service, &call.path) > 0 {
            return Err(format!("{} ran but was answered {:?}", call.path, end.verdict));
        }
        Ok(())
    }

    /// Checks that every call at a node that stayed up was answered in time, and that no call
    /// answered "not run" ran.
    pub fn check_end(&self) -> InvariantResult {
        for id in 0..self.calls.len() {
            self.check_not_run(id)?;
            let call = &self.calls[id];
            let host = &self.hosts[call.host];
            let must_be_answered =
                host.incarnation == call.incarnation && host.paused_until_us < call.deadline_us;
            if must_be_answered
                && call.end.is_none()
                && call.deadline_us + 1_000 * US_PER_MS < self.now_us
            {
                return Err(format!("{} was never answered", call.path));
            }
        }
        Ok(())
    }

    /// The configuration versions of the nodes that are up and not leaving.
    pub fn versions(&self) -> Vec<u64> {
        let up = self.hosts.iter().filter(|host| host.node.is_some() && !host.is_leaving);
        up.map(|host| host.config_version).collect()
    }

    /// How many calls were answered with status 200.
    pub fn served(&self) -> usize {
        let is_complete = |call: &&Call| {
            let verdict = call.end.as_ref().map(|end| &end.verdict);
            matches!(verdict, Some(Verdict::Answered(answer)) if answer.status == 200)
        };
        self.calls.iter().filter(is_complete).count()
    }
}

/// The rules of the site.
fn rules() -> serde_json::Value {
    let retry = serde_json::json!({
        "kind": "bounded", "allowance": ALLOWANCE, "budget_share": 0.5,
        "backoff_ms": 5, "backoff_max_ms": 50
    });
    serde_json::json!({
        "classes": [
            { "name": "browse", "rank": 1, "deadline_ms": 1000, "deadline_max_ms": 2000 },
            { "name": "confirm", "rank": 9, "at_most_once": true,
              "deadline_ms": 1000, "deadline_max_ms": 2000 }
        ],
        "routes": [
            { "service": "front", "method": "POST", "path_prefix": "/confirm", "class": "confirm" },
            { "service": "front", "class": "browse" },
            { "service": "mid", "class": "browse" },
            { "service": "deep", "class": "browse" }
        ],
        "services": [
            { "name": "front", "slots": 8, "connections": 80, "calls": ["mid"] },
            { "name": "mid", "slots": 8, "connections": 80, "calls": ["deep"] },
            { "name": "deep", "slots": 8, "connections": 80 }
        ],
        "arms": [{ "id": 0, "name": "main", "share": 1.0, "policy": "bounded" }],
        "policies": [{ "name": "bounded", "limit": { "kind": "static" }, "retry": retry,
                       "choice": "least_loaded" }]
    })
}

/// The settings of the node on a host.
fn settings(index: usize, service: &str) -> Settings {
    let value = serde_json::json!({
        "site": "site",
        "node": {
            "name": format!("{service}-{index}"), "failure_domain": "a", "service": service,
            "caller_listen": "127.0.0.1:1", "target_listen": "127.0.0.1:2",
            "peer_listen": "127.0.0.1:3", "operator_listen": "127.0.0.1:4", "leave_ms": 500
        },
        "platform": { "table_url": "http://127.0.0.1:5", "objects_url": "http://127.0.0.1:6",
                      "poll_ms": 500 },
        "rules": rules()
    });
    serde_json::from_value(value).expect("the settings of the simulated site are valid")
}
