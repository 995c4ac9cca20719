//! The receiving side: runs calls on the local target.
//!
//! All requests reach the target through its node, so the rules for it are enforced only here: a
//! draining incarnation gets no request, no more requests run than it has slots, and "not run" is
//! reported only for a request that the target has not run.

use std::borrow::Cow;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use http::Method;
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::event::LogEvent;

use super::caller_end::CallerEnd;
use super::crash::{self, RunGuard, record_interrupted, record_refused};
use super::crash_reports;
use super::fingerprint;
use super::frame::{CONNECTION_HEADERS, Call, CallEnd, Doubt, Header, NotRun, TargetAnswer};
use super::gate::GateError;
use super::http1::{self, Connection, ExchangeError, Reply};
use super::incarnation::Incarnation;
use super::limit_reports;
use super::node::{CountGuard, Node};
use super::running_requests::{InnerCallTime, ParentRequest};
use super::signal::Signal;
use super::site::RouteKind;
use super::target::Instance;
use super::tree_calls::TreeCalls;

/// A call with less time than this before its deadline is not worth running.
const REMAINING_MIN: Duration = Duration::from_millis(3);
/// Maximum time for opening a connection to a target with a limit.
const CONNECT_MAX_LIMITED: Duration = Duration::from_millis(250);
/// The initial buffer for a request head, in bytes; fits a typical one.
const HEAD_TYPICAL_BYTES: usize = 512;

/// The result of a call, with details if the connection to the target failed or broke.
struct CallResult {
    end: CallEnd,
    detail: String,
}

impl From<CallEnd> for CallResult {
    fn from(end: CallEnd) -> Self {
        Self { end, detail: String::new() }
    }
}

impl From<NotRun> for CallResult {
    fn from(reason: NotRun) -> Self {
        CallEnd::NotRun(reason).into()
    }
}

/// Runs a call on the target, and adds the calls made for it to `calls`. `caller_end` is the end of
/// the node that has accepted the request. Dropping the future cancels the call.
pub async fn serve(
    node: &Rc<Node>,
    call: &Call,
    caller_end: &CallerEnd,
    deadline: Instant,
    calls: &Rc<TreeCalls>,
) -> CallEnd {
    let began = Instant::now();
    let CallResult { end, detail } = admit_and_run(node, call, caller_end, deadline, calls).await;
    node.metrics.record_call(end.reason());
    if end.has_arrived() {
        node.target.failing.record(end.counts_as_target_failure());
    }
    if !end.went_well() {
        let load = node.target.load();
        node.log.emit(&LogEvent::CallEnded {
            attempt: call.attempt_id.clone(),
            root: call.root.clone(),
            service: call.service.clone(),
            instance: node
                .target
                .current()
                .map(|now| now.incarnation.id.clone())
                .unwrap_or_default(),
            verdict: end.name(),
            reason: end.reason(),
            status: end.status().into(),
            detail,
            fingerprint: broken_fingerprint(call, &end),
            took_ms: began.elapsed().as_millis() as u64,
            running: load.running,
            waiting: load.waiting,
            limit: load.limit,
            target_limit: limit_text(node, &end),
        });
    }
    end
}

/// Describes the limit because of which a call was refused; empty for all others.
fn limit_text(node: &Node, end: &CallEnd) -> String {
    if *end != CallEnd::NotRun(NotRun::Limited) {
        return String::new();
    }
    limit_reports::current(node).and_then(|limit| limit.text()).unwrap_or_default()
}

/// The fingerprint of a call whose connection to the target broke; empty for all others, as
/// computing it reads the whole body.
fn broken_fingerprint(call: &Call, end: &CallEnd) -> String {
    let is_broken = *end == CallEnd::MayHaveRun(Doubt::TargetBroke);
    if is_broken { call.fingerprint().to_string() } else { String::new() }
}

