//! What a trace shows of attempts and roots, to tell true verdicts from false ones.

use std::collections::{HashMap, HashSet};

use crate::call::{AttemptId, CallFrame, RootId, Verdict};
use crate::node::TargetOutcome;

/// What is known of attempts and roots.
#[derive(Default)]
pub(super) struct Sight {
    /// Attempts given to the target that it did not certainly leave alone, with their keys and
    /// the traces they belong to.
    runs: HashMap<AttemptId, Run>,
    /// All attempts given to the target.
    given: HashSet<AttemptId>,
    /// Attempts of outside requests that were sent and are not known not to have run.
    doubts: HashMap<RootId, HashSet<AttemptId>>,
    /// The roots of attempts that were sent.
    roots: HashMap<AttemptId, RootId>,
    /// Extra attempts by root.
    extra: HashMap<RootId, u64>,
}

/// A run of the target.
struct Run {
    /// The key it ran under.
    key: Option<String>,
    /// The trace it belongs to; that of a root whose caller brought no trace is the root's id.
    trace: Option<String>,
}

impl Sight {
    /// An attempt goes to the target.
    pub fn run(&mut self, attempt: AttemptId, key: Option<&str>, traceparent: Option<&str>) {
        let trace = traceparent.and_then(|text| text.split('-').nth(1)).map(str::to_owned);
        self.given.insert(attempt);
        self.runs.insert(attempt, Run { key: key.map(str::to_owned), trace });
    }

    /// The target has finished with an attempt.
    pub fn ended(&mut self, attempt: AttemptId, outcome: &TargetOutcome) {
        let untouched = matches!(
            outcome,
            TargetOutcome::Declined | TargetOutcome::Unreachable | TargetOutcome::NoRoom
        );
        if untouched {
            self.runs.remove(&attempt);
        }
    }

    /// An attempt is sent to another node.
    pub fn sent(&mut self, frame: &CallFrame) {
        self.roots.insert(frame.attempt, frame.root);
        if frame.depth == 0 {
            self.doubts.entry(frame.root).or_default().insert(frame.attempt);
        }
        if frame.retry > 0 {
            *self.extra.entry(frame.root).or_default() += 1;
        }
    }

    /// An attempt never left this node.
    pub fn unsent(&mut self, attempt: AttemptId) {
        let Some(root) = self.roots.get(&attempt) else { return };
        if let Some(doubts) = self.doubts.get_mut(root) {
            doubts.remove(&attempt);
        }
    }

    /// Another node answered an attempt.
    pub fn answered(&mut self, attempt: AttemptId, verdict: &Verdict) {
        if verdict.is_not_run() {
            self.unsent(attempt);
        }
    }

    /// Another node asks for one more attempt.
    pub fn asked(&mut self, failed: AttemptId, root: RootId) {
        self.roots.insert(failed, root);
    }

    /// Another node may make one more attempt after `failed`.
    pub fn granted(&mut self, failed: AttemptId) {
        let Some(root) = self.roots.get(&failed) else { return };
        *self.extra.entry(*root).or_default() += 1;
    }

    /// Whether this node sent an attempt.
    pub fn was_sent(&self, attempt: AttemptId) -> bool {
        self.roots.contains_key(&attempt)
    }

    /// Whether this node gave an attempt to the target.
    pub fn was_given(&self, attempt: AttemptId) -> bool {
        self.given.contains(&attempt)
    }

    /// Whether the target had an attempt and may have run it.
    pub fn has_run(&self, attempt: AttemptId) -> bool {
        self.runs.contains_key(&attempt)
    }

    /// Whether some attempt of an outside request ran or may have run.
    pub fn may_have_run(&self, root: RootId) -> bool {
        let sent = self.doubts.get(&root).is_some_and(|doubts| !doubts.is_empty());
        let trace = root.to_string();
        sent || self.runs.values().any(|run| run.trace.as_ref() == Some(&trace))
    }

    /// The most runs under one key.
    pub fn runs_per_key_max(&self) -> u64 {
        let mut runs: HashMap<&str, u64> = HashMap::new();
        for run in self.runs.values() {
            if let Some(key) = &run.key {
                *runs.entry(key).or_default() += 1;
            }
        }
        runs.into_values().max().unwrap_or(0)
    }

    /// The most extra attempts for one root.
    pub fn extra_per_root_max(&self) -> u64 {
        self.extra.values().copied().max().unwrap_or(0)
    }
}
