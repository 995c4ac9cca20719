//! Cuts floods of events that a fault repeats.

use std::sync::Mutex;

use super::{EVENT_KINDS, LogEvent};
use crate::clock::US_PER_S;

/// Length of the window in which repetitions are counted, in microseconds.
const WINDOW_US: u64 = 10 * US_PER_S;
/// How often an event of one request is written in a window: more than others, as the trail of a
/// request is what explains its failure.
pub const REQUESTS_PER_WINDOW: u32 = 200;
/// The numbers of events of one request.
const REQUEST_NUMBERS: std::ops::Range<u16> = 1_040..1_050;
/// How often one kind of event is written in a window.
const WRITTEN_PER_WINDOW: u32 = 20;

/// Cuts floods: each kind of event is written a few times in a window, the rest is counted.
#[derive(Debug)]
pub struct FloodGate {
    /// How often an event of one request is written in a window.
    requests_max: u32,
    windows: Vec<Mutex<Window>>,
}

/// What happened to one kind of event in the present window.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    /// When the window began, in microseconds.
    start_us: u64,
    /// How many were written in it.
    written: u32,
    /// How many were not written since the last one that was.
    suppressed: u64,
}

impl Default for FloodGate {
    fn default() -> Self {
        Self::new(REQUESTS_PER_WINDOW)
    }
}

impl FloodGate {
    /// A gate that writes `requests_max` events of one request in a window.
    pub fn new(requests_max: u32) -> Self {
        let windows = EVENT_KINDS.iter().map(|_| Mutex::default()).collect();
        Self { requests_max, windows }
    }

    /// Whether the event is to be written: the number of events of its kind that were left out
    /// since the last one, or none where this one is left out too.
    pub fn admit(&self, event: &LogEvent, now_us: u64) -> Option<u64> {
        let mut window =
            self.windows[event.index()].lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if now_us.saturating_sub(window.start_us) >= WINDOW_US {
            window.start_us = now_us;
            window.written = 0;
        }
        let is_of_request = REQUEST_NUMBERS.contains(&event.number());
        let most = if is_of_request { self.requests_max } else { WRITTEN_PER_WINDOW };
        if window.written >= most {
            window.suppressed += 1;
            return None;
        }
        window.written += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}
