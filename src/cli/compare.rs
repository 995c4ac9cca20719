//! The command `compare`.

use std::fmt::Write;
use std::path::PathBuf;

use argh::{ArgsInfo, FromArgs};
use eyre::WrapErr;

use super::{Exit, print, print_json};
use crate::compare::{ArmFigures, CompareOptions, Run, Spread, compare, plot};
use crate::standin::load::Window;

/// Compare the policy arms of runs: goodput by kind of calls, latency, wasted work, attempts and
/// recovery, each as the median over the runs with the least and the greatest.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "compare")]
pub struct CompareArgs {
    /// a directory with what was kept of a run: records.jsonl, as `standin load --out` writes it,
    /// and of each node a scrape of its metrics after the run, NAME.prom, and before it,
    /// NAME.prom.before; may be repeated
    #[argh(option)]
    pub run: Vec<PathBuf>,
    /// count only calls due in this time, as 10s..20s; recovery looks at the whole run
    #[argh(option)]
    pub during: Option<Window>,
    /// when the trigger of overload was there, as 10s..20s, for the recovery time
    #[argh(option)]
    pub trigger: Option<Window>,
    /// write a picture of goodput over time to this file (SVG)
    #[argh(option)]
    pub plot: Option<PathBuf>,
    /// print a list in JSON
    #[argh(switch)]
    pub json: bool,
}

/// Compares arms.
pub(super) fn run(args: &CompareArgs) -> eyre::Result<Exit> {
    if args.run.is_empty() {
        eprintln!("Name the directory of a run with --run.");
        return Ok(Exit::Usage);
    }
    let mut runs = Vec::new();
    for dir in &args.run {
        runs.push(Run::read(dir)?);
    }
    if let Some(file) = &args.plot {
        std::fs::write(file, plot(&runs, args.trigger)?)
            .wrap_err_with(|| format!("{} cannot be written", file.display()))?;
    }
    let options = CompareOptions { during: args.during, trigger: args.trigger };
    let figures = compare(&runs, options);
    if args.json {
        print_json(&figures)?;
        return Ok(Exit::Done);
    }
    print(&table(&figures, runs.len())?)?;
    Ok(Exit::Done)
}

/// The figures as lines of text.
fn table(figures: &[ArmFigures], runs: usize) -> Result<String, std::fmt::Error> {
    let mut lines = String::new();
    let plural = if runs == 1 { "" } else { "s" };
    writeln!(lines, "Median over {runs} run{plural} (least to greatest).")?;
    for figure in figures {
        let arm = if figure.arm.is_empty() { "(not told)" } else { &figure.arm };
        writeln!(lines, "\narm {arm}, {} calls", figure.kind)?;
        write_line(&mut lines, "offered", Some(figure.offered), 0)?;
        write_line(&mut lines, "good a second", Some(figure.goodput_per_s), 1)?;
        write_line(&mut lines, "good share", Some(figure.good_share), 4)?;
        write_line(&mut lines, "p50 of good, ms", figure.good_p50_ms, 1)?;
        write_line(&mut lines, "p99 of good, ms", figure.good_p99_ms, 1)?;
        write_line(&mut lines, "client attempts", Some(figure.client_attempts), 3)?;
        write_line(&mut lines, "attempts per root", figure.attempts_per_root, 3)?;
        write_line(&mut lines, "wasted share", figure.wasted_share, 4)?;
        write_line(&mut lines, "recovery, ms", figure.recovery_ms, 0)?;
        if figure.unrecovered > 0 {
            writeln!(lines, "  {:<20} {} of {runs}", "not recovered", figure.unrecovered)?;
        }
    }
    Ok(lines)
}

/// Writes one figure, where there is one.
fn write_line(
    lines: &mut String,
    name: &str,
    spread: Option<Spread>,
    digits: usize,
) -> std::fmt::Result {
    let Some(Spread { median, min, max, .. }) = spread else {
        return Ok(());
    };
    writeln!(lines, "  {name:<20} {median:>10.digits$}  ({min:.digits$} to {max:.digits$})")
}
