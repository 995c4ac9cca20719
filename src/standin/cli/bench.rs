//! Command line of the benchmark of calls through nodes against direct calls.

use argh::{ArgsInfo, FromArgs};
use eyre::Result;
use reqwest::Url;

use crate::standin::bench::{BenchOptions, Comparison, run};

/// Worker threads of the runtime that runs the clients.
const WORKERS: usize = 4;

/// compare the latency of calls through nodes with the same calls sent directly to targets
#[derive(FromArgs, ArgsInfo, Debug, PartialEq)]
#[argh(subcommand, name = "bench")]
pub struct BenchArgs {
    /// a node's base URL, http://caller_listen; may be repeated
    #[argh(option)]
    pub node: Vec<Url>,
    /// a target's base URL; may be repeated
    #[argh(option)]
    pub target: Vec<Url>,
    /// the path, as /SERVICE/PATH
    #[argh(option)]
    pub path: String,
    /// number of concurrent clients; may be repeated
    #[argh(option)]
    pub concurrent: Vec<usize>,
    /// duration of a round in milliseconds (default: 2000)
    #[argh(option, default = "2_000")]
    pub round_ms: u64,
    /// number of rounds through nodes, and of direct rounds (default: 3)
    #[argh(option, default = "3")]
    pub rounds: u32,
    /// print the comparisons in JSON
    #[argh(switch)]
    pub json: bool,
}

/// Runs the benchmark and prints its comparisons.
pub(super) fn run_bench(args: &BenchArgs) -> Result<()> {
    let options = BenchOptions::builder()
        .nodes(args.node.clone())
        .targets(args.target.clone())
        .path(&args.path)
        .concurrent(args.concurrent.clone())
        .round_ms(args.round_ms)
        .rounds(args.rounds)
        .build();
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(WORKERS).enable_all().build()?;
    let comparisons = runtime.block_on(run(&options))?;
    if args.json {
        println!("{}", serde_json::to_string(&comparisons)?);
        return Ok(());
    }
    println!(
        "{:>10} {:<8} {:>9} {:>7} {:>10} {:>9} {:>9}",
        "concurrent", "calls", "good", "bad", "per s", "p50 ms", "p99 ms"
    );
    for comparison in &comparisons {
        print_comparison(comparison);
    }
    Ok(())
}

/// Prints the lines of one comparison.
fn print_comparison(comparison: &Comparison) {
    for (route, times) in [("direct", &comparison.direct), ("through", &comparison.through)] {
        println!(
            "{:>10} {:<8} {:>9} {:>7} {:>10.1} {:>9.3} {:>9.3}",
            comparison.concurrent,
            route,
            times.good,
            times.bad,
            times.per_s,
            times.p50_ms,
            times.p99_ms
        );
    }
    println!(
        "{:>10} {:<8} {:>37} {:>9.3} {:>9.3}",
        "", "added", "", comparison.added_p50_ms, comparison.added_p99_ms
    );
    println!(
        "{:>10} {:<8} {:>37} {:>9.2} {:>9.2}",
        "",
        "ratio",
        "",
        comparison.through.p50_ms / comparison.direct.p50_ms,
        comparison.through.p99_ms / comparison.direct.p99_ms
    );
}
