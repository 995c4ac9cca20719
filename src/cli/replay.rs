//! The command `replay`.

use std::fmt::Write;
use std::path::{Path, PathBuf};

use argh::{ArgsInfo, FromArgs};
use eyre::WrapErr;

use super::{Exit, print, print_json};
use crate::replay::{Ends, Expectations, Report, replay};

/// Feed what a node was told, as recorded with `node --record`, to a fresh node and print what it
/// decides.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "replay")]
pub struct ReplayArgs {
    /// the recorded trace
    #[argh(positional)]
    pub trace: PathBuf,
    /// a file in JSON with stated outcomes, to be compared
    #[argh(option)]
    pub expect: Option<PathBuf>,
    /// print the report in JSON
    #[argh(switch)]
    pub json: bool,
}

/// Replays a trace.
pub(super) fn run(args: &ReplayArgs) -> eyre::Result<Exit> {
    let expected: Option<Expectations> = match &args.expect {
        Some(path) => Some(
            serde_json::from_str(&read(path)?)
                .wrap_err_with(|| format!("{} states no outcomes", path.display()))?,
        ),
        None => None,
    };
    let (report, problem) =
        replay(&read(&args.trace)?).wrap_err_with(|| args.trace.display().to_string())?;
    if args.json {
        print_json(&report)?;
    } else {
        print(&page(&report))?;
    }
    let mut exit = Exit::Done;
    if let Some(problem) = problem {
        eprintln!("{}: {problem}; the report stands for what is before it", args.trace.display());
        exit = Exit::Failed;
    }
    for difference in expected.iter().map(|expected| expected.differences(&report)) {
        for sentence in difference? {
            eprintln!("{}: {sentence}", args.trace.display());
            exit = Exit::Failed;
        }
    }
    Ok(exit)
}

/// Reads a file.
fn read(path: &Path) -> eyre::Result<String> {
    std::fs::read_to_string(path).wrap_err_with(|| format!("{} cannot be read", path.display()))
}

/// The report in lines.
fn page(report: &Report) -> String {
    let mut page = String::new();
    let figures = [
        ("events", report.events),
        ("microseconds", report.duration_us),
        ("runs of the target", report.runs),
        ("of them given up", report.aborted),
        ("most runs under one key", report.runs_per_key_max),
        ("attempts sent", report.sent),
        ("of them extra", report.extra_sent),
        ("most extra for one root", report.extra_per_root_max),
        ("unanswered at the end", report.unanswered),
        ("in flight at the end", report.in_flight),
        ("answers to attempts never made", report.strangers),
        ("answered twice", report.broken.answered_twice),
        ("not run after a run", report.broken.not_run_after_run),
        ("not run in doubt", report.broken.not_run_in_doubt),
        ("timed out in doubt without a run", report.broken.timeout_without_run),
    ];
    for (name, figure) in figures {
        line(&mut page, name, figure);
    }
    let groups = [
        ("callers", &report.callers),
        ("confirmations", &report.confirmations),
        ("target's calls", &report.target_calls),
        ("other nodes", &report.received),
    ];
    for (name, ends) in groups {
        add_ends(&mut page, name, ends);
    }
    for (outcome, count) in &report.retries {
        line(&mut page, &format!("retry: {outcome}"), *count);
    }
    for (second, count) in report.answered_per_s.iter().enumerate() {
        line(&mut page, &format!("answered to callers in second {second}"), *count);
    }
    // Writing to a string has no way to fail.
    let _ = writeln!(page, "digest {}", report.digest);
    page
}

/// Adds a line for each verdict and reason.
fn add_ends(page: &mut String, name: &str, ends: &Ends) {
    for (reason, count) in &ends.reasons {
        line(page, &format!("{name}: {reason}"), *count);
    }
}

/// Adds one figure.
fn line(page: &mut String, name: &str, figure: u64) {
    // Writing to a string has no way to fail.
    let _ = writeln!(page, "{name:<48} {figure:>12}");
}
