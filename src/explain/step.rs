//! The steps of a request: the outcomes of its attempts at each node, read from log lines.

use std::net::SocketAddr;

use serde::Serialize;

use super::line::{Line, node_at};

/// The reason of a request whose caller disconnected before the answer.
pub const CALLER_LEFT: &str = "caller-left";

/// The role in which a node logged a line about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The node that received the request and chose targets for it.
    Entry,
    /// The node of a target that the request was sent to.
    Target,
}

/// One step: the outcome of a request, or of one of its nested calls, at one node.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Step {
    /// The id of the attempt.
    pub attempt: String,
    /// The number of calls between the attempt and the caller; 0 for the caller's own request.
    pub depth: usize,
    /// The role of the node.
    pub role: Role,
    /// The node that logged the step.
    pub node: String,
    /// When the line was logged, by the node's clock, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// How long it took there, in milliseconds.
    pub took_ms: u64,
    /// The route of the caller's request.
    pub root: String,
    /// The service that was to run the attempt.
    pub service: String,
    /// `answered`, `not_run`, `may_have_run`, or `withdrawn` if the caller had disconnected.
    pub verdict: String,
    /// Why it ended.
    pub reason: String,
    /// The status of the answer; 0 if the line has none.
    pub status: u64,
    /// The nodes that the attempt was offered to, by name if that is known, otherwise by address.
    pub offered: Vec<String>,
    /// The whole log line.
    pub line: Line,
}

impl Step {
    /// Whether it ended in any other way than with a successful answer of the target.
    pub fn has_failed(&self) -> bool {
        self.verdict != "answered" || self.status >= 500 || self.reason != "answered"
    }

    fn read(line: &Line, lines: &[Line]) -> Option<Self> {
        let role = match line.name.as_str() {
            "RequestEnded" | "CallerLeft" => Role::Entry,
            "CallEnded" => Role::Target,
            _ => return None,
        };
        let (verdict, reason) = match line.name.as_str() {
            "CallerLeft" => ("withdrawn", CALLER_LEFT),
            _ => (line.text("verdict"), line.text("reason")),
        };
        let attempt = line.text("attempt").to_owned();
        let mut offered = Vec::new();
        for peer in line.text("offered").split_whitespace() {
            offered.push(node_name(peer, &line.node, lines));
        }
        Some(Self {
            depth: attempt.matches('.').count(),
            role,
            node: line.node.clone(),
            unix_ms: line.unix_ms,
            took_ms: line.number("took_ms"),
            root: line.text("root").to_owned(),
            service: line.text("service").to_owned(),
            verdict: verdict.to_owned(),
            reason: reason.to_owned(),
            status: line.number("status"),
            offered,
            attempt,
            line: line.clone(),
        })
    }
}

/// The name of a node that a line of `own` refers to by its address or as `own`.
pub(super) fn node_name(peer: &str, own: &str, lines: &[Line]) -> String {
    if peer == "own" {
        return own.to_owned();
    }
    let address = peer.parse::<SocketAddr>().ok();
    let known_name = address.and_then(|address| node_at(lines, address));
    known_name.unwrap_or(peer).to_owned()
}

/// All steps of the request `root`: each attempt before its nested calls, the entry node before the
/// targets, targets in the order in which the attempt was offered to them.
pub fn steps(root: &str, lines: &[Line]) -> Vec<Step> {
    let belongs_to_root = |attempt: &str| {
        attempt.strip_prefix(root).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    };
    let mut steps = Vec::new();
    for line in lines {
        if !belongs_to_root(line.text("attempt")) {
            continue;
        }
        steps.extend(Step::read(line, lines));
    }
    let mut order = Vec::new();
    for step in &steps {
        order.push((
            id_parts(&step.attempt),
            step.role == Role::Target,
            offer_position(step, &steps),
        ));
    }
    let mut indices: Vec<usize> = (0..steps.len()).collect();
    indices.sort_by(|a, b| order[*a].cmp(&order[*b]));
    indices.into_iter().map(|index| steps[index].clone()).collect()
}

/// The parts of an attempt's id, one for each call from the caller downwards.
fn id_parts(attempt: &str) -> Vec<String> {
    attempt.split('.').map(str::to_owned).collect()
}

/// The position of a step's node among those that the entry node offered the attempt to.
fn offer_position(step: &Step, steps: &[Step]) -> usize {
    let is_entry = |other: &&Step| other.role == Role::Entry && other.attempt == step.attempt;
    let entry = steps.iter().find(is_entry);
    let position = entry.and_then(|entry| entry.offered.iter().position(|node| *node == step.node));
    position.unwrap_or(usize::MAX)
}
