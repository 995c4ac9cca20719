//! One verdict for a request out of the verdicts of its attempts.

use crate::call::{AttemptId, Doubt, Refusal, RefusalReason, Verdict};

/// What a "not run" for a request with an idempotency key speaks about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Only this request was not run; an earlier one with the same key may have been.
    Request,
    /// No request with this key had run when the holder decided it. A repeated verdict speaks of the
    /// time of the decision, and so does one that was long on its way.
    Key,
}

impl Scope {
    /// The scope of `reason`, told by the holder of the key (`from_holder`) or by anybody else.
    ///
    /// The holder asks its ledger before it admits anything, so its refusals cover the key, but for
    /// those it gives without looking at the key.
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

/// What is known about the attempts of one request, at the place that made them.
///
/// A request was not run only if each of its attempts was not run: a refusal of the last attempt
/// says nothing about an earlier one whose connection was lost.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Attempts that may have run, in the order of their settlement.
    doubts: Vec<(AttemptId, Doubt)>,
    /// The latest refusal.
    refusal: Option<Refusal>,
}

impl Outcome {
    /// Records the verdict of `attempt`. A later verdict of the same attempt, as a fence brings it,
    /// replaces a doubt.
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

    /// Whether some attempt may have run.
    pub fn is_doubted(&self) -> bool {
        !self.doubts.is_empty()
    }

    /// What the caller is told when the request ends with `last`.
    pub fn conclude(&self, last: Verdict) -> Verdict {
        let last = outward(last);
        if !last.is_not_run() {
            return last;
        }
        match self.doubts.first() {
            Some((_, doubt)) => Verdict::MayHaveRun(*doubt),
            None => last,
        }
    }
}

/// A verdict as it may leave the fleet.
///
/// "The key is elsewhere now" is true for the attempt, and says nothing about the key: the other
/// node may have run it already. A sender that cannot ask there must not pass it on as "not run".
pub fn outward(verdict: Verdict) -> Verdict {
    let Verdict::NotRun(refusal) = verdict else { return verdict };
    match refusal.reason {
        RefusalReason::KeyDelegated(_) | RefusalReason::KeyInherited(_) => {
            Verdict::MayHaveRun(Doubt::KeyOwnerGone)
        }
        _ => verdict,
    }
}
