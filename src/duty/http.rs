//! HTTP handlers for external callers and for the node's own target.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use rocket::data::Data;
use rocket::http::{Method, Status};
use rocket::request::Request;
use rocket::response::Response;
use rocket::route::{Handler, Outcome, Route};

use crate::call::{HttpRequest, RefusalReason, TraceContext};
use crate::node::{CallEnd, IncomingRequest, LeaveRequester, NodeEvent, Ticket, header};

use super::decider::DeciderHandle;
use super::problem::Problem;
use super::target::HOP_BY_HOP;
use super::web::CallerGone;
use super::{answer, web};

/// The prefix of paths that the node serves itself.
const INTERNAL_PATH_PREFIX: &str = "/_aspenspring/";
/// The prefix of paths at which callers mint idempotency keys; the service follows it.
const KEYS_PREFIX: &str = "/_aspenspring/keys/";
/// The path at which a target announces itself.
const ANNOUNCE_PATH: &str = "/_aspenspring/announce";
/// The path at which a target requests a drain.
const DRAIN_PATH: &str = "/_aspenspring/drain";
/// The methods that are forwarded.
const FORWARDED_METHODS: [Method; 7] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Options,
    Method::Head,
    Method::Patch,
];
/// The maximum number of headers of a request.
const HEADERS_MAX: usize = 100;
/// The maximum total length of a request's header names and values, in bytes.
const HEADERS_MAX_BYTES: usize = 32 << 10;

/// Which kind of client connects to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// Callers outside the site.
    Caller,
    /// The node's own target.
    Target,
}

/// Serves all requests of one listener.
#[derive(Clone)]
pub struct ProxyHandler {
    /// The kind of client that connects.
    pub client: ClientKind,
    /// Queues requests for the node.
    pub decider: DeciderHandle,
    /// The maximum length of a request body, in bytes.
    pub body_max_bytes: usize,
    /// How long a request's body may take to arrive, in milliseconds.
    pub request_read_ms: u64,
    /// The memory for request bodies, shared by all listeners.
    pub body_budget: BodyBudget,
}

/// Limits the total bytes of request bodies held in memory.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    /// The bytes reserved now.
    held_bytes: Arc<AtomicUsize>,
    /// The maximum, in bytes.
    max_bytes: usize,
}

impl BodyBudget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self { held_bytes: Arc::default(), max_bytes }
    }

    /// Reserves `bytes`, or returns `None` if they exceed the budget.
    fn try_reserve(&self, bytes: usize) -> Option<BodyReservation> {
        let before = self.held_bytes.fetch_add(bytes, Ordering::Relaxed);
        let reservation = BodyReservation { held_bytes: self.held_bytes.clone(), bytes };
        (before + bytes <= self.max_bytes).then_some(reservation)
    }
}

/// Reserved bytes of the budget, released on drop.
#[derive(Debug)]
struct BodyReservation {
    /// The budget's counter.
    held_bytes: Arc<AtomicUsize>,
    /// The bytes reserved.
    bytes: usize,
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.held_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl ProxyHandler {
    /// The routes of the listener: every method on every path.
    pub fn routes(&self) -> Vec<Route> {
        let mut routes = Vec::new();
        for method in FORWARDED_METHODS {
            routes.push(Route::new(method, "/<_..>", self.clone()));
        }
        routes
    }

    /// Answers one request.
    async fn answer(&self, request: &Request<'_>, data: Data<'_>) -> Response<'static> {
        match self.serve(request, data).await {
            Ok(Served::End(end)) => answer::respond(request, end),
            Ok(Served::Accepted) => Response::build().status(Status::NoContent).finalize(),
            Err(problem) => answer::render(request, problem),
        }
    }

    /// Serves one request; rejected requests are returned as a problem.
    async fn serve(&self, request: &Request<'_>, data: Data<'_>) -> Result<Served, Problem> {
        let path = request.uri().path().as_str();
        let body = web::read_body(data, self.body_max_bytes, self.request_read_ms).await?;
        let reservation = self.body_budget.try_reserve(body.len());
        let Some(_reservation) = reservation else {
            return Err(answer::refused(RefusalReason::NodeFull));
        };
        if let Some(service) =
            path.strip_prefix(KEYS_PREFIX).filter(|_| self.client == ClientKind::Caller)
        {
            let service = service.to_owned();
            return self
                .submit_and_wait(request, |ticket| NodeEvent::MintKey { ticket, service })
                .await;
        }
        if path.starts_with(INTERNAL_PATH_PREFIX) {
            return self.serve_internal(path, &body);
        }
        self.forward(request, body).await
    }

    /// Serves announcements and drain requests of the target.
    fn serve_internal(&self, path: &str, body: &[u8]) -> Result<Served, Problem> {
        let event = match path {
            ANNOUNCE_PATH if self.client == ClientKind::Target => {
                let announcement = serde_json::from_slice(body)
                    .map_err(|error| Problem::new(400, "Bad Request").detail(error.to_string()))?;
                NodeEvent::TargetAnnounced(announcement)
            }
            DRAIN_PATH if self.client == ClientKind::Target => {
                NodeEvent::Leave { asked_by: LeaveRequester::Target }
            }
            _ => return Err(Problem::new(404, "Not Found")),
        };
        let queued = self.decider.try_submit_event(event);
        queued.map(|()| Served::Accepted).map_err(|_| answer::refused(RefusalReason::NodeFull))
    }

