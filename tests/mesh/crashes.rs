//! Requests that crash the targets that run them, and requests that run at the same time.

use std::time::Duration;

use aspenspring::mesh::crash_reports;
use aspenspring::mesh::fingerprint::Fingerprint;
use aspenspring::mesh::frame::{Crash, Header};
use aspenspring::mesh::quarantine::Standing;
use tokio::io::AsyncWriteExt;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::support::{
    CRASHES, Reaction, TestNode, ask, connect, link_nodes, request, run, start, status,
};

/// A target that crashes 15 ms after the start of a crashing request; other requests take 5 ms.
const CRASHABLE: Reaction = Reaction::CrashOn(15, 5);
/// Number of crashes after which a request is quarantined.
const QUARANTINED_AFTER: usize = 3;
/// Number of times it may still be sent to targets after that.
const RETRIES_MAX: usize = 3;
/// Number of requests that run concurrently.
const CONCURRENT: usize = 40;
/// Number of times the caller retries it.
const ATTEMPTS: usize = 12;

/// Nodes of `stock` that are linked with each other.
async fn start_linked(names: &[&str]) -> Vec<TestNode> {
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

/// Number of requests with `part` in their first line that have reached targets.
fn arrivals(nodes: &[TestNode], part: &str) -> usize {
    let seen = |node: &TestNode| {
        let seen = node.target.seen.borrow();
        seen.iter()
            .filter(|text| text.lines().next().is_some_and(|line| line.contains(part)))
            .count()
    };
    nodes.iter().map(seen).sum()
}

/// A request that crashes targets.
fn crashing(attempt: usize) -> String {
    let id = format!("c{attempt}");
    format!("GET /read/{CRASHES}?x=1 HTTP/1.1\r\nhost: shop.test\r\nx-attempt: {id}\r\n\r\n")
}

/// One read crashed each target that began to run it. Its node retried it on the next target, and
/// the caller retried it at other nodes, until no target of the service was left. Crashes must be
/// remembered by the fingerprint of the interrupted requests and shared between nodes; without
/// that, one request caused 25 to 27 crashes here, with it 3.
#[test]
fn a_request_that_crashed_three_targets_is_quarantined_on_all_nodes() {
    run(async {
        let nodes = start_linked(&["stock-1", "stock-2", "stock-3", "stock-4"]).await;
        for attempt in 0..ATTEMPTS {
            let entry = &nodes[attempt % nodes.len()];
            let answer = ask(entry, &crashing(attempt)).await;
            assert_ne!(status(&answer), 200);
            sleep(Duration::from_millis(100)).await;
        }
        let crashed = arrivals(&nodes, CRASHES);
        let allowed = QUARANTINED_AFTER + RETRIES_MAX;
        assert!(crashed <= allowed, "sent to targets {crashed} times, at most {allowed} allowed");
        assert_eq!(status(&ask(&nodes[0], &request("read", "a1")).await), 200);
    });
}

/// How the call of a crashing request ends before the target crashes.
#[derive(Clone, Copy, Debug)]
enum EarlyEnd {
    Disconnect,
    Timeout,
}

/// Sends the crashing request twelve times, with `beside` other requests at the same time. Returns
/// how often it has reached targets.
async fn crash_after_the_end(end: EarlyEnd, beside: usize) -> usize {
    let nodes = start_linked(&["stock-1", "stock-2", "stock-3", "stock-4"]).await;
    for attempt in 0..ATTEMPTS {
        let mut running = Vec::new();
        for number in 0..beside {
            let entry = nodes[number % nodes.len()].clone();
            let text = concurrent(number, &format!("b{attempt}-{number}"));
            running.push(spawn_local(async move { ask(&entry, &text).await }));
        }
        let entry = &nodes[attempt % nodes.len()];
        match end {
            EarlyEnd::Disconnect => {
                let mut caller = connect(entry).await;
                caller.write_all(crashing(attempt).as_bytes()).await.unwrap();
                sleep(Duration::from_millis(8)).await;
            }
            EarlyEnd::Timeout => {
                let text = crashing(attempt).replace("host:", "x-deadline: 10\r\nhost:");
                ask(entry, &text).await;
            }
        }
        sleep(Duration::from_millis(30)).await;
        // Meets the crashed target, which is down for 150 ms.
        for (number, entry) in nodes.iter().enumerate() {
            ask(entry, &request("read", &format!("a{attempt}-{number}"))).await;
        }
        sleep(Duration::from_millis(200)).await;
        for request in running {
            request.await.unwrap();
        }
    }
    arrivals(&nodes, CRASHES)
}

/// The callers of a request left before the targets crashed that were running it. Their nodes had
/// cancelled it by then, did not count it as running, and sent it to one target after another.
#[test]
fn a_cancelled_request_that_crashes_targets_is_quarantined() {
    run(async {
        let allowed = QUARANTINED_AFTER + RETRIES_MAX;
        for (end, beside) in [(EarlyEnd::Disconnect, 0), (EarlyEnd::Timeout, 4)] {
            let crashed = crash_after_the_end(end, beside).await;
            assert!(crashed <= allowed, "{end:?}, {beside} beside: {crashed} crashes");
        }
    });
}

/// A request that runs at the same time as the crashing one.
fn concurrent(number: usize, attempt: &str) -> String {
    format!(
        "GET /read/concurrent-{number} HTTP/1.1\r\nhost: shop.test\r\nx-attempt: {attempt}\r\n\r\n"
    )
}

/// Other requests run when targets crash, are interrupted and are retried as well. They must still
/// be served, however often that happens.
#[test]
fn requests_running_during_crashes_are_still_served() {
    run(async {
        let nodes = start_linked(&["stock-1", "stock-2", "stock-3", "stock-4"]).await;
        for attempt in 0..ATTEMPTS {
            let mut running = Vec::new();
            for number in 0..CONCURRENT {
                let entry = nodes[number % nodes.len()].clone();
                let text = concurrent(number, &format!("b{attempt}-{number}"));
                running.push(spawn_local(async move { ask(&entry, &text).await }));
            }
            ask(&nodes[attempt % nodes.len()], &crashing(attempt)).await;
            for request in running {
                request.await.unwrap();
            }
            sleep(Duration::from_millis(100)).await;
        }
        sleep(Duration::from_millis(300)).await;
        for number in 0..CONCURRENT {
            let text = concurrent(number, &format!("z{number}"));
            let answer = ask(&nodes[number % nodes.len()], &text).await;
            assert_eq!(status(&answer), 200, "request {number} was refused: {answer}");
        }
    });
}

/// Detecting a crash takes a moment. A suspect request must not be sent to the next target before
/// that, as it would crash that one too.
#[test]
fn a_suspect_is_not_retried_before_the_crash_check() {
    run(async {
        let nodes = start_linked(&["stock-1", "stock-2", "stock-3"]).await;
        let fingerprint = Fingerprint::of(
            "GET",
            &format!("/read/{CRASHES}?x=1"),
            &[Header::new("host", b"shop.test")],
            b"",
        );
        for node in &nodes {
            node.target.reactions.replace(vec![Reaction::CrashOn(0, 5)]);
            for _ in 0..2 {
                crash_reports::receive_crash(
                    &node.node,
                    &Crash { requests: vec![fingerprint], held: None },
                );
            }
        }
        // Earns enough budget for retries.
        for number in 0..60 {
            ask(&nodes[0], &request("read", &format!("a{number}"))).await;
        }
        assert_eq!(status(&ask(&nodes[0], &crashing(1)).await), 502, "it may have run");
        assert_eq!(arrivals(&nodes, CRASHES), 1);
        sleep(Duration::from_millis(100)).await;
        assert_eq!(status(&ask(&nodes[0], &crashing(2)).await), 503, "it is quarantined");
        assert_eq!(arrivals(&nodes, CRASHES), 1);
    });
}

/// A suspect that was rejected by a full target, or failed because one of its own calls was shed,
/// must remain suspect: clearing it in either case led to three more crashes.
#[test]
fn only_a_success_clears_a_suspect() {
    run(async {
        let entry = start("stock-1", "stock", vec![Reaction::Decline]).await;
        let headers = [Header::new("host", b"shop.test")];
        let fingerprint = Fingerprint::of("GET", "/read/1", &headers, b"");
        let standing = || entry.node.quarantine.standing(fingerprint);
        for _ in 0..2 {
            crash_reports::receive_crash(
                &entry.node,
                &Crash { requests: vec![fingerprint], held: None },
            );
        }
        for reaction in [Reaction::Decline, Reaction::Answer(500, 0), Reaction::Answer(504, 0)] {
            entry.target.reactions.replace(vec![reaction]);
            ask(&entry, &request("read", "a1")).await;
            assert_eq!(standing(), Standing::Suspect);
        }
        entry.target.reactions.replace(vec![Reaction::Answer(200, 0)]);
        assert_eq!(status(&ask(&entry, &request("read", "a2")).await), 200);
        assert_eq!(standing(), Standing::Unrestricted);
    });
}

/// Four entry nodes sent the same request at once and retried it before they had received each
/// other's crash reports, which crashed 6 of 8 targets. A retry must wait for the crash check,
/// after which the other crashes are known. The four first attempts can't be prevented.
#[test]
fn concurrent_copies_are_not_retried_after_their_targets_crash() {
    run(async {
        let names: Vec<String> = (1..9).map(|number| format!("stock-{number}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let nodes = start_linked(&names).await;
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

/// With two targets left, a request crashed one, and its retry must not crash the other.
#[test]
fn a_request_that_crashed_a_target_is_not_retried_on_the_last_one() {
    run(async {
        let nodes = start_linked(&["stock-1", "stock-2"]).await;
        assert_eq!(status(&ask(&nodes[0], &crashing(1)).await), 502, "it may have run");
        assert_eq!(arrivals(&nodes, CRASHES), 1);
        assert_eq!(status(&ask(&nodes[0], &request("read", "a1")).await), 200);
    });
}
