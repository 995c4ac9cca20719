//! One call, whose answer is checked for being whole and correct.

use std::time::{Duration, Instant};

use reqwest::{Client, Method, Url};
use thiserror::Error;

use super::answer::{Answer, Echo};

/// One call of an outside caller to a stand-in target behind a node.
#[derive(Clone, Debug)]
pub struct Fetch {
    /// The method.
    pub method: Method,
    /// Where: the node's `caller_listen`, the service, then the path.
    pub url: Url,
    /// The body.
    pub body: Vec<u8>,
    /// Headers besides the usual ones.
    pub headers: Vec<(String, String)>,
}

/// An answer that was whole and correct.
#[derive(Clone, Debug)]
pub struct Fetched {
    /// The answer.
    pub answer: Answer,
    /// From the first byte sent to the last received.
    pub took: Duration,
}

/// Why a call gave no whole and correct answer.
#[derive(Debug, Error)]
pub enum FetchError {
    /// The URL names no service.
    #[error("the URL has no service in its path")]
    Service,
    /// The exchange broke off.
    #[error("the exchange broke off: {0}")]
    Broken(#[from] reqwest::Error),
    /// An error was answered.
    #[error("status {status}, verdict {verdict:?}, retry-after {retry_after:?}: {body}")]
    Refused {
        /// The status.
        status: u16,
        /// The header `aspenspring-verdict`.
        verdict: Option<String>,
        /// The header `retry-after`.
        retry_after: Option<String>,
        /// The body.
        body: String,
    },
    /// The answer was not a target's, or a target's to another call.
    #[error("the answer is not whole or not to this call: {0}")]
    Wrong(String),
}

impl Fetch {
    /// The service called and the echo its whole answer has; none when the URL names no service.
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

    /// Makes the call, once.
    pub async fn run(&self, client: &Client) -> Result<Fetched, FetchError> {
        let (service, echo) = self.expected().ok_or(FetchError::Service)?;
        let begun = Instant::now();
        let request = client.request(self.method.clone(), self.url.clone());
        let mut request = request.body(self.body.clone());
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let response = request.send().await?;
        let status = response.status().as_u16();
        let header = |name: &str| {
            let value = response.headers().get(name)?;
            Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
        };
        let (verdict, retry_after) = (header("aspenspring-verdict"), header("retry-after"));
        let body = response.bytes().await?;
        let took = begun.elapsed();
        let text = || String::from_utf8_lossy(&body).into_owned();
        if status != 200 {
            return Err(FetchError::Refused { status, verdict, retry_after, body: text() });
        }
        let answer = serde_json::from_slice::<Answer>(&body);
        let answer = answer.map_err(|_| FetchError::Wrong(text()))?;
        if !answer.is_whole(&service, &echo) {
            return Err(FetchError::Wrong(text()));
        }
        Ok(Fetched { answer, took })
    }
}
