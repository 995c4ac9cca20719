//! Time intervals in which a fault is active.

use std::sync::Mutex;
use std::time::Instant;

/// A time interval in which a fault is active.
#[derive(Clone, Copy, Debug)]
struct Interval {
    from: Instant,
    /// None while the interval is open.
    until: Option<Instant>,
}

impl Interval {
    fn overlaps(&self, from: Instant, until: Instant) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

/// Intervals, some of which may still be open.
#[derive(Default)]
pub struct Intervals(Mutex<Vec<Interval>>);

impl Intervals {
    /// Opens an interval. Returns its index, which [`Self::end`] takes.
    pub fn begin(&self) -> usize {
        let mut intervals = self.0.lock().unwrap();
        intervals.push(Interval { from: Instant::now(), until: None });
        intervals.len() - 1
    }

    /// Closes an interval.
    pub fn end(&self, index: usize) {
        self.0.lock().unwrap()[index].until = Some(Instant::now());
    }

    /// Whether any interval overlaps the time from `from` to `until`.
    pub fn any_overlaps(&self, from: Instant, until: Instant) -> bool {
        self.0.lock().unwrap().iter().any(|interval| interval.overlaps(from, until))
    }
}
