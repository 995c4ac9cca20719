//! Converts the node's replies to HTTP responses.

use rocket::http::{ContentType, Header, Status};
use rocket::request::Request;
use rocket::response::{self, Responder, Response};
use serde::Serialize;
use serde_json::json;

use super::SubmitReply;
use crate::duty::web::Problem;

/// A JSON response; if it shows a configuration, the version is its entity tag.
#[derive(Debug)]
pub(super) struct Document {
    body: Vec<u8>,
    etag: Option<String>,
}

impl Document {
    /// A document without an entity tag.
    pub(super) fn new(value: &impl Serialize) -> Result<Self, Problem> {
        let body = serde_json::to_vec(value)
            .map_err(|error| Problem::new(500, "Cannot be shown").detail(error.to_string()))?;
        Ok(Self { body, etag: None })
    }

    /// A document that shows configuration `version`.
    pub(super) fn of_version(value: &impl Serialize, version: u64) -> Result<Self, Problem> {
        Ok(Self { etag: Some(format!("\"{version}\"")), ..Self::new(value)? })
    }
}

impl<'r> Responder<'r, 'static> for Document {
    fn respond_to(self, _: &'r Request<'_>) -> response::Result<'static> {
        let mut builder = Response::build();
        builder.status(Status::Ok).header(ContentType::JSON);
        if let Some(etag) = self.etag {
            builder.header(Header::new("etag", etag));
        }
        Ok(builder.sized_body(self.body.len(), std::io::Cursor::new(self.body)).finalize())
    }
}

/// The HTTP response to a submission.
pub(super) fn submit_response(reply: SubmitReply) -> Result<Document, Problem> {
    match reply {
        SubmitReply::Accepted { version } => {
            Document::of_version(&json!({ "outcome": "accepted", "version": version }), version)
        }
        SubmitReply::Conflict { lost_to } => Err(Problem::new(409, "Configuration conflict")
            .detail("another configuration was accepted since the version this one is based on")
            .member("outcome", "not_accepted")
            .member("lost_to", json!(lost_to))),
        SubmitReply::Invalid { problems } => Err(Problem::new(422, "Configuration is invalid")
            .member("outcome", "not_accepted")
            .member("problems", json!(problems))),
        SubmitReply::NotAccepted { cause } => Err(not_accepted(&cause)),
        SubmitReply::Unknown { cause } => Err(unknown(&cause)),
    }
}

/// The submission was not accepted and will not be.
pub(super) fn not_accepted(cause: &str) -> Problem {
    Problem::new(503, "Configuration was not accepted")
        .detail(cause)
        .member("outcome", "not_accepted")
        .retry_after_ms(1_000)
}

/// It is unknown whether the submission was or will be accepted.
pub(super) fn unknown(cause: &str) -> Problem {
    Problem::new(503, "Configuration may have been accepted")
        .detail(format!("{cause}; read the configuration in force before submitting again"))
        .member("outcome", "unknown")
}
