//! Converts span records into the types of the OpenTelemetry SDK.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use opentelemetry::trace::{
    SpanContext, SpanId, SpanKind as OtelSpanKind, Status, TraceFlags, TraceId, TraceState,
};
use opentelemetry::{InstrumentationScope, KeyValue, Value};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::trace::{SpanData, SpanEvents, SpanLinks};

use super::{AttributeValue, SpanKind, SpanRecord, TraceOptions};

/// The namespace and instrumentation scope of all spans.
const PROGRAM: &str = "aspenspring";

/// The resource attributes, which describe the node.
pub(super) fn resource(options: &TraceOptions) -> Resource {
    let attributes = [
        KeyValue::new("service.namespace", PROGRAM),
        KeyValue::new("service.version", env!("CARGO_PKG_VERSION")),
        KeyValue::new("service.instance.id", options.node_name.clone()),
        KeyValue::new("aspenspring.failure_domain", options.failure_domain.clone()),
    ];
    Resource::builder_empty()
        .with_service_name(options.service.clone())
        .with_attributes(attributes)
        .build()
}

/// Converts a span record.
pub(super) fn span_data(span: SpanRecord) -> SpanData {
    let trace_id = TraceId::from_bytes(span.trace_id.to_be_bytes());
    let span_id = SpanId::from_bytes(span.span_id.to_be_bytes());
    let flags = TraceFlags::SAMPLED;
    SpanData {
        span_context: SpanContext::new(trace_id, span_id, flags, false, TraceState::NONE),
        parent_span_id: SpanId::from_bytes(span.parent_span_id.to_be_bytes()),
        parent_span_is_remote: span.kind == SpanKind::Server,
        span_kind: otel_span_kind(span.kind),
        name: span.name,
        start_time: system_time(span.start_unix_us),
        end_time: system_time(span.end_unix_us),
        attributes: span.attributes.into_iter().map(key_value).collect(),
        dropped_attributes_count: 0,
        events: SpanEvents::default(),
        links: SpanLinks::default(),
        status: if span.failed { Status::error("") } else { Status::Unset },
        instrumentation_scope: InstrumentationScope::builder(PROGRAM).build(),
    }
}

fn otel_span_kind(kind: SpanKind) -> OtelSpanKind {
    match kind {
        SpanKind::Server => OtelSpanKind::Server,
        SpanKind::Client => OtelSpanKind::Client,
        SpanKind::Internal => OtelSpanKind::Internal,
    }
}

fn key_value((name, value): (&'static str, AttributeValue)) -> KeyValue {
    let value = match value {
        AttributeValue::Text(text) => Value::String(text.into_owned().into()),
        AttributeValue::Number(number) => Value::I64(number),
        AttributeValue::Flag(flag) => Value::Bool(flag),
    };
    KeyValue::new(name, value)
}

fn system_time(unix_us: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_micros(unix_us)
}
