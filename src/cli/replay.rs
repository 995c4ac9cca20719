//! The `replay` command: replays a recorded trace and checks the result.

use std::fmt::Write;
use std::path::{Path, PathBuf};

use argh::{ArgsInfo, FromArgs};
use eyre::WrapErr;

use super::{Exit, print, print_json};
use crate::replay::{Expectations, OutcomeCounts, Report, replay};

/// Replay a trace recorded with `node --record` against a new node and report its decisions.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "replay")]
pub struct ReplayArgs {
    /// the recorded trace
    #[argh(positional)]
    pub trace: PathBuf,
    /// a JSON file with expectations to check the report against
    #[argh(option)]
    pub expect: Option<PathBuf>,
    /// print the report as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Replays a trace. The exit code is `Failed` if the trace is invalid or an expectation fails.
pub(super) fn run(args: &ReplayArgs) -> eyre::Result<Exit> {
    let expected: Option<Expectations> = match &args.expect {
        Some(path) => Some(
            serde_json::from_str(&read(path)?)
                .wrap_err_with(|| format!("{} is not a valid expectations file", path.display()))?,
        ),
        None => None,
    };
    let (report, problem) =
        replay(&read(&args.trace)?).wrap_err_with(|| args.trace.display().to_string())?;
    if args.json {
        print_json(&report)?;
    } else {
        print(&text_report(&report))?;
    }
    let mut exit = Exit::Success;
    if let Some(problem) = problem {
        eprintln!(
            "{}: {problem}; the report covers only the lines before it",
            args.trace.display()
        );
        exit = Exit::Failed;
    }
    for differences in expected.iter().map(|expected| expected.differences(&report)) {
        for difference in differences? {
            eprintln!("{}: {difference}", args.trace.display());
            exit = Exit::Failed;
        }
    }
    Ok(exit)
}

fn read(path: &Path) -> eyre::Result<String> {
    std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {}", path.display()))
}

/// Formats the report as text, one figure per line.
fn text_report(report: &Report) -> String {
    let mut text = String::new();
    let figures = [
        ("events", report.events),
        ("microseconds", report.duration_us),
        ("target runs", report.runs),
        ("target runs aborted", report.aborted),
        ("most runs per idempotency key", report.runs_per_key_max),
        ("attempts sent", report.sent),
        ("extra attempts sent", report.extra_sent),
        ("most extra attempts per root", report.extra_per_root_max),
        ("unanswered at the end", report.unanswered),
        ("in flight at the end", report.in_flight),
        ("answers to unknown attempts", report.strangers),
        ("answered twice", report.broken.answered_twice),
        ("reported not run after a run", report.broken.not_run_after_run),
        ("reported not run while in doubt", report.broken.not_run_in_doubt),
        ("reported in doubt without a run", report.broken.timeout_without_run),
    ];
    for (name, figure) in figures {
        write_figure(&mut text, name, figure);
    }
    let groups = [
        ("callers", &report.callers),
        ("confirmations", &report.confirmations),
        ("target calls", &report.target_calls),
        ("other nodes", &report.received),
    ];
    for (name, outcomes) in groups {
        write_outcomes(&mut text, name, outcomes);
    }
    for (outcome, count) in &report.retries {
        write_figure(&mut text, &format!("retry: {outcome}"), *count);
    }
    for (second, count) in report.answered_per_s.iter().enumerate() {
        write_figure(&mut text, &format!("callers answered in second {second}"), *count);
    }
    // Formatting into a `String` does not fail.
    let _ = writeln!(text, "digest {}", report.digest);
    text
}

/// Writes a line for each verdict and reason.
fn write_outcomes(text: &mut String, name: &str, outcomes: &OutcomeCounts) {
    for (reason, count) in &outcomes.reasons {
        write_figure(text, &format!("{name}: {reason}"), *count);
    }
}

/// Writes the line of one figure.
fn write_figure(text: &mut String, name: &str, figure: u64) {
    // Formatting into a `String` does not fail.
    let _ = writeln!(text, "{name:<48} {figure:>12}");
}
