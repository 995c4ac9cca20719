//! Error bodies according to RFC 9457 (problem details for HTTP APIs).

use rocket::http::{ContentType, Header, Status};
use rocket::request::Request;
use rocket::response::{self, Responder, Response};
use rocket::{Catcher, catcher};
use serde::Serialize;
use serde_json::{Map, Value};

/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;

/// An error response for callers and operators; a Rocket responder.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Problem {
    /// The problem type, as a URI reference; `about:blank` if the status is sufficient.
    #[serde(rename = "type")]
    pub kind: String,
    /// A summary of the problem type, the same for each occurrence.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// What happened in this occurrence.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// When to retry, in milliseconds; also sent as `Retry-After`, rounded up to seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Optional parts, boxed to keep `Result` values small.
    #[serde(flatten)]
    pub extra: Box<ProblemExtra>,
}

/// The parts that only some problems have.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ProblemExtra {
    /// Extension members of the body.
    #[serde(flatten)]
    pub members: Map<String, Value>,
    /// Additional headers of the response.
    #[serde(skip)]
    pub headers: Vec<(String, String)>,
}

impl Problem {
    /// Creates a problem of type `about:blank`.
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

    /// Sets the problem type, as a URI reference.
    pub fn kind(mut self, kind: impl Into<String>) -> Self {
        self.kind = kind.into();
        self
    }

    /// Sets the description of this occurrence.
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// Sets the retry interval, in milliseconds.
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Adds an extension member to the body.
    pub fn member(mut self, name: impl Into<String>, value: impl Into<Value>) -> Self {
        self.extra.members.insert(name.into(), value.into());
        self
    }

    /// Adds a header to the response.
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

/// Catchers that render Rocket's own errors (unknown path, wrong method, handler panic) as problems.
pub fn problem_catchers() -> Vec<Catcher> {
    vec![Catcher::new(None, catch_any)]
}

fn catch_any<'r>(status: Status, request: &'r Request<'_>) -> catcher::BoxFuture<'r> {
    let title = status.reason().unwrap_or("Error");
    let mut problem = Problem::new(status.code, title);
    if status == Status::Unauthorized {
        problem = problem.header("www-authenticate", "Bearer");
    }
    let response = problem.respond_to(request);
    Box::pin(async move { response })
}
