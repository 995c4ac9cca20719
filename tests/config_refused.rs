//! Tests that invalid settings are refused with the expected problems.
//!
//! Each JSON file in `settings/refused` is merged as an overlay into valid settings of a node. The
//! problems that are found must be exactly those in its `.problems` file.

use std::path::{Path, PathBuf};

use aspenspring::config;

/// The valid settings that each overlay is merged into.
const BASE_FILES: [&str; 3] = ["base.json", "jordan.json", "nodes/souq-catalogue-1.json"];

fn is_refused(case: &Path) -> datatest_stable::Result<()> {
    let sites = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/sites");
    let mut files: Vec<PathBuf> = BASE_FILES.iter().map(|file| sites.join(file)).collect();
    files.push(case.to_path_buf());
    let Err(problems) = config::load(&files) else {
        return Err("the settings were accepted".into());
    };
    let mut found = String::new();
    for mut problem in problems {
        let file = problem.file.take().ok_or("a problem has no file")?;
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
