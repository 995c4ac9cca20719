//! Takes spans from the ring buffer and sends them to the collector.

use std::time::Duration;

use ::metrics::Counter;
use opentelemetry_otlp::{Protocol, RetryPolicy, SpanExporter, WithExportConfig, WithHttpConfig};
use opentelemetry_sdk::trace::SpanExporter as _;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout, timeout_at};

use super::convert::{resource, span_data};
use super::{FINAL_EXPORT_TIMEOUT, SpanRecord, TraceError, TraceOptions};
use crate::event::{EventLog, LogEvent};
use crate::telemetry::metrics::{Metrics, names};

/// The path of the collector's receiver for traces.
const TRACES_PATH: &str = "/v1/traces";

/// Sends batches of spans.
pub(super) struct Exporter {
    exporter: SpanExporter,
    batch_spans: usize,
    batch_wait: Duration,
    export_timeout: Duration,
    exported: Counter,
    dropped: Counter,
    events: EventLog,
    /// Spans dropped since the collector became unavailable, or `None` while it is available.
    dropped_since_failure: Option<u64>,
}

impl Exporter {
    /// Prepares the client without connecting.
    pub(super) fn new(
        options: &TraceOptions,
        metrics: &Metrics,
        events: EventLog,
    ) -> Result<Self, TraceError> {
        let invalid_options =
            |detail: String| TraceError::Options { otlp_url: options.otlp_url.clone(), detail };
        let export_timeout = Duration::from_millis(options.export_timeout_ms);
        let endpoint = endpoint(&options.otlp_url).map_err(invalid_options)?;
        let client = client(export_timeout).map_err(|error| invalid_options(error.to_string()))?;
        let mut exporter = SpanExporter::builder()
            .with_http()
            .with_http_client(client)
            .with_protocol(Protocol::HttpJson)
            .with_endpoint(endpoint)
            .with_timeout(export_timeout)
            .with_retry_policy(RetryPolicy::disabled())
            .build()
            .map_err(|error| invalid_options(error.to_string()))?;
        exporter.set_resource(&resource(options));
        let labels = [("reason", "collector_away")];
        Ok(Self {
            exporter,
            batch_spans: options.batch_spans,
            batch_wait: Duration::from_millis(options.batch_wait_ms),
            export_timeout,
            exported: metrics.counter(names::SPANS_EXPORTED_TOTAL),
            dropped: metrics.counter_with(names::SPANS_DROPPED_TOTAL, &labels),
            events,
            dropped_since_failure: None,
        })
    }

    /// Sends spans from the ring buffer until it is closed or a stop is requested.
    pub(super) async fn run(
        mut self,
        mut ring: mpsc::Receiver<SpanRecord>,
        mut stopped: oneshot::Receiver<()>,
    ) {
        loop {
            let first = tokio::select! {
                first = ring.recv() => first,
                _ = &mut stopped => break,
            };
            let Some(first) = first else {
                return;
            };
            let batch = self.fill_batch(first, &mut ring).await;
            self.export(batch).await;
        }
        ring.close();
        // Spans that are not sent within the timeout are lost.
        let _ = timeout(FINAL_EXPORT_TIMEOUT, self.export_remaining(&mut ring)).await;
    }

    /// Waits until the batch that begins with `first` is full or the maximum wait has passed.
    async fn fill_batch(
        &self,
        first: SpanRecord,
        ring: &mut mpsc::Receiver<SpanRecord>,
    ) -> Vec<SpanRecord> {
        let mut batch = vec![first];
        let deadline = Instant::now() + self.batch_wait;
        while batch.len() < self.batch_spans {
            let remaining = self.batch_spans - batch.len();
            let received = timeout_at(deadline, ring.recv_many(&mut batch, remaining)).await;
            if received.is_err() || received == Ok(0) {
                break;
            }
        }
        batch
    }

    /// Sends the spans that were in the ring buffer when it was closed.
    async fn export_remaining(&mut self, ring: &mut mpsc::Receiver<SpanRecord>) {
        let mut batch = Vec::new();
        while ring.recv_many(&mut batch, self.batch_spans).await > 0 {
            self.export(std::mem::take(&mut batch)).await;
        }
    }

    /// Sends one batch, without retries.
    async fn export(&mut self, batch: Vec<SpanRecord>) {
        let spans = batch.len() as u64;
        let batch = batch.into_iter().map(span_data).collect();
        let failure = match timeout(self.export_timeout, self.exporter.export(batch)).await {
            Ok(Ok(())) => None,
            Ok(Err(error)) => Some(error.to_string()),
            Err(_) => Some("no answer in time".to_owned()),
        };
        match failure {
            None => self.record_success(spans),
            Some(detail) => self.record_failure(spans, detail),
        }
    }

    fn record_success(&mut self, spans: u64) {
        self.exported.increment(spans);
        if let Some(dropped_spans) = self.dropped_since_failure.take() {
            self.events.emit(&LogEvent::CollectorBack { dropped_spans });
        }
    }

    fn record_failure(&mut self, spans: u64, detail: String) {
        self.dropped.increment(spans);
        if self.dropped_since_failure.is_none() {
            self.events.emit(&LogEvent::CollectorAway { detail, spans });
        }
        self.dropped_since_failure = Some(self.dropped_since_failure.unwrap_or(0) + spans);
    }
}

/// A client without redirects, retries and proxies from the environment.
fn client(timeout: Duration) -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .connect_timeout(timeout)
        .timeout(timeout)
        .pool_max_idle_per_host(1)
        .build()
}

/// The URL that spans are posted to.
fn endpoint(otlp_url: &str) -> Result<String, String> {
    let mut url = reqwest::Url::parse(otlp_url).map_err(|error| error.to_string())?;
    if !matches!(url.scheme(), "http" | "https") {
        return Err("neither http nor https".to_owned());
    }
    if url.path() == "/" {
        url.set_path(TRACES_PATH);
    }
    Ok(url.into())
}
