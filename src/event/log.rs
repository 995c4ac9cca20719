//! Writes events to the logger, within their rate limit.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use slog::{BorrowedKV, Drain, KV, Logger, Record, RecordLocation, RecordStatic};

use super::{EventLimiter, LogEvent};
use crate::clock::Clock;

/// Handle for emitting events. Cheap to clone; never blocks.
#[derive(Clone, Debug)]
pub struct EventLog {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    logger: Logger,
    clock: Clock,
    limiter: EventLimiter,
    suppressed: AtomicU64,
}

impl EventLog {
    /// Writes through `logger`.
    pub fn new(logger: Logger, clock: Clock) -> Self {
        Self::with_limiter(logger, clock, EventLimiter::default())
    }

    /// Writes the events that `limiter` admits through `logger`.
    pub fn with_limiter(logger: Logger, clock: Clock, limiter: EventLimiter) -> Self {
        let suppressed = AtomicU64::new(0);
        Self { shared: Arc::new(Shared { logger, clock, limiter, suppressed }) }
    }

    /// Writes nothing; for tests and tools.
    pub fn discard() -> Self {
        Self::new(Logger::root(slog::Discard, slog::o!()), Clock::start())
    }

    /// Writes the event, or counts it if its kind exceeds the rate limit.
    pub fn emit(&self, event: &LogEvent) {
        const LOCATION: RecordLocation =
            RecordLocation { file: file!(), line: 0, column: 0, function: "", module: "" };
        let kind = event.kind();
        if !Drain::is_enabled(&self.shared.logger, kind.severity) {
            return;
        }
        let Some(suppressed) = self.shared.limiter.admit(event, self.shared.clock.now_us()) else {
            self.shared.suppressed.fetch_add(1, Ordering::Relaxed);
            return;
        };
        let fields = EventFields { event, suppressed };
        let metadata = RecordStatic { location: &LOCATION, tag: "", level: kind.severity };
        let name = format_args!("{}", kind.name);
        self.shared.logger.log(&Record::new(&metadata, &name, BorrowedKV(&fields)));
    }

    /// How many events the rate limit has suppressed since the start.
    pub fn suppressed_total(&self) -> u64 {
        self.shared.suppressed.load(Ordering::Relaxed)
    }
}

/// The fields of a log line that come from the event.
struct EventFields<'a> {
    event: &'a LogEvent,
    suppressed: u64,
}

impl KV for EventFields<'_> {
    fn serialize(
        &self,
        record: &Record<'_>,
        serializer: &mut dyn slog::Serializer,
    ) -> slog::Result {
        serializer.emit_u16("event", self.event.number())?;
        self.event.serialize(record, serializer)?;
        if self.suppressed > 0 {
            serializer.emit_u64("suppressed", self.suppressed)?;
        }
        Ok(())
    }
}
