//! Tests that the stand-in target reports correctly which calls it ran.

use std::net::SocketAddr;
use std::time::Duration;

use aspenspring::standin::answer::{Answer, Echo};
use aspenspring::standin::client;
use aspenspring::standin::message::Reply;
use aspenspring::standin::server::Server;
use aspenspring::standin::target::{FaultMode, FaultRequest, RunEnd, Target, TargetSettings};
use reqwest::Client;

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

fn http() -> Client {
    client::client(Duration::from_secs(5)).expect("a client")
}

fn fault_request(mode: FaultMode) -> FaultRequest {
    FaultRequest { mode, factor: 1.0, for_ms: None }
}

fn says_not_run(answer: &reqwest::Response) -> bool {
    answer.headers().get("aspenspring-verdict").is_some_and(|value| value == "not-run")
}

/// Polls until `condition` holds, for about 5 s, the timeout of the HTTP client.
async fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..5_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    panic!("the condition did not hold in time");
}

/// Stands in for the nodes between two targets: forwards calls to `child` without the service in
/// the path, and checks that they carry the call id of the parent.
fn child_proxy(child: SocketAddr) -> Server {
    let http = http();
    let forward = move |request: aspenspring::standin::message::Request| {
        let http = http.clone();
        async move {
            if request.path.starts_with("/_aspenspring/") {
                return Reply::empty(204);
            }
            assert_eq!(request.header("aspenspring-call"), Some("parent"));
            let path = request.path_and_query();
            let (_, rest) = path[1..].split_once('/').expect("a service and a path");
            let url = format!("http://{child}/{rest}");
            let answer = http.post(url).body(request.body).send().await.expect("an answer");
            let status = answer.status().as_u16();
            let body = answer.bytes().await.expect("a body");
            Reply { status, body: body.to_vec(), ..Reply::default() }
        }
    };
    Server::start(ANY_PORT, 1, forward).expect("a proxy")
}

#[tokio::test]
async fn an_answer_includes_the_answers_to_child_calls() {
    let settings = TargetSettings::builder().service("souq-stock").name("stock-1").listen(ANY_PORT);
    let child = Target::start(settings.service_ms(1.0).build()).expect("a target");
    let node = child_proxy(child.address());
    let settings = TargetSettings::builder().service("souq-catalogue").name("catalogue-1");
    let settings = settings.listen(ANY_PORT).node(node.address()).service_ms(1.0);
    let calls = vec!["souq-stock".to_owned(), "souq-stock".to_owned()];
    for parallel in [false, true] {
        let settings = settings.clone().calls(calls.clone()).parallel(parallel).build();
        let parent = Target::start(settings).expect("a target");
        let url = format!("{}/page?n=2", parent.url());
        let sent = http().post(url).header("aspenspring-call", "parent").body("x").send().await;
        let answer: Answer = sent.unwrap().json().await.unwrap();
        let echo = Echo::new("POST", "/page?n=2", b"x");
        assert!(answer.is_complete("souq-catalogue", &echo));
        assert!(!answer.is_complete("souq-catalogue", &Echo::new("POST", "/page?n=2", b"y")));
        assert_eq!(answer.children.len(), 2);
        assert_eq!(answer.depth(), 2);
    }
    child.inject_fault(&fault_request(FaultMode::Error));
    let settings = settings.calls(calls).build();
    let parent = Target::start(settings).expect("a target");
    let url = format!("{}/page", parent.url());
    let failed = http().post(url).header("aspenspring-call", "parent").send().await.unwrap();
    assert_eq!(failed.status(), 502);
    assert!(!says_not_run(&failed), "the parent ran");
    assert_eq!(parent.run_stats().ended[&RunEnd::ChildFailed], 1);
}

