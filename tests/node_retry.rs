//! Tests one node through its events: the verdict that a caller receives after failed attempts, the
//! lifetime of minted keys, and which target time counts as wasted.

use std::sync::Arc;

use aspenspring::call::{
    AnswerFrame, AttemptId, HttpAnswer, HttpRequest, Key, KeyLifetime, LoadReport, Message, NodeId,
    RefusalReason, Verdict,
};
use aspenspring::config::Settings;
use aspenspring::duty::store::{StoreEvent, StoreOperation, StoreOutcome};
use aspenspring::node::{
    Announcement, IncomingRequest, LeaveRequester, Node, NodeAction, NodeEvent, NodeIdentity, Note,
    TargetOutcome, Ticket,
};

const SERVICE: &str = "souq-stock";

fn node() -> Node {
    let settings: Settings = serde_json::from_value(serde_json::json!({
        "site": "test",
        "node": {"name": "stock-1", "failure_domain": "a", "service": SERVICE,
                 "caller_listen": "127.0.0.1:0", "target_listen": "127.0.0.1:0",
                 "peer_listen": "127.0.0.1:0", "operator_listen": "127.0.0.1:0"},
        "platform": {"table_url": "http://127.0.0.1:1", "objects_url": "http://127.0.0.1:1"},
        "rules": {
            "classes": [{"name": "browse", "rank": 0, "deadline_ms": 2000,
                         "deadline_max_ms": 5000}],
            "routes": [{"service": SERVICE, "class": "browse"}],
            "services": [{"name": SERVICE, "slots": 4, "connections": 8}],
            "arms": [{"id": 0, "name": "full", "share": 1.0, "policy": "full"}],
            "policies": [{"name": "full", "limit": {"kind": "static"}, "choice": "least_loaded",
                          "retry": {"kind": "bounded", "allowance": 3, "budget_share": 0.1,
                                    "backoff_ms": 5, "backoff_max_ms": 50}}]
        }
    }))
    .expect("the settings are valid");
    let identity = NodeIdentity::builder()
        .id(NodeId(7))
        .peer_address(([127, 0, 0, 1], 7).into())
        .seed(1)
        .origin_unix_ms(1_700_000_000_000)
        .build();
    Node::new(0, identity, Arc::new(settings), Box::new(|_| Err("not used".to_owned())))
}

/// Starts a node with an empty table and an announced target.
fn started_node() -> Node {
    let mut node = node();
    let mut out = Vec::new();
    node.handle(0, NodeEvent::Tick, &mut out);
    for action in out {
        let NodeAction::Store(request) = action else {
            continue;
        };
        let outcome = match request.operation {
            StoreOperation::ReadRow { .. } => StoreOutcome::Row(None),
            _ => StoreOutcome::Rows(Vec::new()),
        };
        let event = StoreEvent { id: request.id, outcome: Ok(outcome) };
        node.handle(0, NodeEvent::Store(event), &mut Vec::new());
    }
    announce(&mut node, 0);
    node
}

fn announce(node: &mut Node, now_us: u64) {
    let announcement = Announcement {
        url: "http://127.0.0.1:2".to_owned(),
        service: SERVICE.to_owned(),
        slots: 4,
        connections: 8,
    };
    node.handle(now_us, NodeEvent::TargetAnnounced(announcement), &mut Vec::new());
}

/// Sends a read and returns its first attempt, which is running at the target.
fn start_read(node: &mut Node, now_us: u64) -> AttemptId {
    let request = HttpRequest {
        method: "GET".to_owned(),
        path: "/stock/1".to_owned(),
        headers: Vec::new(),
        body: Default::default(),
    };
    let incoming = IncomingRequest {
        ticket: Ticket(1),
        service: SERVICE.to_owned(),
        request,
        deadline_ms: None,
        key: None,
        trace: None,
    };
    let mut out = Vec::new();
    node.handle(now_us, NodeEvent::CallerCall(incoming), &mut out);
    run_attempt(&out).unwrap_or_else(|| panic!("no attempt reached the target: {out:?}"))
}

/// Sends a read whose first attempt the target breaks off; returns the answers sent so far.
fn start_read_that_breaks(node: &mut Node, now_us: u64) -> Vec<Verdict> {
    let attempt = start_read(node, now_us);
    let mut out = Vec::new();
    let ended = NodeEvent::TargetEnded { attempt, outcome: TargetOutcome::Broke };
    node.handle(now_us + 1_000, ended, &mut out);
    replies(&out)
}

fn run_attempt(out: &[NodeAction]) -> Option<AttemptId> {
    out.iter().find_map(|action| match action {
        NodeAction::RunTarget(call) => Some(call.attempt),
        _ => None,
    })
}

