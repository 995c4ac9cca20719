//! Replays the kept traces of ledgers and attempt books against their stated outcomes.

mod once_world;

use std::path::Path;

use once_world::{Trace, play};

fn replay(path: &Path, text: String) -> datatest_stable::Result<()> {
    let trace: Trace = serde_json::from_str(&text)?;
    let (_, stated) = play(None, &trace.ops).map_err(|rule| format!("{rule:?} is broken"))?;
    if stated != trace.stated {
        let got = serde_json::to_string(&stated)?;
        return Err(format!("{} states something else than {got}", path.display()).into());
    }
    let Some(flaw) = trace.flaw else { return Ok(()) };
    match play(Some(flaw), &trace.ops) {
        Err(rule) if rule == flaw.breaks() => Ok(()),
        other => Err(format!("without {flaw:?} the outcome is {other:?}").into()),
    }
}

datatest_stable::harness! {
    { test = replay, root = "tests/traces/once", pattern = r"^.*\.json$" },
}
