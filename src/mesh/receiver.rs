//! The receiving side: runs calls on the target beside the node.
//!
//! Nobody else reaches the target, so what must hold for it is enforced here and nowhere else: an
//! incarnation that is leaving gets no request, no more requests run than it has slots, and "not
//! run" is said only of a request that was not sent.

use std::rc::Rc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use http::Method;
use tokio::time::{Instant, timeout_at};

use crate::event::LogEvent;

use super::ancestry::Origin;
use super::frame::{Call, CallEnd, Doubt, NotRun, TargetAnswer};
use super::gate::GateError;
use super::http1::{Connection, ExchangeError, Reply};
use super::node::{Counted, Node};
use super::target::Instance;

/// What is left of a deadline that is too short to be worth a run.
const REMAINING_MIN: Duration = Duration::from_millis(3);
/// Headers of an answer that concern one connection only.
const CONNECTION_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "trailer",
    "upgrade",
    "proxy-connection",
];

/// Runs a call on the target. Dropping the future withdraws the call.
pub async fn serve(node: &Rc<Node>, call: &Call, deadline: Instant) -> CallEnd {
    let began = Instant::now();
    let end = admit(node, call, deadline).await;
    node.metrics.note_call(end.reason());
    if !end.went_well() {
        let load = node.target.load();
        node.log.emit(&LogEvent::CallEnded {
            attempt: call.attempt_id.clone(),
            root: call.root.clone(),
            service: call.service.clone(),
            instance: node.target.current().map(|now| now.id.clone()).unwrap_or_default(),
            verdict: end.name(),
            reason: end.reason(),
            took_ms: began.elapsed().as_millis() as u64,
            running: load.running,
            waiting: load.waiting,
            limit: load.limit,
        });
    }
    end
}

/// Waits for a slot, and runs a call in it.
async fn admit(node: &Rc<Node>, call: &Call, deadline: Instant) -> CallEnd {
    let _serving = Counted::new(&node.serving, 1);
    if node.is_stopping() {
        return CallEnd::NotRun(NotRun::Leaving);
    }
    let Some(instance) = current(node, &call.service) else {
        return CallEnd::NotRun(NotRun::NoTarget);
    };
    let gate = &node.target.gate;
    // Half of the typical time: a request that began later would most likely end unfinished.
    let begin_by = deadline - REMAINING_MIN.max(gate.typical_run() / 2);
    let _slot = match timeout_at(begin_by, gate.enter(call.rank)).await {
        Ok(Ok(slot)) => slot,
        Ok(Err(GateError::Full)) => return CallEnd::NotRun(NotRun::QueueFull),
        Ok(Err(GateError::Closed)) => return CallEnd::NotRun(NotRun::Leaving),
        Err(_) => return CallEnd::NotRun(NotRun::Expired),
    };
    let connection = match node.target.take_idle() {
        Some(connection) => connection,
        None => match Connection::open(node.target.address).await {
            Ok(connection) => connection,
            Err(error) => return unreachable(node, &instance, &error),
        },
    };
    // The target may have left while the call waited.
    if current(node, &call.service).is_none_or(|now| now.id != instance.id) {
        return CallEnd::NotRun(NotRun::Leaving);
    }
    if deadline.saturating_duration_since(Instant::now()) < REMAINING_MIN {
        return CallEnd::NotRun(NotRun::Expired);
    }
    run(node, call, deadline, &instance, connection).await
}

/// The incarnation that takes work, if it belongs to `service`.
fn current(node: &Node, service: &str) -> Option<Rc<Instance>> {
    node.target.current().filter(|instance| instance.service == service)
}

/// What becomes of a call when no connection could be made.
fn unreachable(node: &Node, instance: &Instance, error: &ExchangeError) -> CallEnd {
    let refused = matches!(error, ExchangeError::Connect(cause)
        if cause.kind() == std::io::ErrorKind::ConnectionRefused);
    if refused && node.target.lose(&instance.id) {
        node.target_changed("refused_connection");
    }
    CallEnd::NotRun(NotRun::Unreachable)
}

