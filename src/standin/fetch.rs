//! Makes one call and verifies that the answer is complete and correct.

use std::fmt;
use std::time::{Duration, Instant};

use bytes::Bytes;
use reqwest::header::HeaderMap;
use reqwest::{Client, Method, Url};
use thiserror::Error;

use super::answer::{Answer, Echo};

/// Status of every successful answer of a stand-in target.
const OK: u16 = 200;

/// A call of an external caller to a stand-in target, through a node or directly.
#[derive(Clone, Debug)]
pub struct Fetch {
    /// The HTTP method.
    pub method: Method,
    /// The URL: the node's `caller_listen` (or the target's address), the service and the path.
    pub url: Url,
    /// Whether the URL points to a target. The service is then removed from the path that is sent.
    pub is_direct: bool,
    /// The body.
    pub body: Vec<u8>,
    /// Additional headers.
    pub headers: Vec<(String, String)>,
}

/// A complete and correct answer.
#[derive(Clone, Debug)]
pub struct Fetched {
    /// The answer.
    pub answer: Answer,
    /// The HTTP response that carried the answer.
    pub response: HttpResponse,
    /// Time from the start of the request to the last byte of the response.
    pub took: Duration,
}

/// An HTTP response.
#[derive(Clone, Debug, Default)]
pub struct HttpResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl HttpResponse {
    /// The value of the first header with this name; empty if absent or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

impl fmt::Display for HttpResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = self.header("aspenspring-verdict");
        let body = String::from_utf8_lossy(&self.body);
        write!(f, "status {}, verdict {verdict:?}: {body}", self.status)
    }
}

/// Why a call got no complete and correct answer.
#[derive(Debug, Error)]
pub enum FetchError {
    /// The path of the URL does not start with a service.
    #[error("the URL has no service in its path")]
    NoService,
    /// The request failed before a whole response was received.
    #[error("the HTTP request failed: {0}")]
    Transport(#[from] reqwest::Error),
    /// The response has an error status.
    #[error("{0}")]
    Status(HttpResponse),
    /// The response is not an answer of a target, or belongs to another call.
    #[error("the answer is incomplete or does not belong to this call: {0}")]
    InvalidAnswer(HttpResponse),
}

impl Fetch {
    /// The service called and the echo expected in its answer; `None` if the path has no service.
    pub fn expected(&self) -> Option<(String, Echo)> {
        let mut path = self.url.path().to_owned();
        if let Some(query) = self.url.query() {
            path = format!("{path}?{query}");
        }
        let (service, rest) = path.strip_prefix('/')?.split_once('/')?;
        if service.is_empty() {
            return None;
        }
        let echo = Echo::new(self.method.as_str(), &format!("/{rest}"), &self.body);
        Some((service.to_owned(), echo))
    }

    /// Makes the call once, without retries.
    pub async fn run(&self, client: &Client) -> Result<Fetched, FetchError> {
        let (service, echo) = self.expected().ok_or(FetchError::NoService)?;
        let started = Instant::now();
        let mut url = self.url.clone();
        if self.is_direct {
            let (path, _) = echo.path.split_once('?').unwrap_or((&echo.path, ""));
            url.set_path(path);
        }
        let request = client.request(self.method.clone(), url);
        let mut request = request.body(self.body.clone());
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let mut response = request.send().await?;
        let status = response.status().as_u16();
        let headers = std::mem::take(response.headers_mut());
        let response = HttpResponse { status, headers, body: response.bytes().await? };
        let took = started.elapsed();
        if status != OK {
            return Err(FetchError::Status(response));
        }
        let Ok(answer) = serde_json::from_slice::<Answer>(&response.body) else {
            return Err(FetchError::InvalidAnswer(response));
        };
        if !answer.is_complete(&service, &echo) {
            return Err(FetchError::InvalidAnswer(response));
        }
        Ok(Fetched { answer, response, took })
    }
}
