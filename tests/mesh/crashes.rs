//! Requests that end the targets that begin to run them, and requests that only ran beside.

use std::time::Duration;

use aspenspring::mesh::blame;
use aspenspring::mesh::fingerprint::Fingerprint;
use aspenspring::mesh::frame::{Crash, Header};
use aspenspring::mesh::quarantine::Standing;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::support::{CRASHES, Reaction, TestNode, ask, link_nodes, request, run, start, status};

/// A target that ends 15 ms after it has begun on a request that crashes it; others take 5 ms.
const CRASHABLE: Reaction = Reaction::CrashOn(15, 5);
/// How many targets a request may end before it is known for it.
const CRASHES_KNOWN_AFTER: usize = 3;
/// How often it may be sent to targets after that.
const REPEATS_MAX: usize = 3;
/// How many requests run beside it.
const BESIDE: usize = 40;
/// How often the caller comes back with it.
const ATTEMPTS: usize = 12;

/// Nodes of `stock` that know each other.
async fn site(names: &[&str]) -> Vec<TestNode> {
    let mut nodes: Vec<TestNode> = Vec::new();
    for name in names {
        let node = start(name, "stock", vec![CRASHABLE]).await;
        for known in &nodes {
            link_nodes(known, &node).await;
        }
        nodes.push(node);
    }
    nodes
}

/// How often requests with `part` in their first line have reached targets.
fn arrivals(nodes: &[TestNode], part: &str) -> usize {
    let seen = |node: &TestNode| {
        let seen = node.target.seen.borrow();
        seen.iter()
            .filter(|text| text.lines().next().is_some_and(|line| line.contains(part)))
            .count()
    };
    nodes.iter().map(seen).sum()
}

/// The request that ends targets.
fn crashing(attempt: usize) -> String {
    let id = format!("c{attempt}");
    format!("GET /read/{CRASHES}?x=1 HTTP/1.1\r\nhost: shop.test\r\nx-attempt: {id}\r\n\r\n")
}

/// Callers of one service got nothing but refusals for seconds, several times a day. One read ended
/// each target that began to run it. Its node offered it to the next target, the caller came back with it
/// at another node, and by each wave all targets of the service were gone.
///
/// The cause: that a target ended was known for a moment and beside that target only, and an attempt had no more
/// in common with the next than its path; nobody remembered what a request had done. Evidence: the fingerprint
/// of what the targets broke off, and this test: 25 to 27 ends by one request before, 3 after.
#[test]
fn a_request_that_ended_three_targets_is_held_back_wherever_it_comes() {
    run(async {
        let nodes = site(&["stock-1", "stock-2", "stock-3", "stock-4"]).await;
        for attempt in 0..ATTEMPTS {
            let entry = &nodes[attempt % nodes.len()];
            let answer = ask(entry, &crashing(attempt)).await;
            assert_ne!(status(&answer), 200);
            sleep(Duration::from_millis(100)).await;
        }
        let ended = arrivals(&nodes, CRASHES);
        let allowed = CRASHES_KNOWN_AFTER + REPEATS_MAX;
        assert!(ended <= allowed, "it was sent to targets {ended} times, {allowed} are allowed");
        assert_eq!(status(&ask(&nodes[0], &request("read", "a1")).await), 200);
    });
}

/// A request that only runs beside the one that ends targets.
fn beside(number: usize, attempt: &str) -> String {
    format!("GET /read/beside-{number} HTTP/1.1\r\nhost: shop.test\r\nx-attempt: {attempt}\r\n\r\n")
}

/// Beside the request that ends targets, others run, are cut off with it, and come back like it. They are
/// served, however often that was.
#[test]
fn requests_that_only_ran_beside_crashes_go_on_being_served() {
    run(async {
        let nodes = site(&["stock-1", "stock-2", "stock-3", "stock-4"]).await;
        for attempt in 0..ATTEMPTS {
            let mut running = Vec::new();
            for number in 0..BESIDE {
                let entry = nodes[number % nodes.len()].clone();
                let text = beside(number, &format!("b{attempt}-{number}"));
                running.push(spawn_local(async move { ask(&entry, &text).await }));
            }
            ask(&nodes[attempt % nodes.len()], &crashing(attempt)).await;
            for request in running {
                request.await.unwrap();
            }
            sleep(Duration::from_millis(100)).await;
        }
        sleep(Duration::from_millis(300)).await;
        for number in 0..BESIDE {
            let text = beside(number, &format!("z{number}"));
            let answer = ask(&nodes[number % nodes.len()], &text).await;
            assert_eq!(status(&answer), 200, "beside-{number} is refused: {answer}");
        }
    });
}

