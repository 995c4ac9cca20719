//! Reads the log lines of nodes.

use std::net::SocketAddr;

use serde::Serialize;
use serde_json::{Map, Value};

/// The event that a node logs first, with its name and address.
const STARTED_EVENT: &str = "MeshStarted";

/// One line of a node's log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The node that logged the line.
    pub node: String,
    /// The time by the clock of the node's VM, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// The name of the event.
    pub name: String,
    /// The fields of the event.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Parses a line. The last word before the JSON, which a log collector may add, is the name of
    /// the node; without one it is `node`. Returns `None` for lines of other programs.
    fn parse(text: &str, node: &str) -> Option<Self> {
        let (prefix, json) = text.split_at(text.find('{')?);
        let mut fields: Map<String, Value> = serde_json::from_str(json.trim()).ok()?;
        let name = fields.remove("name")?.as_str()?.to_owned();
        let unix_ms = fields.remove("unix_ms")?.as_u64()?;
        fields.remove("severity");
        fields.remove("event");
        let prefix = prefix.split_whitespace().next_back().unwrap_or(node);
        let node = prefix.trim_end_matches([':', '|']).to_owned();
        Some(Self { node, unix_ms, name, fields })
    }

    /// A text field; empty if it is missing.
    pub fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or("")
    }

    /// A number field; 0 if it is missing.
    pub fn number(&self, field: &str) -> u64 {
        self.fields.get(field).and_then(Value::as_u64).unwrap_or(0)
    }

    /// Whether the line was logged within `span_ms` of `unix_ms`, assuming that the clocks agree.
    pub fn is_within(&self, unix_ms: u64, span_ms: u64) -> bool {
        self.unix_ms.abs_diff(unix_ms) <= span_ms
    }
}

/// Reads the log of one node, or the merged logs of several nodes with the node's name before each
/// line. `node` is the name to use until the log states one.
pub fn read_lines(text: &str, node: &str) -> Vec<Line> {
    let mut node = node.to_owned();
    let mut lines = Vec::new();
    for log_line in text.lines() {
        let Some(line) = Line::parse(log_line, &node) else { continue };
        let is_prefixed = !log_line.starts_with('{');
        if line.name == STARTED_EVENT && !is_prefixed {
            line.text("node_name").clone_into(&mut node);
        }
        lines.push(if is_prefixed { line } else { Line { node: node.clone(), ..line } });
    }
    lines
}

/// The name of the node that listens for peers at `address`, if its log is among the lines.
pub fn node_at(lines: &[Line], address: SocketAddr) -> Option<&str> {
    let address = address.to_string();
    let is_start_at_address =
        |line: &&Line| line.name == STARTED_EVENT && line.text("address") == address;
    lines.iter().rev().find(is_start_at_address).map(|line| line.node.as_str())
}

/// How many lines about requests the nodes suppressed, by their own counts.
pub fn suppressed_request_lines(lines: &[Line]) -> u64 {
    const REQUEST_EVENTS: [&str; 3] = ["RequestEnded", "CallEnded", "CallerLeft"];
    let is_request_event = |line: &&Line| REQUEST_EVENTS.contains(&line.name.as_str());
    lines.iter().filter(is_request_event).map(|line| line.number("suppressed")).sum()
}
