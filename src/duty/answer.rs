//! Renders verdicts as HTTP responses: status, headers and problem details.

use std::io::Cursor;

use rocket::http::{Header, Status};
use rocket::request::Request;
use rocket::response::{Responder, Response};

use crate::call::{Doubt, HttpAnswer, Refusal, RefusalReason, Verdict};
use crate::framing::FINAL_STATUSES;
use crate::node::{CallEnd, header};

use super::problem::Problem;

/// `Retry-After` for requests that were refused before they reached the node's state machine, in
/// milliseconds.
const REFUSED_RETRY_MS: u32 = 1_000;

/// Renders the outcome of a request that the node's state machine handled.
pub fn respond(request: &Request<'_>, end: CallEnd) -> Response<'static> {
    let mut response = match &end.verdict {
        Verdict::Answered(answer) if FINAL_STATUSES.contains(&answer.status) => {
            forward_answer(answer)
        }
        // A node of an earlier version has passed on a broken answer.
        Verdict::Answered(_) => render(request, may_have_run(Doubt::TargetBroke)),
        Verdict::NotRun(refusal) => render(request, not_run(refusal)),
        Verdict::MayHaveRun(doubt) => render(request, may_have_run(*doubt)),
    };
    response.set_header(Header::new(header::ROOT, end.root.to_string()));
    response.set_header(Header::new(header::ATTEMPTS, end.attempts.to_string()));
    if !end.class.is_empty() {
        response.set_header(Header::new(header::CLASS, end.class));
        response.set_header(Header::new(header::ARM, end.arm));
    }
    response
}

/// Renders a problem. If its body cannot be serialized, the response has only a status.
pub fn render(request: &Request<'_>, problem: Problem) -> Response<'static> {
    problem.respond_to(request).unwrap_or_else(|status| {
        let mut response = Response::new();
        response.set_status(status);
        response
    })
}

/// The problem for a request that was refused before it reached the node's state machine.
///
/// All reasons but `Malformed` carry a retry interval.
pub fn refused(reason: RefusalReason) -> Problem {
    let is_permanent = reason == RefusalReason::Malformed;
    not_run(&Refusal { reason, retry_after_ms: if is_permanent { 0 } else { REFUSED_RETRY_MS } })
}

/// The problem for a request that was not run.
fn not_run(refusal: &Refusal) -> Problem {
    let reason = refusal.reason.name();
    let problem = Problem::new(status_of(refusal.reason), "The request was not run")
        .kind(format!("urn:aspenspring:not-run:{reason}"))
        .header(header::VERDICT, format!("not-run; reason={reason}"));
    if refusal.retry_after_ms == 0 {
        return problem;
    }
    problem.retry_after_ms(u64::from(refusal.retry_after_ms))
}

/// The problem for a request whose execution is uncertain.
fn may_have_run(doubt: Doubt) -> Problem {
    let reason = doubt.name();
    let status = match doubt {
        Doubt::Timeout => 504,
        Doubt::KeyRunning => 409,
        _ => 502,
    };
    Problem::new(status, "The request may have run")
        .kind(format!("urn:aspenspring:may-have-run:{reason}"))
        .header(header::VERDICT, format!("may-have-run; reason={reason}"))
}

/// Copies a target's answer into a response.
fn forward_answer(answer: &HttpAnswer) -> Response<'static> {
    let mut response = Response::new();
    response.set_status(Status::new(answer.status));
    for (name, value) in &answer.headers {
        response.adjoin_header(Header::new(name.clone(), value.clone()));
    }
    response.set_header(Header::new(header::VERDICT, "answered"));
    response.set_sized_body(answer.body.len(), Cursor::new(answer.body.clone()));
    response
}

/// Maps a refusal to its HTTP status.
fn status_of(reason: RefusalReason) -> u16 {
    match reason {
        RefusalReason::Shed | RefusalReason::QueueFull => 429,
        RefusalReason::Expired => 504,
        RefusalReason::Malformed => 404,
        RefusalReason::KeyInvalid => 400,
        RefusalReason::KeyMismatch => 422,
        _ => 503,
    }
}
