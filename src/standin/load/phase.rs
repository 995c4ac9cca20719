//! How many calls are offered, and when.

use std::str::FromStr;

use thiserror::Error;

/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// A stretch of time with one rate of calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Phase {
    /// The rate.
    pub rate: Rate,
    /// How long it lasts, in milliseconds.
    pub for_ms: u64,
}

/// A rate of calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rate {
    /// Calls a second.
    PerSecond(f64),
    /// A multiple of the capacity that the run was told.
    TimesCapacity(f64),
}

/// A span of time since the start of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// Its beginning, in milliseconds.
    pub from_ms: u64,
    /// Its end, in milliseconds.
    pub to_ms: u64,
}

/// A text that is no phase, window or time.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{text:?} is not {wanted}")]
pub struct ParseError {
    /// The text.
    text: String,
    /// What would be accepted.
    wanted: &'static str,
}

impl ParseError {
    /// An error about `text`, where `wanted` would have been accepted.
    pub(super) fn new(text: &str, wanted: &'static str) -> Self {
        Self { text: text.to_owned(), wanted }
    }
}

impl Rate {
    /// Calls a second.
    pub fn per_second(self, capacity_per_s: f64) -> f64 {
        match self {
            Self::PerSecond(rate) => rate,
            Self::TimesCapacity(times) => times * capacity_per_s,
        }
    }
}

impl FromStr for Phase {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let wanted = "RATE:TIME, as 120:10s (calls a second) or 0.5x:10s (times the capacity)";
        let error = || ParseError::new(text, wanted);
        let (rate, time) = text.split_once(':').ok_or_else(error)?;
        let number = rate.strip_suffix('x').unwrap_or(rate);
        let number: f64 = number.parse().map_err(|_| error())?;
        if !number.is_finite() || number < 0.0 {
            return Err(error());
        }
        let times = rate.ends_with('x');
        let rate = if times { Rate::TimesCapacity(number) } else { Rate::PerSecond(number) };
        Ok(Self { rate, for_ms: parse_ms(time)? })
    }
}

impl FromStr for Window {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new(text, "FROM..TO, as 10s..20s");
        let (from, to) = text.split_once("..").ok_or_else(error)?;
        let (from_ms, to_ms) = (parse_ms(from)?, parse_ms(to)?);
        if from_ms >= to_ms {
            return Err(error());
        }
        Ok(Self { from_ms, to_ms })
    }
}

/// Reads a time such as `1.5s` or `200ms`, in milliseconds.
pub(super) fn parse_ms(text: &str) -> Result<u64, ParseError> {
    let error = || ParseError::new(text, "a time, as 1.5s or 200ms");
    let (number, factor) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.strip_suffix('s').ok_or_else(error)?, MS_PER_S),
    };
    let number: f64 = number.parse().map_err(|_| error())?;
    if !number.is_finite() || number < 0.0 {
        return Err(error());
    }
    Ok((number * factor).round() as u64)
}
