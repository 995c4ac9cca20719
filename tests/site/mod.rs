//! Whole nodes with everything around them made up: a network that loses, doubles, delays and is
//! cut, targets that call each other, and the platform's table. The rules that must always hold are
//! checked at every step; what breaks one is returned as an error.

mod platform;
mod target;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use aspenspring::call::{HttpRequest, Key, Message, NodeId, RootId, Verdict};
use aspenspring::config::Settings;
use aspenspring::configuration::site_rules;
use aspenspring::duty::peer::ReturnPath;
use aspenspring::node::{
    Asker, CallEnd, Intake, Node, NodeAction, NodeEvent, NodeIdentity, Ticket,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use platform::Table;
pub use platform::TableMode;
use target::Targets;

/// Microseconds in a millisecond.
pub const MS: u64 = 1_000;
/// The retry allowance of every root in the made-up site.
const ALLOWANCE: u32 = 3;
/// How often a target announces itself, in microseconds.
const ANNOUNCE_EVERY_US: u64 = 2_000 * MS;
/// The wall clock at moment zero.
const ORIGIN_UNIX_MS: u64 = 1_800_000_000_000;
/// Tickets of targets' own calls begin here.
const CHILD_TICKETS: u64 = 1 << 40;
/// Tickets of callers who want a key begin here.
const MINT_TICKETS: u64 = 1 << 41;

/// Something that arrives at a node.
#[derive(Debug)]
struct Delivery {
    seat: usize,
    life: u32,
    event: NodeEvent,
}

/// A place for a node: its address stays, its lives change.
struct Seat {
    node: Option<Node>,
    life: u32,
    address: SocketAddr,
    service: &'static str,
    frozen_until_us: u64,
    woken_at_us: u64,
    version: u64,
    left: bool,
}

/// A call of an outside caller.
pub struct Call {
    pub seat: usize,
    /// The life of the node that took the call.
    life: u32,
    pub service: &'static str,
    pub path: String,
    /// Whether other calls have the same key, so that runs of the path may be theirs.
    shared: bool,
    pub due_us: u64,
    pub end: Option<CallEnd>,
}

/// How unkind the network is.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    pub loss: f64,
    pub double: f64,
    pub delay_max_us: u64,
}

/// Several nodes and their surroundings.
pub struct Site {
    pub now_us: u64,
    pub network: Network,
    pub table: Table,
    pub calls: Vec<Call>,
    /// The keys that callers were given.
    pub minted: Vec<Key>,
    /// Whether the keys of a leaving node are lost on their way.
    pub lose_handovers: bool,
    /// Whether all messages of the membership are lost.
    pub lose_gossip: bool,
    rng: SmallRng,
    queue: BTreeMap<(u64, u64), Delivery>,
    sequence: u64,
    seats: Vec<Seat>,
    /// Until when messages between two seats vanish.
    cuts: HashMap<(usize, usize), u64>,
    targets: Targets,
    /// Extra attempts seen on the wire, by root.
    extra: HashMap<RootId, u32>,
}

/// A rule that was broken.
pub type Checked = Result<(), String>;

impl Site {
    /// A site of three services in a row, two nodes each, all up.
    pub fn start(seed: u64, network: Network) -> Self {
        Self::with(seed, network, &["front", "front", "mid", "mid", "deep", "deep"])
    }

    /// A site of one node, whose target calls nobody.
    pub fn alone(seed: u64, network: Network) -> Self {
        Self::with(seed, network, &["deep"])
    }