/// Waits for a slot and runs the call in it.
async fn admit_and_run(
    node: &Rc<Node>,
    call: &Call,
    caller_end: &CallerEnd,
    deadline: Instant,
    calls: &Rc<TreeCalls>,
) -> CallResult {
    let _serving = CountGuard::new(&node.serving, 1);
    if !node.accepts_calls() {
        return NotRun::Leaving.into();
    }
    if !node.memory.has_room() {
        return NotRun::QueueFull.into();
    }
    let Some(instance) = current_instance(node, &call.service) else {
        return NotRun::NoTarget.into();
    };
    let gate = &node.target.gate;
    // Half of the mean run time: a request that begins later would most likely not finish.
    let begin_by = deadline - REMAINING_MIN.max(gate.mean_run() / 2);
    let quarantine = &node.quarantine;
    let fingerprint = (!quarantine.is_empty()).then(|| call.fingerprint());
    let entered = async {
        let isolation = match fingerprint {
            Some(fingerprint) => quarantine.admit(fingerprint).await.ok_or(NotRun::Quarantined)?,
            None => None,
        };
        match gate.enter(call.rank).await {
            Ok(slot) => Ok((slot, isolation)),
            Err(GateError::Full) => Err(NotRun::QueueFull),
            Err(GateError::Closed) => Err(NotRun::Leaving),
            Err(GateError::Limited) => Err(NotRun::Limited),
        }
    };
    let entered = tokio::select! {
        // A call that need not wait runs in any case.
        biased;
        entered = timeout_at(begin_by, entered) => entered.unwrap_or(Err(NotRun::Expired)),
        () = caller_end.is_too_late(gate.mean_run()) => Err(NotRun::Closing),
        // Another node can still complete the call.
        () = node.own_end.is_too_late(gate.mean_run()) => Err(NotRun::Leaving),
    };
    let (_slot, _isolation) = match entered {
        Ok(entered) => entered,
        Err(reason) => return reason.into(),
    };
    let entered_at = Instant::now();
    let connection = match node.target.take_idle(&call.attempt_id) {
        Some(connection) => connection,
        None => match Connection::open(node.target.address, &node.memory).await {
            Ok(connection) => connection,
            Err(error) => return connection_failed(node, &instance, &error),
        },
    };
    // The target may have left during the wait.
    if current_instance(node, &call.service)
        .is_none_or(|now| now.incarnation != instance.incarnation)
    {
        return NotRun::Leaving.into();
    }
    // Requests whose connections were slow to open would otherwise reach the target together.
    if gate.pacer.is_limited() && entered_at.elapsed() > CONNECT_MAX_LIMITED {
        node.target.keep(connection);
        return NotRun::Limited.into();
    }
    if deadline.saturating_duration_since(Instant::now()) < REMAINING_MIN {
        return NotRun::Expired.into();
    }
    // The request may have crashed another target during the wait.
    if fingerprint.is_some_and(|fingerprint| quarantine.is_quarantined(fingerprint)) {
        return NotRun::Quarantined.into();
    }
    run(node, call, deadline, &instance, connection, calls).await
}

/// The current incarnation of the target, if it serves `service`.
fn current_instance(node: &Node, service: &str) -> Option<Rc<Instance>> {
    node.target.current().filter(|instance| instance.service == service)
}

/// The result of a call when no connection to the target could be opened.
fn connection_failed(node: &Rc<Node>, instance: &Instance, error: &ExchangeError) -> CallResult {
    if error.is_refused() && node.target.mark_unavailable(&instance.incarnation) {
        node.target_changed("refused_connection");
        record_refused(node, instance);
    }
    CallResult { end: CallEnd::NotRun(NotRun::Unreachable), detail: error.to_string() }
}

