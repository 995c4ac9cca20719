//! Makes the calls of a load run, with their retries, and classifies the responses.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use reqwest::{Client, Method, Url};
use serde::Deserialize;
use tokio::time::{Instant, sleep, timeout};

use super::call::{CallKind, KeySource};
use super::options::LoadOptions;
use super::record::{Outcome, Record};
use crate::standin::fetch::{Fetch, FetchError, HttpResponse};

/// How long after the deadline a client still waits for a response with the verdict, in
/// milliseconds.
const VERDICT_GRACE_MS: u64 = 250;

/// State shared by all calls of a run.
#[derive(Debug)]
pub(super) struct LoadClient {
    /// The HTTP client.
    pub(super) http: Client,
    /// The options of the run.
    pub(super) options: LoadOptions,
    /// Random part of generated idempotency keys, which makes them differ from those of other runs.
    pub(super) run_id: u64,
}

/// A call with its scheduled time.
#[derive(Clone, Debug)]
pub(super) struct ScheduledCall {
    /// Number of the call in the run, from 0.
    pub(super) number: u64,
    /// Index of the kind in [`LoadOptions::calls`].
    pub(super) kind: usize,
    /// Scheduled time in milliseconds since the start of the run.
    pub(super) at_ms: f64,
    /// The same time as an instant.
    pub(super) at: Instant,
}

/// Response of a node to a request for a key.
#[derive(Deserialize)]
struct MintedKey {
    idempotency_key: String,
}

impl LoadClient {
    /// Makes one call, including the retries that the options allow.
    pub(super) async fn make_call(self: Arc<Self>, scheduled: ScheduledCall) -> Record {
        let kind = &self.options.calls[scheduled.kind];
        let key = self.idempotency_key(kind, scheduled.number).await;
        let mut record = self.new_record(&scheduled, key);
        for attempt in 0..=self.options.retries {
            record.attempts = attempt + 1;
            let retry_after = self.attempt(kind, &scheduled, &mut record).await;
            record.took_ms = scheduled.at.elapsed().as_secs_f64() * 1_000.0;
            if record.outcome == Outcome::Good && record.took_ms > self.options.deadline_ms as f64 {
                record.outcome = Outcome::Late;
            }
            if matches!(record.outcome, Outcome::Good | Outcome::Late | Outcome::Wrong) {
                break;
            }
            if record.took_ms > self.options.deadline_ms as f64 {
                break;
            }
            if !self.options.polite {
                continue;
            }
            if record.outcome != Outcome::NotRun {
                break;
            }
            let jitter = rand::rng().random_range(1.0..1.5);
            sleep(retry_after.mul_f64(jitter)).await;
        }
        record
    }

    /// The record of a call that was not sent.
    pub(super) fn unsent_record(&self, scheduled: &ScheduledCall) -> Record {
        self.new_record(scheduled, None)
    }

    /// A record without any attempts, with the outcome [`Outcome::Broken`].
    fn new_record(&self, scheduled: &ScheduledCall, key: Option<String>) -> Record {
        Record {
            at_ms: scheduled.at_ms,
            kind: self.options.calls[scheduled.kind].name.clone(),
            arm: String::new(),
            outcome: Outcome::Broken,
            status: 0,
            verdict: String::new(),
            took_ms: 0.0,
            attempts: 0,
            root: String::new(),
            key,
        }
    }

    /// Selects a node in turn; `number` is the call number plus the number of earlier attempts.
    fn node_url(&self, number: u64) -> &Url {
        &self.options.nodes[(number % self.options.nodes.len() as u64) as usize]
    }

    /// The key of a call; `None` if its kind has no key or the node did not issue one.
    async fn idempotency_key(&self, kind: &CallKind, number: u64) -> Option<String> {
        match kind.key {
            KeySource::None => None,
            KeySource::LoadGenerator => Some(format!("load-{:016x}-{number}", self.run_id)),
            KeySource::Node => {
                let path = format!("/_aspenspring/keys/{}", kind.service());
                let url = self.node_url(number).join(&path).ok()?;
                let minted = self.http.post(url).send().await.ok()?;
                Some(minted.json::<MintedKey>().await.ok()?.idempotency_key)
            }
        }
    }

    /// Makes one attempt and stores its outcome in `record`. Returns how long to wait before a
    /// retry, from the header `retry-after` of the response.
    async fn attempt(
        &self,
        kind: &CallKind,
        scheduled: &ScheduledCall,
        record: &mut Record,
    ) -> Duration {
        let node = self.node_url(scheduled.number + u64::from(record.attempts) - 1);
        let Ok(url) = node.join(&kind.path_for(scheduled.number)) else { return Duration::ZERO };
        let deadline_ms = self.options.deadline_ms;
        let mut headers = vec![("aspenspring-deadline-ms".to_owned(), deadline_ms.to_string())];
        if let Some(key) = &record.key {
            headers.push(("idempotency-key".to_owned(), key.clone()));
        }
        let body = match kind.method {
            Method::GET => Vec::new(),
            _ => format!("{{\"n\":{}}}", scheduled.number).into_bytes(),
        };
        let method = kind.method.clone();
        let fetch = Fetch { method, url, is_direct: false, body, headers };
        let wait = Duration::from_millis(deadline_ms + VERDICT_GRACE_MS);
        let fetched = timeout(wait, fetch.run(&self.http)).await;
        let (outcome, response) = match fetched {
            Ok(Ok(fetched)) if fetched.answer.depth() < self.options.depth => {
                (Outcome::Wrong, Some(fetched.response))
            }
            Ok(Ok(fetched)) => (Outcome::Good, Some(fetched.response)),
            Ok(Err(FetchError::Status(response))) => (classify_error(&response), Some(response)),
            Ok(Err(FetchError::InvalidAnswer(response))) => (Outcome::Wrong, Some(response)),
            Ok(Err(_)) | Err(_) => (Outcome::Broken, None),
        };
        let response = response.unwrap_or_default();
        let retry_after_s = response.header("retry-after").parse().unwrap_or(0);
        record.outcome = outcome;
        record.status = response.status;
        record.verdict = response.header("aspenspring-verdict").to_owned();
        record.arm = response.header("aspenspring-arm").to_owned();
        record.root = response.header("aspenspring-root").to_owned();
        Duration::from_secs(retry_after_s)
    }
}

/// The outcome of a call that was answered with an error, by the verdict of the node.
fn classify_error(response: &HttpResponse) -> Outcome {
    let verdict = response.header("aspenspring-verdict");
    match verdict.split(';').next().unwrap_or("") {
        "not-run" => Outcome::NotRun,
        "may-have-run" => Outcome::MayHaveRun,
        _ => Outcome::Failed,
    }
}