/// It takes a moment until it is known that a target has ended. In that moment a request beside which others
/// had ended was sent to the next target, and ended it, too.
#[test]
fn a_suspect_is_not_sent_on_before_it_is_known_whether_its_target_has_ended() {
    run(async {
        let nodes = site(&["stock-1", "stock-2", "stock-3"]).await;
        let fingerprint = Fingerprint::of(
            "GET",
            &format!("/read/{CRASHES}?x=1"),
            &[Header::new("host", b"shop.test")],
            b"",
        );
        for node in &nodes {
            node.target.reactions.replace(vec![Reaction::CrashOn(0, 5)]);
            for _ in 0..2 {
                blame::take_crash(&node.node, &Crash { requests: vec![fingerprint], held: None });
            }
        }
        // Enough for the budget to allow repeats.
        for number in 0..60 {
            ask(&nodes[0], &request("read", &format!("a{number}"))).await;
        }
        assert_eq!(status(&ask(&nodes[0], &crashing(1)).await), 502, "it may have run");
        assert_eq!(arrivals(&nodes, CRASHES), 1);
        sleep(Duration::from_millis(100)).await;
        assert_eq!(status(&ask(&nodes[0], &crashing(2)).await), 503, "it is held back");
        assert_eq!(arrivals(&nodes, CRASHES), 1);
    });
}

/// A request that ended targets was turned away by a full target, and failed once because a call made for it
/// found no room; either took the suspicion from it, and it ended three more.
#[test]
fn only_a_success_clears_a_suspect() {
    run(async {
        let entry = start("stock-1", "stock", vec![Reaction::Decline]).await;
        let headers = [Header::new("host", b"shop.test")];
        let fingerprint = Fingerprint::of("GET", "/read/1", &headers, b"");
        let standing = || entry.node.quarantine.standing(fingerprint);
        for _ in 0..2 {
            blame::take_crash(&entry.node, &Crash { requests: vec![fingerprint], held: None });
        }
        for reaction in [Reaction::Decline, Reaction::Answer(500, 0), Reaction::Answer(504, 0)] {
            entry.target.reactions.replace(vec![reaction]);
            ask(&entry, &request("read", "a1")).await;
            assert_eq!(standing(), Standing::Suspect);
        }
        entry.target.reactions.replace(vec![Reaction::Answer(200, 0)]);
        assert_eq!(status(&ask(&entry, &request("read", "a2")).await), 200);
        assert_eq!(standing(), Standing::Free);
    });
}

/// One request, sent by four entries at once, ended 6 of 8 targets: each entry repeated it at once, before the
/// news of the ends could come. A repeat now waits until it is known whether the target has ended, and by then
/// four ends are known too. What the entries had sent before the first end cannot be taken back.
#[test]
fn copies_sent_at_once_are_not_repeated_after_their_targets_have_ended() {
    run(async {
        let names: Vec<String> = (1..9).map(|number| format!("stock-{number}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let nodes = site(&names).await;
        let mut sent = Vec::new();
        for (number, entry) in nodes.iter().take(4).enumerate() {
            let entry = entry.clone();
            sent.push(spawn_local(async move { ask(&entry, &crashing(number)).await }));
        }
        for answer in sent {
            assert_eq!(status(&answer.await.unwrap()), 502, "it may have run");
        }
        assert_eq!(arrivals(&nodes, CRASHES), 4);
    });
}

/// Two targets of a service were left, a request ended one of them, and its repeat the other.
#[test]
fn a_request_that_ended_a_target_is_not_repeated_on_the_last_one() {
    run(async {
        let nodes = site(&["stock-1", "stock-2"]).await;
        assert_eq!(status(&ask(&nodes[0], &crashing(1)).await), 502, "it may have run");
        assert_eq!(arrivals(&nodes, CRASHES), 1);
        assert_eq!(status(&ask(&nodes[0], &request("read", "a1")).await), 200);
    });
}
