//! Sequence-number watermarks, which replace the removed attempts of one origin (sending node).

use crate::call::AttemptId;

/// Two watermarks over the sequence numbers of one origin.
///
/// Every attempt that was ever recorded is in the table or below a watermark, so an attempt that is
/// neither is new, however late it arrives.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Watermarks {
    /// Attempts with a smaller sequence number may have run.
    may_have_run_below: u64,
    /// Attempts with a smaller sequence number did not run and never will, unless they are below
    /// the other watermark or in the table.
    refused_below: u64,
    /// When the watermarks were last used, in microseconds.
    pub last_used_us: u64,
}

/// The status of an attempt that is not in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WatermarkStatus {
    /// It was never recorded.
    New,
    /// It may have run, and will not run from now on.
    MayHaveRun,
    /// It did not run and never will.
    Refused,
}

impl Watermarks {
    /// Returns the status of `attempt`, which is not in the table.
    pub fn status(&self, attempt: AttemptId) -> WatermarkStatus {
        if attempt.sequence < self.may_have_run_below {
            return WatermarkStatus::MayHaveRun;
        }
        if attempt.sequence < self.refused_below {
            return WatermarkStatus::Refused;
        }
        WatermarkStatus::New
    }

    /// Raises the watermark above `attempt`, which may have run.
    pub fn mark_may_have_run(&mut self, attempt: AttemptId) {
        self.may_have_run_below = self.may_have_run_below.max(attempt.sequence.saturating_add(1));
    }

    /// Raises the watermark above `attempt`, which was refused.
    pub fn mark_refused(&mut self, attempt: AttemptId) {
        self.refused_below = self.refused_below.max(attempt.sequence.saturating_add(1));
    }
}
