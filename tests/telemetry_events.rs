//! Tests of the numbered log events: the catalogue in the docs, the log lines and the rate limit.

use std::io::Write;
use std::sync::{Arc, Condvar, Mutex};

use aspenspring::call::{ArmId, ClassRank, Level};
use aspenspring::clock::{Clock, US_PER_S};
use aspenspring::config::TelemetrySettings;
use aspenspring::event::{EVENT_KINDS, EventLimiter, EventLog, LogEvent};
use aspenspring::logging::{LINES_WAITING_MAX, Logging, LoggingError, severity_name};

/// Collects the bytes that are written. While it is blocked, writes wait.
#[derive(Clone, Default)]
struct Output {
    written: Arc<Mutex<Vec<u8>>>,
    blocked: Arc<(Mutex<bool>, Condvar)>,
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let (blocked, unblocked) = &*self.blocked;
        drop(unblocked.wait_while(blocked.lock().unwrap(), |blocked| *blocked).unwrap());
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Output {
    fn set_blocked(&self, blocked: bool) {
        *self.blocked.0.lock().unwrap() = blocked;
        self.blocked.1.notify_all();
    }

    fn lines(&self) -> Vec<serde_json::Value> {
        let written = String::from_utf8(self.written.lock().unwrap().clone()).unwrap();
        written.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
    }
}

/// One row of the event table in the docs.
#[derive(Debug, PartialEq)]
struct Row {
    number: u16,
    name: String,
    severity: String,
    fields: Vec<String>,
}

fn documented_rows() -> Vec<Row> {
    let page = include_str!("../docs/EVENTS.md");
    let mut rows = Vec::new();
    for line in page.lines().filter(|line| line.starts_with("| ")) {
        let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
        let Ok(number) = cells[0].parse() else {
            continue;
        };
        assert_eq!(cells.len(), 6, "{line}");
        assert!(!cells[4].is_empty() && !cells[5].is_empty(), "{line}");
        let fields = cells[3].split(", ").map(|field| field.trim_matches('`').to_owned());
        rows.push(Row {
            number,
            name: cells[1].to_owned(),
            severity: cells[2].to_owned(),
            fields: fields.collect(),
        });
    }
    rows
}

#[test]
fn docs_and_enum_agree() {
    let mut declared = Vec::new();
    for kind in EVENT_KINDS {
        declared.push(Row {
            number: kind.number,
            name: kind.name.to_owned(),
            severity: severity_name(kind.severity).to_owned(),
            fields: kind.fields.iter().map(|field| (*field).to_owned()).collect(),
        });
    }
    assert_eq!(documented_rows(), declared);
}

#[test]
fn numbers_and_names_are_unique() {
    let numbers: std::collections::BTreeSet<u16> =
        EVENT_KINDS.iter().map(|kind| kind.number).collect();
    let names: std::collections::BTreeSet<&str> =
        EVENT_KINDS.iter().map(|kind| kind.name).collect();
    assert_eq!(numbers.len(), EVENT_KINDS.len());
    assert_eq!(names.len(), EVENT_KINDS.len());
}

fn overload() -> LogEvent {
    LogEvent::OverloadEntered {
        arm: ArmId(2),
        floor: Level(0x0180),
        class: ClassRank(1),
        queued: 9,
        limit: 30,
    }
}

#[test]
fn a_line_carries_number_name_and_typed_fields() {
    let output = Output::default();
    let logging = Logging::start(&TelemetrySettings::default(), output.clone()).unwrap();
    let events = EventLog::new(logging.logger.clone(), Clock::start());
    events.emit(&overload());
    // Below the log level of the settings.
    let address = "127.0.0.1:1".parse().unwrap();
    events.emit(&LogEvent::PeerLinkUp { peer: aspenspring::call::NodeId(1), address });
    drop(events);
    drop(logging);
    let lines = output.lines();
    assert_eq!(lines.len(), 1, "{lines:?}");
    let line = &lines[0];
    assert_eq!(line["event"], 500);
    assert_eq!(line["name"], "OverloadEntered");
    assert_eq!(line["severity"], "warning");
    assert_eq!(line["arm"], 2);
    assert_eq!(line["floor"], 0x0180);
    assert_eq!(line["limit"], 30);
    assert!(line["unix_ms"].is_u64());
    assert!(line.get("suppressed").is_none());
}

#[test]
fn floods_are_cut_per_kind_and_counted() {
    let limiter = EventLimiter::default();
    let repeated = overload();
    let mut admitted = 0;
    for now_us in 0..100 {
        admitted += u32::from(limiter.admit(&repeated, now_us).is_some());
    }
    assert_eq!(admitted, 20);
    let other = LogEvent::LeavingFinished { took_ms: 1, cut_off: 0 };
    assert_eq!(limiter.admit(&other, 100), Some(0));
    assert_eq!(limiter.admit(&repeated, 10 * US_PER_S), Some(80));
    assert_eq!(limiter.admit(&repeated, 10 * US_PER_S + 1), Some(0));
}

#[test]
fn a_blocked_writer_does_not_block_logging_and_drops_are_counted() {
    let output = Output::default();
    let logging = Logging::start(&TelemetrySettings::default(), output.clone()).unwrap();
    output.set_blocked(true);
    let logged = 2 * LINES_WAITING_MAX;
    for _ in 0..logged {
        slog::info!(logging.logger, "line");
    }
    let dropped = logging.dropped_total();
    assert!(dropped > 0);
    output.set_blocked(false);
    drop(logging);
    assert_eq!(output.lines().len() as u64 + dropped, logged as u64);
}

#[test]
fn unknown_levels_are_refused() {
    let settings = TelemetrySettings { log_level: "loud".to_owned(), ..Default::default() };
    let refused = Logging::start(&settings, std::io::sink()).err();
    assert_eq!(refused, Some(LoggingError::UnknownLevel("loud".to_owned())));
}
