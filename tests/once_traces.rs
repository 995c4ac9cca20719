//! Replays the recorded traces of ledgers and attempt tables and checks their expected outcomes.

mod once_world;

use std::path::Path;

use once_world::{Trace, run_ops};

fn replay(path: &Path, text: String) -> datatest_stable::Result<()> {
    let trace: Trace = serde_json::from_str(&text)?;
    let (_, outcome) =
        run_ops(None, &trace.ops).map_err(|invariant| format!("{invariant:?} is violated"))?;
    if outcome != trace.expected {
        let got = serde_json::to_string(&outcome)?;
        return Err(format!(
            "{}: the outcome differs from the recorded one: {got}",
            path.display()
        )
        .into());
    }
    let Some(flaw) = trace.flaw else { return Ok(()) };
    match run_ops(Some(flaw), &trace.ops) {
        Err(invariant) if invariant == flaw.violates() => Ok(()),
        other => Err(format!("with the flaw {flaw:?} the outcome is {other:?}").into()),
    }
}

datatest_stable::harness! {
    { test = replay, root = "tests/traces/once", pattern = r"^.*\.json$" },
}
