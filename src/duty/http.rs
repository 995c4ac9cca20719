//! The listeners for outside callers and for the target beside this node.

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

/// What the node's own paths begin with.
const OWN_PREFIX: &str = "/_aspenspring/";
/// The path under which outside callers get keys.
const KEYS_PREFIX: &str = "/_aspenspring/keys/";
/// The path under which a target announces itself.
const ANNOUNCE_PATH: &str = "/_aspenspring/announce";
/// The path under which a target asks for no new work.
const DRAIN_PATH: &str = "/_aspenspring/drain";
/// The methods that are passed on.
const METHODS: [Method; 7] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Options,
    Method::Head,
    Method::Patch,
];
/// The most headers of one request.
const HEADERS_MAX: usize = 100;
/// The most bytes of all headers of one request.
const HEADERS_MAX_BYTES: usize = 32 << 10;

/// Who connects to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Callers outside of the site.
    Caller,
    /// The target beside this node.
    Target,
}

/// Takes requests in on one listener and answers them.
#[derive(Clone)]
pub struct Gate {
    /// Who connects.
    pub side: Side,
    /// Where requests go.
    pub decider: DeciderHandle,
    /// The longest body of a request, in bytes.
    pub body_max_bytes: usize,
    /// How long a request's body may take to arrive, in milliseconds.
    pub request_read_ms: u64,
    /// The room for bodies on all listeners.
    pub bodies: BodyRoom,
}

/// Counts the bytes of bodies that are held at once.
#[derive(Clone, Debug)]
pub struct BodyRoom {
    /// Bytes held.
    held_bytes: Arc<AtomicUsize>,
    /// The most bytes.
    max_bytes: usize,
}

impl BodyRoom {
    /// Room for `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self { held_bytes: Arc::default(), max_bytes }
    }

    /// Takes room for `bytes`, or none where there is not enough.
    fn take(&self, bytes: usize) -> Option<RoomTaken> {
        let before = self.held_bytes.fetch_add(bytes, Ordering::Relaxed);
        let taken = RoomTaken { held_bytes: self.held_bytes.clone(), bytes };
        (before + bytes <= self.max_bytes).then_some(taken)
    }
}

/// Room that is given back when this value goes.
#[derive(Debug)]
struct RoomTaken {
    /// The counter.
    held_bytes: Arc<AtomicUsize>,
    /// What was taken.
    bytes: usize,
}

impl Drop for RoomTaken {
    fn drop(&mut self) {
        self.held_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl Gate {
    /// The routes of the listener: every method on every path.
    pub fn routes(&self) -> Vec<Route> {
        let mut routes = Vec::new();
        for method in METHODS {
            routes.push(Route::new(method, "/<_..>", self.clone()));
        }
        routes
    }

    /// Answers one request.
    async fn answer(&self, request: &Request<'_>, data: Data<'_>) -> Response<'static> {
        match self.serve(request, data).await {
            Ok(Served::End(end)) => answer::respond(request, end),
            Ok(Served::Done) => Response::build().status(Status::NoContent).finalize(),
            Err(problem) => answer::render(request, problem),
        }
    }

    /// Serves one request, or says what is wrong with it.
    async fn serve(&self, request: &Request<'_>, data: Data<'_>) -> Result<Served, Problem> {
        let path = request.uri().path().as_str();
        let body = web::read_body(data, self.body_max_bytes, self.request_read_ms).await?;
        let room = self.bodies.take(body.len());
        let Some(_room) = room else { return Err(answer::refused(RefusalReason::NodeFull)) };
        if let Some(service) = path.strip_prefix(KEYS_PREFIX).filter(|_| self.side == Side::Caller)
        {
            let service = service.to_owned();
            return self.ask(request, |ticket| NodeEvent::MintKey { ticket, service }).await;
        }
        if path.starts_with(OWN_PREFIX) {
            return self.own_path(path, &body);
        }
        self.pass_on(request, body).await
    }

    /// Serves the node's own paths.
    fn own_path(&self, path: &str, body: &[u8]) -> Result<Served, Problem> {
        let event = match path {
            ANNOUNCE_PATH if self.side == Side::Target => {
                let announcement = serde_json::from_slice(body)
                    .map_err(|error| Problem::new(400, "Bad Request").detail(error.to_string()))?;
                NodeEvent::TargetAnnounced(announcement)
            }
            DRAIN_PATH if self.side == Side::Target => {
                NodeEvent::Leave { asked_by: LeaveRequester::Target }
            }
            _ => return Err(Problem::new(404, "Not Found")),
        };
        let taken = self.decider.offer(event);
        taken.map(|()| Served::Done).map_err(|_| answer::refused(RefusalReason::NodeFull))
    }

    /// Passes a request on to a service.
    async fn pass_on(&self, request: &Request<'_>, body: Bytes) -> Result<Served, Problem> {
        let Some((service, path)) = split(&request.uri().to_string()) else {
            return Err(answer::refused(RefusalReason::Malformed));
        };
        let taken = take_headers(request, self.side)?;
        let passed = HttpRequest {
            method: request.method().as_str().to_owned(),
            path,
            headers: taken.passed,
            body,
        };
        let side = self.side;
        let token = taken.token;
        self.ask(request, |ticket| {
            let incoming = IncomingRequest {
                ticket,
                service,
                request: passed,
                deadline_ms: taken.deadline_ms,
                key: taken.key,
                trace: taken.trace,
            };
            match side {
                Side::Caller => NodeEvent::CallerCall(incoming),
                Side::Target => NodeEvent::TargetCall { incoming, token },
            }
        })
        .await
    }

    /// Hands a request to the decider and waits for its end. When the caller goes away first, the
    /// request is cancelled; its end then reaches nobody.
    async fn ask(
        &self,
        request: &Request<'_>,
        make: impl FnOnce(Ticket) -> NodeEvent,
    ) -> Result<Served, Problem> {
        let Ok((ticket, mut end)) = self.decider.call(make) else {
            return Err(answer::refused(RefusalReason::NodeFull));
        };
        let gone = CallerGone::of(request);
        let ended = tokio::select! {
            ended = &mut end => ended,
            () = gone.wait() => {
                // Without room for it the request ends by its deadline.
                let _ = self.decider.offer(NodeEvent::CallerGone { ticket });
                end.await
            }
        };
        // The decider ends only when nothing is in flight, so a ticket it drops never began.
        ended.map(Served::End).map_err(|_| answer::refused(RefusalReason::Leaving))
    }
}

/// What came of a request.
enum Served {
    /// It has ended.
    End(CallEnd),
    /// It concerned the node alone.
    Done,
}

#[rocket::async_trait]
impl Handler for Gate {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        Outcome::Success(self.answer(request, data).await)
    }
}