    /// Forwards a request to the service that its path names.
    async fn forward(&self, request: &Request<'_>, body: Bytes) -> Result<Served, Problem> {
        let Some((service, path)) = split_service(&request.uri().to_string()) else {
            return Err(answer::refused(RefusalReason::Malformed));
        };
        let parsed = parse_headers(request, self.client)?;
        let forwarded = HttpRequest {
            method: request.method().as_str().to_owned(),
            path,
            headers: parsed.forwarded,
            body,
        };
        let client = self.client;
        let token = parsed.token;
        self.submit_and_wait(request, |ticket| {
            let incoming = IncomingRequest {
                ticket,
                service,
                request: forwarded,
                deadline_ms: parsed.deadline_ms,
                key: parsed.key,
                trace: parsed.trace,
            };
            match client {
                ClientKind::Caller => NodeEvent::CallerCall(incoming),
                ClientKind::Target => NodeEvent::TargetCall { incoming, token },
            }
        })
        .await
    }

    /// Submits a request to the decider and waits until its call ends. When the caller disconnects
    /// first, the call is cancelled and its end is discarded.
    async fn submit_and_wait(
        &self,
        request: &Request<'_>,
        make: impl FnOnce(Ticket) -> NodeEvent,
    ) -> Result<Served, Problem> {
        let Ok((ticket, mut end)) = self.decider.submit_call(make) else {
            return Err(answer::refused(RefusalReason::NodeFull));
        };
        let gone = CallerGone::of(request);
        let ended = tokio::select! {
            ended = &mut end => ended,
            () = gone.wait() => {
                // If the ring is full, the call ends at its deadline instead.
                let _ = self.decider.try_submit_event(NodeEvent::CallerGone { ticket });
                end.await
            }
        };
        // The decider exits only when no call is in flight, so a dropped ticket was never started.
        ended.map(Served::End).map_err(|_| answer::refused(RefusalReason::Leaving))
    }
}

/// How a request was served.
enum Served {
    /// The call has ended.
    End(CallEnd),
    /// The node accepted it; there is nothing to return.
    Accepted,
}

#[rocket::async_trait]
impl Handler for ProxyHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        Outcome::Success(self.answer(request, data).await)
    }
}

/// The headers of a request, sorted by purpose.
struct ParsedHeaders {
    /// Headers to forward.
    forwarded: Vec<(String, String)>,
    /// The caller's deadline.
    deadline_ms: Option<u64>,
    /// The caller's idempotency key.
    key: Option<String>,
    /// The caller's trace context.
    trace: Option<TraceContext>,
    /// Names the call that the target is serving while it makes this one.
    token: Option<String>,
}

/// Parses the headers of a request; internal and hop-by-hop headers are never forwarded.
fn parse_headers(request: &Request<'_>, client: ClientKind) -> Result<ParsedHeaders, Problem> {
    let mut parsed = ParsedHeaders {
        forwarded: Vec::new(),
        deadline_ms: None,
        key: None,
        trace: None,
        token: None,
    };
    let mut bytes = 0;
    for (count, field) in request.headers().iter().enumerate() {
        bytes += field.name().as_str().len() + field.value().len();
        if count >= HEADERS_MAX || bytes > HEADERS_MAX_BYTES {
            return Err(Problem::new(431, "Request Header Fields Too Large"));
        }
        let name = field.name().as_str().to_ascii_lowercase();
        let value = field.value();
        match name.as_str() {
            header::DEADLINE_MS => parsed.deadline_ms = Some(parse_deadline(value)?),
            header::IDEMPOTENCY_KEY => parsed.key = Some(value.to_owned()),
            header::TRACEPARENT => parsed.trace = TraceContext::parse(value),
            header::CALL if client == ClientKind::Target => parsed.token = Some(value.to_owned()),
            "host" | "content-length" | "expect" => {}
            name if name.starts_with(header::INTERNAL_PREFIX) => {}
            name if HOP_BY_HOP.contains(&name) => {}
            _ => parsed.forwarded.push((name, value.to_owned())),
        }
    }
    Ok(parsed)
}

/// Parses the deadline header: a positive whole number of milliseconds.
fn parse_deadline(value: &str) -> Result<u64, Problem> {
    let deadline_ms = value.trim().parse::<u64>().ok().filter(|ms| *ms > 0);
    deadline_ms.ok_or_else(|| {
        let detail = format!("{} is a whole number above 0", header::DEADLINE_MS);
        Problem::new(400, "Bad Request").detail(detail)
    })
}

/// Splits a URI into the service, which is its first path segment, and the rest with the query.
fn split_service(uri: &str) -> Option<(String, String)> {
    let rest = uri.strip_prefix('/')?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, below) = rest.split_at(end);
    if service.is_empty() {
        return None;
    }
    let path = if below.starts_with('/') { below.to_owned() } else { format!("/{below}") };
    Some((service.to_owned(), path))
}
