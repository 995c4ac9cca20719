//! Routes of the operator API.

use std::time::Duration;

use rocket::data::Data;
use rocket::http::ContentType;
use rocket::request::{FromRequest, Outcome, Request};
use rocket::{Route, State, get, post, put, routes};
use tokio::time::Instant;

use super::key::Operator;
use super::reply::{self, Document};
use super::{AskError, OperatorRequest, OperatorState, Submission};
use crate::duty::web::{Problem, read_body};

/// How long a health reply is cached.
const HEALTH_CACHE_TTL: Duration = Duration::from_secs(1);
/// The header that names the submitter of a configuration.
const SUBMITTER_HEADER: &str = "aspenspring-by";
/// The longest submitter name, in characters; longer ones are cut off.
const SUBMITTER_MAX_CHARS: usize = 64;
/// The content type of the Prometheus text format.
const METRICS_CONTENT_TYPE: (&str, &str) = ("text", "plain");

/// All routes.
pub(super) fn all() -> Vec<Route> {
    routes![health, metrics, status, config, config_of_version, submit, leave]
}

/// The headers of a submission.
struct SubmitHeaders {
    expected_version: Option<u64>,
    by: String,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for SubmitHeaders {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let headers = request.headers();
        let tag = headers.get_one("if-match").map(|tag| tag.trim().trim_matches('"'));
        let expected_version = tag.and_then(|tag| tag.parse().ok());
        let by = headers.get_one(SUBMITTER_HEADER).unwrap_or("operator");
        let by =
            by.chars().filter(|letter| !letter.is_control()).take(SUBMITTER_MAX_CHARS).collect();
        Outcome::Success(Self { expected_version, by })
    }
}

#[get("/health")]
async fn health(state: &State<OperatorState>) -> Result<Document, Problem> {
    let mut cached = state.health.lock().await;
    let fresh = cached.filter(|(at, _)| at.elapsed() < HEALTH_CACHE_TTL);
    let reply = match fresh {
        Some((_, reply)) => reply,
        None => state.ask(state.reply_timeout_ms, |reply| OperatorRequest::Health { reply }).await,
    };
    if fresh.is_none() {
        *cached = Some((Instant::now(), reply));
    }
    Document::new(&reply?)
}

#[get("/metrics")]
fn metrics(_operator: Operator, state: &State<OperatorState>) -> (ContentType, String) {
    let (top, sub) = METRICS_CONTENT_TYPE;
    let content_type = ContentType::new(top, sub).with_params(("version", "0.0.4"));
    (content_type, state.metrics.render())
}

#[get("/status")]
async fn status(_operator: Operator, state: &State<OperatorState>) -> Result<Document, Problem> {
    let reply = state.ask(state.reply_timeout_ms, |reply| OperatorRequest::Status { reply }).await;
    Document::new(&reply?)
}

#[get("/config")]
async fn config(_operator: Operator, state: &State<OperatorState>) -> Result<Document, Problem> {
    show_config(state, None).await
}

#[get("/config/<version>")]
async fn config_of_version(
    _operator: Operator,
    state: &State<OperatorState>,
    version: u64,
) -> Result<Document, Problem> {
    show_config(state, Some(version)).await
}

/// The accepted configuration of `version`, or the one in force.
async fn show_config(state: &OperatorState, version: Option<u64>) -> Result<Document, Problem> {
    let make_request = |reply| OperatorRequest::Config { version, reply };
    let Some(config) = state.ask(state.reply_timeout_ms, make_request).await? else {
        return Err(Problem::new(404, "Configuration is not known")
            .detail("the node holds the one in force and the list of the ones before it"));
    };
    Document::of_version(&config, config.version)
}

#[put("/config", data = "<data>")]
async fn submit(
    _operator: Operator,
    state: &State<OperatorState>,
    headers: SubmitHeaders,
    data: Data<'_>,
) -> Result<Document, Problem> {
    let Some(expected_version) = headers.expected_version else {
        return Err(Problem::new(428, "Expected version is missing")
            .detail("name the version the change is based on, as in `If-Match: \"7\"`")
            .member("outcome", "not_accepted"));
    };
    let body = read_body(data, state.body_max_bytes, state.read_timeout_ms).await?;
    let document = parse_document(&body)?;
    let submission = Submission { expected_version, by: headers.by, document };
    let make_request = |reply| OperatorRequest::Submit { submission, reply };
    match state.ask(state.submit_timeout_ms, make_request).await {
        Ok(outcome) => reply::submit_response(outcome),
        Err(AskError::RingFull) => Err(reply::not_accepted("the node's ring is full")),
        Err(AskError::NoReply) => Err(reply::unknown("the node did not reply in time")),
    }
}

/// Checks that the body is a JSON object and returns its text.
fn parse_document(body: &[u8]) -> Result<String, Problem> {
    let invalid = |problem: String| {
        Problem::new(422, "Configuration is invalid")
            .member("outcome", "not_accepted")
            .member("problems", vec![problem])
    };
    let value: serde_json::Value =
        serde_json::from_slice(body).map_err(|error| invalid(format!("not JSON: {error}")))?;
    if !value.is_object() {
        return Err(invalid("not a JSON object".to_owned()));
    }
    String::from_utf8(body.to_vec()).map_err(|error| invalid(error.to_string()))
}

#[post("/leave")]
async fn leave(_operator: Operator, state: &State<OperatorState>) -> Result<Document, Problem> {
    let reply = state.ask(state.reply_timeout_ms, |reply| OperatorRequest::Leave { reply }).await;
    Document::new(&reply?)
}