/// What the headers of a request say.
struct TakenHeaders {
    /// Headers that are passed on.
    passed: Vec<(String, String)>,
    /// The time the caller gives.
    deadline_ms: Option<u64>,
    /// The caller's idempotency key.
    key: Option<String>,
    /// The caller's trace.
    trace: Option<TraceContext>,
    /// The call on whose behalf a target asks.
    token: Option<String>,
}

/// Sorts the headers of a request; internal ones are never passed on.
fn take_headers(request: &Request<'_>, side: Side) -> Result<TakenHeaders, Problem> {
    let mut taken =
        TakenHeaders { passed: Vec::new(), deadline_ms: None, key: None, trace: None, token: None };
    let mut bytes = 0;
    for (count, found) in request.headers().iter().enumerate() {
        bytes += found.name().as_str().len() + found.value().len();
        if count >= HEADERS_MAX || bytes > HEADERS_MAX_BYTES {
            return Err(Problem::new(431, "Request Header Fields Too Large"));
        }
        let name = found.name().as_str().to_ascii_lowercase();
        let value = found.value();
        match name.as_str() {
            header::DEADLINE_MS => taken.deadline_ms = Some(parse_deadline(value)?),
            header::IDEMPOTENCY_KEY => taken.key = Some(value.to_owned()),
            header::TRACEPARENT => taken.trace = TraceContext::parse(value),
            header::CALL if side == Side::Target => taken.token = Some(value.to_owned()),
            "host" | "content-length" | "expect" => {}
            name if name.starts_with(header::INTERNAL_PREFIX) => {}
            name if HOP_BY_HOP.contains(&name) => {}
            _ => taken.passed.push((name, value.to_owned())),
        }
    }
    Ok(taken)
}

/// The time a caller gives its request, in milliseconds.
fn parse_deadline(value: &str) -> Result<u64, Problem> {
    let parsed = value.trim().parse::<u64>().ok().filter(|ms| *ms > 0);
    parsed.ok_or_else(|| {
        let detail = format!("{} is a whole number above 0", header::DEADLINE_MS);
        Problem::new(400, "Bad Request").detail(detail)
    })
}

/// The service a path names, and the path below it with its query.
fn split(uri: &str) -> Option<(String, String)> {
    let rest = uri.strip_prefix('/')?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, below) = rest.split_at(end);
    if service.is_empty() {
        return None;
    }
    let path = if below.starts_with('/') { below.to_owned() } else { format!("/{below}") };
    Some((service.to_owned(), path))
}
