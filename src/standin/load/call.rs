//! The kinds of calls of a run, and what else happens at set times.

use std::str::FromStr;

use reqwest::{Method, Url};

use super::phase::{ParseError, parse_ms};

/// What is replaced by a call's number in a path.
const NUMBER: &str = "{n}";

/// Where the idempotency key of a call comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeySource {
    /// It has none.
    None,
    /// The load program makes it up.
    Own,
    /// A node mints it.
    Minted,
}

/// One kind of calls.
#[derive(Clone, Debug, PartialEq)]
pub struct CallKind {
    /// Its name in the summary.
    pub name: String,
    /// How often it comes, against the weights of the others.
    pub weight: f64,
    /// The method.
    pub method: Method,
    /// The service and the path, with `{n}` for the number of the call.
    pub path: String,
    /// Where its idempotency key comes from.
    pub key: KeySource,
}

impl CallKind {
    /// The service that is called.
    pub fn service(&self) -> &str {
        let path = self.path.trim_start_matches('/');
        path.split_once('/').map_or(path, |(service, _)| service)
    }

    /// The path of one call, service included.
    pub fn path_of(&self, number: u64) -> String {
        self.path.replace(NUMBER, &number.to_string())
    }
}

impl FromStr for CallKind {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let wanted = "NAME WEIGHT METHOD /SERVICE/PATH [own|minted], as \
                      'browse 80 GET /souq-catalogue/pages/{n}'";
        let error = || ParseError::new(text, wanted);
        let mut words = text.split_whitespace();
        let name = words.next().ok_or_else(error)?.to_owned();
        let weight: f64 = words.next().and_then(|word| word.parse().ok()).ok_or_else(error)?;
        let method = words.next().and_then(|word| word.parse().ok()).ok_or_else(error)?;
        let path = words.next().ok_or_else(error)?.to_owned();
        let key = match words.next() {
            None => KeySource::None,
            Some("own") => KeySource::Own,
            Some("minted") => KeySource::Minted,
            Some(_) => return Err(error()),
        };
        let below_service = path.strip_prefix('/').is_some_and(|path| path.contains('/'));
        if words.next().is_some() || !below_service || !weight.is_finite() || weight <= 0.0 {
            return Err(error());
        }
        Ok(Self { name, weight, method, path, key })
    }
}

/// Something that is posted at a set time: above all a fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// When, in milliseconds since the start of the run.
    pub at_ms: u64,
    /// Where to.
    pub url: Url,
    /// The body, in JSON.
    pub body: String,
}

impl FromStr for Order {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new(text, "TIME URL BODY");
        let (time, rest) = text.split_once(' ').ok_or_else(error)?;
        let (url, body) = rest.split_once(' ').ok_or_else(error)?;
        let url = url.parse().map_err(|_| error())?;
        Ok(Self { at_ms: parse_ms(time)?, url, body: body.to_owned() })
    }
}
