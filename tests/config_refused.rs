//! Each file in `settings/refused` is laid over the settings of a node that are well; the file
//! beside it names every problem that must be found, and nothing else may be.

use std::path::{Path, PathBuf};

use aspenspring::config;

/// The files that each refused one is laid over.
const BELOW: [&str; 3] = ["base.json", "jordan.json", "nodes/souq-catalogue-1.json"];

fn is_refused(case: &Path) -> datatest_stable::Result<()> {
    let sites = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/sites");
    let mut files: Vec<PathBuf> = BELOW.iter().map(|file| sites.join(file)).collect();
    files.push(case.to_path_buf());
    let Err(problems) = config::load(&files) else {
        return Err("the settings were accepted".into());
    };
    let mut found = String::new();
    for mut problem in problems {
        let file = problem.file.take().ok_or("a problem without a file")?;
        problem.file = file.file_name().map(PathBuf::from);
        found.push_str(&format!("{problem}\n"));
    }
    let expected = std::fs::read_to_string(case.with_extension("problems"))?;
    if found != expected {
        return Err(format!("expected:\n{expected}\nfound:\n{found}").into());
    }
    Ok(())
}

datatest_stable::harness! {
    { test = is_refused, root = "tests/settings/refused", pattern = r"\.json$" },
}
