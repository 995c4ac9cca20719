//! Tests of the metrics: the scraped text, the labels and the catalogue in the docs.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use aspenspring::call::{ArmId, ClassRank, Level};
use aspenspring::telemetry::metrics::names::{self, METRIC_KINDS, MetricType};
use aspenspring::telemetry::metrics::{
    ArmLoad, CallSource, LabelNames, Metrics, Outcome, RetryOutcome,
};

const SHED: Outcome = Outcome { verdict: "not-run", reason: "shed" };

fn assert_has_line(text: &str, line: &str) {
    assert!(text.lines().any(|candidate| candidate == line), "{line:?} is not in:\n{text}");
}

#[test]
fn counts_carry_their_labels() {
    let metrics = Metrics::new().unwrap();
    let mut calls = metrics.calls(LabelNames::default());
    let (class, arm) = (ClassRank(1), ArmId(2));
    calls.call_ended(CallSource::Caller, class, arm, SHED, 2_000_000);
    calls.call_ended(CallSource::Caller, class, arm, SHED, 1_000_000);
    calls.attempt_ended("stock", arm, SHED);
    calls.retry_decided("stock", arm, RetryOutcome::Allowance);
    calls.target_ended(class, arm, 1_500, true);
    calls.latency_added(arm, 1_700);
    calls.arm_load(arm, &ArmLoad { running: 3, queued: 1, limit: 25, floor: Level(256) });
    calls.members("stock", 4);
    let text = metrics.render();
    assert_has_line(
        &text,
        concat!(
            "aspenspring_calls_total{from=\"caller\",class=\"unknown\",arm=\"unknown\",",
            "verdict=\"not-run\",reason=\"shed\"} 2"
        ),
    );
    assert_has_line(
        &text,
        concat!(
            "aspenspring_call_duration_seconds_sum{from=\"caller\",class=\"unknown\",",
            "arm=\"unknown\"} 3"
        ),
    );
    assert_has_line(
        &text,
        "aspenspring_retries_total{service=\"stock\",arm=\"unknown\",outcome=\"allowance\"} 1",
    );
    assert_has_line(
        &text,
        "aspenspring_target_wasted_microseconds_total{class=\"unknown\",arm=\"unknown\"} 1500",
    );
    assert_has_line(
        &text,
        "aspenspring_added_latency_seconds_bucket{arm=\"unknown\",le=\"0.0014\"} 0",
    );
    assert_has_line(
        &text,
        "aspenspring_added_latency_seconds_bucket{arm=\"unknown\",le=\"0.0018\"} 1",
    );
    assert_has_line(&text, "aspenspring_limit{arm=\"unknown\"} 25");
    assert_has_line(&text, "aspenspring_floor{arm=\"unknown\"} 256");
    assert_has_line(&text, "aspenspring_members{service=\"stock\"} 4");
    calls.set_config(7, LabelNames::default());
    let text = metrics.render();
    assert_has_line(&text, "aspenspring_config_version 7");
    assert_has_line(&text, "aspenspring_limit{arm=\"unknown\"} 0");
}

#[test]
fn rings_and_totals_are_read_when_scraped() {
    let metrics = Metrics::new().unwrap();
    let fill = Arc::new(AtomicUsize::new(3));
    let read_fill = Arc::clone(&fill);
    let refused = metrics.watch_ring("decider", 64, move || read_fill.load(Ordering::Relaxed));
    metrics.watch_total(names::LOG_DROPPED_TOTAL, || 11);
    assert_has_line(&metrics.render(), "aspenspring_ring_entries{ring=\"decider\"} 3");
    fill.store(5, Ordering::Relaxed);
    refused.increment(2);
    let text = metrics.render();
    assert_has_line(&text, "aspenspring_ring_entries{ring=\"decider\"} 5");
    assert_has_line(&text, "aspenspring_ring_capacity_entries{ring=\"decider\"} 64");
    assert_has_line(&text, "aspenspring_ring_refused_total{ring=\"decider\"} 2");
    assert_has_line(&text, "aspenspring_log_dropped_total 11");
}

#[test]
fn two_nodes_in_one_process_do_not_share_metrics() {
    let (first, second) = (Metrics::new().unwrap(), Metrics::new().unwrap());
    first.counter(names::SPANS_EXPORTED_TOTAL).increment(1);
    assert!(!second.render().contains("aspenspring_spans_exported_total 1"));
}

#[test]
fn names_end_in_their_unit_and_are_documented() {
    let page = include_str!("../docs/METRICS.md");
    let mut documented = BTreeSet::new();
    for line in page.lines().filter(|line| line.starts_with("| `aspenspring_")) {
        let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
        documented.insert(cells.iter().map(|cell| (*cell).to_owned()).collect::<Vec<_>>());
    }
    let mut declared = BTreeSet::new();
    for kind in METRIC_KINDS {
        let suffix = match kind.metric_type {
            MetricType::Counter => "_total",
            MetricType::Histogram => "_seconds",
            MetricType::Gauge => "",
        };
        assert!(kind.name.ends_with(suffix), "{}", kind.name);
        let labels: Vec<String> = kind.labels.iter().map(|label| format!("`{label}`")).collect();
        declared.insert(vec![
            format!("`{}`", kind.name),
            format!("{:?}", kind.metric_type).to_lowercase(),
            labels.join(", "),
            kind.help.to_owned(),
        ]);
    }
    assert_eq!(documented, declared);
}
