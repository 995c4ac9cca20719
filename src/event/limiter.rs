//! Rate limit for log events, which keeps a repeated fault from flooding the log.

use std::sync::Mutex;

use super::{EVENT_KINDS, LogEvent};
use crate::clock::US_PER_S;

/// Length of the window in which events are counted, in microseconds.
const WINDOW_US: u64 = 10 * US_PER_S;
/// Default limit per window for each kind of event about a single request. Higher than for other
/// kinds, as these lines are needed to explain why a request failed.
pub const REQUESTS_PER_WINDOW: u32 = 200;
/// The numbers of the kinds of events about a single request.
const REQUEST_EVENT_NUMBERS: std::ops::Range<u16> = 1_040..1_050;
/// Limit per window for each other kind of event.
const EVENTS_PER_WINDOW: u32 = 20;

/// Admits each kind of event up to a limit per window, and counts the events beyond it.
#[derive(Debug)]
pub struct EventLimiter {
    /// Limit per window for each kind of event about a single request.
    request_events_max: u32,
    windows: Vec<Mutex<Window>>,
}

/// The current window of one kind of event.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    /// When the window began, in microseconds.
    start_us: u64,
    /// How many events were written in it.
    written: u32,
    /// How many events were suppressed since the last one that was written.
    suppressed: u64,
}

impl Default for EventLimiter {
    fn default() -> Self {
        Self::new(REQUESTS_PER_WINDOW)
    }
}

impl EventLimiter {
    /// A limiter that admits each kind of event about a single request up to `request_events_max`
    /// times per window.
    pub fn new(request_events_max: u32) -> Self {
        let windows = EVENT_KINDS.iter().map(|_| Mutex::default()).collect();
        Self { request_events_max, windows }
    }

    /// Decides whether the event is written. Returns the number of events of its kind that were
    /// suppressed since the last one written, or `None` if this one is suppressed too.
    pub fn admit(&self, event: &LogEvent, now_us: u64) -> Option<u64> {
        let mut window =
            self.windows[event.index()].lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if now_us.saturating_sub(window.start_us) >= WINDOW_US {
            window.start_us = now_us;
            window.written = 0;
        }
        let is_request_event = REQUEST_EVENT_NUMBERS.contains(&event.number());
        let events_max = if is_request_event { self.request_events_max } else { EVENTS_PER_WINDOW };
        if window.written >= events_max {
            window.suppressed += 1;
            return None;
        }
        window.written += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}
