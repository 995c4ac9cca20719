//! The `explain` command: reconstructs what happened to a request from node logs.

use std::io::Read;
use std::path::PathBuf;

use argh::{ArgsInfo, FromArgs};
use eyre::WrapErr;

use super::{Exit, print, print_json};
use crate::explain::{Cause, Line, explain, read_lines};

/// Reconstruct from node logs what happened to a request and why it ended as it did.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// the id of the caller's attempt, or of a call made on its behalf
    #[argh(positional)]
    pub id: String,
    /// node log files, either one per node or with the node name at the start of each line;
    /// standard input if none is given
    #[argh(positional)]
    pub logs: Vec<PathBuf>,
    /// print the explanation as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Explains a request. The exit code is `Failed` if no log line mentions it.
pub(super) fn run(args: &ExplainArgs) -> eyre::Result<Exit> {
    let explanation = explain(&args.id, &read(&args.logs)?);
    if args.json {
        print_json(&explanation)?;
    } else {
        print(&explanation.page())?;
    }
    Ok(if explanation.cause == Cause::NotLogged { Exit::Failed } else { Exit::Success })
}

/// Reads the lines of all logs. If a log does not name its node, the file stem or `stdin` is used.
fn read(logs: &[PathBuf]) -> eyre::Result<Vec<Line>> {
    if logs.is_empty() {
        let mut bytes = Vec::new();
        std::io::stdin().read_to_end(&mut bytes).wrap_err("cannot read standard input")?;
        return Ok(read_lines(&String::from_utf8_lossy(&bytes), "stdin"));
    }
    let mut lines = Vec::new();
    for log in logs {
        let bytes =
            std::fs::read(log).wrap_err_with(|| format!("cannot read {}", log.display()))?;
        let name = log.file_stem().unwrap_or(log.as_os_str());
        lines.extend(read_lines(&String::from_utf8_lossy(&bytes), &name.to_string_lossy()));
    }
    Ok(lines)
}
