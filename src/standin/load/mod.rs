//! An open-loop load generator: calls start at scheduled times, independent of the progress of
//! earlier ones.

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

pub use self::call::{CallKind, KeySource, ScheduledPost};
pub use self::options::LoadOptions;
pub use self::phase::{ParseError, Phase, Rate, Window};
pub use self::record::{Outcome, Record};
pub use self::recovery::{BUCKET_MS, Series};
pub use self::summary::{Group, Summary, quantile};

use self::client::{LoadClient, ScheduledCall};
use super::client::client;

/// Timeout of the HTTP client in milliseconds; calls end earlier, by their own deadline.
const REQUEST_TIMEOUT_MS: u64 = 60_000;

/// An error before the start of a run.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The options have no nodes, no kinds of calls or no phases.
    #[error("at least one node, one kind of calls and one phase are needed")]
    IncompleteOptions,
    /// The HTTP client could not be created.
    #[error("cannot create the HTTP client")]
    Client(#[from] reqwest::Error),
}

/// Makes all calls of a run and sends the record of each to `records` as it ends.
///
/// Returns once every call and every scheduled post has ended.
pub async fn run(
    options: LoadOptions,
    records: mpsc::UnboundedSender<Record>,
) -> Result<(), LoadError> {
    if options.nodes.is_empty() || options.calls.is_empty() || options.phases.is_empty() {
        return Err(LoadError::IncompleteOptions);
    }
    let http = client(Duration::from_millis(REQUEST_TIMEOUT_MS))?;
    let start = Instant::now();
    let mut scheduled_posts = JoinSet::new();
    for post in options.scheduled_posts.clone() {
        scheduled_posts.spawn(send_scheduled_post(http.clone(), post, start));
    }
    let mut arrivals = Arrivals::new(&options);
    let in_flight_max = options.in_flight_max;
    let load_client = Arc::new(LoadClient { http, options, run_id: rand::rng().random() });
    let mut calls = JoinSet::new();
    while let Some((number, kind, at_ms)) = arrivals.next() {
        let at = start + Duration::from_secs_f64(at_ms / 1_000.0);
        sleep_until(at).await;
        while calls.try_join_next().is_some() {}
        let scheduled = ScheduledCall { number, kind, at_ms, at };
        if calls.len() >= in_flight_max {
            // A dropped receiver means that the records are no longer needed.
            let _ = records.send(load_client.unsent_record(&scheduled));
            continue;
        }
        let (load_client, records) = (load_client.clone(), records.clone());
        calls.spawn(async move {
            let _ = records.send(load_client.make_call(scheduled).await);
        });
    }
    while calls.join_next().await.is_some() {}
    while scheduled_posts.join_next().await.is_some() {}
    Ok(())
}

/// Total duration of the phases, in milliseconds.
pub fn run_ms(options: &LoadOptions) -> u64 {
    options.phases.iter().map(|phase| phase.duration_ms).sum()
}

/// Sends a scheduled post at its time and reports the result on standard error.
async fn send_scheduled_post(http: Client, post: ScheduledPost, start: Instant) {
    sleep_until(start + Duration::from_millis(post.at_ms)).await;
    let sent = http.post(post.url.clone()).body(post.body.clone()).send().await;
    match sent.and_then(reqwest::Response::error_for_status) {
        Ok(_) => eprintln!("{} ms: posted {} to {}", post.at_ms, post.body, post.url),
        Err(error) => eprintln!("{} ms: scheduled post failed: {error}", post.at_ms),
    }
}

/// The arrivals of a run in chronological order: a Poisson process with one rate for each phase.
struct Arrivals {
    /// End of each phase in milliseconds since the start of the run, with its rate in calls per
    /// second.
    phases: Vec<(f64, f64)>,
    /// Cumulative weights of the kinds.
    cumulative_weights: Vec<f64>,
    /// Random generator of gaps and kinds.
    random: SmallRng,
    /// Scheduled time of the last call, in milliseconds since the start of the run.
    at_ms: f64,
    /// The number of the next call.
    number: u64,
}

impl Arrivals {
    fn new(options: &LoadOptions) -> Self {
        let mut phases = Vec::new();
        let mut end_ms = 0.0;
        for phase in &options.phases {
            end_ms += phase.duration_ms as f64;
            phases.push((end_ms, phase.rate.per_second(options.capacity_per_s)));
        }
        let mut cumulative_weights = Vec::new();
        let mut sum = 0.0;
        for call in &options.calls {
            sum += call.weight;
            cumulative_weights.push(sum);
        }
        let random = SmallRng::seed_from_u64(options.seed);
        Self { phases, cumulative_weights, random, at_ms: 0.0, number: 0 }
    }

    /// The next call: its number, the index of its kind, and its scheduled time in milliseconds
    /// since the start of the run.
    fn next(&mut self) -> Option<(u64, usize, f64)> {
        // The gap is drawn at unit rate and consumed at the rate of each phase that it spans.
        let mut gap = -(1.0 - self.random.random::<f64>()).ln();
        for (end_ms, rate_per_s) in &self.phases {
            if self.at_ms >= *end_ms {
                continue;
            }
            let per_ms = rate_per_s / 1_000.0;
            let rest = (end_ms - self.at_ms) * per_ms;
            if gap >= rest {
                gap -= rest;
                self.at_ms = *end_ms;
                continue;
            }
            self.at_ms += gap / per_ms;
            let number = self.number;
            self.number += 1;
            return Some((number, self.draw_kind(), self.at_ms));
        }
        None
    }

    /// Draws the index of a kind in proportion to the weights.
    fn draw_kind(&mut self) -> usize {
        let total = self.cumulative_weights.last().copied().unwrap_or(0.0);
        let drawn = self.random.random::<f64>() * total;
        self.cumulative_weights.iter().position(|sum| drawn < *sum).unwrap_or(0)
    }
}
