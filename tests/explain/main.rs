//! Explanations of recorded requests. A case is the merged log of several nodes, whose first line
//! names a request, and the text that `aspenspring explain` prints for that request.

use std::path::Path;

use aspenspring::explain::{explain, read_lines};

fn explains(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let (first, log) = text.split_once('\n').ok_or("the case is empty")?;
    let id = first.strip_prefix("# ").ok_or("the first line names no request")?;
    let expected = std::fs::read_to_string(path.with_extension("txt"))?;
    assert_eq!(explain(id, &read_lines(log, "unnamed")).page(), expected);
    Ok(())
}

datatest_stable::harness! {
    { test = explains, root = "tests/explain/cases", pattern = r".*\.log$" },
}
