//! Replays recorded traces of nodes and compares the outcomes with the expected ones.
//!
//! `scripts/record.sh` records the traces. After an intended change to a node's decisions or to its
//! use of random numbers, its answers no longer match a trace (`strangers` in the report), and the
//! trace must be recorded again.

use std::path::Path;

use aspenspring::replay::{Expectations, TraceError, replay};

/// Replays a trace twice: the outcomes are as expected and the digests are equal.
fn check(path: &Path, text: String) -> datatest_stable::Result<()> {
    let expected = std::fs::read_to_string(path.with_extension("expect.json"))?;
    let expected: Expectations = serde_json::from_str(&expected)?;
    let (report, problem) = replay(&text)?;
    if let Some(problem) = problem {
        return Err(problem.into());
    }
    if replay(&text)?.0.digest != report.digest {
        return Err("two replays of the trace gave different digests".into());
    }
    let mut differences = expected.differences(&report)?;
    differences.extend(check_truncated(&text));
    if differences.is_empty() { Ok(()) } else { Err(differences.join("\n").into()) }
}

/// Checks the problem reported for a trace without its last line and for one with half of it;
/// returns a description of a wrong report.
fn check_truncated(text: &str) -> Option<String> {
    let lines: Vec<&str> = text.lines().collect();
    let (last, rest) = lines.split_last()?;
    let without_last_line = rest.join("\n");
    let with_half_line = format!("{without_last_line}\n{}", &last[..last.len() / 2]);
    let without_result = replay(&without_last_line).map(|(_, problem)| problem);
    if !matches!(without_result, Ok(Some(TraceError::Truncated { line })) if line == lines.len()) {
        return Some(format!("replay without the last line gave {without_result:?}"));
    }
    let half_result = replay(&with_half_line).map(|(_, problem)| problem);
    if !matches!(half_result, Ok(Some(TraceError::Malformed { line, .. })) if line == lines.len()) {
        return Some(format!("replay with half of the last line gave {half_result:?}"));
    }
    None
}

datatest_stable::harness! {
    { test = check, root = "tests/traces/node", pattern = r"^.*\.jsonl$" },
}
