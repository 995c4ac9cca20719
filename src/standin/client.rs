//! The HTTP client of the stand-ins, with everything it could do by itself turned off.

use std::time::Duration;

use reqwest::{Client, redirect, retry};

/// How long a connection may take to be made.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// How long an idle connection is kept; shorter than the server's keep-alive of 5 seconds.
const POOL_IDLE_MS: u64 = 4_000;

/// A client that never repeats a request, follows no redirects and reads no proxy settings.
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
