//! The command line of the load program.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::PathBuf;

use argh::{ArgsInfo, FromArgs};
use eyre::{Result, WrapErr};
use reqwest::Url;
use tokio::sync::mpsc;

use crate::standin::load::{
    CallKind, LoadOptions, Outcome, Phase, Record, ScheduledPost, Summary, Window, run, run_ms,
};

/// Worker threads of the load program.
const WORKERS: usize = 4;

/// offer calls to a site at set times, whatever becomes of earlier ones, and sum up what came back
#[derive(FromArgs, ArgsInfo, Debug, PartialEq)]
#[argh(subcommand, name = "load")]
pub struct LoadArgs {
    /// a node's base URL, http://caller_listen; may be repeated, calls go to them in turn
    #[argh(option)]
    pub node: Vec<Url>,
    /// a kind of calls, 'NAME WEIGHT METHOD /SERVICE/PATH [own|minted]' with {n} for the call's
    /// number and where its idempotency key comes from; may be repeated
    #[argh(option)]
    pub call: Vec<CallKind>,
    /// RATE:TIME, as 120:10s (calls a second) or 0.5x:10s (times the capacity); may be repeated
    #[argh(option)]
    pub phase: Vec<Phase>,
    /// the capacity in calls a second (100)
    #[argh(option, default = "100.0")]
    pub capacity: f64,
    /// how long an answer is of use, in milliseconds (1000)
    #[argh(option, default = "1_000")]
    pub deadline_ms: u64,
    /// how many services deep a whole answer is at least (1)
    #[argh(option, default = "1")]
    pub depth: usize,
    /// how often a client sends a call again that gave no whole answer (0)
    #[argh(option, default = "0")]
    pub retries: u32,
    /// clients retry only what was not run, and wait as long as they are told
    #[argh(switch)]
    pub polite: bool,
    /// something to post at a set time, 'TIME URL BODY', as a fault; may be repeated
    #[argh(option)]
    pub at: Vec<ScheduledPost>,
    /// when the trigger of overload is there, as 10s..20s, for the recovery time
    #[argh(option)]
    pub trigger: Option<Window>,
    /// the seed of arrivals and kinds (1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// the file that gets a line of JSON for each call
    #[argh(option)]
    pub out: Option<PathBuf>,
    /// print the whole summary in JSON
    #[argh(switch)]
    pub json: bool,
}

/// Makes the calls, writes the records and prints the summary.
pub(super) fn run_load(args: &LoadArgs) -> Result<()> {
    let options = LoadOptions::builder()
        .nodes(args.node.clone())
        .calls(args.call.clone())
        .phases(args.phase.clone())
        .capacity_per_s(args.capacity)
        .deadline_ms(args.deadline_ms)
        .depth(args.depth)
        .retries(args.retries)
        .polite(args.polite)
        .scheduled_posts(args.at.clone())
        .maybe_trigger(args.trigger)
        .seed(args.seed)
        .build();
    let run_ms = run_ms(&options);
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(WORKERS).enable_all().build()?;
    runtime.block_on(run(options, sender))?;
    let mut records = Vec::new();
    while let Ok(record) = receiver.try_recv() {
        records.push(record);
    }
    if let Some(path) = &args.out {
        let file = File::create(path);
        let file = file.wrap_err_with(|| format!("cannot write {}", path.display()))?;
        write_records(file, &records)?;
    }
    let summary = Summary::new(&records, run_ms, args.trigger);
    if args.json {
        println!("{}", serde_json::to_string(&summary)?);
    } else {
        print_summary(&summary);
    }
    Ok(())
}

/// Writes a line of JSON for each call.
fn write_records(file: File, records: &[Record]) -> Result<()> {
    let mut file = BufWriter::new(file);
    for record in records {
        serde_json::to_writer(&mut file, record)?;
        file.write_all(b"\n")?;
    }
    file.flush()?;
    Ok(())
}

/// Prints one line for each kind and arm.
fn print_summary(summary: &Summary) {
    println!(
        "{:<12} {:<12} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9} {:>11}",
        "kind",
        "arm",
        "offered",
        "good",
        "not-run",
        "may-run",
        "other",
        "attempts",
        "good/s",
        "p50 ms",
        "p99 ms",
        "recovery ms"
    );
    for group in &summary.groups {
        let count = |outcome: Outcome| group.outcomes.get(&outcome).copied().unwrap_or(0);
        let (good, not_run) = (count(Outcome::Good), count(Outcome::NotRun));
        let may_have_run = count(Outcome::MayHaveRun);
        println!(
            "{:<12} {:<12} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9.1} {:>9} {:>9} {:>11}",
            group.kind,
            group.arm,
            group.offered,
            good,
            not_run,
            may_have_run,
            group.offered - good - not_run - may_have_run,
            group.attempts,
            group.goodput_per_s,
            format_ms(group.good_p50_ms),
            format_ms(group.good_p99_ms),
            group.recovery_ms.map_or("-".to_owned(), |recovery_ms| recovery_ms.to_string()),
        );
    }
}

/// A time with one decimal, or a dash.
fn format_ms(value_ms: Option<f64>) -> String {
    value_ms.map_or("-".to_owned(), |value_ms| format!("{value_ms:.1}"))
}
