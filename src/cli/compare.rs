//! The `compare` command: compares the policy arms of recorded runs.

use std::fmt::Write;
use std::path::PathBuf;

use argh::{ArgsInfo, FromArgs};
use eyre::WrapErr;

use super::{Exit, print, print_json};
use crate::compare::{ArmFigures, CompareOptions, Run, Spread, compare, plot};
use crate::standin::load::Window;

/// Compare the policy arms of recorded runs: goodput per kind of call, latency, wasted work,
/// attempts and recovery time, each as the median, minimum and maximum over the runs.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "compare")]
pub struct CompareArgs {
    /// the directory of a run, with records.jsonl as written by `standin load --out` and, for
    /// each node, a metrics scrape taken after the run, NAME.prom, and optionally one taken before
    /// it, NAME.prom.before; may be repeated
    #[argh(option)]
    pub run: Vec<PathBuf>,
    /// count only calls scheduled in this window, such as 10s..20s; recovery time always uses the
    /// whole run
    #[argh(option)]
    pub during: Option<Window>,
    /// the window in which the cause of the overload was active, such as 10s..20s; needed for the
    /// recovery time
    #[argh(option)]
    pub trigger: Option<Window>,
    /// write a plot of goodput over time to this file (SVG)
    #[argh(option)]
    pub plot: Option<PathBuf>,
    /// print a JSON array
    #[argh(switch)]
    pub json: bool,
}

/// Reads the runs, writes the plot if `--plot` is given and prints the figures of each arm.
pub(super) fn run(args: &CompareArgs) -> eyre::Result<Exit> {
    if args.run.is_empty() {
        eprintln!("Give at least one run directory with --run.");
        return Ok(Exit::Usage);
    }
    let mut runs = Vec::new();
    for dir in &args.run {
        runs.push(Run::read(dir)?);
    }
    if let Some(file) = &args.plot {
        std::fs::write(file, plot(&runs, args.trigger)?)
            .wrap_err_with(|| format!("cannot write {}", file.display()))?;
    }
    let options = CompareOptions { during: args.during, trigger: args.trigger };
    let figures = compare(&runs, options);
    if args.json {
        print_json(&figures)?;
        return Ok(Exit::Success);
    }
    print(&table(&figures, runs.len())?)?;
    Ok(Exit::Success)
}

/// Formats the figures as text.
fn table(figures: &[ArmFigures], runs: usize) -> Result<String, std::fmt::Error> {
    let mut lines = String::new();
    let plural = if runs == 1 { "" } else { "s" };
    writeln!(lines, "Median over {runs} run{plural} (minimum to maximum).")?;
    for figure in figures {
        let arm = if figure.arm.is_empty() { "(unknown)" } else { &figure.arm };
        writeln!(lines, "\narm {arm}, {} calls", figure.kind)?;
        write_figure(&mut lines, "offered", Some(figure.offered), 0)?;
        write_figure(&mut lines, "good per second", Some(figure.goodput_per_s), 1)?;
        write_figure(&mut lines, "good share", Some(figure.good_share), 4)?;
        write_figure(&mut lines, "p50 of good, ms", figure.good_p50_ms, 1)?;
        write_figure(&mut lines, "p99 of good, ms", figure.good_p99_ms, 1)?;
        write_figure(&mut lines, "client attempts", Some(figure.client_attempts), 3)?;
        write_figure(&mut lines, "attempts per root", figure.attempts_per_root, 3)?;
        write_figure(&mut lines, "wasted share", figure.wasted_share, 4)?;
        write_figure(&mut lines, "recovery, ms", figure.recovery_ms, 0)?;
        if figure.unrecovered > 0 {
            writeln!(lines, "  {:<20} {} of {runs}", "not recovered", figure.unrecovered)?;
        }
    }
    Ok(lines)
}

/// Writes the line of one figure; nothing if the figure is absent.
fn write_figure(
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
