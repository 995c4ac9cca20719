//! Times in which something is not as it should be.

use std::sync::Mutex;
use std::time::Instant;

/// A time in which something is not as it should be.
#[derive(Clone, Copy, Debug)]
struct Span {
    from: Instant,
    /// Open while it lasts.
    until: Option<Instant>,
}

impl Span {
    fn touches(&self, from: Instant, until: Instant) -> bool {
        self.from <= until && self.until.is_none_or(|end| end >= from)
    }
}

/// Spans that may still be going on.
#[derive(Default)]
pub struct Spans(Mutex<Vec<Span>>);

impl Spans {
    /// A span begins; gives what ends it.
    pub fn begin(&self) -> usize {
        let mut spans = self.0.lock().unwrap();
        spans.push(Span { from: Instant::now(), until: None });
        spans.len() - 1
    }

    /// Ends a span.
    pub fn end(&self, place: usize) {
        self.0.lock().unwrap()[place].until = Some(Instant::now());
    }

    /// Whether any span reaches into the time from `from` to `until`.
    pub fn touch(&self, from: Instant, until: Instant) -> bool {
        self.0.lock().unwrap().iter().any(|span| span.touches(from, until))
    }
}
