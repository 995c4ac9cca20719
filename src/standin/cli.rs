//! Command line of the stand-ins.

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

/// How long a stopped target waits for running calls, in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 10_000;

/// run a stand-in for one of the systems around a site: a service of the platform, a target, a
/// caller or the trace collector
#[derive(FromArgs, ArgsInfo, Debug, PartialEq)]
#[argh(subcommand, name = "standin")]
pub struct StandinArgs {
    /// which stand-in to run
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
    /// A target of a service.
    Target(TargetArgs),
    /// The trace collector.
    Collector(CollectorArgs),
    /// An external caller that makes one call.
    Fetch(FetchArgs),
    /// A load generator that acts as external callers.
    Load(LoadArgs),
    /// A benchmark of calls through nodes against direct calls.
    Bench(BenchArgs),
}

/// run the platform's table service in memory
#[derive(FromArgs, ArgsInfo, Debug, PartialEq)]
#[argh(subcommand, name = "table")]
pub struct TableArgs {
    /// address to listen on, as ip:port
    #[argh(option)]
    pub listen: SocketAddr,
}

/// run the platform's object store in memory
#[derive(FromArgs, ArgsInfo, Debug, PartialEq)]
#[argh(subcommand, name = "objects")]
pub struct ObjectsArgs {
    /// address to listen on, as ip:port
    #[argh(option)]
    pub listen: SocketAddr,
}

/// run the operators' trace collector (OTLP over HTTP in JSON)
#[derive(FromArgs, ArgsInfo, Debug, PartialEq)]
#[argh(subcommand, name = "collector")]
pub struct CollectorArgs {
    /// address to listen on, as ip:port
    #[argh(option)]
    pub listen: SocketAddr,
}

/// run one target of a service
#[derive(FromArgs, ArgsInfo, Debug, PartialEq)]
#[argh(subcommand, name = "target")]
pub struct TargetArgs {
    /// the service that the target belongs to
    #[argh(option)]
    pub service: String,
    /// the target's name in its answers (default: its address)
    #[argh(option)]
    pub name: Option<String>,
    /// address to listen on, as ip:port
    #[argh(option)]
    pub listen: SocketAddr,
    /// address on which the node accepts the target (target_listen), as ip:port
    #[argh(option)]
    pub node: Option<SocketAddr>,
    /// maximum number of calls that run concurrently (default: 32)
    #[argh(option, default = "32")]
    pub slots: u32,
    /// dedicated slots by policy arm, as arm=slots,arm=slots; other arms share --slots
    #[argh(option, default = "ArmSlots::default()")]
    pub lane_slots: ArmSlots,
    /// maximum number of calls that wait for a slot (default: 10000)
    #[argh(option, default = "10_000")]
    pub queue_max: u32,
    /// maximum number of connections that the target announces (default: 1000)
    #[argh(option, default = "1_000")]
    pub connections: u32,
    /// mean service time of a call without its child calls, in milliseconds (default: 5)
    #[argh(option, default = "5.0")]
    pub service_ms: f64,
    /// seed of the random service times (default: 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// services to which each call makes child calls, as a,b,c
    #[argh(option, default = "NameList::default()")]
    pub calls: NameList,
    /// make the child calls concurrently instead of in sequence
    #[argh(switch)]
    pub parallel: bool,
    /// how long after its start the target serves calls slowly, in milliseconds (default: 0)
    #[argh(option, default = "0")]
    pub cold_ms: u64,
}

/// make one call as an external caller; fails unless the answer is complete and correct
#[derive(FromArgs, ArgsInfo, Debug, PartialEq)]
#[argh(subcommand, name = "fetch")]
pub struct FetchArgs {
    /// the URL: http://caller_listen/service/path
    #[argh(option)]
    pub url: Url,
    /// the HTTP method (default: GET)
    #[argh(option, default = "Method::GET")]
    pub method: Method,
    /// the body (default: empty)
    #[argh(option, default = "String::new()")]
    pub body: String,
    /// a header as name=value; may be repeated
    #[argh(option)]
    pub header: Vec<String>,
    /// minimum depth of the answer, in services (default: 1)
    #[argh(option, default = "1")]
    pub depth: usize,
    /// timeout in milliseconds (default: 10000)
    #[argh(option, default = "10_000")]
    pub timeout_ms: u64,
}

/// Names separated by commas; empty ones are dropped.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NameList(pub Vec<String>);

impl FromStr for NameList {
    type Err = String;

    fn from_str(value: &str) -> Result<Self, String> {
        let names = value.split(',').filter(|name| !name.is_empty());
        Ok(Self(names.map(str::to_owned).collect()))
    }
}

/// Pairs `arm=slots` separated by commas.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ArmSlots(pub Vec<(String, u32)>);

impl FromStr for ArmSlots {
    type Err = String;

    fn from_str(value: &str) -> Result<Self, String> {
        let mut pairs = Vec::new();
        for pair in value.split(',') {
            let Some((arm, slots)) = pair.split_once('=') else {
                return Err(format!("{pair:?} is not arm=slots"));
            };
            let slots = slots.parse().map_err(|_| format!("{slots:?} is not a number of slots"))?;
            pairs.push((arm.to_owned(), slots));
        }
        Ok(Self(pairs))
    }
}

/// Runs a stand-in: a server until SIGINT or SIGTERM, a caller until its calls have ended.
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

/// Runs a server that stops without draining.
fn run_server(runtime: &tokio::runtime::Runtime, kind: &str, server: Server) -> Result<()> {
    println!("{kind} listens on {}", server.address());
    runtime.block_on(wait_for_stop_signal())?;
    server.stop();
    Ok(())
}

/// Runs a target until SIGINT or SIGTERM, then drains it.
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
        wait_for_stop_signal().await?;
        match target.drain(Duration::from_millis(DRAIN_TIMEOUT_MS)).await {
            0 => Ok(()),
            aborted => Err(eyre!("{aborted} calls were still running when the target stopped")),
        }
    })
}

/// Makes one call and prints the targets that contributed to its answer.
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
        return Err(eyre!("the answer is {depth} services deep, expected at least {}", args.depth));
    }
    println!("{} {}", args.method, args.url);
    println!("  complete and correct after {:.1} ms", fetched.took.as_secs_f64() * 1_000.0);
    println!("  by {}", fetched.answer.targets().join(" -> "));
    Ok(())
}

/// Waits for SIGINT or SIGTERM.
async fn wait_for_stop_signal() -> Result<()> {
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("cannot listen for SIGINT")?;
    let mut terminate = signal(SignalKind::terminate()).wrap_err("cannot listen for SIGTERM")?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}