fn replies(out: &[NodeAction]) -> Vec<Verdict> {
    let mut replies = Vec::new();
    for action in out {
        if let NodeAction::Reply { end, .. } = action {
            replies.push(end.verdict.clone());
        }
    }
    replies
}

#[test]
fn a_request_that_may_have_run_is_not_told_not_run_after_a_refused_retry() {
    let mut node = started_node();
    let verdicts = start_read_that_breaks(&mut node, 1_000);
    assert_eq!(verdicts, [], "the retry is granted and backing off");
    let mut out = Vec::new();
    node.handle(2_500, NodeEvent::Leave { asked_by: LeaveRequester::Operator }, &mut out);
    for step in 1..=300 {
        node.handle(2_500 + step * 10_000, NodeEvent::Tick, &mut out);
    }
    let verdicts = replies(&out);
    assert_eq!(verdicts.len(), 1);
    assert!(matches!(verdicts[0], Verdict::MayHaveRun(_)), "answered {:?}", verdicts[0]);
}

#[test]
fn the_only_target_of_a_service_is_tried_again() {
    let mut node = started_node();
    assert_eq!(start_read_that_breaks(&mut node, 1_000), []);
    let mut out = Vec::new();
    for step in 1..=10 {
        node.handle(2_000 + step * 10_000, NodeEvent::Tick, &mut out);
    }
    assert!(run_attempt(&out).is_some(), "no retry; answered {:?}", replies(&out));
}

/// Guards against a false "not run": a VM is replaced while it runs an attempt, and the new node
/// process at the same address correctly reports that it fenced an attempt it never received.
#[test]
fn an_answer_of_another_process_at_the_same_address_is_ignored() {
    let mut node = started_node();
    let attempt = start_read(&mut node, 1_000);
    let fenced = AnswerFrame {
        attempt,
        node: NodeId(99),
        verdict: Verdict::not_run(RefusalReason::Fenced, 0),
        load: LoadReport::default(),
    };
    let message = Message::Answer(fenced);
    let mut out = Vec::new();
    let peer = ([127, 0, 0, 1], 7).into();
    node.handle(2_000, NodeEvent::PeerReply { peer, message }, &mut out);
    for step in 1..=10 {
        node.handle(2_000 + step * 10_000, NodeEvent::Tick, &mut out);
    }
    assert_eq!((replies(&out), run_attempt(&out)), (Vec::new(), None));
    let answer = HttpAnswer { status: 200, headers: Vec::new(), body: Default::default() };
    let outcome = TargetOutcome::Answered(answer.clone());
    node.handle(200_000, NodeEvent::TargetEnded { attempt, outcome }, &mut out);
    assert_eq!(replies(&out), vec![Verdict::Answered(answer)]);
}

#[test]
fn keys_that_callers_ask_for_have_the_long_lifetime() {
    let mut node = started_node();
    for ticket in 1..=20 {
        let event = NodeEvent::MintKey { ticket: Ticket(ticket), service: SERVICE.to_owned() };
        let mut out = Vec::new();
        node.handle(1_000, event, &mut out);
        let [Verdict::Answered(answer)] = &replies(&out)[..] else { panic!("no key in {out:?}") };
        let body: serde_json::Value = serde_json::from_slice(&answer.body).expect("valid JSON");
        let text = body["idempotency_key"].as_str().expect("the answer contains a key");
        let key: Key = text.parse().expect("the key is a minted key");
        assert_eq!(key.lifetime(), KeyLifetime::Caller);
    }
}

/// Whether the target's run counts as wasted for a given outcome.
fn is_wasted(outcome: TargetOutcome) -> bool {
    let mut node = started_node();
    let attempt = start_read(&mut node, 1_000);
    let mut out = Vec::new();
    node.handle(2_000, NodeEvent::TargetEnded { attempt, outcome }, &mut out);
    let mut notes = out.iter().filter_map(|action| match action {
        NodeAction::Note(Note::TargetEnded { wasted, .. }) => Some(*wasted),
        _ => None,
    });
    notes.next().expect("a note of the target's end")
}

#[test]
fn the_time_of_a_call_without_an_answer_of_use_is_wasted() {
    let answered = |status| {
        let answer = HttpAnswer { status, headers: Vec::new(), body: Default::default() };
        TargetOutcome::Answered(answer)
    };
    assert!(!is_wasted(answered(200)));
    assert!(!is_wasted(answered(404)), "a client error is a healthy answer");
    assert!(is_wasted(answered(503)), "a downstream call was refused");
    assert!(is_wasted(TargetOutcome::Broke));
}
