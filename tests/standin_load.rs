//! Tests of the load generator (verification of answers, summary, recovery time) and the benchmark.

use std::net::SocketAddr;

use aspenspring::standin::bench::{self, BenchOptions};
use aspenspring::standin::load::{
    CallKind, LoadOptions, Outcome, Phase, Record, Series, Summary, Window, run, run_ms,
};
use aspenspring::standin::message::Reply;
use aspenspring::standin::server::Server;
use aspenspring::standin::target::{FaultMode, FaultRequest, Target, TargetSettings};
use tokio::sync::mpsc;

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

fn trigger() -> Window {
    "2s..3s".parse().expect("a window")
}

/// 10 calls in each bucket of 100 ms, of which `good_calls(bucket)` are good.
fn series_with(buckets: u64, good_calls: impl Fn(u64) -> u64) -> Series {
    let mut series = Series::default();
    for bucket in 0..buckets {
        for call in 0..10 {
            series.record((bucket * 100 + call * 10) as f64, call < good_calls(bucket));
        }
    }
    series
}

#[test]
fn recovery_counts_from_the_end_of_the_trigger_until_goodput_stays() {
    let bad_until_bucket_34 = |bucket| if (20..34).contains(&bucket) { 0 } else { 10 };
    assert_eq!(series_with(60, bad_until_bucket_34).recovery_ms(trigger()), Some(400));
    assert_eq!(series_with(60, |_| 10).recovery_ms(trigger()), Some(0));
    let bad_again_in_bucket_40 =
        |bucket| if bucket == 40 || (20..31).contains(&bucket) { 0 } else { 10 };
    assert_eq!(series_with(60, bad_again_in_bucket_40).recovery_ms(trigger()), Some(1_100));
    let bad_from_bucket_20 = |bucket| if bucket >= 20 { 9 } else { 10 };
    assert_eq!(series_with(60, bad_from_bucket_20).recovery_ms(trigger()), None);
    assert_eq!(
        series_with(25, |_| 10).recovery_ms(trigger()),
        None,
        "nothing is known after the end"
    );
}

#[test]
fn phases_calls_and_windows_are_read_from_text() {
    assert!("0.5x:10s".parse::<Phase>().is_ok_and(|phase| phase.duration_ms == 10_000));
    for wrong in ["", "5", "x:1s", "-1:1s", "1:1", "inf:1s"] {
        assert!(wrong.parse::<Phase>().is_err(), "{wrong:?}");
    }
    for wrong in ["a 1 GET /service", "a 0 GET /s/p", "a 1 GET /s/p key", "a 1 GET /s/p own x"] {
        assert!(wrong.parse::<CallKind>().is_err(), "{wrong:?}");
    }
    assert!("2s..1s".parse::<Window>().is_err());
}

#[test]
fn groups_hold_kinds_and_arms() {
    let record = |kind: &str, arm: &str, outcome| Record {
        at_ms: 5.0,
        kind: kind.to_owned(),
        arm: arm.to_owned(),
        outcome,
        status: 200,
        verdict: String::new(),
        took_ms: 7.0,
        attempts: 2,
        root: String::new(),
        key: None,
    };
    let records = [
        record("browse", "a", Outcome::Good),
        record("browse", "b", Outcome::NotRun),
        record("confirm", "a", Outcome::Good),
    ];
    let summary = Summary::new(&records, 1_000, None);
    let all = summary.group("all", "all").expect("a group");
    assert_eq!((all.offered, all.attempts, all.outcomes[&Outcome::Good]), (3, 6, 2));
    assert_eq!(summary.group("browse", "all").expect("a group").goodput_per_s, 1.0);
    assert_eq!(summary.group("all", "b").expect("a group").good_p50_ms, None);
}

/// Stands in for a node: forwards calls to the target without the service in the path, and refuses
/// those below `/refused` with the verdict "not run".
fn node(target: SocketAddr) -> Server {
    let http = reqwest::Client::builder().no_proxy().build().expect("a client");
    let forward = move |request: aspenspring::standin::message::Request| {
        let http = http.clone();
        async move {
            let path = request.path_and_query().replacen("/shop", "", 1);
            if path.starts_with("/refused") {
                return Reply::problem(503, "busy")
                    .with_header("aspenspring-verdict", "not-run; reason=x");
            }
            let answer = http.get(format!("http://{target}{path}")).send().await.expect("sent");
            let status = answer.status().as_u16();
            let body = answer.bytes().await.map(|body| body.to_vec()).unwrap_or_default();
            Reply { status, body, ..Reply::default() }.with_header("aspenspring-arm", "main")
        }
    };
    Server::start(ANY_PORT, 2, forward).expect("a node")
}

#[tokio::test]
async fn calls_through_and_direct_are_compared() {
    let settings = TargetSettings::builder().service("shop").name("shop-1").listen(ANY_PORT);
    let target = Target::start(settings.service_ms(5.0).build()).expect("a target");
    let node = node(target.address());
    let options = BenchOptions::builder()
        .nodes(vec![node.url().parse().expect("a URL")])
        .targets(vec![target.url().parse().expect("a URL")])
        .path("/shop/pages/1?x=1")
        .concurrent(vec![1, 4])
        .round_ms(100)
        .rounds(1)
        .build();
    let comparisons = bench::run(&options).await.expect("a client");
    assert_eq!(comparisons.len(), 2);
    for comparison in comparisons {
        assert!(comparison.direct.good > 0 && comparison.through.good > 0, "{comparison:?}");
        assert_eq!((comparison.direct.bad, comparison.through.bad), (0, 0));
    }
}

async fn run_records(node: &Server, call: &str, retries: u32) -> Vec<Record> {
    let options = LoadOptions::builder()
        .nodes(vec![node.url().parse().expect("a URL")])
        .calls(vec![call.parse().expect("a kind of calls")])
        .phases(vec!["1x:200ms".parse().expect("a phase")])
        .capacity_per_s(200.0)
        .deadline_ms(10_000)
        .retries(retries)
        .build();
    assert_eq!(run_ms(&options), 200);
    let (sender, mut receiver) = mpsc::unbounded_channel();
    run(options, sender).await.expect("a run");
    let mut records = Vec::new();
    while let Some(record) = receiver.recv().await {
        records.push(record);
    }
    assert!(!records.is_empty(), "the seed gives some calls");
    records
}

#[tokio::test]
async fn only_whole_answers_count_as_good() {
    let settings = TargetSettings::builder().service("shop").name("shop-1").listen(ANY_PORT);
    let target = Target::start(settings.service_ms(1.0).build()).expect("a target");
    let node = node(target.address());
    for record in run_records(&node, "browse 1 GET /shop/pages/{n}?x=1", 1).await {
        assert_eq!((record.outcome, record.attempts), (Outcome::Good, 1), "{record:?}");
        assert_eq!(record.arm, "main");
    }
    for record in run_records(&node, "refused 1 GET /shop/refused/{n}", 2).await {
        assert_eq!((record.outcome, record.attempts), (Outcome::NotRun, 3), "{record:?}");
    }
    for record in run_records(&node, "other 1 GET /shop/shop/{n}", 0).await {
        assert_eq!(record.outcome, Outcome::Good, "{record:?}");
    }
    target.inject_fault(&FaultRequest { mode: FaultMode::Truncate, factor: 1.0, for_ms: None });
    for record in run_records(&node, "cut 1 GET /shop/pages/{n}", 0).await {
        assert_eq!(record.outcome, Outcome::Wrong, "{record:?}");
    }
}
