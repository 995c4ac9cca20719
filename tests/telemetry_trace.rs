//! Tests of the span export: delivery to the collector, and drops while it is unavailable.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use aspenspring::call::TraceContext;
use aspenspring::config::TelemetrySettings;
use aspenspring::duty::web::{Problem, WebOptions, WebServer, read_body};
use aspenspring::event::EventLog;
use aspenspring::telemetry::metrics::Metrics;
use aspenspring::telemetry::trace::{
    SpanKind, SpanRecord, SpanSink, TraceDuty, TraceError, TraceOptions, is_sampled,
};
use rocket::data::Data;
use rocket::http::{ContentType, Status};
use rocket::{Build, Rocket, State, post, routes};
use serde_json::Value;
use socket2::{Domain, Socket, Type};

/// How long a test waits for an expected result before it fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The bodies of the requests that a collector received; null for a rejected request.
#[derive(Clone, Default)]
struct Received(Arc<Mutex<Vec<Value>>>);

impl Received {
    fn spans(&self) -> Vec<Value> {
        let mut spans = Vec::new();
        for request in self.0.lock().unwrap().iter() {
            for span in request["resourceSpans"][0]["scopeSpans"][0]["spans"].as_array().unwrap() {
                spans.push(span.clone());
            }
        }
        spans
    }
}

#[post("/v1/traces", data = "<data>")]
async fn accept_batch(
    received: &State<Received>,
    data: Data<'_>,
) -> Result<(ContentType, &'static str), Problem> {
    let body = read_body(data, 1 << 20, 5_000).await?;
    received.0.lock().unwrap().push(serde_json::from_slice(&body).unwrap());
    Ok((ContentType::JSON, "{}"))
}

#[post("/broken/v1/traces")]
fn reject_batch(received: &State<Received>) -> Status {
    received.0.lock().unwrap().push(Value::Null);
    Status::ServiceUnavailable
}

fn collector() -> (WebServer, Received) {
    let received = Received::default();
    let options = WebOptions::builder()
        .name("collector")
        .address(SocketAddr::from(([127, 0, 0, 1], 0)))
        .body_max_bytes(1 << 20)
        .read_timeout_ms(5_000)
        .build();
    let state = received.clone();
    let add = |rocket: Rocket<Build>| {
        rocket.manage(state).mount("/", routes![accept_batch, reject_batch])
    };
    (WebServer::start(&options, add).unwrap(), received)
}

fn options(otlp_url: &str) -> TraceOptions {
    TraceOptions::builder()
        .otlp_url(otlp_url)
        .service("stock")
        .node_name("stock-1")
        .failure_domain("a")
        .ring_entries(16)
        .batch_wait_ms(10)
        .export_timeout_ms(500)
        .build()
}

fn span(span_id: u64) -> SpanRecord {
    SpanRecord::builder()
        .trace_id(0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10)
        .span_id(span_id)
        .parent_span_id(0xab)
        .name("GET stock")
        .kind(SpanKind::Server)
        .start_unix_us(1_700_000_000_000_001)
        .end_unix_us(1_700_000_000_002_002)
        .failed(true)
        .attributes(vec![("aspenspring.class", "orders".into()), ("aspenspring.retry", 2.into())])
        .build()
}

