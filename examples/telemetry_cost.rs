//! Measures what a count, a span and a left-out event cost, and the watch on connections.
//!
//! `cargo run --release --example telemetry_cost`

use std::hint::black_box;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use aspenspring::call::{ArmId, ClassRank, NodeId, RootId};
use aspenspring::clock::Clock;
use aspenspring::config::TelemetrySettings;
use aspenspring::duty::web::{WebOptions, WebServer};
use aspenspring::event::{EventLog, LogEvent};
use aspenspring::logging::Logging;
use aspenspring::telemetry::metrics::{CallSource, LabelNames, Metrics, Outcome, names};
use aspenspring::telemetry::trace::{SpanKind, SpanRecord, TraceDuty, TraceOptions};

const ROUNDS: u32 = 1_000_000;
const CONNECTIONS: usize = 450;
const WATCHED_FOR: Duration = Duration::from_secs(10);

fn measure(what: &str, rounds: u32, mut run: impl FnMut(u32)) {
    let begun = Instant::now();
    for round in 0..rounds {
        run(round);
    }
    println!("{what}: {} ns", begun.elapsed().as_nanos() / u128::from(rounds));
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let metrics = Metrics::new()?;
    let counter = metrics.counter(names::SPANS_EXPORTED_TOTAL);
    measure("increment of a kept counter", ROUNDS, |_| counter.increment(1));
    let mut calls = metrics.calls(LabelNames::default());
    let (class, arm) = (ClassRank(1), ArmId(1));
    let outcome = Outcome { verdict: "answered", reason: "2xx" };
    measure("whole call (count and duration)", ROUNDS, |round| {
        calls.call_ended(CallSource::Caller, class, arm, outcome, u64::from(round));
    });
    measure("attempt by service", ROUNDS, |_| {
        calls.attempt_ended(black_box("souq-stock"), arm, outcome);
    });
    let begun = Instant::now();
    metrics.run_upkeep();
    println!("upkeep after {ROUNDS} durations: {} ms", begun.elapsed().as_millis());
    let logging = Logging::start(&TelemetrySettings::default(), std::io::sink())?;
    let events = EventLog::new(logging.logger.clone(), Clock::start());
    let event = LogEvent::RetryRefusedByEntryAway { root: RootId(1), entry: NodeId(1) };
    measure("event left out by the flood gate", ROUNDS, |_| events.emit(black_box(&event)));
    let options = TraceOptions::builder()
        .otlp_url("http://127.0.0.1:9")
        .service("stock")
        .node_name("stock-1")
        .failure_domain("a")
        .build();
    let duty = TraceDuty::start(&options, &metrics, EventLog::discard())?;
    let sink = duty.sink();
    measure("span made and pushed, collector away", 8_000, |round| sink.push(span(round)));
    measure("span dropped at a full ring", ROUNDS / 10, |round| sink.push(span(round)));
    duty.stop();
    watch_connections()
}

fn span(round: u32) -> SpanRecord {
    SpanRecord::builder()
        .trace_id(7)
        .span_id(u64::from(round) + 1)
        .name("GET stock")
        .kind(SpanKind::Server)
        .start_unix_us(1)
        .end_unix_us(2)
        .attributes(vec![("aspenspring.class", "orders".into())])
        .build()
}

/// Opens connections that have served a request, and shows the processor time of waiting.
fn watch_connections() -> Result<(), Box<dyn std::error::Error>> {
    let options = WebOptions::builder()
        .name("web")
        .address(SocketAddr::from(([127, 0, 0, 1], 0)))
        .body_max_bytes(1_024)
        .read_timeout_ms(5_000)
        .build();
    let server = WebServer::start(&options, |rocket| rocket)?;
    let without_ms = cpu_ms_of_waiting();
    let mut streams = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(server.address())?;
        stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")?;
        let _ = stream.read(&mut [0; 1_024])?;
        streams.push(stream);
    }
    let with_ms = cpu_ms_of_waiting();
    println!(
        "watch, one look a second: {without_ms} ms of processor time in {WATCHED_FOR:?} with no \
         connection, {with_ms} ms with {} (and their other ends in the same process)",
        streams.len()
    );
    drop(streams);
    server.stop()?;
    Ok(())
}

fn cpu_ms_of_waiting() -> u128 {
    let before = cpu_used();
    std::thread::sleep(WATCHED_FOR);
    (cpu_used() - before).as_millis()
}

fn cpu_used() -> Duration {
    // SAFETY: an all-zero `rusage` is valid, and getrusage fills the one it is given.
    let usage = unsafe {
        let mut usage: libc::rusage = std::mem::zeroed();
        libc::getrusage(libc::RUSAGE_SELF, &raw mut usage);
        usage
    };
    let of = |time: libc::timeval| {
        Duration::from_secs(time.tv_sec as u64) + Duration::from_micros(time.tv_usec as u64)
    };
    of(usage.ru_utime) + of(usage.ru_stime)
}
