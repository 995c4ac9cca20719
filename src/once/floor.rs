//! What is still known of the attempts of one origin after they were forgotten.

use crate::call::AttemptId;

/// Two watermarks over the sequence numbers of one sending node.
///
/// Every attempt that was ever known here is in the book or behind a watermark, so an attempt that
/// is in neither is new, however late it arrives.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Floor {
    /// Attempts with a smaller sequence number may have run.
    may_have_run_below: u64,
    /// Attempts with a smaller sequence number, but not below the other watermark and not in the
    /// book, did not run and never will.
    refused_below: u64,
    /// When the origin was last heard of, in microseconds.
    pub used_us: u64,
}

/// Where an attempt that is not in the book stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// Never known here.
    New,
    /// It may have run; it never will from now on.
    MayHaveRun,
    /// It did not run and never will.
    Refused,
}

impl Floor {
    /// Where `attempt`, which is not in the book, stands.
    pub fn standing(&self, attempt: AttemptId) -> Standing {
        if attempt.sequence < self.may_have_run_below {
            return Standing::MayHaveRun;
        }
        if attempt.sequence < self.refused_below {
            return Standing::Refused;
        }
        Standing::New
    }

    /// Remembers that `attempt`, which may have run, is forgotten.
    pub fn forget_run(&mut self, attempt: AttemptId) {
        self.may_have_run_below = self.may_have_run_below.max(attempt.sequence.saturating_add(1));
    }

    /// Remembers that `attempt` was refused, without an entry in the book.
    pub fn forget_refused(&mut self, attempt: AttemptId) {
        self.refused_below = self.refused_below.max(attempt.sequence.saturating_add(1));
    }
}
