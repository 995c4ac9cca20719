//! Tests of the comparison of policy arms by call records and node counters.

use std::path::{Path, PathBuf};

use aspenspring::call::{ArmId, ClassRank};
use aspenspring::compare::{ArmFigures, CompareOptions, Run, Spread, compare, plot};
use aspenspring::standin::load::{Outcome, Record, Window};
use aspenspring::telemetry::metrics::Metrics;
use aspenspring::telemetry::metrics::names;

fn record(at_ms: f64, kind: &str, arm: &str, outcome: Outcome, took_ms: f64) -> Record {
    Record {
        at_ms,
        kind: kind.to_owned(),
        arm: arm.to_owned(),
        outcome,
        status: 200,
        verdict: "answered".to_owned(),
        took_ms,
        attempts: 2,
        root: String::new(),
        key: None,
    }
}

/// Ten calls per second of each arm for 10 s. All calls of `held` are good; those of `naive` fail
/// from 4 s until `recovery_ms` after 7 s.
fn run(recovery_ms: f64) -> Run {
    let mut records = Vec::new();
    for call in 0..100_u32 {
        let at_ms = f64::from(call) * 100.0;
        records.push(record(at_ms, "confirm", "held", Outcome::Good, 20.0));
        let is_failed = (4_000.0..7_000.0 + recovery_ms).contains(&at_ms);
        let outcome = if is_failed { Outcome::NotRun } else { Outcome::Good };
        records.push(record(at_ms, "browse", "naive", outcome, 30.0));
    }
    Run { records, ..Run::default() }
}

fn find<'a>(figures: &'a [ArmFigures], arm: &str, kind: &str) -> &'a ArmFigures {
    let found = figures.iter().find(|figure| figure.arm == arm && figure.kind == kind);
    found.unwrap_or_else(|| panic!("no figures of {arm} {kind}"))
}

const TRIGGER: Window = Window { from_ms: 4_000, to_ms: 7_000 };

#[test]
fn each_arm_has_its_goodput_latency_and_recovery_with_the_spread() {
    let runs = [run(500.0), run(1_000.0), run(3_000.0)];
    let options = CompareOptions { during: None, trigger: Some(TRIGGER) };
    let figures = compare(&runs, options);
    let order: Vec<(&str, &str)> =
        figures.iter().map(|figure| (figure.arm.as_str(), figure.kind.as_str())).collect();
    let expected = [("held", "all"), ("held", "confirm"), ("naive", "all"), ("naive", "browse")];
    assert_eq!(order, expected);
    let held = find(&figures, "held", "all");
    assert_eq!((held.good_share.min, held.goodput_per_s.median), (1.0, 10.0));
    assert_eq!(held.recovery_ms, Spread::of([0.0; 3]));
    assert_eq!(held.client_attempts.median, 2.0);
    assert_eq!(held.good_p99_ms, Spread::of([20.0; 3]));
    let naive = find(&figures, "naive", "browse");
    assert_eq!(naive.good_share, Spread::of([0.65, 0.6, 0.4]).expect("three"));
    assert_eq!((naive.unrecovered, naive.recovery_ms), (1, Spread::of([500.0, 1_000.0])));
    assert_eq!(naive.attempts_per_root, None, "the run has no scrape");
}

#[test]
fn a_window_leaves_the_rest_of_the_run_out() {
    let options = CompareOptions { during: Some(TRIGGER), trigger: None };
    let figures = compare(&[run(0.0)], options);
    let naive = find(&figures, "naive", "all");
    assert_eq!((naive.offered.median, naive.good_share.median), (30.0, 0.0));
    assert_eq!(naive.recovery_ms, None);
    assert_eq!(find(&figures, "held", "all").goodput_per_s.median, 10.0);
}

