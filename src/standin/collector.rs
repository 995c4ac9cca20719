//! A stand-in for the operators' collector of traces (OTLP over HTTP, in JSON).

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use serde_json::Value;

use super::exchange::{Exchange, Reply};
use super::server::Server;
use crate::duty::web::WebError;

/// Where spans are sent.
const TRACES_PATH: &str = "/v1/traces";
/// Where the spans that came in are read.
const SPANS_PATH: &str = "/spans";
/// Where the spans are forgotten.
const CLEAR_PATH: &str = "/clear";
/// How many spans are kept; later ones are dropped.
const SPANS_MAX: usize = 200_000;

/// Starts a collector.
pub fn start(listen: SocketAddr) -> Result<Server, WebError> {
    let spans = Arc::new(Mutex::new(Vec::new()));
    Server::start(listen, 1, move |exchange| {
        let spans = spans.clone();
        async move { answer(&spans, &exchange) }
    })
}

/// Answers one exchange.
fn answer(spans: &Mutex<Vec<Value>>, exchange: &Exchange) -> Reply {
    let mut spans = spans.lock().unwrap_or_else(PoisonError::into_inner);
    match (exchange.method.as_str(), exchange.path.as_str()) {
        ("POST", TRACES_PATH) => {
            let Ok(export) = serde_json::from_slice::<Value>(&exchange.body) else {
                return Reply::problem(400, "the body is not JSON");
            };
            collect(&export, &mut spans);
            spans.truncate(SPANS_MAX);
            Reply::json(200, &serde_json::json!({}))
        }
        ("GET", SPANS_PATH) => Reply::json(200, &serde_json::json!({ "spans": *spans })),
        ("POST", CLEAR_PATH) => {
            spans.clear();
            Reply::empty(204)
        }
        _ => Reply::problem(404, "no such path"),
    }
}

/// Takes the spans out of an export, each with the attributes of its resource as `resource`.
fn collect(export: &Value, spans: &mut Vec<Value>) {
    for resource in list(export, "resourceSpans") {
        let attributes = &resource["resource"]["attributes"];
        for scope in list(resource, "scopeSpans") {
            for span in list(scope, "spans") {
                let mut span = span.clone();
                span["resource"] = attributes.clone();
                spans.push(span);
            }
        }
    }
}

/// The items of a field that holds a list; none where it is absent.
fn list<'a>(value: &'a Value, field: &str) -> &'a [Value] {
    value[field].as_array().map_or(&[], Vec::as_slice)
}
