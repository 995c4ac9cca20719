//! A small open-loop load program: calls are due at set times, whatever becomes of earlier ones.

mod call;
mod client;
mod options;
mod phase;
mod record;
mod recovery;
mod summary;

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use reqwest::Client;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

pub use self::call::{CallKind, KeySource, Order};
pub use self::options::LoadOptions;
pub use self::phase::{ParseError, Phase, Rate, Window};
pub use self::record::{Outcome, Record};
pub use self::recovery::{BUCKET_MS, Series};
pub use self::summary::{Group, Summary, quantile};

use self::client::{Clients, Due};
use super::client::client;

/// How long any exchange may take, in milliseconds; calls end by their own deadline before.
const EXCHANGE_MAX_MS: u64 = 60_000;

/// Why a run did not begin.
#[derive(Debug, Error)]
pub enum LoadError {
    /// There is nothing to call, or nothing to call it with.
    #[error("at least one node, one kind of calls and one phase are needed")]
    Nothing,
    /// The HTTP client could not be made.
    #[error("cannot make the HTTP client")]
    Client(#[from] reqwest::Error),
}

/// Makes all calls of a run and hands each record to `records` as it ends.
///
/// Returns once every call has ended.
pub async fn run(
    options: LoadOptions,
    records: mpsc::UnboundedSender<Record>,
) -> Result<(), LoadError> {
    if options.nodes.is_empty() || options.calls.is_empty() || options.phases.is_empty() {
        return Err(LoadError::Nothing);
    }
    let http = client(Duration::from_millis(EXCHANGE_MAX_MS))?;
    let start = Instant::now();
    let mut orders = JoinSet::new();
    for order in options.orders.clone() {
        orders.spawn(post(http.clone(), order, start));
    }
    let mut arrivals = Arrivals::new(&options);
    let in_flight_max = options.in_flight_max;
    let clients = Arc::new(Clients { http, options, run: rand::rng().random() });
    let mut calls = JoinSet::new();
    while let Some((number, kind, at_ms)) = arrivals.next() {
        let at = start + Duration::from_secs_f64(at_ms / 1_000.0);
        sleep_until(at).await;
        while calls.try_join_next().is_some() {}
        let due = Due { number, kind, at_ms, at };
        if calls.len() >= in_flight_max {
            // The receiver is gone only when nobody wants the records any more.
            let _ = records.send(clients.not_sent(&due));
            continue;
        }
        let (clients, records) = (clients.clone(), records.clone());
        calls.spawn(async move {
            let _ = records.send(clients.call(due).await);
        });
    }
    while calls.join_next().await.is_some() {}
    while orders.join_next().await.is_some() {}
    Ok(())
}

/// How long calls are offered, in milliseconds.
pub fn run_ms(options: &LoadOptions) -> u64 {
    options.phases.iter().map(|phase| phase.for_ms).sum()
}

/// Posts an order at its time.
async fn post(http: Client, order: Order, start: Instant) {
    sleep_until(start + Duration::from_millis(order.at_ms)).await;
    let sent = http.post(order.url.clone()).body(order.body.clone()).send().await;
    match sent.and_then(reqwest::Response::error_for_status) {
        Ok(_) => eprintln!("{} ms: posted {} to {}", order.at_ms, order.body, order.url),
        Err(error) => eprintln!("{} ms: order failed: {error}", order.at_ms),
    }
}

/// The calls of a run, in the order they are due, with exponentially distributed gaps.
struct Arrivals {
    /// The phases' ends in milliseconds, with their rates in calls a second.
    phases: Vec<(f64, f64)>,
    /// The weights of the kinds, summed up.
    weights: Vec<f64>,
    /// Where gaps and kinds are drawn from.
    random: SmallRng,
    /// When the last call was due, in milliseconds.
    at_ms: f64,
    /// The number of the next call.
    number: u64,
}

impl Arrivals {
    fn new(options: &LoadOptions) -> Self {
        let mut phases = Vec::new();
        let mut end_ms = 0.0;
        for phase in &options.phases {
            end_ms += phase.for_ms as f64;
            phases.push((end_ms, phase.rate.per_second(options.capacity_per_s)));
        }
        let mut weights = Vec::new();
        let mut sum = 0.0;
        for call in &options.calls {
            sum += call.weight;
            weights.push(sum);
        }
        let random = SmallRng::seed_from_u64(options.seed);
        Self { phases, weights, random, at_ms: 0.0, number: 0 }
    }

    /// The next call: its number, its kind and when it is due.
    fn next(&mut self) -> Option<(u64, usize, f64)> {
        // One unit of an exponential distribution is used up at the rate of each phase in turn.
        let mut gap = -(1.0 - self.random.random::<f64>()).ln();
        for (end_ms, per_second) in &self.phases {
            if self.at_ms >= *end_ms {
                continue;
            }
            let per_ms = per_second / 1_000.0;
            let fits = (end_ms - self.at_ms) * per_ms;
            if gap >= fits {
                gap -= fits;
                self.at_ms = *end_ms;
                continue;
            }
            self.at_ms += gap / per_ms;
            let number = self.number;
            self.number += 1;
            return Some((number, self.kind(), self.at_ms));
        }
        None
    }

    /// Draws a kind by the weights.
    fn kind(&mut self) -> usize {
        let total = self.weights.last().copied().unwrap_or(0.0);
        let drawn = self.random.random::<f64>() * total;
        self.weights.iter().position(|sum| drawn < *sum).unwrap_or(0)
    }
}
