//! The process clock, in microseconds since the start.

use tokio::time::Instant;

/// Microseconds in a millisecond.
pub const US_PER_MS: u64 = 1_000;
/// Microseconds in a second.
pub const US_PER_S: u64 = 1_000_000;

/// Converts the runtime's clock to microseconds since the process started.
///
/// Decision code never reads a clock; it receives the time in fields and arguments named `_us`.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// The instant of 0 µs.
    origin: Instant,
    /// The wall clock at the origin, in milliseconds since the Unix epoch.
    origin_unix_ms: u64,
}

impl Clock {
    /// Creates a clock whose origin is now.
    pub fn start() -> Self {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let origin_unix_ms = since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64);
        Self { origin: Instant::now(), origin_unix_ms }
    }

    /// Microseconds since the origin.
    pub fn now_us(&self) -> u64 {
        self.origin.elapsed().as_micros() as u64
    }

    /// Milliseconds since the Unix epoch; never decreases while the process runs.
    pub fn unix_ms(&self) -> u64 {
        self.origin_unix_ms + self.now_us() / US_PER_MS
    }

    /// The runtime's instant that corresponds to `at_us`.
    pub fn instant(&self, at_us: u64) -> Instant {
        self.origin + std::time::Duration::from_micros(at_us)
    }
}