/// Sends a call to the target and reads the answer.
async fn run(
    node: &Rc<Node>,
    call: &Call,
    deadline: Instant,
    instance: &Instance,
    mut connection: Connection,
    calls: &Rc<TreeCalls>,
) -> CallResult {
    let head = request_head(node, call, deadline, instance);
    node.record_root(&call.root);
    let has_failed_below = Rc::new(Cell::new(false));
    let inner_call_time = Rc::new(InnerCallTime::default());
    let parent = ParentRequest {
        root: call.root.as_str().into(),
        rank: call.rank,
        deadline,
        is_repeat: call.is_repeat,
        team: call.team.as_str().into(),
        has_failed_below: Rc::clone(&has_failed_below),
        calls: Rc::clone(calls),
        inner_call_time: Rc::clone(&inner_call_time),
        withdrawn: CancellationToken::new(),
    };
    let running = node.running_requests.register(&call.attempt_id, parent);
    let method = if call.method == "HEAD" { Method::HEAD } else { Method::GET };
    let attempt_id = node.header_names.attempt_id.as_str();
    let sent_at = Instant::now();
    let accepts = |reply: &Reply| {
        let is_mine = reply.header(attempt_id) == Some(&call.attempt_id);
        apply_signal(node, instance, reply, is_mine.then_some(sent_at));
        is_mine
    };
    node.metrics.record_target_request(call.is_repeat);
    connection.record_attempt(&call.attempt_id);
    let run_guard = RunGuard::new(node, call);
    let exchanged = connection.exchange(&method, &head, &call.body, accepts);
    let reply = match timeout_at(deadline, exchanged).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(error)) => {
            if matches!(error, ExchangeError::Broken(_)) {
                run_guard.finish();
                record_interrupted(node, instance, call);
                if is_retryable(node, call) {
                    crash::wait_for_check(node).await;
                }
            }
            return target_broke(error.to_string());
        }
        Err(_) => return CallEnd::MayHaveRun(Doubt::Timeout).into(),
    };
    running.finish();
    run_guard.finish();
    let is_current = |now: Rc<Instance>| now.incarnation == instance.incarnation;
    if reply.is_reusable && node.target.current().is_some_and(is_current) {
        node.target.keep(connection);
    }
    let result = classify_reply(node, reply, has_failed_below.get());
    node.target.conditions.record_offer(result.end == CallEnd::NotRun(NotRun::Declined));
    if result.end.went_well() && !instance.is_cold {
        let inner = inner_call_time.total();
        node.target.conditions.record_run(sent_at.elapsed().saturating_sub(inner), inner);
    }
    // Only a success clears the request: one that crashes targets may also be declined, or fail
    // because of an inner call, before it reaches the point where it crashes.
    if result.end.went_well() && !node.quarantine.is_empty() {
        crash_reports::record_success(node, call.fingerprint());
    }
    result
}

/// Applies what an answer states about the target. `sent_at` is when its request was sent; `None`
/// for an answer to an earlier request.
fn apply_signal(node: &Node, instance: &Instance, reply: &Reply, sent_at: Option<Instant>) {
    let Some(incarnation) = answering_incarnation(node, instance, reply) else { return };
    let signal = Signal::read(reply, &node.header_names);
    match signal.slowness_percent {
        Ok(Some(percent)) if incarnation.id == instance.incarnation.id => {
            node.target.conditions.record_slowness(percent);
        }
        Ok(_) => {}
        Err(error) => {
            let detail = format!("{}: {error}", incarnation.id);
            node.log.emit(&LogEvent::InputRefused { input: "load report", detail });
        }
    }
    let begins_to_leave = signal.is_leaving && !node.target.has_left(&incarnation);
    if signal.is_leaving && node.target.mark_left(&incarnation) {
        node.target_changed("answer");
    }
    let has_changed = match signal.limit_per_s {
        Ok(per_s) => node.target.observe_limit(&incarnation, per_s, sent_at),
        Err(error) => {
            let detail = format!("{}: {error}", incarnation.id);
            node.log.emit(&LogEvent::InputRefused { input: "limit", detail });
            false
        }
    };
    if has_changed || begins_to_leave {
        limit_reports::signal_changed(node, &incarnation, "answer");
    }
}

/// The incarnation that sent an answer to a request for `expected`; `None` if it is another one and
/// does not state its id.
fn answering_incarnation<'a>(
    node: &Node,
    expected: &'a Instance,
    reply: &Reply,
) -> Option<Cow<'a, Incarnation>> {
    if reply.status != http::StatusCode::MISDIRECTED_REQUEST.as_u16() {
        return Some(Cow::Borrowed(&expected.incarnation));
    }
    let id = reply.header(node.header_names.instance_id.as_str())?;
    Some(Cow::Owned(node.target.incarnation(id)))
}

