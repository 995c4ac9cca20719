//! One client of a run: a call with its attempts.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use reqwest::{Client, Method, Url};
use serde::Deserialize;
use tokio::time::{Instant, sleep, timeout};

use super::call::{CallKind, KeySource};
use super::options::LoadOptions;
use super::record::{Outcome, Record};
use crate::standin::fetch::{Fetch, FetchError, Reply};

/// How much longer than the deadline a client waits for a verdict, in milliseconds.
const VERDICT_GRACE_MS: u64 = 250;

/// What all clients of a run share.
#[derive(Debug)]
pub(super) struct Clients {
    /// The HTTP client.
    pub(super) http: Client,
    /// What the run was told.
    pub(super) options: LoadOptions,
    /// A number that tells this run's keys from those of others.
    pub(super) run: u64,
}

/// One call that is due.
#[derive(Clone, Debug)]
pub(super) struct Due {
    /// Its number.
    pub(super) number: u64,
    /// Its kind, as an index.
    pub(super) kind: usize,
    /// When it is due, in milliseconds since the start of the run.
    pub(super) at_ms: f64,
    /// The same, as an instant.
    pub(super) at: Instant,
}

/// The answer of a node that mints a key.
#[derive(Deserialize)]
struct MintedKey {
    idempotency_key: String,
}

impl Clients {
    /// Makes one call, with as many attempts as clients make.
    pub(super) async fn call(self: Arc<Self>, due: Due) -> Record {
        let kind = &self.options.calls[due.kind];
        let key = self.key(kind, due.number).await;
        let mut record = self.blank(&due, key);
        for attempt in 0..=self.options.retries {
            record.attempts = attempt + 1;
            let retry_after = self.attempt(kind, &due, &mut record).await;
            record.took_ms = due.at.elapsed().as_secs_f64() * 1_000.0;
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

    /// A call that could not be made at all.
    pub(super) fn not_sent(&self, due: &Due) -> Record {
        self.blank(due, None)
    }

    fn blank(&self, due: &Due, key: Option<String>) -> Record {
        Record {
            at_ms: due.at_ms,
            kind: self.options.calls[due.kind].name.clone(),
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

    /// The node a call goes to in one of its attempts.
    fn node(&self, number: u64) -> &Url {
        &self.options.nodes[(number % self.options.nodes.len() as u64) as usize]
    }

    /// The key of a call; none where its kind has none or none could be had.
    async fn key(&self, kind: &CallKind, number: u64) -> Option<String> {
        match kind.key {
            KeySource::None => None,
            KeySource::Own => Some(format!("load-{:016x}-{number}", self.run)),
            KeySource::Minted => {
                let path = format!("/_aspenspring/keys/{}", kind.service());
                let url = self.node(number).join(&path).ok()?;
                let minted = self.http.post(url).send().await.ok()?;
                Some(minted.json::<MintedKey>().await.ok()?.idempotency_key)
            }
        }
    }

    /// Makes one attempt and notes what became of it; gives how long to wait before another.
    async fn attempt(&self, kind: &CallKind, due: &Due, record: &mut Record) -> Duration {
        let node = self.node(due.number + u64::from(record.attempts) - 1);
        let Ok(url) = node.join(&kind.path_of(due.number)) else { return Duration::ZERO };
        let deadline_ms = self.options.deadline_ms;
        let mut headers = vec![("aspenspring-deadline-ms".to_owned(), deadline_ms.to_string())];
        if let Some(key) = &record.key {
            headers.push(("idempotency-key".to_owned(), key.clone()));
        }
        let body = match kind.method {
            Method::GET => Vec::new(),
            _ => format!("{{\"n\":{}}}", due.number).into_bytes(),
        };
        let method = kind.method.clone();
        let fetch = Fetch { method, url, is_direct: false, body, headers };
        let wait = Duration::from_millis(deadline_ms + VERDICT_GRACE_MS);
        let fetched = timeout(wait, fetch.run(&self.http)).await;
        let (outcome, reply) = match fetched {
            Ok(Ok(fetched)) if fetched.answer.depth() < self.options.depth => {
                (Outcome::Wrong, Some(fetched.reply))
            }
            Ok(Ok(fetched)) => (Outcome::Good, Some(fetched.reply)),
            Ok(Err(FetchError::Refused(reply))) => (refused(&reply), Some(reply)),
            Ok(Err(FetchError::Wrong(reply))) => (Outcome::Wrong, Some(reply)),
            Ok(Err(_)) | Err(_) => (Outcome::Broken, None),
        };
        let reply = reply.unwrap_or_default();
        let retry_after_s = reply.header("retry-after").parse().unwrap_or(0);
        record.outcome = outcome;
        record.status = reply.status;
        record.verdict = reply.header("aspenspring-verdict").to_owned();
        record.arm = reply.header("aspenspring-arm").to_owned();
        record.root = reply.header("aspenspring-root").to_owned();
        Duration::from_secs(retry_after_s)
    }
}

/// What became of a call that was answered with an error.
fn refused(reply: &Reply) -> Outcome {
    let verdict = reply.header("aspenspring-verdict");
    match verdict.split(';').next().unwrap_or("") {
        "not-run" => Outcome::NotRun,
        "may-have-run" => Outcome::MayHaveRun,
        _ => Outcome::Failed,
    }
}
