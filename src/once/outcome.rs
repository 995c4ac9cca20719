//! Combines the verdicts of a request's attempts into one verdict.

use crate::call::{AttemptId, Doubt, Refusal, RefusalReason, Verdict};

/// What a "not run" verdict covers if the request has an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalScope {
    /// Only this request was not run; an earlier one with the same key may have run.
    Request,
    /// No request with this key had run when the holder of the key decided. This holds only for the
    /// time of the decision, also if the verdict arrives late or repeatedly.
    Key,
}

impl RefusalScope {
    /// Returns the scope of `reason`. `from_holder` is true if the verdict is from the node that
    /// holds the key.
    ///
    /// The holder checks its ledger before it admits an attempt, so its refusals cover the key,
    /// except for those it makes without checking the key.
    pub fn of(reason: RefusalReason, from_holder: bool) -> Self {
        if !from_holder {
            return Self::Request;
        }
        match reason {
            RefusalReason::Fenced
            | RefusalReason::NodeFull
            | RefusalReason::NotReady
            | RefusalReason::Malformed
            | RefusalReason::KeyDelegated(_)
            | RefusalReason::KeyInherited(_)
            | RefusalReason::KeyMismatch => Self::Request,
            _ => Self::Key,
        }
    }
}

/// What the sender of a request knows about the request's attempts.
///
/// A request was not run only if none of its attempts was run: a refusal of the last attempt does
/// not cover an earlier one whose connection was lost.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Attempts that may have run, in the order in which they were recorded.
    doubts: Vec<(AttemptId, Doubt)>,
    /// The latest refusal.
    refusal: Option<Refusal>,
}

impl Outcome {
    /// Records the verdict of `attempt`. A later definite verdict for the same attempt, such as the
    /// reply to a fence, replaces a doubt.
    pub fn record(&mut self, attempt: AttemptId, verdict: &Verdict) {
        match verdict {
            Verdict::Answered(_) => self.doubts.retain(|(doubted, _)| *doubted != attempt),
            Verdict::NotRun(refusal) => {
                self.doubts.retain(|(doubted, _)| *doubted != attempt);
                self.refusal = Some(*refusal);
            }
            Verdict::MayHaveRun(doubt) => {
                if !self.doubts.iter().any(|(doubted, _)| *doubted == attempt) {
                    self.doubts.push((attempt, *doubt));
                }
            }
        }
    }

    /// Whether an attempt may have run and has no answer.
    pub fn may_have_run(&self) -> bool {
        !self.doubts.is_empty()
    }

    /// Returns the verdict for the caller when the request ends with `last`.
    pub fn conclude(&self, last: Verdict) -> Verdict {
        let last = external_verdict(last);
        if !last.is_not_run() {
            return last;
        }
        match self.doubts.first() {
            Some((_, doubt)) => Verdict::MayHaveRun(*doubt),
            None => last,
        }
    }
}

/// Converts a verdict to the form that may be reported outside of the fleet.
///
/// A refusal because the key moved to another node covers the attempt but not the key, which the
/// other node may have run already. A sender that cannot reach that node must not report "not run".
pub fn external_verdict(verdict: Verdict) -> Verdict {
    let Verdict::NotRun(refusal) = verdict else { return verdict };
    match refusal.reason {
        RefusalReason::KeyDelegated(_) | RefusalReason::KeyInherited(_) => {
            Verdict::MayHaveRun(Doubt::KeyOwnerGone)
        }
        _ => verdict,
    }
}
