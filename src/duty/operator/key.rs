//! The operators' key, and the check of every request for it.

use std::fmt;

use rocket::http::Status;
use rocket::request::{FromRequest, Outcome, Request};

use super::OperatorState;
use crate::event::LogEvent;

/// The scheme of the `Authorization` header.
const SCHEME: &str = "bearer";

/// The operators' key. Neither `Debug` nor any other output shows it.
#[derive(Clone)]
pub struct OperatorKey(String);

impl OperatorKey {
    /// The key in the environment variable `variable`; none where it is unset or empty.
    pub fn from_env(variable: &str) -> Option<Self> {
        std::env::var(variable).ok().and_then(|key| Self::new(&key))
    }

    /// The key `key`, without white space around it; none where nothing is left.
    pub fn new(key: &str) -> Option<Self> {
        let key = key.trim();
        (!key.is_empty()).then(|| Self(key.to_owned()))
    }

    /// Whether `presented` is the key. Takes the same time for every text of the same length.
    fn is(&self, presented: &str) -> bool {
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

/// Proof that a request carried the operators' key.
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
        if !presented.is_some_and(|presented| key.is(presented)) {
            return refuse(state, request, Status::Unauthorized);
        }
        Outcome::Success(Self(()))
    }
}

/// The token of an `Authorization: Bearer` header.
fn bearer_token(header: &str) -> Option<&str> {
    let (scheme, token) = header.split_once(' ')?;
    scheme.eq_ignore_ascii_case(SCHEME).then(|| token.trim())
}

fn refuse(state: &OperatorState, request: &Request<'_>, status: Status) -> Outcome<Operator, ()> {
    let remote = request.remote().map_or_else(String::new, |remote| remote.ip().to_string());
    state.events.emit(&LogEvent::OperatorRefused { remote });
    Outcome::Error((status, ()))
}