/// Waits until the metrics contain `line`.
fn wait_for(metrics: &Metrics, line: &str) {
    let started = std::time::Instant::now();
    while !metrics.render().lines().any(|candidate| candidate == line) {
        assert!(started.elapsed() < TEST_TIMEOUT, "no {line:?} in\n{}", metrics.render());
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn what_is_pushed_arrives() {
    let (server, received) = collector();
    let metrics = Metrics::new().unwrap();
    let url = format!("http://{}", server.address());
    let duty = TraceDuty::start(&options(&url), &metrics, EventLog::discard()).unwrap();
    let sink = duty.sink();
    assert!(sink.is_enabled());
    for span_id in 1..=10 {
        sink.push(span(span_id));
    }
    duty.stop();
    let spans = received.spans();
    assert_eq!(spans.len(), 10);
    assert_eq!(spans[0]["traceId"], "0102030405060708090a0b0c0d0e0f10");
    assert_eq!(spans[0]["spanId"], "0000000000000001");
    assert_eq!(spans[0]["parentSpanId"], "00000000000000ab");
    assert_eq!(spans[0]["name"], "GET stock");
    assert_eq!(spans[0]["startTimeUnixNano"], "1700000000000001000");
    assert_eq!(spans[0]["endTimeUnixNano"], "1700000000002002000");
    assert_eq!(spans[0]["attributes"][0]["value"]["stringValue"], "orders");
    assert_eq!(spans[0]["attributes"][1]["value"]["intValue"], "2");
    let resource = received.0.lock().unwrap()[0]["resourceSpans"][0]["resource"].to_string();
    assert!(resource.contains("service.name") && resource.contains("stock-1"), "{resource}");
    wait_for(&metrics, "aspenspring_spans_exported_total 10");
    server.stop().unwrap();
}

/// An address that nothing listens on while the socket is held. If the port were released, the
/// collector of another test could bind it and receive the spans.
fn closed_address() -> (Socket, SocketAddr) {
    let held = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    held.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = held.local_addr().unwrap().as_socket().unwrap();
    (held, address)
}

#[test]
fn a_collector_that_is_away_costs_only_spans() {
    let (_held, closed) = closed_address();
    let metrics = Metrics::new().unwrap();
    let url = format!("http://{closed}/v1/traces");
    let duty = TraceDuty::start(&options(&url), &metrics, EventLog::discard()).unwrap();
    duty.sink().push(span(1));
    wait_for(&metrics, "aspenspring_spans_dropped_total{reason=\"collector_away\"} 1");
    duty.stop();
}

#[test]
fn a_full_ring_drops_and_counts_and_never_waits() {
    // Accepts connections and never answers, so that the export blocks while the ring fills up.
    let unresponsive = TcpListener::bind("127.0.0.1:0").unwrap();
    let metrics = Metrics::new().unwrap();
    let url = format!("http://{}", unresponsive.local_addr().unwrap());
    let duty = TraceDuty::start(&options(&url), &metrics, EventLog::discard()).unwrap();
    let sink = duty.sink();
    sink.push(span(1));
    let blocked_export = unresponsive.accept().unwrap();
    for span_id in 2..=1_000 {
        sink.push(span(span_id));
    }
    duty.stop();
    drop(blocked_export);
    let text = metrics.render();
    let dropped = text.lines().filter_map(|line| {
        line.strip_prefix("aspenspring_spans_dropped_total{")?
            .split_once("} ")?
            .1
            .parse::<u64>()
            .ok()
    });
    assert_eq!(dropped.sum::<u64>(), 1_000, "{text}");
}

#[test]
fn a_refused_batch_is_not_sent_again() {
    let (server, received) = collector();
    let metrics = Metrics::new().unwrap();
    let url = format!("http://{}/broken/v1/traces", server.address());
    let duty = TraceDuty::start(&options(&url), &metrics, EventLog::discard()).unwrap();
    duty.sink().push(span(1));
    wait_for(&metrics, "aspenspring_spans_dropped_total{reason=\"collector_away\"} 1");
    duty.stop();
    assert_eq!(received.0.lock().unwrap().len(), 1);
    server.stop().unwrap();
}

#[test]
fn unusable_urls_are_refused_at_the_start() {
    for url in ["", "collector:4318", "ftp://127.0.0.1/"] {
        let refused =
            TraceDuty::start(&options(url), &Metrics::new().unwrap(), EventLog::discard());
        assert!(matches!(refused, Err(TraceError::Options { .. })), "{url}");
    }
}

#[test]
fn a_disabled_sink_takes_nothing() {
    let sink = SpanSink::disabled();
    sink.push(span(1));
    assert!(!sink.is_enabled());
}

#[test]
fn the_caller_decides_about_sampling_where_it_brings_a_trace() {
    let mut settings = TelemetrySettings { sample_share: 0.0, ..Default::default() };
    let incoming = |sampled| TraceContext { trace_id: 7, parent_span_id: 8, sampled };
    assert!(!is_sampled(&settings, Some(&incoming(true)), 7), "there is no collector");
    settings.otlp_url = Some("http://127.0.0.1:1".to_owned());
    assert!(is_sampled(&settings, Some(&incoming(true)), 7));
    assert!(!is_sampled(&settings, None, 0));
    settings.sample_share = 1.0;
    assert!(!is_sampled(&settings, Some(&incoming(false)), 7));
    assert!(is_sampled(&settings, None, u128::MAX));
    settings.sample_share = 0.25;
    let mut sampled = 0;
    for number in 0..10_000_u128 {
        let trace_id = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        sampled += u32::from(is_sampled(&settings, None, trace_id));
    }
    assert!((2_300..2_700).contains(&sampled), "{sampled}");
}