#[tokio::test]
async fn a_call_that_expires_in_the_queue_did_not_run_and_releases_no_slot() {
    let settings = TargetSettings::builder().service("s").name("s-1").listen(ANY_PORT).slots(1);
    let target = Target::start(settings.service_ms(0.0).build()).expect("a target");
    target.inject_fault(&fault_request(FaultMode::Stall));
    let url = format!("{}/page", target.url());
    let first = http().get(&url).header("idempotency-key", "k1").header("aspenspring-call", "c1");
    let first = tokio::spawn(first.send());
    wait_until(|| target.run_stats().runs == 1).await;

    let second = http().get(&url).header("aspenspring-deadline-ms", "20").send().await.unwrap();
    assert_eq!(second.status(), 504);
    assert!(says_not_run(&second));

    let cancel = format!("{}/_aspenspring/cancel", target.url());
    let cancelled = http().post(cancel).header("aspenspring-call", "c1").send().await.unwrap();
    assert_eq!(cancelled.status(), 204);
    let first = first.await.unwrap().unwrap();
    assert_eq!(first.status(), 504);
    assert!(!says_not_run(&first), "it ran before it was cancelled");

    target.inject_fault(&fault_request(FaultMode::Ok));
    let third = http().get(&url).header("idempotency-key", "k1").send().await.unwrap();
    assert_eq!(third.status(), 200, "the slot was freed");
    let run_stats = target.run_stats();
    assert_eq!(run_stats.runs_by_key["k1"], 2);
    assert_eq!((run_stats.runs, run_stats.never_run), (2, 1));
    assert_eq!(run_stats.ended[&RunEnd::Cancelled], 1);
}

#[tokio::test]
async fn a_running_call_stops_at_its_deadline_and_does_not_claim_not_run() {
    let settings = TargetSettings::builder().service("s").name("s-1").listen(ANY_PORT).slots(1);
    let target = Target::start(settings.build()).expect("a target");
    target.inject_fault(&fault_request(FaultMode::Stall));
    let url = format!("{}/page", target.url());
    let late = http().get(&url).header("aspenspring-deadline-ms", "20").send().await.unwrap();
    assert_eq!(late.status(), 504);
    assert!(!says_not_run(&late));
    assert_eq!(target.run_stats().ended[&RunEnd::Expired], 1);
}

#[tokio::test]
async fn arms_with_dedicated_slots_do_not_disturb_each_other() {
    let settings = TargetSettings::builder().service("s").name("s-1").listen(ANY_PORT).slots(1);
    let settings = settings.arm_slots(vec![("a".to_owned(), 1)]).queue_max(0);
    let target = Target::start(settings.service_ms(0.0).build()).expect("a target");
    target.inject_fault(&fault_request(FaultMode::Stall));
    let url = format!("{}/page", target.url());
    let busy = tokio::spawn(http().get(&url).header("aspenspring-arm", "a").send());
    wait_until(|| target.run_stats().runs == 1).await;
    let full = http().get(&url).header("aspenspring-arm", "a").send().await.unwrap();
    assert_eq!(full.status(), 503);
    assert!(says_not_run(&full));
    let other = tokio::spawn(http().get(&url).header("aspenspring-arm", "b").send());
    wait_until(|| target.run_stats().runs == 2).await;
    target.inject_fault(&fault_request(FaultMode::Ok));
    assert_eq!(busy.await.unwrap().unwrap().status(), 200);
    assert_eq!(other.await.unwrap().unwrap().status(), 200);
}

#[tokio::test]
async fn answers_can_be_cut_off_or_never_sent() {
    let settings = TargetSettings::builder().service("s").name("s-1").listen(ANY_PORT);
    let target = Target::start(settings.service_ms(0.0).build()).expect("a target");
    let url = format!("{}/page", target.url());
    target.inject_fault(&fault_request(FaultMode::Close));
    assert!(http().get(&url).send().await.is_err());
    target.inject_fault(&fault_request(FaultMode::Truncate));
    let truncated = http().get(&url).send().await.expect("a status line");
    assert!(truncated.bytes().await.is_err());
    assert_eq!(target.run_stats().runs, 2, "both were run, and neither was sent again");
}

#[tokio::test]
async fn a_target_that_leaves_finishes_what_it_runs() {
    let settings = TargetSettings::builder().service("s").name("s-1").listen(ANY_PORT);
    let target = Target::start(settings.service_ms(0.0).build()).expect("a target");
    target.inject_fault(&fault_request(FaultMode::Stall));
    let url = format!("{}/page", target.url());
    let running = tokio::spawn(http().get(&url).send());
    wait_until(|| target.run_stats().runs == 1).await;
    let drain = format!("{}/_aspenspring/drain", target.url());
    assert_eq!(http().post(drain).send().await.unwrap().status(), 204);
    let late = http().get(&url).send().await.unwrap();
    assert!(late.status() == 503 && says_not_run(&late));
    target.inject_fault(&fault_request(FaultMode::Ok));
    assert_eq!(target.drain(Duration::from_secs(5)).await, 0);
    assert_eq!(running.await.unwrap().unwrap().status(), 200);
}
