//! HTTP listener for heartbeats and deregistrations of the node's target.

use std::io;
use std::rc::Rc;

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
        handle_deregistration(node, id, &body)
    } else {
        handle_heartbeat(node, id, &body)
    };
    match result {
        Ok(()) => accepted_response(),
        Err(error) => {
            let detail = format!("{id}: {error:#}");
            node.log.emit(&LogEvent::InputRefused { input: "heartbeat", detail });
            status_only(400)
        }
    }
}

/// Handles a deregistration: the target is about to exit.
fn handle_deregistration(node: &Node, id: &str, body: &[u8]) -> eyre::Result<()> {
    let deregistration =
        if body.is_empty() { DeregistrationBody::default() } else { serde_json::from_slice(body)? };
    let incarnation = Incarnation { id: id.to_owned(), started_unix_ms: deregistration.born };
    if node.target.mark_left(&incarnation) {
        node.target_changed("farewell");
    }
    Ok(())
}

/// Handles a heartbeat.
fn handle_heartbeat(node: &Node, id: &str, body: &[u8]) -> eyre::Result<()> {
    let body: HeartbeatBody = serde_json::from_slice(body)?;
    node.apply_heartbeat(&to_heartbeat(id, body))
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
