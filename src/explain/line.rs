//! One line of a node's log.

use std::net::SocketAddr;

use serde::Serialize;
use serde_json::{Map, Value};

/// The event that a node writes first; it tells the node's name and address.
const STARTED: &str = "MeshStarted";

/// One line of a node's log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The node that wrote it.
    pub node: String,
    /// When it did, by the clock of its VM, in milliseconds since 1970.
    pub unix_ms: u64,
    /// The name of the event.
    pub name: String,
    /// What the event says.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Reads a line. What stands before the JSON, as a collector may put it there, is the name of
    /// the node; otherwise that is `node`. Other lines than those of a node give nothing.
    fn parse(text: &str, node: &str) -> Option<Self> {
        let (before, json) = text.split_at(text.find('{')?);
        let mut fields: Map<String, Value> = serde_json::from_str(json.trim()).ok()?;
        let name = fields.remove("name")?.as_str()?.to_owned();
        let unix_ms = fields.remove("unix_ms")?.as_u64()?;
        fields.remove("severity");
        fields.remove("event");
        let before = before.split_whitespace().next_back().unwrap_or(node);
        let node = before.trim_end_matches([':', '|']).to_owned();
        Some(Self { node, unix_ms, name, fields })
    }

    /// A field that holds text; empty where it is missing.
    pub fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or("")
    }

    /// A field that holds a number; 0 where it is missing.
    pub fn number(&self, field: &str) -> u64 {
        self.fields.get(field).and_then(Value::as_u64).unwrap_or(0)
    }

    /// Whether another line was written within `span_ms` by a clock that may be the same.
    pub fn is_near(&self, unix_ms: u64, span_ms: u64) -> bool {
        self.unix_ms.abs_diff(unix_ms) <= span_ms
    }
}

/// Reads the log of a node, or those of several nodes together with their names before each line.
/// `node` is the name of the node where the log does not tell it.
pub fn read_lines(text: &str, node: &str) -> Vec<Line> {
    let mut node = node.to_owned();
    let mut lines = Vec::new();
    for written in text.lines() {
        let Some(line) = Line::parse(written, &node) else { continue };
        let is_prefixed = !written.starts_with('{');
        if line.name == STARTED && !is_prefixed {
            line.text("node_name").clone_into(&mut node);
        }
        lines.push(if is_prefixed { line } else { Line { node: node.clone(), ..line } });
    }
    lines
}

/// The name of the node that other nodes reach at `address`, where its log is among the lines.
pub fn node_at(lines: &[Line], address: SocketAddr) -> Option<&str> {
    let address = address.to_string();
    let is_its = |line: &&Line| line.name == STARTED && line.text("address") == address;
    lines.iter().rev().find(is_its).map(|line| line.node.as_str())
}

/// How many lines about requests were left out, by what the nodes counted.
pub fn left_out(lines: &[Line]) -> u64 {
    const ABOUT_REQUESTS: [&str; 3] = ["RequestEnded", "CallEnded", "CallerLeft"];
    let about_requests = |line: &&Line| ABOUT_REQUESTS.contains(&line.name.as_str());
    lines.iter().filter(about_requests).map(|line| line.number("suppressed")).sum()
}
