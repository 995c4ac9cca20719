//! One exchange with the table service over HTTP.

use std::time::Duration;

use reqwest::header::{IF_MATCH, IF_NONE_MATCH};
use reqwest::{Method, RequestBuilder, Response, StatusCode};
use serde::Deserialize;

use super::{Certainty, Condition, Row, StoreError, StoreOperation, StoreOutcome};

/// The table all nodes use.
const TABLE: &str = "aspenspring";
/// The longest answer that is read, in bytes.
const ANSWER_MAX_BYTES: usize = 16 << 20;

/// The answer to a write.
#[derive(Deserialize)]
struct Written {
    version: u64,
}

/// The answer to a read of many rows.
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
    /// A client that does exactly one exchange for each request.
    ///
    /// # Errors
    ///
    /// If the HTTP client cannot be made.
    pub(super) fn new(table_url: &str, timeout_ms: u64) -> Result<Self, reqwest::Error> {
        let timeout = Duration::from_millis(timeout_ms);
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            // A used connection may be closed by the other end just as it is used again, and the
            // library repeats a request it believes unsent. Requests are rare; each has its own.
            .pool_max_idle_per_host(0)
            .connect_timeout(timeout)
            .timeout(timeout)
            .build()?;
        let rows_url = format!("{}/tables/{TABLE}/rows", table_url.trim_end_matches('/'));
        Ok(Self { http, rows_url })
    }

    /// Does one exchange.
    ///
    /// # Errors
    ///
    /// `NotApplied` if nothing was sent or the service refused it; `MayHaveBeenApplied` if a write
    /// may have arrived.
    pub(super) async fn exchange(
        &self,
        operation: &StoreOperation,
    ) -> Result<StoreOutcome, StoreError> {
        let reads =
            matches!(operation, StoreOperation::ReadRows { .. } | StoreOperation::ReadRow { .. });
        let outcome = self.try_exchange(operation).await;
        outcome.map_err(|error| if reads { StoreError::not_applied(error.cause) } else { error })
    }

    async fn try_exchange(&self, operation: &StoreOperation) -> Result<StoreOutcome, StoreError> {
        let request = self.request(operation)?;
        let response = request.send().await.map_err(|error| classify(&error))?;
        let status = response.status();
        let conditional =
            matches!(operation, StoreOperation::Put { .. } | StoreOperation::Delete { .. });
        if status == StatusCode::PRECONDITION_FAILED && conditional {
            let body = read_body(response).await?;
            return Ok(StoreOutcome::Conflict { present: serde_json::from_slice(&body).ok() });
        }
        if status == StatusCode::NOT_FOUND {
            return missing(operation);
        }
        if !status.is_success() {
            return Err(refused(status));
        }
        let body = read_body(response).await?;
        understand(operation, &body)
    }

    fn request(&self, operation: &StoreOperation) -> Result<RequestBuilder, StoreError> {
        let row_url = |key: &str| format!("{}/{key}", self.rows_url);
        let request = match operation {
            StoreOperation::ReadRows { prefix } => {
                self.http.get(&self.rows_url).query(&[("prefix", prefix)])
            }
            StoreOperation::ReadRow { key } => self.http.get(row_url(checked(key)?)),
            StoreOperation::Put { key, value, condition } => {
                let put = self.http.put(row_url(checked(key)?)).json(value);
                with_condition(put, *condition)
            }
            StoreOperation::Delete { key, version } => {
                let delete = self.http.request(Method::DELETE, row_url(checked(key)?));
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

/// Refuses keys that would change the meaning of the URL.
fn checked(key: &str) -> Result<&str, StoreError> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b":._-".contains(&byte);
    if key.is_empty() || key == "." || key == ".." || !key.bytes().all(plain) {
        return Err(StoreError::not_applied(format!("key {key:?} has characters not allowed")));
    }
    Ok(key)
}

/// A failure of the exchange itself.
fn classify(error: &reqwest::Error) -> StoreError {
    if error.is_connect() || error.is_builder() {
        return StoreError::not_applied(error.to_string());
    }
    StoreError::may_have_been_applied(error.to_string())
}

/// A status that is no success. A server error may come after the write took effect.
fn refused(status: StatusCode) -> StoreError {
    let cause = format!("status {status}");
    if status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT {
        return StoreError::not_applied(cause);
    }
    StoreError::may_have_been_applied(cause)
}

fn missing(operation: &StoreOperation) -> Result<StoreOutcome, StoreError> {
    match operation {
        StoreOperation::ReadRow { .. } => Ok(StoreOutcome::Row(None)),
        StoreOperation::ReadRows { .. } => Ok(StoreOutcome::Rows(Vec::new())),
        StoreOperation::Delete { .. } => Ok(StoreOutcome::Deleted),
        StoreOperation::Put { .. } | StoreOperation::ClaimKey { .. } => {
            Err(StoreError::not_applied("status 404"))
        }
    }
}

/// The whole body, if it is not too long.
async fn read_body(mut response: Response) -> Result<Vec<u8>, StoreError> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(|error| classify(&error))? {
        if body.len() + chunk.len() > ANSWER_MAX_BYTES {
            return Err(StoreError::may_have_been_applied("answer too long"));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

/// The outcome in a body of success.
fn understand(operation: &StoreOperation, body: &[u8]) -> Result<StoreOutcome, StoreError> {
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
