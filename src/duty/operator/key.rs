//! The operator key and the request guard that checks it.

use std::fmt;

use rocket::http::Status;
use rocket::request::{FromRequest, Outcome, Request};

use super::OperatorState;
use crate::event::LogEvent;

/// The expected scheme of the `Authorization` header.
const AUTH_SCHEME: &str = "bearer";

/// The secret key of the operators. `Debug` and all other output omit it.
#[derive(Clone)]
pub struct OperatorKey(String);

impl OperatorKey {
    /// Reads the key from the environment variable `variable`; `None` if it is unset or empty.
    pub fn from_env(variable: &str) -> Option<Self> {
        std::env::var(variable).ok().and_then(|key| Self::new(&key))
    }

    /// Trims white space around `key`; `None` if nothing is left.
    pub fn new(key: &str) -> Option<Self> {
        let key = key.trim();
        (!key.is_empty()).then(|| Self(key.to_owned()))
    }

    /// Whether `presented` is the key. The time taken depends only on the length of `presented`.
    fn matches(&self, presented: &str) -> bool {
        let (key, presented) = (self.0.as_bytes(), presented.as_bytes());
        let mut difference = key.len() ^ presented.len();
        for (index, byte) in presented.iter().enumerate() {
            difference |= usize::from(byte ^ key[index % key.len()]);
        }
        std::hint::black_box(difference) == 0
    }
}

impl fmt::Debug for OperatorKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorKey(..)")
    }
}

/// Request guard: proof that a request carried the operator key.
#[derive(Clone, Copy, Debug)]
pub struct Operator(());

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Operator {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let Some(state) = request.rocket().state::<OperatorState>() else {
            return Outcome::Error((Status::InternalServerError, ()));
        };
        let Some(key) = &state.key else {
            return refuse(state, request, Status::Forbidden);
        };
        let presented = request.headers().get_one("authorization").and_then(bearer_token);
        if !presented.is_some_and(|presented| key.matches(presented)) {
            return refuse(state, request, Status::Unauthorized);
        }
        Outcome::Success(Self(()))
    }
}

/// The token of an `Authorization: Bearer` header.
fn bearer_token(header: &str) -> Option<&str> {
    let (scheme, token) = header.split_once(' ')?;
    scheme.eq_ignore_ascii_case(AUTH_SCHEME).then(|| token.trim())
}

/// Logs the refused request and fails the guard with `status`.
fn refuse(state: &OperatorState, request: &Request<'_>, status: Status) -> Outcome<Operator, ()> {
    let remote = request.remote().map_or_else(String::new, |remote| remote.ip().to_string());
    state.events.emit(&LogEvent::OperatorRefused { remote });
    Outcome::Error((status, ()))
}