/// Whether the sender may retry a call that may have run.
fn is_retryable(node: &Node, call: &Call) -> bool {
    let host = fingerprint::host(&call.headers);
    let path = call.path.split('?').next().unwrap_or_default();
    let route = node.site().and_then(|site| site.route(std::str::from_utf8(&host).ok()?, path));
    route.is_some_and(|route| route.kind == RouteKind::Idempotent)
}

/// The result of a call whose target closed the connection or gave an invalid answer.
fn target_broke(detail: String) -> CallResult {
    CallResult { end: CallEnd::MayHaveRun(Doubt::TargetBroke), detail }
}

/// Classifies an answer of the target.
fn classify_reply(node: &Node, reply: Reply, has_failed_below: bool) -> CallResult {
    let header_names = &node.header_names;
    if reply.status == http::StatusCode::MISDIRECTED_REQUEST.as_u16() {
        let id = reply.header(header_names.instance_id.as_str());
        if id.is_some_and(|id| node.target.observe_instance(id)) {
            node.target_changed("other_incarnation");
        }
        return CallResult {
            end: CallEnd::NotRun(NotRun::Unreachable),
            detail: format!("another incarnation answered: {}", id.unwrap_or("unnamed")),
        };
    }
    if reply.header(header_names.not_run.as_str()).is_some() {
        return NotRun::Declined.into();
    }
    let answer = TargetAnswer {
        status: reply.status,
        has_failed_below,
        headers: answer_headers(node, &reply),
        body: reply.body,
    };
    match answer.check(header_names.signature.as_str()) {
        Ok(()) => CallEnd::Answered(answer).into(),
        Err(error) => target_broke(error.to_string()),
    }
}

/// Builds the request head for the target.
fn request_head(node: &Node, call: &Call, deadline: Instant, instance: &Instance) -> Bytes {
    let remaining_ms = deadline.saturating_duration_since(Instant::now()).as_millis();
    let header_names = &node.header_names;
    let mut head = BytesMut::with_capacity(HEAD_TYPICAL_BYTES);
    head.put_slice(call.method.as_bytes());
    head.put_slice(b" ");
    head.put_slice(call.path.as_bytes());
    head.put_slice(b" HTTP/1.1\r\n");
    for header in &call.headers {
        put_header(&mut head, &header.name, &header.value);
    }
    if !call.team.is_empty() {
        put_header(&mut head, header_names.team.as_str(), call.team.as_bytes());
    }
    if !call.attempt_id.is_empty() {
        put_header(&mut head, header_names.attempt_id.as_str(), call.attempt_id.as_bytes());
    }
    put_header(&mut head, header_names.deadline_ms.as_str(), remaining_ms.to_string().as_bytes());
    put_header(
        &mut head,
        header_names.expected_instance.as_str(),
        instance.incarnation.id.as_bytes(),
    );
    if http1::states_length(&call.method, &call.body) {
        put_header(&mut head, "content-length", call.body.len().to_string().as_bytes());
    }
    head.put_slice(b"\r\n");
    head.freeze()
}

/// The headers of an answer that are forwarded.
fn answer_headers(node: &Node, reply: &Reply) -> Vec<Header> {
    let not_forwarded = [node.header_names.load.as_str(), node.header_names.attempt_id.as_str()];
    let not_forwarded = CONNECTION_HEADERS.iter().chain(&not_forwarded).map(|name| name.as_bytes());
    let mut headers = Vec::with_capacity(reply.headers.len());
    for (name, value) in &reply.headers {
        if not_forwarded.clone().any(|known| name.eq_ignore_ascii_case(known)) {
            continue;
        }
        headers.push(Header { name: name.clone(), value: value.clone() });
    }
    headers
}

/// Appends a header line.
fn put_header(block: &mut BytesMut, name: impl AsRef<[u8]>, value: &[u8]) {
    block.put_slice(name.as_ref());
    block.put_slice(b": ");
    block.put_slice(value);
    block.put_slice(b"\r\n");
}
