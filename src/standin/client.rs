//! The HTTP client of the stand-ins, without retries, redirects or proxies.

use std::time::Duration;

use reqwest::{Client, redirect, retry};

/// Connect timeout in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// How long idle connections are kept, in milliseconds. Shorter than the server's keep-alive of
/// 5 s, so that the client closes them first.
const POOL_IDLE_MS: u64 = 4_000;

/// Creates a client that never retries a request, follows no redirects and ignores proxy settings.
/// `timeout` applies to each whole request.
pub fn client(timeout: Duration) -> Result<Client, reqwest::Error> {
    Client::builder()
        .connect_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
        .timeout(timeout)
        .pool_idle_timeout(Duration::from_millis(POOL_IDLE_MS))
        .http1_only()
        .tcp_nodelay(true)
        .redirect(redirect::Policy::none())
        .retry(retry::never())
        .no_proxy()
        .referer(false)
        .build()
}
