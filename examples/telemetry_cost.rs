//! Measures the cost of metrics, spans, suppressed events and the watch on idle connections.
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

const ITERATIONS: u32 = 1_000_000;
/// The number of idle connections that the server watches.
const CONNECTIONS: usize = 450;
/// The period over which the CPU time of the idle server is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(10);

/// Prints the mean time of `run` in nanoseconds.
fn measure(name: &str, iterations: u32, mut run: impl FnMut(u32)) {
    let started = Instant::now();
    for iteration in 0..iterations {
        run(iteration);
    }
    println!("{name}: {} ns", started.elapsed().as_nanos() / u128::from(iterations));
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let metrics = Metrics::new()?;
    let counter = metrics.counter(names::SPANS_EXPORTED_TOTAL);
    measure("increment of a cached counter", ITERATIONS, |_| counter.increment(1));
    let mut calls = metrics.calls(LabelNames::default());
    let (class, arm) = (ClassRank(1), ArmId(1));
    let outcome = Outcome { verdict: "answered", reason: "2xx" };
    measure("whole call (count and duration)", ITERATIONS, |iteration| {
        calls.call_ended(CallSource::Caller, class, arm, outcome, u64::from(iteration));
    });
    measure("attempt by service", ITERATIONS, |_| {
        calls.attempt_ended(black_box("souq-stock"), arm, outcome);
    });
    let started = Instant::now();
    metrics.run_upkeep();
    println!("upkeep after {ITERATIONS} durations: {} ms", started.elapsed().as_millis());
    let logging = Logging::start(&TelemetrySettings::default(), std::io::sink())?;
    let events = EventLog::new(logging.logger.clone(), Clock::start());
    let event = LogEvent::RetryRefusedByEntryAway { root: RootId(1), entry: NodeId(1) };
    measure("event suppressed by the rate limit", ITERATIONS, |_| events.emit(black_box(&event)));
    let options = TraceOptions::builder()
        .otlp_url("http://127.0.0.1:9")
        .service("stock")
        .node_name("stock-1")
        .failure_domain("a")
        .build();
    let duty = TraceDuty::start(&options, &metrics, EventLog::discard())?;
    let sink = duty.sink();
    measure("span created and pushed, collector unavailable", 8_000, |iteration| {
        sink.push(span(iteration))
    });
    measure("span dropped at a full ring", ITERATIONS / 10, |iteration| sink.push(span(iteration)));
    duty.stop();
    measure_connection_watch()
}

fn span(iteration: u32) -> SpanRecord {
    SpanRecord::builder()
        .trace_id(7)
        .span_id(u64::from(iteration) + 1)
        .name("GET stock")
        .kind(SpanKind::Server)
        .start_unix_us(1)
        .end_unix_us(2)
        .attributes(vec![("aspenspring.class", "orders".into())])
        .build()
}

/// Measures the CPU time of an idle server, without connections and with connections that have
/// served a request.
fn measure_connection_watch() -> Result<(), Box<dyn std::error::Error>> {
    let options = WebOptions::builder()
        .name("web")
        .address(SocketAddr::from(([127, 0, 0, 1], 0)))
        .body_max_bytes(1_024)
        .read_timeout_ms(5_000)
        .build();
    let server = WebServer::start(&options, |rocket| rocket)?;
    let without_ms = cpu_ms_of_idle_period();
    let mut streams = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(server.address())?;
        stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")?;
        let _ = stream.read(&mut [0; 1_024])?;
        streams.push(stream);
    }
    let with_ms = cpu_ms_of_idle_period();
    println!(
        "connection watch, one check per second: {without_ms} ms of CPU time in {IDLE_PERIOD:?} \
         without connections, {with_ms} ms with {} (client ends in the same process)",
        streams.len()
    );
    drop(streams);
    server.stop()?;
    Ok(())
}

fn cpu_ms_of_idle_period() -> u128 {
    let before = cpu_used();
    std::thread::sleep(IDLE_PERIOD);
    (cpu_used() - before).as_millis()
}

fn cpu_used() -> Duration {
    // SAFETY: an all-zero `rusage` is valid, and getrusage fills the one it is given.
    let usage = unsafe {
        let mut usage: libc::rusage = std::mem::zeroed();
        libc::getrusage(libc::RUSAGE_SELF, &raw mut usage);
        usage
    };
    let to_duration = |time: libc::timeval| {
        Duration::from_secs(time.tv_sec as u64) + Duration::from_micros(time.tv_usec as u64)
    };
    to_duration(usage.ru_utime) + to_duration(usage.ru_stime)
}
