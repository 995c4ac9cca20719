//! A stand-in for the operators' trace collector (OTLP over HTTP, in JSON).

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use serde_json::Value;

use super::message::{Reply, Request};
use super::server::Server;
use crate::duty::web::WebError;

/// Path to which traces are exported.
const TRACES_PATH: &str = "/v1/traces";
/// Path that lists the received spans.
const SPANS_PATH: &str = "/spans";
/// Path that deletes the received spans.
const CLEAR_PATH: &str = "/clear";
/// Maximum number of spans stored; later ones are dropped.
const SPANS_MAX: usize = 200_000;

/// Starts a stand-in for the collector.
pub fn start(listen: SocketAddr) -> Result<Server, WebError> {
    let spans = Arc::new(Mutex::new(Vec::new()));
    Server::start(listen, 1, move |request| {
        let spans = spans.clone();
        async move { answer(&spans, &request) }
    })
}

/// Answers one request.
fn answer(spans: &Mutex<Vec<Value>>, request: &Request) -> Reply {
    let mut spans = spans.lock().unwrap_or_else(PoisonError::into_inner);
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", TRACES_PATH) => {
            let Ok(export) = serde_json::from_slice::<Value>(&request.body) else {
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

/// Appends the spans of an export, each with the attributes of its resource as `resource`.
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

/// The items of an array field; empty if the field is absent or not an array.
fn list<'a>(value: &'a Value, field: &str) -> &'a [Value] {
    value[field].as_array().map_or(&[], Vec::as_slice)
}
