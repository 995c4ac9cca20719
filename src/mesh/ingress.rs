//! Accepts HTTP requests from callers and from the local target.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::{Instant, sleep_until, timeout_at};

use super::completion::TreeInFlight;
use super::frame::{Doubt, Header, NotRun, TargetAnswer};
use super::linger::{LingeringStream, PeerWatch};
use super::memory::Stage;
use super::node::Node;
use super::overload::Admitted;
use super::peers::pause_after;
use super::request_log::{AnswerGuard, EndedRequest, RequestSummary, record_end};
use super::returns::RefusedRequest;
use super::running_requests::ParentRequest;
use super::sender::{self, Outcome, RETRY_AFTER_CLOSING_MS, Request};
use super::site::{Route, Site};
use super::teams::admission::{self, Identity, OverQuota, QuotaRefusal, Unauthenticated};
use super::teams::share::Entitlement;

/// Buffer size of a connection, in bytes; must hold the longest head.
const BUFFER_BYTES: usize = 64 * 1024;
/// `Retry-After` while the node has no configuration or does not know the other nodes yet, in
/// milliseconds.
const RETRY_AFTER_NOT_READY_MS: u64 = 500;
/// `Retry-After` when a body does not fit into memory, in milliseconds.
const RETRY_AFTER_NO_MEMORY_MS: u64 = 1_000;
/// How long a body whose length is known may wait for memory. The caller's bytes stay in the socket.
const MEMORY_WAIT_MAX: Duration = Duration::from_secs(1);
/// Step by which the reservation for a body of unknown length grows, in bytes.
const RESERVATION_STEP_BYTES: usize = 64 * 1024;
/// `Retry-After` for a call whose parent request has ended or is unknown, in milliseconds.
const RETRY_AFTER_ORPHANED_MS: u64 = 300;
/// Minimum `Retry-After` for a caller over its team's quota, in milliseconds.
const RETRY_AFTER_QUOTA_MIN_MS: u64 = 20;

/// A response to a caller.
type Response = http::Response<Full<Bytes>>;

/// State of a caller's connection.
struct ConnectionState {
    /// Reports whether the caller is still connected.
    caller: PeerWatch,
    /// Whether a request is being answered.
    is_busy: Cell<bool>,
    /// When the last answer was given.
    idle_since: Cell<Instant>,
}

/// Accepts connections from callers.
pub async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve_connection(Rc::clone(&node), stream));
            }
            Err(error) => pause_after(&node.log, &error).await,
        }
    }
}

