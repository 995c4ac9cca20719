//! HTTP listener for heartbeats and deregistrations of the node's target.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::task::spawn_local;

use crate::event::LogEvent;
use crate::mesh::incarnation::Incarnation;
use crate::mesh::launch::{serve_simple, status_only};
use crate::mesh::node::Node;
use crate::mesh::socket;
use crate::mesh::target::{Heartbeat, TargetState};

/// The path prefix of a heartbeat; the id of the incarnation follows.
const HEARTBEAT_PATH: &str = "/aspenspring/Instances.Heartbeat/";
/// The path prefix of a deregistration; the id of the incarnation follows.
const DEREGISTER_PATH: &str = "/aspenspring/Instances.Deregister/";
/// The maximum length of a request body.
const BODY_MAX_BYTES: usize = 64 * 1024;
/// How long a target waits for the acknowledgement of its departure. It takes no answer after a second.
const SAVE_TIMEOUT: Duration = Duration::from_millis(900);

#[derive(Deserialize)]
struct HeartbeatBody {
    /// When this incarnation of the target started, in Unix milliseconds; 0 if the target does not report it.
    #[serde(default)]
    born: u64,
    information: Information,
    status: Status,
}

/// The body of a deregistration; it may be empty.
#[derive(Default, Deserialize)]
struct DeregistrationBody {
    #[serde(default)]
    born: u64,
}

#[derive(Deserialize)]
struct Information {
    service: String,
    slots: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Status {
    state: State,
    sequence: u64,
    #[serde(default)]
    cold_remaining_ms: u64,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Ready,
    Draining,
}

/// Starts the listener.
pub fn start(node: &Rc<Node>) -> io::Result<()> {
    let listener = socket::listen(node.settings.listen.targets)?;
    let log = node.log.clone();
    let node = Rc::clone(node);
    spawn_local(serve_simple(log, listener, move |request| {
        let node = Rc::clone(&node);
        async move { answer(&node, request).await }
    }));
    Ok(())
}

async fn answer(node: &Node, request: http::Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    if request.method() != Method::POST {
        return status_only(404);
    }
    let (id, is_deregistration) = match path.strip_prefix(DEREGISTER_PATH) {
        Some(id) => (id, true),
        None => match path.strip_prefix(HEARTBEAT_PATH) {
            Some(id) => (id, false),
            None => return status_only(404),
        },
    };
    let body = Limited::new(request.into_body(), BODY_MAX_BYTES).collect().await;
    let Ok(body) = body else { return status_only(400) };
    let body = body.to_bytes();
    let result = if is_deregistration {
        handle_deregistration(node, id, &body).map(Some)
    } else {
        handle_heartbeat(node, id, &body)
    };
    match result {
        Ok(None) => accepted_response(),
        Ok(Some(departed)) => acknowledge_departure(node, &departed).await,
        Err(error) => {
            let detail = format!("{id}: {error:#}");
            node.log.emit(&LogEvent::InputRefused { input: "heartbeat", detail });
            status_only(400)
        }
    }
}

/// Acknowledges a departure once it is saved. The target gets no more work in any case, and reports its departure
/// again if it is not acknowledged.
async fn acknowledge_departure(node: &Node, departed: &Incarnation) -> Response<Full<Bytes>> {
    node.departures.request_save(departed);
    if node.departures.wait_until_saved(departed, SAVE_TIMEOUT).await {
        return accepted_response();
    }
    let waited_ms = SAVE_TIMEOUT.as_millis() as u64;
    node.log.emit(&LogEvent::DepartureUnsaved { instance: departed.id.clone(), waited_ms });
    status_only(503)
}

/// Handles a deregistration: the target is about to exit. Returns the incarnation that has left.
fn handle_deregistration(node: &Node, id: &str, body: &[u8]) -> eyre::Result<Incarnation> {
    let deregistration =
        if body.is_empty() { DeregistrationBody::default() } else { serde_json::from_slice(body)? };
    let incarnation = Incarnation { id: id.to_owned(), started_unix_ms: deregistration.born };
    if node.target.mark_left(&incarnation) {
        node.target_changed("farewell");
    }
    Ok(node.target.departure(&incarnation))
}

/// Handles a heartbeat. Returns the incarnation if it is about to leave.
fn handle_heartbeat(node: &Node, id: &str, body: &[u8]) -> eyre::Result<Option<Incarnation>> {
    let body: HeartbeatBody = serde_json::from_slice(body)?;
    let heartbeat = to_heartbeat(id, body);
    node.apply_heartbeat(&heartbeat)?;
    let is_leaving = heartbeat.state == TargetState::Draining;
    Ok(is_leaving.then(|| node.target.departure(&heartbeat.incarnation)))
}

fn to_heartbeat(id: &str, body: HeartbeatBody) -> Heartbeat {
    let state = match body.status.state {
        State::Ready => TargetState::Ready,
        State::Draining => TargetState::Draining,
    };
    Heartbeat {
        incarnation: Incarnation { id: id.to_owned(), started_unix_ms: body.born },
        sequence: body.status.sequence,
        service: body.information.service,
        slots: body.information.slots,
        state,
        cold_ms: body.status.cold_remaining_ms,
    }
}

fn accepted_response() -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(b"{}")));
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}
