//! The time that nodes add to a call: calls through nodes beside the same calls direct.
//!
//! Closed loop: each client sends its next call when the last one has ended. Rounds through nodes
//! and direct alternate, so that whatever else the machine does falls on both.

use std::time::{Duration, Instant};

use bon::Builder;
use reqwest::{Client, Method, Url};
use serde::Serialize;
use tokio::task::JoinSet;

use super::client::client;
use super::fetch::Fetch;
use super::load::quantile;

/// How long any call may take, in milliseconds.
const CALL_MAX_MS: u64 = 10_000;

/// What a comparison is told.
#[derive(Builder, Clone, Debug)]
pub struct BenchOptions {
    /// Base URLs of the nodes that are called, in turn.
    pub nodes: Vec<Url>,
    /// Base URLs of the same service's targets, in turn.
    pub targets: Vec<Url>,
    /// The service and the path.
    #[builder(into)]
    pub path: String,
    /// How many clients there are, one comparison for each number.
    pub concurrent: Vec<usize>,
    /// How long one round lasts, in milliseconds.
    #[builder(default = 2_000)]
    pub round_ms: u64,
    /// How many rounds there are of each sort; one more of each comes first and is not counted.
    #[builder(default = 3)]
    pub rounds: u32,
}

/// The times of calls of one sort.
#[derive(Clone, Debug, Serialize)]
pub struct Times {
    /// Calls that gave a whole and correct answer.
    pub good: u64,
    /// Calls that did not.
    pub bad: u64,
    /// Good calls a second.
    pub per_s: f64,
    /// Their median time, in milliseconds.
    pub p50_ms: f64,
    /// The time that 99 in 100 of them stay under, in milliseconds.
    pub p99_ms: f64,
}

/// The comparison for one number of clients.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// The number of clients.
    pub concurrent: usize,
    /// Calls direct to the targets.
    pub direct: Times,
    /// Calls through nodes.
    pub through: Times,
    /// What nodes add to the median, in milliseconds.
    pub added_p50_ms: f64,
    /// What nodes add to the 99th percentile, in milliseconds.
    pub added_p99_ms: f64,
}

/// What one sort of calls gave so far.
#[derive(Debug, Default)]
struct Gathered {
    good_ms: Vec<f64>,
    bad: u64,
}

/// Makes all comparisons, one after the other.
///
/// # Errors
///
/// When the HTTP client cannot be made.
pub async fn run(options: &BenchOptions) -> Result<Vec<Comparison>, reqwest::Error> {
    let http = client(Duration::from_millis(CALL_MAX_MS))?;
    let mut comparisons = Vec::new();
    for concurrent in &options.concurrent {
        let through: Vec<Fetch> = fetches(&options.nodes, &options.path, false);
        let direct: Vec<Fetch> = fetches(&options.targets, &options.path, true);
        let mut of_direct = Gathered::default();
        let mut of_through = Gathered::default();
        for round in 0..=options.rounds {
            for (fetches, gathered) in [(&direct, &mut of_direct), (&through, &mut of_through)] {
                let found = one_round(&http, fetches, *concurrent, options.round_ms).await;
                if round == 0 {
                    continue;
                }
                gathered.good_ms.extend(found.good_ms);
                gathered.bad += found.bad;
            }
        }
        let seconds = (u64::from(options.rounds) * options.round_ms) as f64 / 1_000.0;
        let (direct, through) = (of_direct.times(seconds), of_through.times(seconds));
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

/// The call to each of these.
fn fetches(bases: &[Url], path: &str, is_direct: bool) -> Vec<Fetch> {
    let mut fetches = Vec::new();
    for base in bases {
        let Ok(url) = base.join(path) else { continue };
        let (body, headers) = (Vec::new(), Vec::new());
        fetches.push(Fetch { method: Method::GET, url, is_direct, body, headers });
    }
    fetches
}

/// One round of `concurrent` clients.
async fn one_round(http: &Client, fetches: &[Fetch], concurrent: usize, round_ms: u64) -> Gathered {
    let until = Instant::now() + Duration::from_millis(round_ms);
    let mut clients = JoinSet::new();
    for number in 0..concurrent {
        let Some(fetch) = fetches.get(number % fetches.len().max(1)) else { break };
        let (http, fetch) = (http.clone(), fetch.clone());
        clients.spawn(async move {
            let mut gathered = Gathered::default();
            while Instant::now() < until {
                match fetch.run(&http).await {
                    Ok(fetched) => gathered.good_ms.push(fetched.took.as_secs_f64() * 1_000.0),
                    Err(_) => gathered.bad += 1,
                }
            }
            gathered
        });
    }
    let mut all = Gathered::default();
    for gathered in clients.join_all().await {
        all.good_ms.extend(gathered.good_ms);
        all.bad += gathered.bad;
    }
    all
}

impl Gathered {
    fn times(mut self, seconds: f64) -> Times {
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
