//! Speaks to the operators' listener of a node.

use std::time::Duration;

use eyre::{WrapErr, bail};
use reqwest::{Client, Method, RequestBuilder, Url, redirect, retry};
use serde_json::Value;

/// How long a connection may take to be made, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 2_000;
/// How long a reply may take, in milliseconds: longer than a node tries to have a configuration
/// accepted, so that it is the node that says what became of it.
const REPLY_TIMEOUT_MS: u64 = 30_000;

/// The operators' listener of one node.
pub(super) struct Remote {
    base: Url,
    key: String,
    client: Client,
    runtime: tokio::runtime::Runtime,
}

/// What a node replied.
#[derive(Debug)]
pub(super) struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body; null where it is no JSON.
    pub body: Value,
}

/// Why there is no reply.
#[derive(Debug, thiserror::Error)]
pub(super) enum NoReply {
    /// No connection was made, so nothing was sent.
    #[error("{0} cannot be reached")]
    NotSent(String),
    /// The request was sent, or may have been.
    #[error("{0} was asked and did not reply")]
    Lost(String),
}

impl Remote {
    /// The node whose operators' listener is at `url`, with the key from the environment variable
    /// `key_env`.
    pub fn new(url: &str, key_env: &str) -> eyre::Result<Self> {
        let base = Url::parse(url).wrap_err_with(|| format!("{url} is not a URL"))?;
        if base.cannot_be_a_base() || !matches!(base.scheme(), "http" | "https") {
            bail!("{url} is not a URL of http, such as http://10.20.1.11:7003");
        }
        let key = std::env::var(key_env).unwrap_or_default().trim().to_owned();
        if key.is_empty() {
            bail!("the environment variable {key_env} holds no operators' key");
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

    /// Asks for what is at `path`.
    pub fn get(&self, path: &str) -> eyre::Result<Reply> {
        Ok(self.send(self.request(Method::GET, path)?)?)
    }

    /// Posts to `path`.
    pub fn post(&self, path: &str) -> eyre::Result<Reply> {
        Ok(self.send(self.request(Method::POST, path)?)?)
    }

    /// Submits a document that replaces version `based_on`.
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

    /// A request with the key.
    fn request(&self, method: Method, path: &str) -> eyre::Result<RequestBuilder> {
        let url = self.base.join(path)?;
        Ok(self.client.request(method, url).bearer_auth(&self.key))
    }

    /// Sends a request once and waits for the whole reply.
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
            Err(error) if error.is_connect() || error.is_builder() => Err(NoReply::NotSent(node)),
            Err(_) => Err(NoReply::Lost(node)),
        }
    }
}

impl Reply {
    /// The text of a member of the body.
    pub fn text(&self, member: &str) -> &str {
        self.body.get(member).and_then(Value::as_str).unwrap_or_default()
    }

    /// The body of a reply that is good, or an error that says what is wrong.
    pub fn good(self) -> eyre::Result<Value> {
        match self.status {
            200..=299 => Ok(self.body),
            401 => bail!("the node does not accept the operators' key"),
            403 => bail!("the node was started without an operators' key"),
            status => bail!("{status} {} {}", self.text("title"), self.text("detail")),
        }
    }
}
