//! Command line of the load generator.

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

/// Worker threads of the runtime that makes the calls.
const WORKERS: usize = 4;

/// send calls to a site at scheduled times, independent of earlier calls, and summarize the results
#[derive(FromArgs, ArgsInfo, Debug, PartialEq)]
#[argh(subcommand, name = "load")]
pub struct LoadArgs {
    /// a node's base URL, http://caller_listen; may be repeated, calls go to the nodes in turn
    #[argh(option)]
    pub node: Vec<Url>,
    /// a kind of calls, 'NAME WEIGHT METHOD /SERVICE/PATH [own|minted]', where {n} stands for the
    /// call's number, own generates an idempotency key and minted gets one from a node; may be
    /// repeated
    #[argh(option)]
    pub call: Vec<CallKind>,
    /// a phase, RATE:TIME, such as 120:10s (calls per second) or 0.5x:10s (times the capacity); may
    /// be repeated
    #[argh(option)]
    pub phase: Vec<Phase>,
    /// the capacity in calls per second (default: 100)
    #[argh(option, default = "100.0")]
    pub capacity: f64,
    /// deadline of each call, in milliseconds (default: 1000)
    #[argh(option, default = "1_000")]
    pub deadline_ms: u64,
    /// minimum depth of a complete answer, in services (default: 1)
    #[argh(option, default = "1")]
    pub depth: usize,
    /// maximum number of retries of a call that got no complete answer (default: 0)
    #[argh(option, default = "0")]
    pub retries: u32,
    /// clients retry only calls that did not run, and honour retry-after
    #[argh(switch)]
    pub polite: bool,
    /// a request to post at a scheduled time, 'TIME URL BODY', for example to inject a fault; may
    /// be repeated
    #[argh(option)]
    pub at: Vec<ScheduledPost>,
    /// the window in which the cause of the overload is active, such as 10s..20s; recovery time
    /// counts from its end
    #[argh(option)]
    pub trigger: Option<Window>,
    /// seed of the arrival times and kinds (default: 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// file to which a line of JSON is written for each call
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

/// Writes the records as JSON lines.
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

/// Formats a time with one decimal, or a dash if there is none.
fn format_ms(value_ms: Option<f64>) -> String {
    value_ms.map_or("-".to_owned(), |value_ms| format!("{value_ms:.1}"))
}
