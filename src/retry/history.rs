//! What all attempts of a hop together allow to be said.

use crate::call::Verdict;

/// What earlier attempts of a hop came to.
///
/// A hop may be told "not run" only when none of its attempts may have run, whatever became of the
/// last one.
#[derive(Clone, Debug, Default)]
pub struct AttemptHistory {
    /// The latest earlier verdict of an attempt that ran or may have run.
    ran: Option<Verdict>,
}

impl AttemptHistory {
    /// Keeps the verdict of an attempt that is followed by another one.
    pub fn note(&mut self, verdict: &Verdict) {
        if !verdict.is_not_run() {
            self.ran = Some(verdict.clone());
        }
    }

    /// The verdict of the hop, given that of its last attempt.
    pub fn conclude(&mut self, last: Verdict) -> Verdict {
        match self.ran.take() {
            Some(earlier) if last.is_not_run() => earlier,
            _ => last,
        }
    }
}
