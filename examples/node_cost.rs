//! Measures the time and memory that one node needs for each call, without any I/O.
//!
//! `cargo run --release --example node_cost`

use std::sync::Arc;
use std::time::Instant;

use aspenspring::call::{HttpAnswer, HttpRequest, NodeId};
use aspenspring::config::{self, Settings};
use aspenspring::configuration::site_rules;
use aspenspring::node::{
    Announcement, IncomingRequest, Node, NodeAction, NodeEvent, NodeIdentity, TargetOutcome, Ticket,
};

/// The number of measured calls.
const CALLS: u64 = 200_000;
/// The number of calls before the measurement, which fill tables and caches.
const WARM_UP_CALLS: u64 = 20_000;
/// The simulated time between two calls, in microseconds.
const CALL_INTERVAL_US: u64 = 200;

fn main() {
    let files = [
        "examples/sites/base.json",
        "examples/sites/jordan.json",
        "examples/sites/nodes/souq-catalogue-1.json",
    ];
    let files: Vec<std::path::PathBuf> = files.iter().map(Into::into).collect();
    let settings = config::load(&files).expect("the example is valid").settings;
    for (name, method, path) in
        [("browse", "GET", "/pages/1"), ("at most once", "POST", "/confirmations/1")]
    {
        let mut driver = Driver::new(settings.clone());
        driver.run(WARM_UP_CALLS, method, path);
        let started = Instant::now();
        let answered = driver.run(CALLS, method, path);
        let ns = started.elapsed().as_nanos() / u128::from(CALLS);
        println!("{name}: {ns} ns for a call that enters, is admitted and answered on one node");
        println!("  answered {answered} of {CALLS}, resident {} KB", resident_kb());
    }
}

/// A node with a target that answers immediately.
struct Driver {
    node: Node,
    service: String,
    now_us: u64,
    last_ticket: u64,
}

impl Driver {
    fn new(mut settings: Settings) -> Self {
        settings.telemetry.otlp_url = None;
        let service = settings.node.service.clone();
        let identity = NodeIdentity::builder()
            .id(NodeId(1))
            .peer_address(settings.node.peer_listen)
            .seed(1)
            .origin_unix_ms(1_800_000_000_000)
            .build();
        let build_rules = site_rules(&settings.site);
        let mut node = Node::new(0, identity, Arc::new(settings), build_rules);
        let announcement = Announcement {
            url: "http://127.0.0.1:1".to_owned(),
            service: service.clone(),
            slots: 64,
            connections: 640,
        };
        let mut out = Vec::new();
        node.handle(1, NodeEvent::TargetAnnounced(announcement), &mut out);
        let mut driver = Self { node, service, now_us: 1, last_ticket: 0 };
        driver.answer_store_requests(out);
        driver
    }

    /// Answers the first requests to the table service as an empty table would, so that the node
    /// becomes ready.
    fn answer_store_requests(&mut self, mut actions: Vec<NodeAction>) {
        use aspenspring::duty::store::{StoreEvent, StoreOperation, StoreOutcome};
        for _ in 0..2_000 {
            let mut next = Vec::new();
            for action in actions {
                let NodeAction::Store(request) = action else { continue };
                let outcome = match request.operation {
                    StoreOperation::ReadRows { .. } => StoreOutcome::Rows(Vec::new()),
                    StoreOperation::ReadRow { .. } => StoreOutcome::Row(None),
                    _ => StoreOutcome::Written { version: 1 },
                };
                let event = NodeEvent::Store(StoreEvent { id: request.id, outcome: Ok(outcome) });
                self.node.handle(self.now_us, event, &mut next);
            }
            self.now_us += 10_000;
            self.node.handle(self.now_us, NodeEvent::Tick, &mut next);
            actions = next;
        }
    }

    /// Makes calls one after the other and counts the answers.
    fn run(&mut self, calls: u64, method: &str, path: &str) -> u64 {
        let mut answered = 0;
        let mut out = Vec::new();
        for index in 0..calls {
            self.now_us += CALL_INTERVAL_US;
            if index % 1_000 == 0 {
                self.node.handle(self.now_us, self.announcement(), &mut out);
            }
            self.last_ticket += 1;
            let event = NodeEvent::CallerCall(self.incoming(method, path));
            self.node.handle(self.now_us, event, &mut out);
            answered += self.answer_all(&mut out);
        }
        answered
    }

    /// Answers all requests to the target and returns the number of replies to the caller.
    fn answer_all(&mut self, out: &mut Vec<NodeAction>) -> u64 {
        let mut answered = 0;
        while let Some(action) = out.pop() {
            match action {
                NodeAction::RunTarget(call) => {
                    let answer =
                        HttpAnswer { status: 200, headers: Vec::new(), body: call.request.body };
                    let outcome = TargetOutcome::Answered(answer);
                    let event = NodeEvent::TargetEnded { attempt: call.attempt, outcome };
                    self.node.handle(self.now_us + 50, event, out);
                }
                NodeAction::Reply { end, .. } => {
                    let is_answered =
                        matches!(end.verdict, aspenspring::call::Verdict::Answered(_));
                    answered += u64::from(is_answered);
                    assert!(is_answered, "{:?}", end.verdict);
                }
                _ => {}
            }
        }
        answered
    }

    fn announcement(&self) -> NodeEvent {
        NodeEvent::TargetAnnounced(Announcement {
            url: "http://127.0.0.1:1".to_owned(),
            service: self.service.clone(),
            slots: 64,
            connections: 640,
        })
    }

    fn incoming(&self, method: &str, path: &str) -> IncomingRequest {
        let request = HttpRequest {
            method: method.to_owned(),
            path: path.to_owned(),
            headers: vec![("accept".to_owned(), "application/json".to_owned())],
            body: bytes::Bytes::from_static(&[0; 256]),
        };
        IncomingRequest {
            ticket: Ticket(self.last_ticket),
            service: self.service.clone(),
            request,
            deadline_ms: None,
            key: None,
            trace: None,
        }
    }
}

/// The resident memory of the process in KB; 0 if the system does not report it.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