/// Serves a connection until either side closes it.
async fn serve_connection(node: Rc<Node>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let stream = LingeringStream::new(stream);
    let state = Rc::new(ConnectionState {
        caller: stream.peer(),
        is_busy: Cell::new(false),
        idle_since: Cell::new(Instant::now()),
    });
    let service = service_fn(|request| {
        let node = Rc::clone(&node);
        let state = Rc::clone(&state);
        async move { Ok::<_, Infallible>(answer(&node, &state, request).await) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.max_buf_size(BUFFER_BYTES);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let caller_left = state.caller.closed();
    tokio::pin!(caller_left);
    // The runtime assumes that a new socket is readable, and detects a close only after its first
    // poll.
    yield_now().await;
    loop {
        let limits = node.site().map(|site| site.limits).unwrap_or_default();
        let idle_until = state.idle_since.get() + Duration::from_millis(limits.idle_timeout_ms);
        let check_at =
            idle_until.max(Instant::now() + Duration::from_millis(limits.head_timeout_ms));
        tokio::select! {
            // Polled before the connection, so that no request is started for a caller that has
            // disconnected.
            biased;
            // Dropping the connection cancels its request. hyper does not check for the end of the
            // stream while there are unread bytes after a request.
            () = caller_left.as_mut() => return,
            // Errors of one connection affect nothing else.
            _ = connection.as_mut() => return,
            () = sleep_until(check_at) => {}
        }
        if !state.is_busy.get() && idle_until <= Instant::now() {
            connection.as_mut().graceful_shutdown();
        }
    }
}

/// Answers one request.
async fn answer(
    node: &Rc<Node>,
    connection: &ConnectionState,
    request: http::Request<Incoming>,
) -> Response {
    let _in_flight = sender::count_in_flight(node);
    connection.is_busy.set(true);
    let mut response = respond(node, &connection.caller, request).await;
    connection.is_busy.set(false);
    connection.idle_since.set(Instant::now());
    if node.is_stopping() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn respond(
    node: &Rc<Node>,
    caller: &PeerWatch,
    request: http::Request<Incoming>,
) -> Response {
    let arrived = Instant::now();
    let Some(site) = node.site() else {
        return not_run_response(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_NOT_READY_MS);
    };
    let (parts, body) = request.into_parts();
    if head_bytes(&parts) > site.limits.head_max_bytes {
        return empty_response(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    }
    let host = parts.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or("");
    let Some(route) = site.route(host, parts.uri.path()) else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    let attempt_id = header_text(&parts.headers, &node.header_names.attempt_id);
    let parent = node.running_requests.parent(attempt_id);
    let _inner_call = parent.as_ref().map(|parent| parent.inner_call_time.begin());
    let root = parent.as_ref().map_or(&route.name, |parent| &parent.root).clone();
    let answering = AnswerGuard::new(node, caller, attempt_id, &root, arrived);
    let admitted = match &parent {
        Some(parent) => Ok(AdmittedRequest::inherit(parent)),
        None => {
            let caller = CallerRequest { headers: &parts.headers, attempt_id, arrived };
            admit_caller(node, &site, &route, &caller).await
        }
    };
    let admitted = match admitted {
        Ok(admitted) => admitted,
        Err(Rejection { outcome, summary }) => {
            let response = response_to(node, &outcome);
            let status = response.status().as_u16();
            let ended = EndedRequest { attempt_id, route: &route, root: &root, arrived, status };
            record_end(node, &ended, &outcome, &summary);
            return response;
        }
    };
    let caller_ms = header_number(&parts.headers, &node.header_names.deadline_ms);
    let wait_ms = caller_ms.map_or(route.timeout_ms, |caller_ms| caller_ms.min(route.timeout_ms));
    let deadline = arrived + Duration::from_millis(wait_ms);
    let deadline = parent.as_ref().map_or(deadline, |parent| parent.deadline.min(deadline));
    let body = match read_body(node, body, site.limits.body_max_bytes, deadline).await {
        Ok(body) => body,
        Err(response) => {
            if parent.is_none() {
                admission::refund_token(node, &admitted.team);
            }
            return response;
        }
    };
    let request = Request {
        attempt_id: attempt_id.to_owned(),
        method: parts.method.to_string(),
        path: parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned(),
        headers: request_headers(node, &parts.headers),
        body,
        deadline,
        root,
        rank: admitted.rank,
        is_repeat: parent.as_ref().is_some_and(|parent| parent.is_repeat),
        // A caller's own request belongs to no run that could have progressed.
        has_progressed: parent.as_ref().is_none_or(|parent| parent.calls.has_completed_call()),
        team: admitted.team,
    };
    let (outcome, mut summary) = send(node, &route, &request, parent.as_ref()).await;
    summary.team = Rc::clone(&request.team);
    if parent.is_none() {
        node.completion.record_tree(&request.root, &summary.calls, outcome.went_well());
    }
    if parent.is_none() && matches!(outcome, Outcome::NotRun { .. }) {
        admission::refund_token(node, &request.team);
    }
    if parent.is_none() && outcome.went_well() {
        node.returns.record_answered(&route, arrived.elapsed());
    }
    if let Some(parent) = parent {
        parent.calls.add_all(&summary.calls);
        if outcome.went_well() {
            parent.calls.record_completed_call();
        } else {
            parent.has_failed_below.set(true);
        }
    }
    let mut response = response_to(node, &outcome);
    if let (Outcome::Answered(_), Ok(id)) = (&outcome, HeaderValue::from_str(attempt_id)) {
        response.headers_mut().insert(node.header_names.attempt_id.clone(), id);
    }
    let status = response.status().as_u16();
    let ended = EndedRequest { attempt_id, route: &route, root: &request.root, arrived, status };
    record_end(node, &ended, &outcome, &summary);
    answering.finish();
    response
}

/// Sends a request until it has a final result, its parent request ends without one, or the process
/// is about to exit.
async fn send(
    node: &Rc<Node>,
    route: &Route,
    request: &Request,
    parent: Option<&ParentRequest>,
) -> (Outcome, RequestSummary) {
    let sent = sender::send(node, route, request);
    let parent_ended = async {
        match parent {
            Some(parent) => parent.withdrawn.cancelled().await,
            None => pending().await,
        }
    };
    tokio::select! {
        biased;
        () = parent_ended => {}
        sent = sent => return sent,
        () = node.ending.cancelled() => {}
    }
    (Outcome::MayHaveRun(Doubt::Withdrawn), RequestSummary::default())
}

/// An admitted request.
struct AdmittedRequest {
    /// Team whose API key admitted the root request; empty if no key was used.
    team: Rc<str>,
    /// Its priority rank.
    rank: u8,
    /// Its slot among the requests in flight; `None` for calls of the target.
    _admitted: Option<Admitted>,
    /// Its tree, for which retries are charged; `None` if none are.
    _tree: Option<TreeInFlight>,
}

impl AdmittedRequest {
    /// A call of the target, which inherits team and rank from its parent request.
    fn inherit(parent: &ParentRequest) -> Self {
        Self { team: Rc::clone(&parent.team), rank: parent.rank, _admitted: None, _tree: None }
    }
}

/// A request that was not admitted.
struct Rejection {
    outcome: Outcome,
    summary: RequestSummary,
}

impl Rejection {
    fn new(reason: NotRun, retry_after_ms: u64, team: &Rc<str>) -> Self {
        let outcome = Outcome::refused(reason, retry_after_ms);
        Self {
            outcome,
            summary: RequestSummary { team: Rc::clone(team), ..RequestSummary::default() },
        }
    }

    /// A refusal because of load, which may promise capacity. Refusals of requests above the share
    /// of their team are made without it.
    fn for_load(
        node: &Node,
        route: &Route,
        reason: NotRun,
        mut refused: RefusedRequest<'_>,
    ) -> Self {
        let RefusedRequest { team, rank, .. } = refused;
        if matches!(node.shares.entitlement(route, team, rank), Entitlement::Above(_)) {
            // A promise would let the team exceed its share.
            refused.expiry = None;
        }
        let mut rng = node.rng.borrow_mut();
        let retry_after = node.returns.retry_after(route, refused, Instant::now(), &mut *rng);
        Self::new(reason, retry_after.as_millis() as u64, team)
    }

    fn over_quota(over: OverQuota, team: &Rc<str>) -> Self {
        let retry_after_ms = (over.retry_after.as_millis() as u64).max(RETRY_AFTER_QUOTA_MIN_MS);
        let mut rejection = Self::new(NotRun::OverQuota, retry_after_ms, team);
        rejection.summary.quota = Some(over.state);
        rejection
    }
}

/// What admission needs to know of a caller's request.
struct CallerRequest<'a> {
    headers: &'a HeaderMap,
    attempt_id: &'a str,
    arrived: Instant,
}

impl CallerRequest<'_> {
    /// When the caller's time is over; `None` unless it has stated that.
    fn expiry(&self, node: &Node) -> Option<Instant> {
        let remaining_ms = header_number(self.headers, &node.header_names.deadline_ms)?;
        self.arrived.checked_add(Duration::from_millis(remaining_ms))
    }
}

/// Admits a caller's request if its API key, the load and the quota of its team permit.
async fn admit_caller(
    node: &Rc<Node>,
    site: &Site,
    route: &Route,
    caller: &CallerRequest<'_>,
) -> Result<AdmittedRequest, Rejection> {
    let CallerRequest { headers, attempt_id, .. } = *caller;
    let no_team: Rc<str> = Rc::default();
    let holder = admission::authenticate(site, route, headers, &node.header_names.api_key);
    let is_orphan = match &holder {
        Ok(Identity::Team(_)) => false,
        Ok(Identity::Anonymous) => node.running_requests.has_unanswered_parent(attempt_id),
        Err(Unauthenticated) => node.running_requests.is_orphan(attempt_id),
    };
    if is_orphan {
        return Err(Rejection::new(NotRun::Orphaned, RETRY_AFTER_ORPHANED_MS, &no_team));
    }
    let Ok(holder) = holder else { return Err(Rejection::new(NotRun::NoKey, 0, &no_team)) };
    let (team, rank) = match &holder {
        Identity::Team(team) => (&team.name, site.rank(route, Some(team))),
        Identity::Anonymous => (&no_team, site.rank(route, None)),
    };
    if node.is_closing() {
        return Err(Rejection::new(NotRun::Closing, RETRY_AFTER_CLOSING_MS, team));
    }
    let expiry = caller.expiry(node);
    let now = Instant::now();
    let promise = node.returns.take_promise(route, team, expiry, now);
    let has_returned = promise.is_some() || node.returns.take_unpromised(route, team, expiry, now);
    // The quota counts requests that run, so it is checked only after admission.
    let admitted = if let Some(promise) = promise {
        if promise.is_reserved {
            node.overload.release_reserved(route);
        }
        let rng = &mut *node.rng.borrow_mut();
        node.overload.admit_protected(route, rng).ok_or(NotRun::Shed)
    } else {
        let rng = &mut *node.rng.borrow_mut();
        node.shares.admit(&node.overload, route, team, rank, rng)
    };
    let admitted = admitted.map_err(|reason| {
        if reason != NotRun::OverShare {
            let refused = RefusedRequest { team, rank, expiry, has_returned };
            return Rejection::for_load(node, route, reason, refused);
        }
        // A promise would let the team exceed its share.
        let mut rejection =
            Rejection::new(reason, sender::retry_after_ms(node, route, reason), team);
        rejection.summary.share = node.shares.describe(route, team, rank);
        rejection
    })?;
    // Last, so that its demand is what the load and the shares let pass.
    if !node.completion.admits(route, rank, &mut *node.rng.borrow_mut()) {
        // A promise would exceed the retry budget.
        let retry_after_ms = sender::retry_after_ms(node, route, NotRun::Unlikely);
        return Err(Rejection::new(NotRun::Unlikely, retry_after_ms, team));
    }
    if let Identity::Team(team) = &holder {
        admission::admit(node, team).await.map_err(|refusal| match refusal {
            QuotaRefusal::Over(over) => Rejection::over_quota(over, &team.name),
            QuotaRefusal::FleetUnknown => {
                Rejection::new(NotRun::FleetUnknown, RETRY_AFTER_NOT_READY_MS, &team.name)
            }
        })?;
    }
    let tree = node.completion.begin_tree(&route.name, rank);
    node.returns.record_admitted(route);
    Ok(AdmittedRequest { team: Rc::clone(team), rank, _admitted: Some(admitted), _tree: tree })
}

/// Converts an outcome into a response.
fn response_to(node: &Node, outcome: &Outcome) -> Response {
    match outcome {
        Outcome::Answered(answer) => target_answer(node, answer),
        Outcome::NotRun { reason: NotRun::NoKey, .. } => empty_response(StatusCode::UNAUTHORIZED),
        Outcome::NotRun { reason: NotRun::OverQuota, retry_after_ms } => {
            not_run_response(StatusCode::TOO_MANY_REQUESTS, *retry_after_ms)
        }
        Outcome::NotRun { retry_after_ms, .. } => {
            not_run_response(StatusCode::SERVICE_UNAVAILABLE, *retry_after_ms)
        }
        Outcome::MayHaveRun(Doubt::Timeout) => empty_response(StatusCode::GATEWAY_TIMEOUT),
        Outcome::MayHaveRun(_) => empty_response(StatusCode::BAD_GATEWAY),
    }
}

/// Reads a whole body, or returns the response to send if that fails or the node has no memory for
/// the request.
async fn read_body(
    node: &Rc<Node>,
    mut body: Incoming,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, Response> {
    if body.is_end_stream() {
        let no_memory = not_run_response(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_NO_MEMORY_MS);
        return if node.memory.has_room() { Ok(Bytes::new()) } else { Err(no_memory) };
    }
    let announced = body.size_hint().upper().unwrap_or(0) as usize;
    if announced > max_bytes {
        return Err(empty_response(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let no_memory = || not_run_response(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_NO_MEMORY_MS);
    let wait_until = deadline.min(Instant::now() + MEMORY_WAIT_MAX);
    let reserved = timeout_at(wait_until, node.memory.reserve(Stage::Caller, announced)).await;
    let Ok(Some(mut reservation)) = reserved else { return Err(no_memory()) };
    let mut read = BytesMut::with_capacity(announced);
    let read_all = async {
        let mut reserved_bytes = announced;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return Err(empty_response(StatusCode::BAD_REQUEST)) };
            let Ok(data) = frame.into_data() else { continue };
            let length = read.len() + data.len();
            if length > max_bytes {
                return Err(empty_response(StatusCode::PAYLOAD_TOO_LARGE));
            }
            if length > reserved_bytes {
                reserved_bytes = length.next_multiple_of(RESERVATION_STEP_BYTES);
                if !reservation.try_grow_to(reserved_bytes) {
                    return Err(no_memory());
                }
            }
            read.extend_from_slice(&data);
        }
        Ok(())
    };
    tokio::select! {
        biased;
        result = timeout_at(deadline, read_all) => match result {
            Ok(result) => result?,
            Err(_) => return Err(not_run_response(StatusCode::REQUEST_TIMEOUT, 0)),
        },
        () = node.ending.cancelled() => {
            return Err(not_run_response(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_CLOSING_MS));
        }
    }
    Ok(reservation.attach(read))
}

/// Approximate length of a request's head, in bytes.
fn head_bytes(parts: &http::request::Parts) -> usize {
    /// Separators and line break of a header.
    const SEPARATOR_BYTES: usize = 4;
    let target = parts.uri.path_and_query().map_or(1, |target| target.as_str().len());
    let mut length = parts.method.as_str().len() + target;
    for (name, value) in &parts.headers {
        length += name.as_str().len() + value.len() + SEPARATOR_BYTES;
    }
    length
}

/// The headers to forward. The attempt id is sent separately.
fn request_headers(node: &Node, headers: &HeaderMap) -> Vec<Header> {
    let header_names = &node.header_names;
    let listed = headers_listed_in_connection(headers);
    let mut found = Vec::with_capacity(headers.len());
    for (name, value) in headers {
        let is_replaced = *name == header_names.attempt_id
            || *name == header_names.deadline_ms
            || *name == header_names.expected_instance
            || *name == header_names.calling_service
            || *name == header_names.api_key
            || *name == header_names.team;
        if is_replaced || is_hop_by_hop(name) || listed.contains(name) {
            continue;
        }
        found.push(Header::new(name.as_str(), value.as_bytes()));
    }
    let calling = node.own_service();
    found.push(Header::new(header_names.calling_service.as_str(), calling.as_bytes()));
    found
}

/// Whether a request header is hop-by-hop.
fn is_hop_by_hop(name: &HeaderName) -> bool {
    const NAMES: [&str; 8] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "proxy-authorization",
    ];
    *name == CONTENT_LENGTH || *name == EXPECT || NAMES.contains(&name.as_str())
}

/// The headers listed as hop-by-hop in the `Connection` header.
fn headers_listed_in_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let mut names = Vec::new();
    for value in headers.get_all(CONNECTION) {
        let Ok(text) = value.to_str() else { continue };
        for token in text.split(',') {
            let Ok(name) = token.trim().parse::<HeaderName>() else { continue };
            names.push(name);
        }
    }
    names
}

/// Converts the target's answer into a response to the caller.
fn target_answer(node: &Node, answer: &TargetAnswer) -> Response {
    if promises_not_run(answer.status) {
        // The target has run the request, but the caller would take this status as a promise that
        // it has not.
        return empty_response(StatusCode::BAD_GATEWAY);
    }
    let Ok(status) = StatusCode::from_u16(answer.status) else {
        return empty_response(StatusCode::BAD_GATEWAY);
    };
    let mut response = http::Response::new(Full::new(node.unsent_answers.track(&answer.body)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    for header in &answer.headers {
        let name = HeaderName::from_bytes(&header.name);
        let value = HeaderValue::from_maybe_shared(header.value.clone());
        let (Ok(name), Ok(value)) = (name, value) else { continue };
        headers.append(name, value);
    }
    response
}

/// Whether a status promises that the request has not run and never will.
fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// A response from the node itself that promises that the request has not run.
fn not_run_response(status: StatusCode, retry_after_ms: u64) -> Response {
    let mut response = empty_response(status);
    if retry_after_ms > 0 {
        let seconds = format!("{}.{:03}", retry_after_ms / 1000, retry_after_ms % 1000);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// An empty response from the node itself.
fn empty_response(status: StatusCode) -> Response {
    let mut response = http::Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// The value of a header as text; empty if missing.
fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// The value of a header as a number.
fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
