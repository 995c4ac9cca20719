//! What a caller is told when attempts of its request ended in different ways.

use std::sync::Arc;

use aspenspring::call::{
    AnswerFrame, AttemptId, HttpAnswer, HttpRequest, Key, KeyLifetime, LoadReport, Message, NodeId,
    RefusalReason, Verdict,
};
use aspenspring::config::Settings;
use aspenspring::duty::store::{StoreEvent, StoreOperation, StoreOutcome};
use aspenspring::node::{
    Announcement, Asker, Intake, Node, NodeAction, NodeEvent, NodeIdentity, Note, TargetOutcome,
    Ticket,
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
    .expect("the settings are well formed");
    let identity = NodeIdentity::builder()
        .id(NodeId(7))
        .peer_address(([127, 0, 0, 1], 7).into())
        .seed(1)
        .origin_unix_ms(1_700_000_000_000)
        .build();
    Node::new(0, identity, Arc::new(settings), Box::new(|_| Err("not used".to_owned())))
}

/// Starts a node over an empty table, with its target up.
fn started() -> Node {
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

/// Sends a read and returns its first attempt, which runs.
fn call_that_runs(node: &mut Node, now_us: u64) -> AttemptId {
    let request = HttpRequest {
        method: "GET".to_owned(),
        path: "/stock/1".to_owned(),
        headers: Vec::new(),
        body: Default::default(),
    };
    let intake = Intake {
        ticket: Ticket(1),
        service: SERVICE.to_owned(),
        request,
        deadline_ms: None,
        key: None,
        trace: None,
    };
    let mut out = Vec::new();
    node.handle(now_us, NodeEvent::CallerCall(intake), &mut out);
    run_attempt(&out).unwrap_or_else(|| panic!("no run: {out:?}"))
}

/// Sends a read and lets its first run break off; returns what the caller is told by then.
fn call_that_breaks(node: &mut Node, now_us: u64) -> Vec<Verdict> {
    let attempt = call_that_runs(node, now_us);
    let mut after = Vec::new();
    let broke = NodeEvent::TargetEnded { attempt, outcome: TargetOutcome::Broke };
    node.handle(now_us + 1_000, broke, &mut after);
    replies(&after)
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
    let mut node = started();
    let told = call_that_breaks(&mut node, 1_000);
    assert_eq!(told, [], "the retry is granted and waits");
    let mut out = Vec::new();
    node.handle(2_500, NodeEvent::Leave { asked_by: Asker::Operator }, &mut out);
    for step in 1..=300 {
        node.handle(2_500 + step * 10_000, NodeEvent::Tick, &mut out);
    }
    let told = replies(&out);
    assert_eq!(told.len(), 1);
    assert!(matches!(told[0], Verdict::MayHaveRun(_)), "told {:?}", told[0]);
}

#[test]
fn the_only_target_of_a_service_is_tried_again() {
    let mut node = started();
    assert_eq!(call_that_breaks(&mut node, 1_000), []);
    let mut out = Vec::new();
    for step in 1..=10 {
        node.handle(2_000 + step * 10_000, NodeEvent::Tick, &mut out);
    }
    assert!(run_attempt(&out).is_some(), "told {:?} instead", replies(&out));
}

/// A VM that was replaced while it ran an attempt comes back at the same address, and its new node
/// life truthfully says that it fenced an attempt it never saw.
#[test]
fn the_word_of_another_node_life_is_not_taken() {
    let mut node = started();
    let attempt = call_that_runs(&mut node, 1_000);
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
    let mut node = started();
    for ticket in 1..=20 {
        let event = NodeEvent::MintKey { ticket: Ticket(ticket), service: SERVICE.to_owned() };
        let mut out = Vec::new();
        node.handle(1_000, event, &mut out);
        let [Verdict::Answered(answer)] = &replies(&out)[..] else { panic!("no key: {out:?}") };
        let body: serde_json::Value = serde_json::from_slice(&answer.body).expect("it is JSON");
        let text = body["idempotency_key"].as_str().expect("there is a key");
        let key: Key = text.parse().expect("it is a minted key");
        assert_eq!(key.lifetime(), KeyLifetime::Caller);
    }
}

/// Whether the target's time for a call that ends like this counts as wasted.
fn is_wasted(outcome: TargetOutcome) -> bool {
    let mut node = started();
    let attempt = call_that_runs(&mut node, 1_000);
    let mut out = Vec::new();
    node.handle(2_000, NodeEvent::TargetEnded { attempt, outcome }, &mut out);
    let mut notes = out.iter().filter_map(|action| match action {
        NodeAction::Note(Note::TargetEnded { wasted, .. }) => Some(*wasted),
        _ => None,
    });
    notes.next().expect("the end is noted")
}

#[test]
fn the_time_of_a_call_without_an_answer_of_use_is_wasted() {
    let answered = |status| {
        let answer = HttpAnswer { status, headers: Vec::new(), body: Default::default() };
        TargetOutcome::Answered(answer)
    };
    assert!(!is_wasted(answered(200)));
    assert!(!is_wasted(answered(404)), "a client's error is an answer");
    assert!(is_wasted(answered(503)), "a call further down was refused");
    assert!(is_wasted(TargetOutcome::Broke));
}
