//! Error bodies after RFC 9457 (problem details for HTTP APIs).

use rocket::http::{ContentType, Header, Status};
use rocket::request::Request;
use rocket::response::{self, Responder, Response};
use rocket::{Catcher, catcher};
use serde::Serialize;
use serde_json::{Map, Value};

/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;

/// An error as callers and operators see it; a responder.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Problem {
    /// What kind of problem it is, as a URI reference; `about:blank` where the status says it all.
    #[serde(rename = "type")]
    pub kind: String,
    /// The kind in words; the same for all problems of the kind.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// What happened this time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// When asking again makes sense, in milliseconds; also sent as `Retry-After` in whole seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// What only some problems have; boxed to keep results small.
    #[serde(flatten)]
    pub extra: Box<ProblemExtra>,
}

/// What only some problems have.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ProblemExtra {
    /// Further members of the body.
    #[serde(flatten)]
    pub members: Map<String, Value>,
    /// Further headers of the answer.
    #[serde(skip)]
    pub headers: Vec<(String, String)>,
}

impl Problem {
    /// A problem of no kind of its own.
    pub fn new(status: u16, title: impl Into<String>) -> Self {
        Self {
            kind: "about:blank".to_owned(),
            title: title.into(),
            status,
            detail: None,
            retry_after_ms: None,
            extra: Box::default(),
        }
    }

    /// Names the kind of problem, as a URI reference.
    pub fn kind(mut self, kind: impl Into<String>) -> Self {
        self.kind = kind.into();
        self
    }

    /// Says what happened this time.
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// Says when asking again makes sense.
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Adds a member to the body.
    pub fn member(mut self, name: impl Into<String>, value: impl Into<Value>) -> Self {
        self.extra.members.insert(name.into(), value.into());
        self
    }

    /// Adds a header to the answer.
    pub fn header(mut self, name: impl Into<String>, value: impl Into<String>) -> Self {
        self.extra.headers.push((name.into(), value.into()));
        self
    }
}

impl<'r> Responder<'r, 'static> for Problem {
    fn respond_to(self, _: &'r Request<'_>) -> response::Result<'static> {
        let body = serde_json::to_vec(&self).map_err(|_| Status::InternalServerError)?;
        let mut builder = Response::build();
        builder.status(Status::new(self.status));
        builder.header(ContentType::new("application", "problem+json"));
        if let Some(retry_after_ms) = self.retry_after_ms {
            let retry_after_s = retry_after_ms.div_ceil(MS_PER_S);
            builder.header(Header::new("retry-after", retry_after_s.to_string()));
        }
        for (name, value) in self.extra.headers {
            builder.header(Header::new(name, value));
        }
        Ok(builder.sized_body(body.len(), std::io::Cursor::new(body)).finalize())
    }
}

/// Turns rocket's own errors (no such path, wrong method, a panic in a handler) into problems.
pub fn problem_catchers() -> Vec<Catcher> {
    vec![Catcher::new(None, catch_any)]
}

fn catch_any<'r>(status: Status, request: &'r Request<'_>) -> catcher::BoxFuture<'r> {
    let title = status.reason().unwrap_or("Error");
    let mut problem = Problem::new(status.code, title);
    if status == Status::Unauthorized {
        problem = problem.header("www-authenticate", "Bearer");
    }
    let answer = problem.respond_to(request);
    Box::pin(async move { answer })
}
