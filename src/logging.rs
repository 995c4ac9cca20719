//! The root logger: writes JSON lines on a separate thread and never blocks the caller.

use std::io::Write;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use slog::{Drain, FnValue, Level as Severity, LevelFilter, Logger, Never, Record, o};
use slog_async::{AsyncCore, AsyncError, AsyncGuard};
use thiserror::Error;

use crate::config::TelemetrySettings;

/// The maximum number of lines queued for the writer thread; further lines are dropped.
pub const LINES_WAITING_MAX: usize = 4_096;

/// Why the logger could not be created.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum LoggingError {
    /// The settings name an unknown level.
    #[error("unknown log level {0:?}; expected error, warning, info or debug")]
    UnknownLevel(String),
}

/// The logger and its writer thread. Queued lines are written when it is dropped.
pub struct Logging {
    /// The root logger.
    pub logger: Logger,
    dropped: Arc<AtomicU64>,
    _guard: AsyncGuard,
}

impl Logging {
    /// Starts the root logger, which writes lines of at least the configured severity to `output`.
    pub fn start(
        settings: &TelemetrySettings,
        output: impl Write + Send + 'static,
    ) -> Result<Self, LoggingError> {
        let severity = parse_severity(&settings.log_level)?;
        let json = slog_json::Json::new(output)
            .set_newlines(true)
            .set_flush(true)
            .add_key_value(o!(
                "name" => FnValue(|record: &Record<'_>| record.msg().to_string()),
                "severity" => FnValue(|record: &Record<'_>| severity_name(record.level())),
                "unix_ms" => FnValue(|_: &Record<'_>| unix_ms()),
            ))
            .build();
        let (core, guard) = AsyncCore::custom(json.ignore_res())
            .thread_name("log".to_owned())
            .chan_size(LINES_WAITING_MAX)
            .blocking(false)
            .build_with_guard();
        let dropped = Arc::new(AtomicU64::new(0));
        let drain = CountingDrain { core, dropped: Arc::clone(&dropped) };
        let logger = Logger::root(LevelFilter::new(drain, severity).ignore_res(), o!());
        Ok(Self { logger, dropped, _guard: guard })
    }

    /// The number of lines dropped since the start because the queue was full.
    pub fn dropped_total(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Parses a severity from the settings.
fn parse_severity(name: &str) -> Result<Severity, LoggingError> {
    if !["error", "warning", "info", "debug"].contains(&name) {
        return Err(LoggingError::UnknownLevel(name.to_owned()));
    }
    Severity::from_str(name).map_err(|()| LoggingError::UnknownLevel(name.to_owned()))
}

/// The name of a severity in log lines and in the event catalogue.
pub fn severity_name(severity: Severity) -> &'static str {
    match severity {
        Severity::Critical => "critical",
        Severity::Error => "error",
        Severity::Warning => "warning",
        Severity::Info => "info",
        Severity::Debug => "debug",
        Severity::Trace => "trace",
    }
}

/// Queues lines for the writer thread and counts those that are dropped.
struct CountingDrain {
    core: AsyncCore,
    dropped: Arc<AtomicU64>,
}

impl Drain for CountingDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &slog::OwnedKVList) -> Result<(), Never> {
        let logged: Result<(), AsyncError> = self.core.log(record, values);
        if logged.is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
