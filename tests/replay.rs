//! Tests of recorded traces, truncated traces and expectations that are not met.

use std::path::{Path, PathBuf};
use std::process::Command;

use aspenspring::call::HttpRequest;
use aspenspring::duty::recorder::{self, BODIES_MAX_BYTES};
use aspenspring::node::{IncomingRequest, NodeEvent, Ticket};
use aspenspring::replay::{Expectations, Header, TraceError, TraceReader, replay};

const TRACE: &str = "tests/traces/node/jordan-healthy.jsonl";

fn sample_trace() -> String {
    std::fs::read_to_string(TRACE).expect("the sample trace")
}

fn header() -> Header {
    TraceReader::open(&sample_trace()).expect("a header").0
}

/// A path in the temporary directory of the build at which no file exists.
fn new_file(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_file(&path);
    path
}

fn call(body_bytes: usize) -> NodeEvent {
    let request = HttpRequest {
        method: "POST".to_owned(),
        path: "/orders/1".to_owned(),
        headers: Vec::new(),
        body: vec![0xff; body_bytes].into(),
    };
    NodeEvent::CallerCall(IncomingRequest {
        ticket: Ticket(1),
        service: "souq-orders".to_owned(),
        request,
        deadline_ms: None,
        key: None,
        trace: None,
    })
}

#[test]
fn what_is_recorded_is_read_back() {
    let path = new_file("complete.jsonl");
    let (mut recorder, duty) = recorder::start(&path, &header()).expect("a new file");
    let at_us = header().started_us + 5;
    recorder.record(at_us, &call(3));
    recorder.finish();
    duty.stop().expect("the recording is written");
    let text = std::fs::read_to_string(&path).expect("the recording");
    let (_, mut events) = TraceReader::open(&text).expect("a header");
    let Ok(Some((read_us, NodeEvent::CallerCall(incoming)))) = events.next_event() else {
        panic!("no call in {text}");
    };
    assert_eq!((read_us, &incoming.request.body[..]), (at_us, &[0xff; 3][..]));
    assert!(matches!(events.next_event(), Ok(None)));
    assert!(recorder::start(&path, &header()).is_err(), "an existing recording was overwritten");
}

#[test]
fn a_recording_that_lost_events_is_marked_incomplete() {
    let path = new_file("incomplete.jsonl");
    let (mut recorder, duty) = recorder::start(&path, &header()).expect("a new file");
    let at_us = header().started_us;
    recorder.record(at_us, &NodeEvent::Tick);
    recorder.record(at_us, &call(BODIES_MAX_BYTES + 1));
    recorder.record(at_us, &NodeEvent::Tick);
    recorder.finish();
    duty.stop().expect("the recording is written");
    let text = std::fs::read_to_string(&path).expect("the recording");
    let (report, problem) = replay(&text).expect("a header");
    assert_eq!(report.events, 1);
    assert!(matches!(problem, Some(TraceError::Incomplete { line: 3 })), "{problem:?}");
}

#[test]
fn the_program_names_the_line_where_a_trace_is_truncated() {
    let path = new_file("truncated.jsonl");
    let text = sample_trace();
    let lines: Vec<&str> = text.lines().take(20).collect();
    std::fs::write(&path, lines.join("\n")).expect("a new file");
    let output = Command::new(env!("CARGO_BIN_EXE_aspenspring"))
        .arg("replay")
        .arg(&path)
        .output()
        .expect("the program runs");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert!(stderr.contains("line 21: the trace is truncated"), "{stderr}");
}

#[test]
fn each_expectation_that_is_not_met_is_named() {
    let expectations = r#"{"title": "", "stated": [
        {"because": "holds", "of": ["/runs"], "min": 1},
        {"because": "too few", "of": ["/runs", "/events"], "min": 100000},
        {"because": "too many", "of": ["/callers/reasons/answered 2xx"], "max": 1},
        {"because": "never happened", "of": ["/callers/reasons/not-run shed"], "min": 1},
        {"because": "misspelt", "of": ["/callers/answerd"], "max": 1},
        {"because": "nothing", "of": ["/runs"]}]}"#;
    let expectations: Expectations =
        serde_json::from_str(expectations).expect("valid expectations");
    let (report, _) = replay(&sample_trace()).expect("a header");
    let differences = expectations.differences(&report).expect("a report in JSON").join("\n");
    for because in ["too few", "too many", "never happened", "answerd", "nothing"] {
        assert!(differences.contains(because), "{because} is missing in {differences}");
    }
    assert!(!differences.contains("holds"), "{differences}");
}
