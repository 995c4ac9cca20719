//! Writes one submitted document to the table service and determines the outcome.

use std::sync::Arc;

use super::document::{Accepted, HistoryEntry, TableRow};
use super::event::{ConfigurationAction, RowRead, RowWrite, Submit, SubmitOutcome};

/// The current step of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The row is being read.
    Reading,
    /// The row is being written.
    Writing,
    /// The row will be read again at this time, in microseconds.
    Waiting(u64),
}

/// Delay before the row is read again after a failure, in microseconds.
const RETRY_US: u64 = 500_000;

/// A submission whose outcome is not known yet.
///
/// A write whose answer is lost may still be applied later. To determine the outcome, the row is
/// read again and, if it is unchanged, written again. Compare-and-set applies at most one of the
/// two writes, and the submission's ID distinguishes them from the writes of other submissions.
#[derive(Debug)]
pub(super) struct Submission {
    submit: Submit,
    deadline_us: u64,
    step: Step,
    /// Whether a write may have been applied or may still be.
    in_doubt: bool,
    /// The value of the latest write.
    last_write: Option<Arc<Accepted>>,
}

impl Submission {
    /// A submission that starts by reading the row, which the caller requests.
    pub(super) fn new(submit: Submit, deadline_us: u64) -> Self {
        Self { submit, deadline_us, step: Step::Reading, in_doubt: false, last_write: None }
    }

    /// The random ID of the submission.
    pub(super) fn id(&self) -> u64 {
        self.submit.submission
    }

    /// When the next call of `tick` is due.
    pub(super) fn next_wake_us(&self) -> u64 {
        match self.step {
            Step::Waiting(at_us) => at_us.min(self.deadline_us),
            Step::Reading | Step::Writing => self.deadline_us,
        }
    }

    /// The value of the latest write, which is the accepted one if the write succeeded.
    pub(super) fn last_write(&self) -> Option<&Arc<Accepted>> {
        self.last_write.as_ref()
    }

    /// Handles the outcome of a read; `in_force` is this node's configuration.
    pub(super) fn handle_read(
        &mut self,
        now_us: u64,
        read: &RowRead,
        in_force: Option<&Accepted>,
        out: &mut Vec<ConfigurationAction>,
    ) -> Option<SubmitOutcome> {
        if self.step != Step::Reading {
            return None;
        }
        match read {
            RowRead::Failed => {
                self.step = Step::Waiting(now_us + RETRY_US);
                None
            }
            RowRead::Absent => self.handle_row(None, in_force, out),
            RowRead::Present(row) => self.handle_row(Some(row), in_force, out),
        }
    }

    fn handle_row(
        &mut self,
        row: Option<&TableRow>,
        in_force: Option<&Accepted>,
        out: &mut Vec<ConfigurationAction>,
    ) -> Option<SubmitOutcome> {
        let present = row.map(|row| &row.accepted);
        if let Some(entry) = present.and_then(|accepted| accepted.find(self.id())) {
            return Some(SubmitOutcome::Accepted { version: entry.version });
        }
        // A table restored from a backup may hold an older version than the one in force.
        let newest = present.into_iter().chain(in_force).max_by_key(|a| a.version());
        if newest.map_or(0, Accepted::version) != self.submit.based_on {
            return Some(SubmitOutcome::Conflict { lost_to: newest.map(|a| a.entry.clone()) });
        }
        let accepted = Arc::new(self.next(present));
        self.last_write = Some(accepted.clone());
        self.step = Step::Writing;
        out.push(ConfigurationAction::WriteRow {
            expected: row.map(|row| row.row_version),
            accepted,
        });
        None
    }

    /// The value to write over `present`.
    fn next(&self, present: Option<&Accepted>) -> Accepted {
        let entry = HistoryEntry {
            version: self.submit.based_on + 1,
            submission: self.submit.submission,
            by: self.submit.by.clone(),
            at_unix_ms: self.submit.at_unix_ms,
        };
        let history = present.map(Accepted::next_history).unwrap_or_default();
        Accepted { entry, document: self.submit.document.clone(), history }
    }

    /// Handles the outcome of the write.
    pub(super) fn handle_write(&mut self, now_us: u64, write: &RowWrite) -> Option<SubmitOutcome> {
        if self.step != Step::Writing {
            return None;
        }
        match write {
            RowWrite::Written { .. } => {
                let version = self.submit.based_on + 1;
                Some(SubmitOutcome::Accepted { version })
            }
            RowWrite::Conflict { present } => self.handle_conflict(now_us, present.as_ref()),
            RowWrite::NotApplied => {
                self.step = Step::Waiting(now_us + RETRY_US);
                None
            }
            RowWrite::MayHaveBeenApplied => {
                self.in_doubt = true;
                self.step = Step::Waiting(now_us);
                None
            }
        }
    }

    fn handle_conflict(
        &mut self,
        now_us: u64,
        present: Option<&TableRow>,
    ) -> Option<SubmitOutcome> {
        let Some(row) = present else {
            self.step = Step::Waiting(now_us + RETRY_US);
            return None;
        };
        if let Some(entry) = row.accepted.find(self.id()) {
            return Some(SubmitOutcome::Accepted { version: entry.version });
        }
        if row.accepted.version() <= self.submit.based_on {
            // The read returned an outdated row; no other submission has been accepted.
            self.step = Step::Waiting(now_us);
            return None;
        }
        Some(SubmitOutcome::Conflict { lost_to: Some(row.accepted.entry.clone()) })
    }

    /// Reads the row again when it is time to, and ends the submission at its deadline.
    pub(super) fn tick(
        &mut self,
        now_us: u64,
        out: &mut Vec<ConfigurationAction>,
    ) -> Option<SubmitOutcome> {
        if now_us >= self.deadline_us {
            let may_be_accepted = self.in_doubt || self.step == Step::Writing;
            return Some(if may_be_accepted {
                SubmitOutcome::Unknown
            } else {
                SubmitOutcome::StoreAway
            });
        }
        if let Step::Waiting(at_us) = self.step
            && now_us >= at_us
        {
            self.step = Step::Reading;
            out.push(ConfigurationAction::ReadRow);
        }
        None
    }
}
