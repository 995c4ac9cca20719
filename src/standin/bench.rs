//! Measures the latency that nodes add, by comparing calls through nodes with the same calls sent
//! directly to targets.
//!
//! Closed loop: each client sends its next call when the last one has ended. Rounds through nodes
//! and direct rounds alternate, so that other load on the machine affects both.

use std::time::{Duration, Instant};

use bon::Builder;
use reqwest::{Client, Method, Url};
use serde::Serialize;
use tokio::task::JoinSet;

use super::client::client;
use super::fetch::Fetch;
use super::load::quantile;

/// Timeout of a call in milliseconds.
const CALL_TIMEOUT_MS: u64 = 10_000;

/// Options of a benchmark.
#[derive(Builder, Clone, Debug)]
pub struct BenchOptions {
    /// Base URLs of the nodes; clients are spread over them.
    pub nodes: Vec<Url>,
    /// Base URLs of the targets of the same service; clients are spread over them.
    pub targets: Vec<Url>,
    /// `/SERVICE/PATH`.
    #[builder(into)]
    pub path: String,
    /// Numbers of concurrent clients; each gives one comparison.
    pub concurrent: Vec<usize>,
    /// Duration of a round in milliseconds.
    #[builder(default = 2_000)]
    pub round_ms: u64,
    /// Number of rounds of each kind, after one warm-up round that is not counted.
    #[builder(default = 3)]
    pub rounds: u32,
}

/// Figures of the direct calls, or of those through nodes.
#[derive(Clone, Debug, Serialize)]
pub struct Times {
    /// Calls with a complete and correct answer.
    pub good: u64,
    /// All other calls.
    pub bad: u64,
    /// Good calls per second.
    pub per_s: f64,
    /// Median latency of good calls, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile latency of good calls, in milliseconds.
    pub p99_ms: f64,
}

/// The comparison for one number of clients.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// The number of concurrent clients.
    pub concurrent: usize,
    /// Calls sent directly to the targets.
    pub direct: Times,
    /// Calls through nodes.
    pub through: Times,
    /// Latency that nodes add to the median, in milliseconds.
    pub added_p50_ms: f64,
    /// Latency that nodes add to the 99th percentile, in milliseconds.
    pub added_p99_ms: f64,
}

/// Results so far of the direct calls, or of those through nodes.
#[derive(Debug, Default)]
struct Samples {
    good_ms: Vec<f64>,
    bad: u64,
}

/// Runs the comparisons in sequence.
///
/// # Errors
///
/// The HTTP client cannot be created.
pub async fn run(options: &BenchOptions) -> Result<Vec<Comparison>, reqwest::Error> {
    let http = client(Duration::from_millis(CALL_TIMEOUT_MS))?;
    let mut comparisons = Vec::new();
    for concurrent in &options.concurrent {
        let through: Vec<Fetch> = build_fetches(&options.nodes, &options.path, false);
        let direct: Vec<Fetch> = build_fetches(&options.targets, &options.path, true);
        let mut direct_samples = Samples::default();
        let mut through_samples = Samples::default();
        for round in 0..=options.rounds {
            for (fetches, samples) in
                [(&direct, &mut direct_samples), (&through, &mut through_samples)]
            {
                let round_samples = run_round(&http, fetches, *concurrent, options.round_ms).await;
                if round == 0 {
                    continue;
                }
                samples.good_ms.extend(round_samples.good_ms);
                samples.bad += round_samples.bad;
            }
        }
        let seconds = (u64::from(options.rounds) * options.round_ms) as f64 / 1_000.0;
        let (direct, through) =
            (direct_samples.into_times(seconds), through_samples.into_times(seconds));
        comparisons.push(Comparison {
            concurrent: *concurrent,
            added_p50_ms: through.p50_ms - direct.p50_ms,
            added_p99_ms: through.p99_ms - direct.p99_ms,
            direct,
            through,
        });
    }
    Ok(comparisons)
}

/// One call for each base URL; URLs to which `path` cannot be joined are left out.
fn build_fetches(bases: &[Url], path: &str, is_direct: bool) -> Vec<Fetch> {
    let mut fetches = Vec::new();
    for base in bases {
        let Ok(url) = base.join(path) else { continue };
        let (body, headers) = (Vec::new(), Vec::new());
        fetches.push(Fetch { method: Method::GET, url, is_direct, body, headers });
    }
    fetches
}

/// Runs one round with `concurrent` clients.
async fn run_round(http: &Client, fetches: &[Fetch], concurrent: usize, round_ms: u64) -> Samples {
    let end = Instant::now() + Duration::from_millis(round_ms);
    let mut clients = JoinSet::new();
    for number in 0..concurrent {
        let Some(fetch) = fetches.get(number % fetches.len().max(1)) else { break };
        let (http, fetch) = (http.clone(), fetch.clone());
        clients.spawn(async move {
            let mut samples = Samples::default();
            while Instant::now() < end {
                match fetch.run(&http).await {
                    Ok(fetched) => samples.good_ms.push(fetched.took.as_secs_f64() * 1_000.0),
                    Err(_) => samples.bad += 1,
                }
            }
            samples
        });
    }
    let mut all = Samples::default();
    for samples in clients.join_all().await {
        all.good_ms.extend(samples.good_ms);
        all.bad += samples.bad;
    }
    all
}

impl Samples {
    fn into_times(mut self, seconds: f64) -> Times {
        self.good_ms.sort_by(f64::total_cmp);
        Times {
            good: self.good_ms.len() as u64,
            bad: self.bad,
            per_s: self.good_ms.len() as f64 / seconds,
            p50_ms: quantile(&self.good_ms, 0.5).unwrap_or(f64::NAN),
            p99_ms: quantile(&self.good_ms, 0.99).unwrap_or(f64::NAN),
        }
    }
}
