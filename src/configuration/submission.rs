//! One submission on its way into the table.

use std::sync::Arc;

use super::document::{Accepted, HistoryEntry, TableRow};
use super::event::{ConfigurationAction, RowRead, RowWrite, Submit, SubmitOutcome};

/// What the submission waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The row is being read.
    Reading,
    /// The row is being written.
    Writing,
    /// Neither; the row is read again at this time.
    Waiting(u64),
}

/// How long to wait before the row is read again after a failure, in microseconds.
const RETRY_US: u64 = 500_000;

/// One submission until its outcome is known.
///
/// A write whose answer is lost may still take effect later. It is settled by reading back and, if
/// the row still stands as before, by writing again: compare-and-set lets only one of the two
/// writes through, and the submission's number tells them from those of others.
#[derive(Debug)]
pub(super) struct Submission {
    submit: Submit,
    until_us: u64,
    step: Step,
    /// Whether a write may have taken effect or may still do so.
    in_doubt: bool,
    /// The present write.
    written: Option<Arc<Accepted>>,
}

impl Submission {
    /// Begins by reading the row.
    pub(super) fn new(submit: Submit, until_us: u64) -> Self {
        Self { submit, until_us, step: Step::Reading, in_doubt: false, written: None }
    }

    /// The random number of the submission.
    pub(super) fn number(&self) -> u64 {
        self.submit.submission
    }

    /// When `tick` is due.
    pub(super) fn next_wake_us(&self) -> u64 {
        match self.step {
            Step::Waiting(at_us) => at_us.min(self.until_us),
            Step::Reading | Step::Writing => self.until_us,
        }
    }

    /// What is in the table if it is known to be ours.
    pub(super) fn accepted(&self) -> Option<&Arc<Accepted>> {
        self.written.as_ref()
    }

    /// Takes a row that was read; `in_force` is what this node has.
    pub(super) fn take_read(
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
            RowRead::Absent => self.take_row(None, in_force, out),
            RowRead::Present(row) => self.take_row(Some(row), in_force, out),
        }
    }

    fn take_row(
        &mut self,
        row: Option<&TableRow>,
        in_force: Option<&Accepted>,
        out: &mut Vec<ConfigurationAction>,
    ) -> Option<SubmitOutcome> {
        let present = row.map(|row| &row.accepted);
        if let Some(entry) = present.and_then(|accepted| accepted.find(self.number())) {
            return Some(SubmitOutcome::Accepted { version: entry.version });
        }
        // A table that was restored may stand behind what is in force.
        let newest = present.into_iter().chain(in_force).max_by_key(|a| a.version());
        if newest.map_or(0, Accepted::version) != self.submit.based_on {
            return Some(SubmitOutcome::Conflict { lost_to: newest.map(|a| a.entry.clone()) });
        }
        let accepted = Arc::new(self.next(present));
        self.written = Some(accepted.clone());
        self.step = Step::Writing;
        out.push(ConfigurationAction::WriteTable {
            expected: row.map(|row| row.row_version),
            accepted,
        });
        None
    }

    /// The value that follows `present`.
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

    /// Takes the outcome of the write.
    pub(super) fn take_write(&mut self, now_us: u64, write: &RowWrite) -> Option<SubmitOutcome> {
        if self.step != Step::Writing {
            return None;
        }
        match write {
            RowWrite::Written { .. } => {
                let version = self.submit.based_on + 1;
                Some(SubmitOutcome::Accepted { version })
            }
            RowWrite::Conflict { present } => self.take_conflict(now_us, present.as_ref()),
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

    fn take_conflict(&mut self, now_us: u64, present: Option<&TableRow>) -> Option<SubmitOutcome> {
        let Some(row) = present else {
            self.step = Step::Waiting(now_us + RETRY_US);
            return None;
        };
        if let Some(entry) = row.accepted.find(self.number()) {
            return Some(SubmitOutcome::Accepted { version: entry.version });
        }
        if row.accepted.version() <= self.submit.based_on {
            // The row that was read was not the latest; nothing has come in between.
            self.step = Step::Waiting(now_us);
            return None;
        }
        Some(SubmitOutcome::Conflict { lost_to: Some(row.accepted.entry.clone()) })
    }

    /// Reads again when it is time, and gives up at the end.
    pub(super) fn tick(
        &mut self,
        now_us: u64,
        out: &mut Vec<ConfigurationAction>,
    ) -> Option<SubmitOutcome> {
        if now_us >= self.until_us {
            let unsettled = self.in_doubt || self.step == Step::Writing;
            return Some(if unsettled { SubmitOutcome::Unknown } else { SubmitOutcome::StoreAway });
        }
        if let Step::Waiting(at_us) = self.step
            && now_us >= at_us
        {
            self.step = Step::Reading;
            out.push(ConfigurationAction::ReadTable);
        }
        None
    }
}
