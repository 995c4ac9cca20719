//! Replays the kept traces of whole nodes against their stated outcomes.
//!
//! `scripts/record.sh` records them. Where a node comes to decide or draw otherwise on purpose, its
//! answers no longer fit the trace (`strangers` in the report), and the trace is recorded anew.

use std::path::Path;

use aspenspring::replay::{Expectations, TraceError, replay};

/// Replays a trace twice: the outcomes are those stated, and the same each time.
fn check(path: &Path, text: String) -> datatest_stable::Result<()> {
    let expected = std::fs::read_to_string(path.with_extension("expect.json"))?;
    let expected: Expectations = serde_json::from_str(&expected)?;
    let (report, problem) = replay(&text)?;
    if let Some(problem) = problem {
        return Err(problem.into());
    }
    if replay(&text)?.0.digest != report.digest {
        return Err("two replays give two digests".into());
    }
    let mut wrong = expected.differences(&report)?;
    wrong.extend(cut(&text));
    if wrong.is_empty() { Ok(()) } else { Err(wrong.join("\n").into()) }
}

/// What is wrong with how a trace without its last line, or with half of one, is taken.
fn cut(text: &str) -> Option<String> {
    let lines: Vec<&str> = text.lines().collect();
    let (last, rest) = lines.split_last()?;
    let whole = rest.join("\n");
    let half = format!("{whole}\n{}", &last[..last.len() / 2]);
    let without = replay(&whole).map(|(_, problem)| problem);
    if !matches!(without, Ok(Some(TraceError::Cut { line })) if line == lines.len()) {
        return Some(format!("without its last line the trace gives {without:?}"));
    }
    let broken = replay(&half).map(|(_, problem)| problem);
    if !matches!(broken, Ok(Some(TraceError::Malformed { line, .. })) if line == lines.len()) {
        return Some(format!("with half of its last line the trace gives {broken:?}"));
    }
    None
}

datatest_stable::harness! {
    { test = check, root = "tests/traces/node", pattern = r"^.*\.jsonl$" },
}
