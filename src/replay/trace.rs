//! The trace file format and its reader.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::config::Settings;
use crate::node::{NodeEvent, NodeIdentity};

/// The version of the trace format that this program writes and reads.
pub const FORMAT: u32 = 1;

/// The first line of a trace: the initial state of the node.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// The version of the trace format, [`FORMAT`].
    pub format: u32,
    /// The version of the program that recorded the trace.
    pub version: String,
    /// When the node was created, in microseconds since the start of the process.
    pub started_us: u64,
    /// The identity of the node.
    pub identity: NodeIdentity,
    /// The settings that the node was started with.
    pub settings: Settings,
}

/// Every line after the header: either an event with its time or the end of the recording.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// When the node handled the event, in microseconds since the start of the process.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_us: Option<u64>,
    /// The event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub event: Option<NodeEvent>,
    /// The result of the recording; only on the last line.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<End>,
}

/// The result of a recording.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The node stopped, and the trace contains every event.
    Complete,
    /// Events arrived faster than they could be written. The trace ends before the first
    /// lost event.
    Incomplete,
}

/// An error reading a trace.
#[derive(Debug, Error)]
pub enum TraceError {
    /// The file is empty.
    #[error("line 1: missing header")]
    NoHeader,
    /// A line is malformed or out of order.
    #[error("line {line}: {cause}")]
    Malformed {
        /// The line, counted from 1.
        line: usize,
        /// The description of the error.
        cause: String,
    },
    /// The last line marks the recording as incomplete.
    #[error(
        "line {line}: the recording is incomplete: events arrived faster than they were written"
    )]
    Incomplete {
        /// The line, counted from 1.
        line: usize,
    },
    /// The end line is missing.
    #[error("line {line}: the trace is truncated: the end line is missing")]
    Truncated {
        /// The line where the end was expected, counted from 1.
        line: usize,
    },
}

/// Reads a trace line by line.
pub struct TraceReader<'a> {
    /// The remaining lines.
    lines: std::str::Lines<'a>,
    /// The number of the line read last, counted from 1.
    line: usize,
    /// The time of the event read last, in microseconds; times must not decrease.
    at_us: u64,
}

impl<'a> TraceReader<'a> {
    /// Reads the header and checks the format version.
    ///
    /// # Errors
    ///
    /// `NoHeader` or `Malformed`.
    pub fn open(text: &'a str) -> Result<(Header, Self), TraceError> {
        let mut lines = text.lines();
        let first = lines.next().ok_or(TraceError::NoHeader)?;
        let header: Header = parse(1, first)?;
        if header.format != FORMAT {
            let cause = format!("unsupported format version {}, expected {FORMAT}", header.format);
            return Err(TraceError::Malformed { line: 1, cause });
        }
        let at_us = header.started_us;
        Ok((header, Self { lines, line: 1, at_us }))
    }

    /// Returns the next event with its time in microseconds, or `None` at the end of a complete
    /// trace.
    ///
    /// # Errors
    ///
    /// `Malformed`, `Incomplete` or `Truncated`.
    pub fn next_event(&mut self) -> Result<Option<(u64, NodeEvent)>, TraceError> {
        self.line += 1;
        let line = self.line;
        let Some(text) = self.lines.next() else { return Err(TraceError::Truncated { line }) };
        match parse(line, text)? {
            Line { at_us: Some(at_us), event: Some(event), end: None } => {
                if at_us < self.at_us {
                    return Err(malformed(
                        line,
                        "the time is earlier than that of the previous event",
                    ));
                }
                self.at_us = at_us;
                Ok(Some((at_us, event)))
            }
            Line { at_us: None, event: None, end: Some(end) } => self.finish(end),
            _ => Err(malformed(line, "expected either an event with its time or the end")),
        }
    }

    /// Handles the end line.
    fn finish(&mut self, end: End) -> Result<Option<(u64, NodeEvent)>, TraceError> {
        if self.lines.next().is_some() {
            return Err(malformed(self.line + 1, "unexpected line after the end"));
        }
        match end {
            End::Complete => Ok(None),
            End::Incomplete => Err(TraceError::Incomplete { line: self.line }),
        }
    }
}

fn malformed(line: usize, cause: &str) -> TraceError {
    TraceError::Malformed { line, cause: cause.to_owned() }
}

/// Parses one line.
fn parse<T: for<'de> Deserialize<'de>>(line: usize, text: &str) -> Result<T, TraceError> {
    serde_json::from_str(text)
        .map_err(|error| TraceError::Malformed { line, cause: error.to_string() })
}
