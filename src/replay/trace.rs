//! The form of a trace.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::config::Settings;
use crate::node::{NodeEvent, NodeIdentity};

/// The form that this program writes and reads.
pub const FORMAT: u32 = 1;

/// The first line: what the node was at its start.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// The form of the trace, [`FORMAT`].
    pub format: u32,
    /// The version of the program that recorded it.
    pub version: String,
    /// When the node was made, in microseconds since the process started.
    pub started_us: u64,
    /// Who the node was.
    pub identity: NodeIdentity,
    /// What it was told at its start.
    pub settings: Settings,
}

/// Every other line: an event and its time, or how the recording ended.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// When the node was told, in microseconds since the process started.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_us: Option<u64>,
    /// What it was told.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub event: Option<NodeEvent>,
    /// How the recording ended; only on the last line.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<End>,
}

/// How a recording ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The node ended, and every event is in the trace.
    Complete,
    /// Events came faster than they could be written: those after this line are missing.
    Incomplete,
}

/// Why a trace cannot be replayed, or not to its end.
#[derive(Debug, Error)]
pub enum TraceError {
    /// The file is empty.
    #[error("line 1: there is no header")]
    NoHeader,
    /// A line makes no sense.
    #[error("line {line}: {cause}")]
    Malformed {
        /// The line, counted from 1.
        line: usize,
        /// What is wrong.
        cause: String,
    },
    /// The recording says that it is not whole.
    #[error("line {line}: the recording is incomplete: events came faster than they were written")]
    Incomplete {
        /// The line, counted from 1.
        line: usize,
    },
    /// There is no last line that says how the recording ended.
    #[error("line {line}: the trace is cut: nothing says how the recording ended")]
    Cut {
        /// The line after the last, counted from 1.
        line: usize,
    },
}

/// Reads a trace line by line.
pub struct TraceReader<'a> {
    /// The lines not yet read.
    lines: std::str::Lines<'a>,
    /// The number of the line read last.
    line: usize,
    /// The time of the event read last.
    at_us: u64,
}

impl<'a> TraceReader<'a> {
    /// Reads the header.
    ///
    /// # Errors
    ///
    /// `NoHeader` or `Malformed`.
    pub fn open(text: &'a str) -> Result<(Header, Self), TraceError> {
        let mut lines = text.lines();
        let first = lines.next().ok_or(TraceError::NoHeader)?;
        let header: Header = read(1, first)?;
        if header.format != FORMAT {
            let cause = format!("the form is {}, and only {FORMAT} can be read", header.format);
            return Err(TraceError::Malformed { line: 1, cause });
        }
        let at_us = header.started_us;
        Ok((header, Self { lines, line: 1, at_us }))
    }

    /// The next event with its time, or none after the last line of a whole trace.
    ///
    /// # Errors
    ///
    /// `Malformed`, `Incomplete` or `Cut`.
    pub fn next_event(&mut self) -> Result<Option<(u64, NodeEvent)>, TraceError> {
        self.line += 1;
        let line = self.line;
        let Some(text) = self.lines.next() else { return Err(TraceError::Cut { line }) };
        match read(line, text)? {
            Line { at_us: Some(at_us), event: Some(event), end: None } => {
                if at_us < self.at_us {
                    return Err(malformed(line, "the time runs backwards"));
                }
                self.at_us = at_us;
                Ok(Some((at_us, event)))
            }
            Line { at_us: None, event: None, end: Some(end) } => self.end(end),
            _ => Err(malformed(line, "neither an event with its time nor the end")),
        }
    }

    /// Takes the last line in.
    fn end(&mut self, end: End) -> Result<Option<(u64, NodeEvent)>, TraceError> {
        if self.lines.next().is_some() {
            return Err(malformed(self.line + 1, "something stands after the end"));
        }
        match end {
            End::Complete => Ok(None),
            End::Incomplete => Err(TraceError::Incomplete { line: self.line }),
        }
    }
}

/// A line that makes no sense.
fn malformed(line: usize, cause: &str) -> TraceError {
    TraceError::Malformed { line, cause: cause.to_owned() }
}

/// Reads one line.
fn read<T: for<'de> Deserialize<'de>>(line: usize, text: &str) -> Result<T, TraceError> {
    serde_json::from_str(text)
        .map_err(|error| TraceError::Malformed { line, cause: error.to_string() })
}