    /// A site with a node for each of these services.
    fn with(seed: u64, network: Network, services: &[&'static str]) -> Self {
        let mut site = Self {
            now_us: 0,
            network,
            table: Table::default(),
            calls: Vec::new(),
            minted: Vec::new(),
            lose_handovers: false,
            lose_gossip: false,
            rng: SmallRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
            seats: Vec::new(),
            cuts: HashMap::new(),
            targets: Targets::default(),
            extra: HashMap::new(),
        };
        for (index, service) in services.iter().enumerate() {
            site.seats.push(Seat {
                node: None,
                life: 0,
                address: SocketAddr::from(([127, 0, 0, 1], 4_000 + index as u16)),
                service,
                frozen_until_us: 0,
                woken_at_us: u64::MAX,
                version: 0,
                left: false,
            });
            site.restart(index);
        }
        site
    }

    /// Starts a new life in a seat, as after a kill or on a replaced VM.
    pub fn restart(&mut self, index: usize) {
        let identity = NodeIdentity::builder()
            .id(NodeId(self.rng.random()))
            .peer_address(self.seats[index].address)
            .seed(self.rng.random())
            .origin_unix_ms(ORIGIN_UNIX_MS)
            .build();
        let settings = Arc::new(settings(index, self.seats[index].service));
        let node = Node::new(self.now_us, identity, settings, site_rules("site"));
        let seat = &mut self.seats[index];
        seat.node = Some(node);
        seat.life += 1;
        seat.version = 0;
        seat.left = false;
        seat.woken_at_us = u64::MAX;
        self.targets.drop_seat(index);
        let announcement = target::announcement(index, self.seats[index].service);
        self.deliver(index, self.now_us, NodeEvent::TargetAnnounced(announcement));
        self.tell_links(index, |peer| NodeEvent::LinkUp { peer }, 100 * MS);
    }

    /// Ends a life at once.
    pub fn kill(&mut self, index: usize) {
        self.seats[index].node = None;
        self.seats[index].life += 1;
        self.targets.drop_seat(index);
        self.tell_links(index, |peer| NodeEvent::LinkLost { peer }, 20 * MS);
    }

    /// Tells every other seat something about its connection to this one.
    fn tell_links(&mut self, index: usize, make: impl Fn(SocketAddr) -> NodeEvent, after_us: u64) {
        let peer = self.seats[index].address;
        for other in 0..self.seats.len() {
            if other != index {
                self.deliver(other, self.now_us + after_us, make(peer));
            }
        }
    }

    /// Stops a life for a while; it does not notice.
    pub fn freeze(&mut self, index: usize, for_us: u64) {
        self.seats[index].frozen_until_us = self.now_us + for_us;
    }

    /// Makes the connection between two seats silent for a while; new ones work afterwards.
    pub fn cut(&mut self, one: usize, other: usize, for_us: u64) {
        let until_us = self.now_us + for_us;
        for (from, to) in [(one, other), (other, one)] {
            self.cuts.insert((from, to), until_us);
            let peer = self.seats[to].address;
            self.deliver(from, self.now_us + for_us / 2, NodeEvent::LinkLost { peer });
            self.deliver(from, until_us + MS, NodeEvent::LinkUp { peer });
        }
    }

    /// Asks a node to leave.
    pub fn leave(&mut self, index: usize) {
        self.deliver(index, self.now_us, NodeEvent::Leave { asked_by: Asker::Signal });
        self.seats[index].left = true;
    }

    /// Submits a configuration at a node.
    pub fn submit(&mut self, index: usize, based_on: u64) {
        let document = serde_json::json!({ "base": rules() }).to_string();
        let submission = self.rng.random();
        let by = format!("seat {index}");
        let at_unix_ms = ORIGIN_UNIX_MS + self.now_us / MS;
        let submit =
            aspenspring::configuration::Submit { submission, based_on, by, at_unix_ms, document };
        self.deliver(index, self.now_us, NodeEvent::Submit(submit));
    }

    /// Makes a call of an outside caller at a node.
    pub fn call(&mut self, seat: usize, confirm: bool) {
        let kind = if confirm { "confirm" } else { "page" };
        let path = format!("/{kind}/{}", self.calls.len());
        self.call_path(seat, confirm, path, None);
    }

    /// Makes a confirmation with a key of the caller's own; the path is the same for one key.
    pub fn confirm_with_key(&mut self, seat: usize, key: &str) {
        self.call_path(seat, true, format!("/confirm/{key}"), Some(key.to_owned()));
    }

    /// Asks a node for a key for the first service.
    pub fn mint(&mut self, seat: usize) {
        let ticket = Ticket(MINT_TICKETS);
        let event = NodeEvent::MintKey { ticket, service: "front".to_owned() };
        self.deliver(seat, self.now_us, event);
    }

    /// The seat of the node with this id, while it is up.
    pub fn seat_of(&self, node: NodeId) -> Option<usize> {
        let is_there = |seat: &Seat| seat.node.as_ref().is_some_and(|there| there.id() == node);
        self.seats.iter().position(is_there)
    }

    /// Makes a call for a path.
    fn call_path(&mut self, seat: usize, confirm: bool, path: String, key: Option<String>) {
        let id = self.calls.len();
        let shared = key.is_some();
        let method = if confirm { "POST" } else { "GET" };
        let request = HttpRequest {
            method: method.to_owned(),
            path: path.clone(),
            headers: Vec::new(),
            body: bytes::Bytes::new(),
        };
        let intake = Intake {
            ticket: Ticket(id as u64),
            service: self.seats[seat].service.to_owned(),
            request,
            deadline_ms: None,
            key,
            trace: None,
        };
        let due_us = self.now_us + 1_000 * MS;
        let is_up = self.seats[seat].node.is_some();
        let life = if is_up { self.seats[seat].life } else { u32::MAX };
        let service = self.seats[seat].service;
        self.calls.push(Call { seat, life, service, path, shared, due_us, end: None });
        self.deliver(seat, self.now_us, NodeEvent::CallerCall(intake));
    }

    /// The caller of the last call goes away.
    pub fn caller_gone(&mut self) {
        let ticket = Ticket(self.calls.len() as u64 - 1);
        let seat = self.calls[ticket.0 as usize].seat;
        self.deliver(seat, self.now_us, NodeEvent::CallerGone { ticket });
    }

    /// Calls that run, wait or are being sent on, over all nodes.
    pub fn in_flight(&self) -> u64 {
        self.seats.iter().filter_map(|seat| seat.node.as_ref()).map(Node::in_flight).sum()
    }

    /// Lets time pass until `until_us`.
    pub fn run(&mut self, until_us: u64) -> Checked {
        while let Some((&(at_us, sequence), _)) = self.queue.first_key_value() {
            if at_us > until_us {
                break;
            }
            let Some(delivery) = self.queue.remove(&(at_us, sequence)) else { break };
            self.now_us = self.now_us.max(at_us);
            self.arrive(delivery)?;
        }
        self.now_us = until_us;
        Ok(())
    }

    /// Lets something arrive at a node, or wait while the node is frozen.
    fn arrive(&mut self, delivery: Delivery) -> Checked {
        let seat = &mut self.seats[delivery.seat];
        if seat.life != delivery.life {
            return Ok(());
        }
        if seat.frozen_until_us > self.now_us {
            let at_us = seat.frozen_until_us;
            self.sequence += 1;
            self.queue.insert((at_us, self.sequence), delivery);
            return Ok(());
        }
        let Some(node) = &mut seat.node else { return Ok(()) };
        if let NodeEvent::TargetAnnounced(announcement) = &delivery.event {
            // A target repeats itself as long as its node lives.
            let again = NodeEvent::TargetAnnounced(announcement.clone());
            let event = Delivery { event: again, ..delivery };
            self.sequence += 1;
            self.queue.insert((self.now_us + ANNOUNCE_EVERY_US, self.sequence), event);
        }
        let mut actions = Vec::new();
        node.handle(self.now_us, delivery.event, &mut actions);
        let version = node.config_version();
        if version < seat.version {
            return Err(format!("configuration went back from {} to {version}", seat.version));
        }
        seat.version = version;
        let wake_us = node.next_wake_us();
        self.plan_wake(delivery.seat, wake_us);
        for action in actions {
            self.carry_out(delivery.seat, action)?;
        }
        Ok(())
    }

    /// Plans the node's next tick.
    fn plan_wake(&mut self, index: usize, wake_us: Option<u64>) {
        let Some(wake_us) = wake_us else { return };
        let wake_us = wake_us.max(self.now_us + 1);
        let seat = &mut self.seats[index];
        let planned = seat.woken_at_us > self.now_us && seat.woken_at_us <= wake_us;
        if planned {
            return;
        }
        seat.woken_at_us = wake_us;
        self.deliver(index, wake_us, NodeEvent::Tick);
    }

    /// Plans that something arrives at the present life of a seat.
    fn deliver(&mut self, seat: usize, at_us: u64, event: NodeEvent) {
        self.sequence += 1;
        let life = self.seats[seat].life;
        self.queue.insert((at_us, self.sequence), Delivery { seat, life, event });
    }

    /// Does what a node asks for.
    fn carry_out(&mut self, index: usize, action: NodeAction) -> Checked {
        match action {
            NodeAction::Reply { ticket, end } => self.replied(index, ticket, end),
            NodeAction::Send { to, message } => self.send(index, to, message),
            NodeAction::Return { path, message } => {
                let (to, life) = path.parts();
                let peer = self.seats[index].address;
                let event = |message| NodeEvent::PeerReply { peer, message };
                if self.seats[to as usize].life == life {
                    self.carry(index, to as usize, message, event);
                }
                Ok(())
            }
            NodeAction::RunTarget(call) => {
                let seat = &self.seats[index];
                let events = self.targets.run(index, seat.service, *call, &mut self.rng)?;
                self.deliver_all(index, events);
                Ok(())
            }
            NodeAction::AbortTarget { attempt } => {
                let events = self.targets.abort(index, attempt);
                self.deliver_all(index, events);
                Ok(())
            }
            NodeAction::Store(request) => {
                if let Some(event) = self.table.take(request) {
                    self.deliver(index, self.now_us + 5 * MS, NodeEvent::Store(event));
                }
                Ok(())
            }
            NodeAction::Exit => {
                let node = self.seats[index].node.as_ref();
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

    /// Plans events of a target at its node.
    fn deliver_all(&mut self, index: usize, events: Vec<(u64, NodeEvent)>) {
        for (after_us, event) in events {
            self.deliver(index, self.now_us + after_us, event);
        }
    }

    /// Takes the end of a call, of an outside caller or of a target.
    fn replied(&mut self, index: usize, ticket: Ticket, end: CallEnd) -> Checked {
        if ticket.0 >= MINT_TICKETS {
            return self.take_minted(&end);
        }
        if ticket.0 >= CHILD_TICKETS {
            let events = self.targets.child_ended(index, ticket, &end, &mut self.rng);
            self.deliver_all(index, events);
            return Ok(());
        }
        let call = &mut self.calls[ticket.0 as usize];
        if call.end.is_some() {
            return Err(format!("{} was answered twice", call.path));
        }
        if let Verdict::Answered(answer) = &end.verdict {
            if answer.status == 200 && answer.body != call.path.as_bytes() {
                return Err(format!("{} got an answer that is not its own", call.path));
            }
        }
        call.end = Some(end);
        self.check_not_run(ticket.0 as usize)
    }

    /// Takes a key that a caller was given.
    fn take_minted(&mut self, end: &CallEnd) -> Checked {
        let Verdict::Answered(answer) = &end.verdict else { return Ok(()) };
        let body: serde_json::Value =
            serde_json::from_slice(&answer.body).map_err(|error| error.to_string())?;
        let text = body["idempotency_key"].as_str().unwrap_or_default();
        self.minted.push(text.parse::<Key>().map_err(|error| error.to_string())?);
        Ok(())
    }

    /// Sends a message to an address.
    fn send(&mut self, from: usize, to: SocketAddr, message: Message) -> Checked {
        if let Message::Call(frame) = &message {
            if frame.retry > 0 {
                let extra = self.extra.entry(frame.root).or_default();
                *extra += 1;
                if *extra > ALLOWANCE {
                    return Err(format!("{extra} extra attempts for one root"));
                }
            }
        }
        let is_lost = match message {
            Message::Handover { .. } => self.lose_handovers,
            Message::Gossip(_) => self.lose_gossip,
            _ => false,
        };
        if is_lost {
            return Ok(());
        }
        let Some(to) = self.seats.iter().position(|seat| seat.address == to) else { return Ok(()) };
        let path = ReturnPath::from_parts(from as u32, self.seats[from].life);
        self.carry(from, to, message, |message| NodeEvent::PeerRequest { path, message });
        Ok(())
    }

    /// Carries a message, or loses, doubles or delays it.
    fn carry(
        &mut self,
        from: usize,
        to: usize,
        message: Message,
        make: impl Fn(Message) -> NodeEvent,
    ) {
        let cut_until_us = self.cuts.get(&(from, to)).copied().unwrap_or(0);
        if cut_until_us > self.now_us || self.rng.random_bool(self.network.loss) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_bool(self.network.double));
        for _ in 0..copies {
            let delay_us = self.rng.random_range(100..=100 + self.network.delay_max_us);
            self.deliver(to, self.now_us + delay_us, make(message.clone()));
        }
    }

    /// A call that was told "not run" never ran.
    fn check_not_run(&self, id: usize) -> Checked {
        let call = &self.calls[id];
        let Some(end) = &call.end else { return Ok(()) };
        if call.shared {
            return Ok(());
        }
        if end.verdict.is_not_run() && self.targets.runs(call.service, &call.path) > 0 {
            return Err(format!("{} ran and was told {:?}", call.path, end.verdict));
        }
        Ok(())
    }

    /// Checks at the end: every call of a node that lives was answered in time, and truly.
    pub fn check_end(&self) -> Checked {
        for id in 0..self.calls.len() {
            self.check_not_run(id)?;
            let call = &self.calls[id];
            let seat = &self.seats[call.seat];
            let certain = seat.life == call.life && seat.frozen_until_us < call.due_us;
            if certain && call.end.is_none() && call.due_us + 1_000 * MS < self.now_us {
                return Err(format!("{} was never answered", call.path));
            }
        }
        Ok(())
    }

    /// The versions of the configuration at the nodes that are up.
    pub fn versions(&self) -> Vec<u64> {
        let up = self.seats.iter().filter(|seat| seat.node.is_some() && !seat.left);
        up.map(|seat| seat.version).collect()
    }

    /// How often the first service ran the requests with this key.
    pub fn runs_of_key(&self, key: Key) -> u32 {
        self.targets.runs("front", &format!("/confirm/{key}"))
    }

    /// What the last call came to.
    pub fn last_verdict(&self) -> Option<Verdict> {
        Some(self.calls.last()?.end.as_ref()?.verdict.clone())
    }

    /// How many calls were answered whole.
    pub fn served(&self) -> usize {
        let whole = |call: &&Call| {
            let verdict = call.end.as_ref().map(|end| &end.verdict);
            matches!(verdict, Some(Verdict::Answered(answer)) if answer.status == 200)
        };
        self.calls.iter().filter(whole).count()
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

/// The settings of the node in a seat.
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
    serde_json::from_value(value).expect("the settings of the made-up site are valid")
}
