//! Formats an explanation as human-readable text.

use std::fmt::Write;

use super::Explanation;
use super::line::Line;
use super::step::{Role, Step};

/// Formats the steps, the cause and the node events around it, one per line.
pub fn page(explanation: &Explanation) -> String {
    let mut page = format!("request {}\n", explanation.id);
    for step in &explanation.steps {
        push_line(&mut page, &step_line(step));
    }
    push_line(&mut page, &format!("cause: {}", explanation.cause));
    if !explanation.context.is_empty() {
        push_line(&mut page, "node events around that time, by each node's own clock:");
    }
    for line in &explanation.context {
        push_line(
            &mut page,
            &format!("  {} {} {} {}", line.unix_ms, line.node, line.name, field_list(line)),
        );
    }
    if explanation.steps.is_empty() && explanation.left_out > 0 {
        push_line(
            &mut page,
            &format!("{} log lines about requests were suppressed", explanation.left_out),
        );
    }
    page
}

fn step_line(step: &Step) -> String {
    let indent = "  ".repeat(step.depth * 2 + 1 + usize::from(step.role == Role::Target));
    let call_id = step.attempt.rsplit('.').next().unwrap_or("");
    let mut text = format!("{indent}{} ", step.node);
    text += match step.role {
        Role::Entry => "received",
        Role::Target => "handled",
    };
    // Writing to a string cannot fail.
    let _ = write!(text, " {call_id}");
    if !step.service.is_empty() {
        let _ = write!(text, " for {}", step.service);
    }
    if !step.offered.is_empty() {
        let _ = write!(text, ", offered to {}", step.offered.join(", "));
    }
    let _ = write!(text, ": {} ({})", step.verdict, step.reason);
    if step.status > 0 {
        let _ = write!(text, ", status {}", step.status);
    }
    let _ = write!(text, ", after {} ms", step.took_ms);
    if step.line.number("limit") > 0 {
        let load = ["running", "waiting", "limit"].map(|field| step.line.number(field));
        let _ = write!(text, "; {} running, {} queued, limit {}", load[0], load[1], load[2]);
    }
    text
}

/// The fields of a line as `name=value`.
fn field_list(line: &Line) -> String {
    let fields = line.fields.iter().map(|(name, value)| format!("{name}={value}"));
    fields.collect::<Vec<_>>().join(" ")
}

fn push_line(page: &mut String, line: &str) {
    page.push_str(line);
    page.push('\n');
}
