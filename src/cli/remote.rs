//! HTTP client for the operator listener of a node.

use std::time::Duration;

use eyre::{WrapErr, bail};
use reqwest::{Client, Method, RequestBuilder, Url, redirect, retry};
use serde_json::Value;

/// Time limit for establishing a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 2_000;
/// Time limit for the whole reply, in milliseconds. Longer than a node tries to have a
/// configuration accepted, so that the node can report the outcome before the client gives up.
const REPLY_TIMEOUT_MS: u64 = 30_000;

/// A client of one node's operator listener.
pub(super) struct OperatorClient {
    base: Url,
    key: String,
    client: Client,
    runtime: tokio::runtime::Runtime,
}

/// A node's reply.
#[derive(Debug)]
pub(super) struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body; null if it is not valid JSON.
    pub body: Value,
}

/// Why no reply was received.
#[derive(Debug, thiserror::Error)]
pub(super) enum NoReply {
    /// No connection was established, so nothing was sent.
    #[error("cannot connect to {0}")]
    NotConnected(String),
    /// The request may have been sent, but no complete reply arrived.
    #[error("{0} did not reply to the request")]
    ReplyLost(String),
}

impl OperatorClient {
    /// Creates a client for the operator listener at `url` with the operator key from the
    /// environment variable `key_env`. Sends nothing yet.
    pub fn new(url: &str, key_env: &str) -> eyre::Result<Self> {
        let base = Url::parse(url).wrap_err_with(|| format!("{url} is not a valid URL"))?;
        if base.cannot_be_a_base() || !matches!(base.scheme(), "http" | "https") {
            bail!("{url} is not an HTTP URL, such as http://10.20.1.11:7003");
        }
        let key = std::env::var(key_env).unwrap_or_default().trim().to_owned();
        if key.is_empty() {
            bail!("no operator key: the environment variable {key_env} is empty or not set");
        }
        let client = Client::builder()
            .connect_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
            .timeout(Duration::from_millis(REPLY_TIMEOUT_MS))
            .http1_only()
            .redirect(redirect::Policy::none())
            .retry(retry::never())
            .no_proxy()
            .build()?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        Ok(Self { base, key, client, runtime })
    }

    /// Sends a GET request for `path`.
    pub fn get(&self, path: &str) -> eyre::Result<Reply> {
        Ok(self.send(self.request(Method::GET, path)?)?)
    }

    /// Sends a POST request without a body to `path`.
    pub fn post(&self, path: &str) -> eyre::Result<Reply> {
        Ok(self.send(self.request(Method::POST, path)?)?)
    }

    /// Submits a document that replaces version `based_on`; `by` names the submitter.
    pub fn put_config(
        &self,
        document: String,
        based_on: u64,
        by: &str,
    ) -> eyre::Result<Result<Reply, NoReply>> {
        let request = self
            .request(Method::PUT, "config")?
            .header("if-match", format!("\"{based_on}\""))
            .header("aspenspring-by", by)
            .header("content-type", "application/json")
            .body(document);
        Ok(self.send(request))
    }

    /// Builds a request that carries the operator key.
    fn request(&self, method: Method, path: &str) -> eyre::Result<RequestBuilder> {
        let url = self.base.join(path)?;
        Ok(self.client.request(method, url).bearer_auth(&self.key))
    }

    /// Sends a request once, without retries, and waits for the whole reply.
    fn send(&self, request: RequestBuilder) -> Result<Reply, NoReply> {
        let node = self.base.to_string();
        let exchange = async {
            let answer = request.send().await?;
            let status = answer.status().as_u16();
            let body = answer.bytes().await?;
            Ok::<_, reqwest::Error>((status, body))
        };
        match self.runtime.block_on(exchange) {
            Ok((status, body)) => {
                let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
                Ok(Reply { status, body })
            }
            Err(error) if error.is_connect() || error.is_builder() => {
                Err(NoReply::NotConnected(node))
            }
            Err(_) => Err(NoReply::ReplyLost(node)),
        }
    }
}

impl Reply {
    /// A string member of the body; empty if absent.
    pub fn text(&self, member: &str) -> &str {
        self.body.get(member).and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns the body if the status is 2xx, else an error with the node's explanation.
    pub fn success_body(self) -> eyre::Result<Value> {
        match self.status {
            200..=299 => Ok(self.body),
            401 => bail!("the node rejected the operator key"),
            403 => bail!("the node was started without an operator key"),
            status => bail!("{status} {} {}", self.text("title"), self.text("detail")),
        }
    }
}
