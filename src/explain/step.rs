//! What happened to a request at one node.

use std::net::SocketAddr;

use serde::Serialize;

use super::line::{Line, node_at};

/// What ended a request whose caller left before the answer.
pub const CALLER_LEFT: &str = "caller-left";

/// Who writes about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The node at which it arrived, which chose targets for it.
    Entry,
    /// The node beside a target that had it.
    Target,
}

/// What happened to a request, or to a call made for it, at one node.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Step {
    /// The id of the attempt.
    pub attempt: String,
    /// How many calls lie between it and the caller.
    pub depth: usize,
    /// Who writes.
    pub role: Role,
    /// The node that writes.
    pub node: String,
    /// When it wrote, by its clock, in milliseconds since 1970.
    pub unix_ms: u64,
    /// How long it took there, in milliseconds.
    pub took_ms: u64,
    /// The route by which the caller's request began.
    pub root: String,
    /// The service that was to run it.
    pub service: String,
    /// `answered`, `not_run`, `may_have_run`, or `withdrawn` where its caller had left.
    pub verdict: String,
    /// What ended it.
    pub reason: String,
    /// The status that was given; 0 where the line tells none.
    pub status: u64,
    /// The nodes that it was offered to, by name where that is known.
    pub offered: Vec<String>,
    /// The whole line.
    pub line: Line,
}

impl Step {
    /// Whether it ended otherwise than with the target's answer that it worked.
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
        for place in line.text("offered").split_whitespace() {
            offered.push(name_of(place, &line.node, lines));
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

/// The name of a node that is told of by its address, or as `own`.
pub(super) fn name_of(place: &str, own: &str, lines: &[Line]) -> String {
    if place == "own" {
        return own.to_owned();
    }
    let address = place.parse::<SocketAddr>().ok();
    let named = address.and_then(|address| node_at(lines, address));
    named.unwrap_or(place).to_owned()
}

/// All steps of the request `root`: each attempt before the calls made for it, the entry before the
/// targets, targets in the order in which they were offered it.
pub fn steps(root: &str, lines: &[Line]) -> Vec<Step> {
    let is_its = |attempt: &str| {
        attempt.strip_prefix(root).is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    };
    let mut steps = Vec::new();
    for line in lines {
        if !is_its(line.text("attempt")) {
            continue;
        }
        steps.extend(Step::read(line, lines));
    }
    let mut order = Vec::new();
    for step in &steps {
        order.push((path(&step.attempt), step.role == Role::Target, place_of(step, &steps)));
    }
    let mut indices: Vec<usize> = (0..steps.len()).collect();
    indices.sort_by(|a, b| order[*a].cmp(&order[*b]));
    indices.into_iter().map(|index| steps[index].clone()).collect()
}

/// The parts of the id of an attempt.
fn path(attempt: &str) -> Vec<String> {
    attempt.split('.').map(str::to_owned).collect()
}

/// The place of a step's node among those that the entry offered the attempt to.
fn place_of(step: &Step, steps: &[Step]) -> usize {
    let is_entry = |other: &&Step| other.role == Role::Entry && other.attempt == step.attempt;
    let entry = steps.iter().find(is_entry);
    let place = entry.and_then(|entry| entry.offered.iter().position(|node| *node == step.node));
    place.unwrap_or(usize::MAX)
}
