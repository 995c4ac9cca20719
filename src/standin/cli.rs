//! The command line of the stand-ins.

mod bench;
mod load;

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use argh::{ArgsInfo, FromArgs};
use eyre::{Result, WrapErr, eyre};
use reqwest::{Method, Url};
use tokio::signal::unix::{SignalKind, signal};

pub use self::bench::BenchArgs;
pub use self::load::LoadArgs;

use super::client::client;
use super::fetch::Fetch;
use super::target::{Target, TargetSettings};
use super::{Server, collector, platform};

/// How long a target that is stopped waits for its calls.
const LEAVE_WAIT_MS: u64 = 10_000;

/// run a small stand-in for something around a site: the platform's services, targets, the
/// collector of traces
#[derive(FromArgs, ArgsInfo, Debug, PartialEq)]
#[argh(subcommand, name = "standin")]
pub struct StandinArgs {
    /// which one
    #[argh(subcommand)]
    pub kind: StandinKind,
}

/// Which stand-in to run.
#[derive(FromArgs, ArgsInfo, Debug, PartialEq)]
#[argh(subcommand)]
pub enum StandinKind {
    /// The table service.
    Table(TableArgs),
    /// The object store.
    Objects(ObjectsArgs),
    /// One target.
    Target(TargetArgs),
    /// The collector of traces.
    Collector(CollectorArgs),
    /// One call of an outside caller.
    Fetch(FetchArgs),
    /// Many calls of outside callers.
    Load(LoadArgs),
    /// Calls through nodes beside calls direct.
    Bench(BenchArgs),
}

/// the platform's table service, in memory
#[derive(FromArgs, ArgsInfo, Debug, PartialEq)]
#[argh(subcommand, name = "table")]
pub struct TableArgs {
    /// where to listen, as ip:port
    #[argh(option)]
    pub listen: SocketAddr,
}

/// the platform's object store, in memory
#[derive(FromArgs, ArgsInfo, Debug, PartialEq)]
#[argh(subcommand, name = "objects")]
pub struct ObjectsArgs {
    /// where to listen, as ip:port
    #[argh(option)]
    pub listen: SocketAddr,
}

/// the operators' collector of traces (OTLP over HTTP in JSON)
#[derive(FromArgs, ArgsInfo, Debug, PartialEq)]
#[argh(subcommand, name = "collector")]
pub struct CollectorArgs {
    /// where to listen, as ip:port
    #[argh(option)]
    pub listen: SocketAddr,
}

/// one target of a service
#[derive(FromArgs, ArgsInfo, Debug, PartialEq)]
#[argh(subcommand, name = "target")]
pub struct TargetArgs {
    /// the service it belongs to
    #[argh(option)]
    pub service: String,
    /// its name in answers; the address where absent
    #[argh(option)]
    pub name: Option<String>,
    /// where to listen, as ip:port
    #[argh(option)]
    pub listen: SocketAddr,
    /// where its node listens for it (target_listen), as ip:port
    #[argh(option)]
    pub node: Option<SocketAddr>,
    /// how many calls it runs at once (32)
    #[argh(option, default = "32")]
    pub slots: u32,
    /// slots set aside for policy arms, as arm=slots,arm=slots; other arms share --slots
    #[argh(option, default = "Lanes::default()")]
    pub lane_slots: Lanes,
    /// how many calls may wait for a slot (10000)
    #[argh(option, default = "10_000")]
    pub queue_max: u32,
    /// how many connections it says that it accepts (1000)
    #[argh(option, default = "1_000")]
    pub connections: u32,
    /// the mean time of its own work for a call, in milliseconds (5)
    #[argh(option, default = "5.0")]
    pub service_ms: f64,
    /// the seed of the times it draws (1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// the services it calls for each call, as a,b,c
    #[argh(option, default = "Names::default()")]
    pub calls: Names,
    /// call them all at once instead of one after the other
    #[argh(switch)]
    pub parallel: bool,
    /// how long after its start it works slowly, in milliseconds (0)
    #[argh(option, default = "0")]
    pub cold_ms: u64,
}

/// one call of an outside caller; fails unless the answer is whole and correct
#[derive(FromArgs, ArgsInfo, Debug, PartialEq)]
#[argh(subcommand, name = "fetch")]
pub struct FetchArgs {
    /// where: http://caller_listen/service/path
    #[argh(option)]
    pub url: Url,
    /// the method (GET)
    #[argh(option, default = "Method::GET")]
    pub method: Method,
    /// the body (empty)
    #[argh(option, default = "String::new()")]
    pub body: String,
    /// a header as name=value; may be repeated
    #[argh(option)]
    pub header: Vec<String>,
    /// how many services deep the answer must be (1)
    #[argh(option, default = "1")]
    pub depth: usize,
    /// how long to wait, in milliseconds (10000)
    #[argh(option, default = "10_000")]
    pub timeout_ms: u64,
}