/// Writes the files of a run. The scrapes are rendered by the metrics code of the node.
fn write_run(name: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("compare-{name}"));
    std::fs::create_dir_all(&dir).expect("a directory");
    let mut lines = String::new();
    for record in run(500.0).records {
        lines.push_str(&format!("{}\n", serde_json::to_string(&record).expect("JSON")));
    }
    std::fs::write(dir.join("records.jsonl"), lines).expect("the records are written");
    let metrics = Metrics::new().expect("metrics");
    let calls = |from| {
        let labels = [("from", from), ("class", "browse"), ("arm", "naive")];
        let rest = [("verdict", "answered"), ("reason", "2xx")];
        metrics.counter_with(names::CALLS_TOTAL, &[&labels[..], &rest[..]].concat())
    };
    let retries = |outcome| {
        let labels = [("service", "souq-stock"), ("arm", "naive"), ("outcome", outcome)];
        metrics.counter_with(names::RETRIES_TOTAL, &labels)
    };
    let busy = |name| metrics.counter_with(name, &[("class", "browse"), ("arm", "naive")]);
    calls("caller").increment(100);
    std::fs::write(dir.join("a.prom.before"), metrics.render()).expect("a scrape");
    calls("caller").increment(200);
    calls("target").increment(5_000);
    retries("granted").increment(50);
    retries("budget").increment(7_000);
    busy(names::TARGET_BUSY_MICROSECONDS_TOTAL).increment(1_000);
    busy(names::TARGET_WASTED_MICROSECONDS_TOTAL).increment(20);
    std::fs::write(dir.join("a.prom"), metrics.render()).expect("a scrape");
    dir
}

#[test]
fn retries_and_wasted_work_come_from_what_nodes_counted() {
    let run = Run::read(&write_run("counts")).expect("a run");
    let figures = compare(&[run], CompareOptions::default());
    let naive = find(&figures, "naive", "all");
    assert_eq!(naive.attempts_per_root, Spread::of([1.25]));
    assert_eq!(naive.wasted_share, Spread::of([0.02]));
    assert_eq!(find(&figures, "naive", "browse").wasted_share, None);
    assert_eq!(find(&figures, "held", "all").wasted_share, None);
}

#[test]
fn the_labels_of_the_counts_are_those_that_nodes_write() {
    use aspenspring::telemetry::metrics::{CallSource, LabelNames, Outcome, RetryOutcome};
    let rules = serde_json::json!({
        "classes": [{"name": "browse", "rank": 10, "deadline_ms": 1, "deadline_max_ms": 1}],
        "routes": [], "services": [], "policies": [],
        "arms": [{"id": 3, "name": "naive", "share": 1, "policy": "p"}]
    });
    let rules: aspenspring::config::Rules = serde_json::from_value(rules).expect("rules");
    let metrics = Metrics::new().expect("metrics");
    let mut calls = metrics.calls(LabelNames::new(&rules));
    let outcome = Outcome { verdict: "answered", reason: "2xx" };
    calls.call_ended(CallSource::Caller, ClassRank(10), ArmId(3), outcome, 1_000);
    calls.retry_decided("souq-stock", ArmId(3), RetryOutcome::Granted);
    let mut run = run(0.0);
    run.counters.add(&metrics.render());
    let counters = run.counters.arm("naive").expect("counters");
    assert_eq!((counters.roots, counters.retries), (1.0, 1.0));
}

#[test]
fn a_plot_has_a_line_for_each_arm() {
    let svg = plot(&[run(500.0), run(1_000.0)], Some(TRIGGER)).expect("a plot");
    assert_eq!(svg.matches("<polyline").count(), 2);
    assert!(svg.contains(">held</text>") && svg.contains(">naive</text>"));
    assert!(svg.starts_with("<svg") && svg.ends_with("</svg>\n"));
}

#[test]
fn an_invalid_run_is_refused_with_its_file_and_line() {
    let dir = write_run("broken");
    std::fs::write(dir.join("records.jsonl"), "{}\n").expect("the file is written");
    let error = Run::read(&dir).expect_err("an invalid record").to_string();
    assert!(error.contains("records.jsonl: line 1"), "{error}");
    assert!(Run::read(Path::new("no-such-directory")).is_err());
}
