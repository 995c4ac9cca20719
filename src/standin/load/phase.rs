//! Phases and time windows of a load run, and their text forms.

use std::str::FromStr;

use thiserror::Error;

/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// A period of a run with a constant mean rate of calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Phase {
    /// Mean rate of calls.
    pub rate: Rate,
    /// Duration in milliseconds.
    pub duration_ms: u64,
}

/// A rate of calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rate {
    /// Calls per second.
    PerSecond(f64),
    /// A multiple of the capacity in the options of the run.
    TimesCapacity(f64),
}

/// A span of time since the start of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// Start (inclusive), in milliseconds.
    pub from_ms: u64,
    /// End (exclusive), in milliseconds.
    pub to_ms: u64,
}

/// An argument that could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{text:?} is not {expected}")]
pub struct ParseError {
    /// The rejected text.
    text: String,
    /// The accepted format.
    expected: &'static str,
}

impl ParseError {
    /// An error for `text` that does not have the format `expected`.
    pub(super) fn new(text: &str, expected: &'static str) -> Self {
        Self { text: text.to_owned(), expected }
    }
}

impl Rate {
    /// The rate in calls per second.
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
        let expected =
            "RATE:TIME, such as 120:10s (calls per second) or 0.5x:10s (times the capacity)";
        let error = || ParseError::new(text, expected);
        let (rate, time) = text.split_once(':').ok_or_else(error)?;
        let number = rate.strip_suffix('x').unwrap_or(rate);
        let value: f64 = number.parse().map_err(|_| error())?;
        if !value.is_finite() || value < 0.0 {
            return Err(error());
        }
        let is_multiple = rate.ends_with('x');
        let rate = if is_multiple { Rate::TimesCapacity(value) } else { Rate::PerSecond(value) };
        Ok(Self { rate, duration_ms: parse_ms(time)? })
    }
}

impl FromStr for Window {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error = || ParseError::new(text, "FROM..TO, such as 10s..20s");
        let (from, to) = text.split_once("..").ok_or_else(error)?;
        let (from_ms, to_ms) = (parse_ms(from)?, parse_ms(to)?);
        if from_ms >= to_ms {
            return Err(error());
        }
        Ok(Self { from_ms, to_ms })
    }
}

/// Parses a duration such as `1.5s` or `200ms` into milliseconds.
pub(super) fn parse_ms(text: &str) -> Result<u64, ParseError> {
    let error = || ParseError::new(text, "a time, such as 1.5s or 200ms");
    let (number, factor) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.strip_suffix('s').ok_or_else(error)?, MS_PER_S),
    };
    let value: f64 = number.parse().map_err(|_| error())?;
    if !value.is_finite() || value < 0.0 {
        return Err(error());
    }
    Ok((value * factor).round() as u64)
}