/// Names between commas.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names(pub Vec<String>);

impl FromStr for Names {
    type Err = String;

    fn from_str(value: &str) -> Result<Self, String> {
        let names = value.split(',').filter(|name| !name.is_empty());
        Ok(Self(names.map(str::to_owned).collect()))
    }
}

/// Pairs `arm=slots` between commas.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lanes(pub Vec<(String, u32)>);

impl FromStr for Lanes {
    type Err = String;

    fn from_str(value: &str) -> Result<Self, String> {
        let mut lanes = Vec::new();
        for pair in value.split(',') {
            let Some((arm, slots)) = pair.split_once('=') else {
                return Err(format!("{pair:?} is not arm=slots"));
            };
            let slots = slots.parse().map_err(|_| format!("{slots:?} is not a number of slots"))?;
            lanes.push((arm.to_owned(), slots));
        }
        Ok(Self(lanes))
    }
}

/// Runs a stand-in until it is told to stop by SIGINT or SIGTERM.
pub fn run(args: &StandinArgs) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    match &args.kind {
        StandinKind::Table(args) => {
            run_server(&runtime, "table", platform::start_table(args.listen)?)
        }
        StandinKind::Objects(args) => {
            run_server(&runtime, "objects", platform::start_objects(args.listen)?)
        }
        StandinKind::Collector(args) => {
            run_server(&runtime, "collector", collector::start(args.listen)?)
        }
        StandinKind::Target(args) => run_target(&runtime, args),
        StandinKind::Fetch(args) => runtime.block_on(run_fetch(args)),
        StandinKind::Load(args) => load::run_load(args),
        StandinKind::Bench(args) => bench::run_bench(args),
    }
}

/// Runs a stand-in that has nothing to finish when it stops.
fn run_server(runtime: &tokio::runtime::Runtime, kind: &str, server: Server) -> Result<()> {
    println!("{kind} listens on {}", server.address());
    runtime.block_on(told_to_stop())?;
    server.stop();
    Ok(())
}

/// Runs a target, which finishes its calls when it is told to stop.
fn run_target(runtime: &tokio::runtime::Runtime, args: &TargetArgs) -> Result<()> {
    let settings = TargetSettings::builder()
        .service(&args.service)
        .name(args.name.clone().unwrap_or_else(|| args.listen.to_string()))
        .listen(args.listen)
        .maybe_node(args.node)
        .slots(args.slots)
        .arm_slots(args.lane_slots.0.clone())
        .queue_max(args.queue_max)
        .connections(args.connections)
        .service_ms(args.service_ms)
        .seed(args.seed)
        .calls(args.calls.0.clone())
        .parallel(args.parallel)
        .cold_ms(args.cold_ms)
        .build();
    let target = Target::start(settings)?;
    println!("target of {} listens on {}", args.service, target.address());
    runtime.block_on(async {
        told_to_stop().await?;
        match target.drain(Duration::from_millis(LEAVE_WAIT_MS)).await {
            0 => Ok(()),
            cut_off => Err(eyre!("{cut_off} calls were cut off")),
        }
    })
}

/// Makes one call and prints who worked for its answer.
async fn run_fetch(args: &FetchArgs) -> Result<()> {
    let mut headers = Vec::new();
    for header in &args.header {
        let Some((name, value)) = header.split_once('=') else {
            return Err(eyre!("{header:?} is not name=value"));
        };
        headers.push((name.to_owned(), value.to_owned()));
    }
    let (method, url) = (args.method.clone(), args.url.clone());
    let body = args.body.clone().into_bytes();
    let fetch = Fetch { method, url, is_direct: false, body, headers };
    let client = client(Duration::from_millis(args.timeout_ms))?;
    let fetched = fetch.run(&client).await?;
    let depth = fetched.answer.depth();
    if depth < args.depth {
        return Err(eyre!("the answer is {depth} services deep, not {}", args.depth));
    }
    println!("{} {}", args.method, args.url);
    println!("  whole and correct after {:.1} ms", fetched.took.as_secs_f64() * 1_000.0);
    println!("  by {}", fetched.answer.targets().join(" -> "));
    Ok(())
}

/// Returns when the process is told to stop.
async fn told_to_stop() -> Result<()> {
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("cannot listen for SIGINT")?;
    let mut terminate = signal(SignalKind::terminate()).wrap_err("cannot listen for SIGTERM")?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}
