//! The kinds of calls of a load run, and requests posted at scheduled times.

use std::str::FromStr;

use reqwest::{Method, Url};

use super::phase::{ParseError, parse_ms};

/// Placeholder for the number of the call in a path.
const NUMBER_PLACEHOLDER: &str = "{n}";

/// Where the idempotency key of a call comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeySource {
    /// The call has no key.
    None,
    /// The load generator generates the key.
    LoadGenerator,
    /// The load generator requests a key from a node before the call.
    Node,
}

/// A kind of calls.
#[derive(Clone, Debug, PartialEq)]
pub struct CallKind {
    /// Name in the records and the summary.
    pub name: String,
    /// Relative frequency among the kinds of the run.
    pub weight: f64,
    /// The method.
    pub method: Method,
    /// `/SERVICE/PATH`, where `{n}` stands for the number of the call.
    pub path: String,
    /// Source of the idempotency key.
    pub key: KeySource,
}

impl CallKind {
    /// The name of the service called.
    pub fn service(&self) -> &str {
        let path = self.path.trim_start_matches('/');
        path.split_once('/').map_or(path, |(service, _)| service)
    }

    /// The path of one call, including the service.
    pub fn path_for(&self, number: u64) -> String {
        self.path.replace(NUMBER_PLACEHOLDER, &number.to_string())
    }
}

impl FromStr for CallKind {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let expected = "NAME WEIGHT METHOD /SERVICE/PATH [own|minted], such as \
                      'browse 80 GET /souq-catalogue/pages/{n}'";
        let error = || ParseError::new(text, expected);
        let mut words = text.split_whitespace();
        let name = words.next().ok_or_else(error)?.to_owned();
        let weight: f64 = words.next().and_then(|word| word.parse().ok()).ok_or_else(error)?;
        let method = words.next().and_then(|word| word.parse().ok()).ok_or_else(error)?;
        let path = words.next().ok_or_else(error)?.to_owned();
        let key = match words.next() {
            None => KeySource::None,
            Some("own") => KeySource::LoadGenerator,
            Some("minted") => KeySource::Node,
            Some(_) => return Err(error()),
        };
        let has_path = path.strip_prefix('/').is_some_and(|path| path.contains('/'));
        if words.next().is_some() || !has_path || !weight.is_finite() || weight <= 0.0 {
            return Err(error());
        }
        Ok(Self { name, weight, method, path, key })
    }
}

/// A request that is posted at a scheduled time, usually to inject a fault.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledPost {
    /// Time in milliseconds since the start of the run.
    pub at_ms: u64,
    /// The URL.
    pub url: Url,
    /// The JSON body.
    pub body: String,
}

impl FromStr for ScheduledPost {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new(text, "TIME URL BODY");
        let (time, rest) = text.split_once(' ').ok_or_else(error)?;
        let (url, body) = rest.split_once(' ').ok_or_else(error)?;
        let url = url.parse().map_err(|_| error())?;
        Ok(Self { at_ms: parse_ms(time)?, url, body: body.to_owned() })
    }
}
