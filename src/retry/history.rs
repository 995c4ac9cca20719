//! Combines the verdicts of a hop's attempts into the verdict of the hop.

use crate::call::Verdict;

/// What is known of a hop's earlier attempts.
///
/// A hop may be reported "not run" only if none of its attempts may have run, whatever the verdict
/// of the last one.
#[derive(Clone, Debug, Default)]
pub struct AttemptHistory {
    /// The latest verdict that was not "not run".
    ran_verdict: Option<Verdict>,
}

impl AttemptHistory {
    /// Records the verdict of an attempt that will be retried.
    pub fn note(&mut self, verdict: &Verdict) {
        if !verdict.is_not_run() {
            self.ran_verdict = Some(verdict.clone());
        }
    }

    /// Returns the verdict of the hop, given that of its last attempt, and clears the history.
    pub fn conclude(&mut self, last: Verdict) -> Verdict {
        match self.ran_verdict.take() {
            Some(earlier) if last.is_not_run() => earlier,
            _ => last,
        }
    }
}
