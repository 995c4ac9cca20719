//! One call, whose answer is checked for being whole and correct.

use std::fmt;
use std::time::{Duration, Instant};

use bytes::Bytes;
use reqwest::header::HeaderMap;
use reqwest::{Client, Method, Url};
use thiserror::Error;

use super::answer::{Answer, Echo};

/// The status of every answer of a stand-in target that did its work.
const OK: u16 = 200;

/// One call of an outside caller to a stand-in target behind a node.
#[derive(Clone, Debug)]
pub struct Fetch {
    /// The method.
    pub method: Method,
    /// Where: the node's `caller_listen`, the service, then the path.
    pub url: Url,
    /// Whether the URL is a target's own, which does not get the service.
    pub is_direct: bool,
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
    /// The HTTP answer it came in.
    pub reply: Reply,
    /// From the first byte sent to the last received.
    pub took: Duration,
}

/// An HTTP answer, whatever it holds.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Reply {
    /// The first header of this name; empty where it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

impl fmt::Display for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = self.header("aspenspring-verdict");
        let body = String::from_utf8_lossy(&self.body);
        write!(f, "status {}, verdict {verdict:?}: {body}", self.status)
    }
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
    #[error("{0}")]
    Refused(Reply),
    /// The answer was not a target's, or a target's to another call.
    #[error("the answer is not whole or not to this call: {0}")]
    Wrong(Reply),
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
        let reply = Reply { status, headers, body: response.bytes().await? };
        let took = begun.elapsed();
        if status != OK {
            return Err(FetchError::Refused(reply));
        }
        let Ok(answer) = serde_json::from_slice::<Answer>(&reply.body) else {
            return Err(FetchError::Wrong(reply));
        };
        if !answer.is_whole(&service, &echo) {
            return Err(FetchError::Wrong(reply));
        }
        Ok(Fetched { answer, reply, took })
    }
}
