//! The command `explain`.

use std::io::Read;
use std::path::PathBuf;

use argh::{ArgsInfo, FromArgs};
use eyre::WrapErr;

use super::{Exit, print, print_json};
use crate::explain::{Cause, Line, explain, read_lines};

/// Tell from the logs of the nodes what happened to a request, and why it ended as it did.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// the id of the caller's attempt, or of a call made for it
    #[argh(positional)]
    pub id: String,
    /// logs of nodes, one file each or with the node's name before each line; standard input where
    /// none is named
    #[argh(positional)]
    pub logs: Vec<PathBuf>,
    /// print the explanation in JSON
    #[argh(switch)]
    pub json: bool,
}

/// Explains a request. Fails where no line tells of it.
pub(super) fn run(args: &ExplainArgs) -> eyre::Result<Exit> {
    let explanation = explain(&args.id, &read(&args.logs)?);
    if args.json {
        print_json(&explanation)?;
    } else {
        print(&explanation.page())?;
    }
    Ok(if explanation.cause == Cause::NotLogged { Exit::Failed } else { Exit::Done })
}

/// The lines of all logs.
fn read(logs: &[PathBuf]) -> eyre::Result<Vec<Line>> {
    if logs.is_empty() {
        let mut bytes = Vec::new();
        std::io::stdin().read_to_end(&mut bytes).wrap_err("standard input cannot be read")?;
        return Ok(read_lines(&String::from_utf8_lossy(&bytes), "stdin"));
    }
    let mut lines = Vec::new();
    for log in logs {
        let bytes =
            std::fs::read(log).wrap_err_with(|| format!("{} cannot be read", log.display()))?;
        let name = log.file_stem().unwrap_or(log.as_os_str());
        lines.extend(read_lines(&String::from_utf8_lossy(&bytes), &name.to_string_lossy()));
    }
    Ok(lines)
}
