//! An explanation as text for people.

use std::fmt::Write;

use super::Explanation;
use super::line::Line;
use super::step::{Role, Step};

/// Writes an explanation.
pub fn page(explanation: &Explanation) -> String {
    let mut page = format!("request {}\n", explanation.id);
    for step in &explanation.steps {
        push(&mut page, &sentence(step));
    }
    push(&mut page, &format!("cause: {}", explanation.cause));
    if !explanation.context.is_empty() {
        push(&mut page, "around it, by each node's own clock:");
    }
    for line in &explanation.context {
        push(&mut page, &format!("  {} {} {} {}", line.unix_ms, line.node, line.name, told(line)));
    }
    if explanation.steps.is_empty() && explanation.left_out > 0 {
        push(&mut page, &format!("{} lines about requests were left out", explanation.left_out));
    }
    page
}

/// One step in a line.
fn sentence(step: &Step) -> String {
    let indent = "  ".repeat(step.depth * 2 + 1 + usize::from(step.role == Role::Target));
    let part = step.attempt.rsplit('.').next().unwrap_or("");
    let mut text = format!("{indent}{} ", step.node);
    text += match step.role {
        Role::Entry => "took in",
        Role::Target => "had",
    };
    // Writing to a string has no way to fail.
    let _ = write!(text, " {part}");
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
        let _ = write!(text, "; {} ran, {} waited, {} may run", load[0], load[1], load[2]);
    }
    text
}

/// The fields of a line.
fn told(line: &Line) -> String {
    let fields = line.fields.iter().map(|(name, value)| format!("{name}={value}"));
    fields.collect::<Vec<_>>().join(" ")
}

fn push(page: &mut String, line: &str) {
    page.push_str(line);
    page.push('\n');
}