/// Sends a call to the target and takes its answer in.
async fn run(
    node: &Rc<Node>,
    call: &Call,
    deadline: Instant,
    instance: &Instance,
    mut connection: Connection,
) -> CallEnd {
    let head = request_head(node, call, deadline, instance);
    node.note_root(&call.root);
    let origin = Origin { root: call.root.as_str().into(), rank: call.rank, deadline };
    let _running = node.ancestry.run(&call.attempt_id, origin);
    let method = if call.head_only { Method::HEAD } else { Method::GET };
    let attempt_id = node.vocabulary.attempt_id.as_str();
    let is_mine = |reply: &Reply| reply.header(attempt_id) == Some(&call.attempt_id);
    let exchanged = connection.exchange(&method, &head, &call.body, is_mine);
    let reply = match timeout_at(deadline, exchanged).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(_)) => return CallEnd::MayHaveRun(Doubt::TargetBroke),
        Err(_) => return CallEnd::MayHaveRun(Doubt::Timeout),
    };
    if reply.is_reusable {
        node.target.keep(connection);
    }
    judge(node, reply)
}

/// What an answer of the target means.
fn judge(node: &Node, reply: Reply) -> CallEnd {
    let vocabulary = &node.vocabulary;
    if reply.status == http::StatusCode::MISDIRECTED_REQUEST.as_u16() {
        let id = reply.header(vocabulary.instance_id.as_str());
        if id.is_some_and(|id| node.target.take_sighting(id)) {
            node.target_changed("other_incarnation");
        }
        return CallEnd::NotRun(NotRun::Unreachable);
    }
    if reply.header(vocabulary.not_run.as_str()).is_some() {
        return CallEnd::NotRun(NotRun::Declined);
    }
    let is_success = (200..300).contains(&reply.status);
    if is_success && reply.header(vocabulary.signature.as_str()).is_none() {
        return CallEnd::MayHaveRun(Doubt::TargetBroke);
    }
    CallEnd::Answered(TargetAnswer {
        status: reply.status,
        headers: answer_headers(node, &reply),
        body: reply.body,
    })
}

/// The head of the request as the target gets it.
fn request_head(node: &Node, call: &Call, deadline: Instant, instance: &Instance) -> Bytes {
    let remaining_ms = deadline.saturating_duration_since(Instant::now()).as_millis();
    let vocabulary = &node.vocabulary;
    let mut head = BytesMut::with_capacity(call.head.len() + 128);
    head.put_slice(&call.head);
    put_header(&mut head, vocabulary.deadline_ms.as_str(), remaining_ms.to_string().as_bytes());
    put_header(&mut head, vocabulary.expected_instance.as_str(), instance.id.as_bytes());
    let is_bodiless = call.body.is_empty()
        && [&b"GET "[..], b"HEAD ", b"DELETE ", b"OPTIONS "]
            .iter()
            .any(|m| call.head.starts_with(m));
    if !is_bodiless {
        put_header(&mut head, "content-length", call.body.len().to_string().as_bytes());
    }
    head.put_slice(b"\r\n");
    head.freeze()
}

/// The headers of an answer that travel on.
fn answer_headers(node: &Node, reply: &Reply) -> Bytes {
    let load = node.vocabulary.load.as_str().as_bytes();
    let mut block = BytesMut::with_capacity(256);
    for (name, value) in &reply.headers {
        let is_own = CONNECTION_HEADERS.iter().any(|own| name.eq_ignore_ascii_case(own.as_bytes()));
        if is_own || name.eq_ignore_ascii_case(load) {
            continue;
        }
        block.put_slice(name);
        block.put_slice(b": ");
        block.put_slice(value);
        block.put_slice(b"\r\n");
    }
    block.freeze()
}

/// Appends a header.
pub fn put_header(block: &mut BytesMut, name: &str, value: &[u8]) {
    block.put_slice(name.as_bytes());
    block.put_slice(b": ");
    block.put_slice(value);
    block.put_slice(b"\r\n");
}
