//! HTTP client of the table service: one request and response per operation.

use std::time::Duration;

use reqwest::header::{IF_MATCH, IF_NONE_MATCH};
use reqwest::{Method, RequestBuilder, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Map, Value};

use super::{Certainty, Condition, Row, StoreError, StoreOperation, StoreOutcome};

/// The table shared by all nodes.
const TABLE: &str = "aspenspring";
/// The longest response body accepted, in bytes.
const RESPONSE_MAX_BYTES: usize = 16 << 20;

/// The response to a write.
#[derive(Deserialize)]
struct Written {
    version: u64,
}

/// The response to a read of several rows.
#[derive(Deserialize)]
struct Rows {
    rows: Vec<Row>,
}

/// The HTTP client of the table service.
#[derive(Debug)]
pub(super) struct Client {
    http: reqwest::Client,
    rows_url: String,
}

impl Client {
    /// A client that makes exactly one HTTP exchange for each operation.
    ///
    /// # Errors
    ///
    /// If the HTTP client cannot be created.
    pub(super) fn new(table_url: &str, timeout_ms: u64) -> Result<Self, reqwest::Error> {
        let timeout = Duration::from_millis(timeout_ms);
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            // The server may close an idle connection just as it is reused, and reqwest repeats a
            // request that it believes unsent. Requests are rare, so each uses a new connection.
            .pool_max_idle_per_host(0)
            .connect_timeout(timeout)
            .timeout(timeout)
            .build()?;
        let rows_url = format!("{}/tables/{TABLE}/rows", table_url.trim_end_matches('/'));
        Ok(Self { http, rows_url })
    }

    /// Performs one exchange.
    ///
    /// # Errors
    ///
    /// `NotApplied` if nothing was sent, the service refused the request, or it was a read;
    /// `MayHaveBeenApplied` if a write may have reached the service.
    pub(super) async fn exchange(
        &self,
        operation: &StoreOperation,
    ) -> Result<StoreOutcome, StoreError> {
        let is_read =
            matches!(operation, StoreOperation::ReadRows { .. } | StoreOperation::ReadRow { .. });
        let outcome = self.try_exchange(operation).await;
        outcome.map_err(|error| if is_read { StoreError::not_applied(error.cause) } else { error })
    }

    async fn try_exchange(&self, operation: &StoreOperation) -> Result<StoreOutcome, StoreError> {
        let request = self.request(operation)?;
        let response = request.send().await.map_err(|error| transport_error(&error))?;
        let status = response.status();
        let is_conditional =
            matches!(operation, StoreOperation::Put { .. } | StoreOperation::Delete { .. });
        if status == StatusCode::PRECONDITION_FAILED && is_conditional {
            let body = read_body(response).await?;
            return parse_conflict(&body);
        }
        if status == StatusCode::NOT_FOUND {
            return not_found_outcome(operation);
        }
        if !status.is_success() {
            return Err(status_error(status));
        }
        let body = read_body(response).await?;
        parse_outcome(operation, &body)
    }

    fn request(&self, operation: &StoreOperation) -> Result<RequestBuilder, StoreError> {
        let row_url = |key: &str| format!("{}/{key}", self.rows_url);
        let request = match operation {
            StoreOperation::ReadRows { prefix } => {
                self.http.get(&self.rows_url).query(&[("prefix", prefix)])
            }
            StoreOperation::ReadRow { key } => self.http.get(row_url(validate_key(key)?)),
            StoreOperation::Put { key, value, condition } => {
                let put = self.http.put(row_url(validate_key(key)?)).json(value);
                with_condition(put, *condition)
            }
            StoreOperation::Delete { key, version } => {
                let delete = self.http.request(Method::DELETE, row_url(validate_key(key)?));
                with_condition(delete, version.map_or(Condition::Any, Condition::Version))
            }
            StoreOperation::ClaimKey { .. } => {
                return Err(StoreError::not_applied("a claim is more than one exchange"));
            }
        };
        Ok(request)
    }
}

fn with_condition(request: RequestBuilder, condition: Condition) -> RequestBuilder {
    match condition {
        Condition::Any => request,
        Condition::Absent => request.header(IF_NONE_MATCH, "*"),
        Condition::Version(version) => request.header(IF_MATCH, format!("\"{version}\"")),
    }
}

/// Rejects keys that would change the meaning of the URL.
fn validate_key(key: &str) -> Result<&str, StoreError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b":._-".contains(&byte);
    if key.is_empty() || key == "." || key == ".." || !key.bytes().all(is_allowed) {
        return Err(StoreError::not_applied(format!("key {key:?} has characters not allowed")));
    }
    Ok(key)
}

/// Classifies a transport failure by whether the request may have been sent.
fn transport_error(error: &reqwest::Error) -> StoreError {
    if error.is_connect() || error.is_builder() {
        return StoreError::not_applied(error.to_string());
    }
    StoreError::may_have_been_applied(error.to_string())
}

/// The error for an unsuccessful status. A server error may follow a write that took effect.
fn status_error(status: StatusCode) -> StoreError {
    let cause = format!("status {status}");
    if status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT {
        return StoreError::not_applied(cause);
    }
    StoreError::may_have_been_applied(cause)
}

/// The outcome of status 404.
fn not_found_outcome(operation: &StoreOperation) -> Result<StoreOutcome, StoreError> {
    match operation {
        StoreOperation::ReadRow { .. } => Ok(StoreOutcome::Row(None)),
        StoreOperation::ReadRows { .. } => Ok(StoreOutcome::Rows(Vec::new())),
        StoreOperation::Delete { .. } => Ok(StoreOutcome::Deleted),
        StoreOperation::Put { .. } | StoreOperation::ClaimKey { .. } => {
            Err(StoreError::not_applied("status 404"))
        }
    }
}

/// Parses the body of status 412: the current row, or an empty object if there is none.
fn parse_conflict(body: &[u8]) -> Result<StoreOutcome, StoreError> {
    let not_understood =
        |error| StoreError::not_applied(format!("conflict not understood: {error}"));
    let value: Value = serde_json::from_slice(body).map_err(not_understood)?;
    if value.as_object().is_some_and(Map::is_empty) {
        return Ok(StoreOutcome::Conflict { present: None });
    }
    let present = serde_json::from_value(value).map_err(not_understood)?;
    Ok(StoreOutcome::Conflict { present: Some(present) })
}

/// Reads the whole body, up to `RESPONSE_MAX_BYTES`.
async fn read_body(mut response: Response) -> Result<Vec<u8>, StoreError> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(|error| transport_error(&error))? {
        if body.len() + chunk.len() > RESPONSE_MAX_BYTES {
            return Err(StoreError::may_have_been_applied("answer too long"));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

/// Parses the body of a successful response.
fn parse_outcome(operation: &StoreOperation, body: &[u8]) -> Result<StoreOutcome, StoreError> {
    let outcome = match operation {
        StoreOperation::ReadRows { .. } => {
            serde_json::from_slice(body).map(|Rows { rows }| StoreOutcome::Rows(rows))
        }
        StoreOperation::ReadRow { .. } => {
            serde_json::from_slice(body).map(|row| StoreOutcome::Row(Some(row)))
        }
        StoreOperation::Put { .. } | StoreOperation::ClaimKey { .. } => {
            serde_json::from_slice(body)
                .map(|Written { version }| StoreOutcome::Written { version })
        }
        StoreOperation::Delete { .. } => Ok(StoreOutcome::Deleted),
    };
    outcome.map_err(|error| StoreError {
        certainty: Certainty::MayHaveBeenApplied,
        cause: format!("answer not understood: {error}"),
    })
}
