//! Tracks attempts and root requests during a replay, to detect verdicts that contradict the trace.

use std::collections::{HashMap, HashSet};

use crate::call::{AttemptId, CallFrame, RootId, Verdict};
use crate::node::TargetOutcome;

/// The state of all attempts and root requests seen so far.
#[derive(Default)]
pub(super) struct AttemptTracker {
    /// Attempts that the target ran or may have run.
    runs: HashMap<AttemptId, Run>,
    /// All attempts passed to the target.
    at_target: HashSet<AttemptId>,
    /// Attempts of external requests that were sent to other nodes, by root. An attempt is removed
    /// when it is known not to have run.
    possible_runs: HashMap<RootId, HashSet<AttemptId>>,
    /// The root of each attempt that this node sent, or that another node requested a retry of.
    root_by_attempt: HashMap<AttemptId, RootId>,
    /// Extra attempts (retries) sent or granted, by root.
    extra_by_root: HashMap<RootId, u64>,
}

/// An attempt that the target ran or may have run.
struct Run {
    /// The idempotency key, if any.
    key: Option<String>,
    /// The trace id (W3C Trace Context), if any. It is the id of the root unless the caller sent a
    /// trace context.
    trace_id: Option<String>,
}

impl AttemptTracker {
    /// Records that an attempt is passed to the target.
    pub fn target_started(
        &mut self,
        attempt: AttemptId,
        key: Option<&str>,
        traceparent: Option<&str>,
    ) {
        let trace_id = traceparent.and_then(|text| text.split('-').nth(1)).map(str::to_owned);
        self.at_target.insert(attempt);
        self.runs.insert(attempt, Run { key: key.map(str::to_owned), trace_id });
    }

    /// Records how an attempt at the target ended.
    pub fn target_ended(&mut self, attempt: AttemptId, outcome: &TargetOutcome) {
        let is_not_run = matches!(
            outcome,
            TargetOutcome::Declined | TargetOutcome::Unreachable | TargetOutcome::NoRoom
        );
        if is_not_run {
            self.runs.remove(&attempt);
        }
    }

    /// Records that an attempt is sent to another node.
    pub fn call_sent(&mut self, frame: &CallFrame) {
        self.root_by_attempt.insert(frame.attempt, frame.root);
        if frame.depth == 0 {
            self.possible_runs.entry(frame.root).or_default().insert(frame.attempt);
        }
        if frame.retry > 0 {
            *self.extra_by_root.entry(frame.root).or_default() += 1;
        }
    }

    /// Records that an attempt was never sent or certainly did not run.
    pub fn did_not_run(&mut self, attempt: AttemptId) {
        let Some(root) = self.root_by_attempt.get(&attempt) else { return };
        if let Some(possible_runs) = self.possible_runs.get_mut(root) {
            possible_runs.remove(&attempt);
        }
    }

    /// Records the verdict of another node on an attempt.
    pub fn call_answered(&mut self, attempt: AttemptId, verdict: &Verdict) {
        if verdict.is_not_run() {
            self.did_not_run(attempt);
        }
    }

    /// Records that another node requests a retry after the attempt `failed`.
    pub fn retry_requested(&mut self, failed: AttemptId, root: RootId) {
        self.root_by_attempt.insert(failed, root);
    }

    /// Records that another node is granted a retry after the attempt `failed`.
    pub fn retry_granted(&mut self, failed: AttemptId) {
        let Some(root) = self.root_by_attempt.get(&failed) else { return };
        *self.extra_by_root.entry(*root).or_default() += 1;
    }

    /// Whether this node sent an attempt.
    pub fn was_sent(&self, attempt: AttemptId) -> bool {
        self.root_by_attempt.contains_key(&attempt)
    }

    /// Whether this node passed an attempt to the target.
    pub fn was_at_target(&self, attempt: AttemptId) -> bool {
        self.at_target.contains(&attempt)
    }

    /// Whether the target ran an attempt or may have run it.
    pub fn attempt_may_have_run(&self, attempt: AttemptId) -> bool {
        self.runs.contains_key(&attempt)
    }

    /// Whether any attempt of an external request ran or may have run.
    pub fn root_may_have_run(&self, root: RootId) -> bool {
        let may_have_run_elsewhere =
            self.possible_runs.get(&root).is_some_and(|possible_runs| !possible_runs.is_empty());
        let trace_id = root.to_string();
        may_have_run_elsewhere
            || self.runs.values().any(|run| run.trace_id.as_ref() == Some(&trace_id))
    }

    /// The maximum number of runs with the same key.
    pub fn runs_per_key_max(&self) -> u64 {
        let mut runs: HashMap<&str, u64> = HashMap::new();
        for run in self.runs.values() {
            if let Some(key) = &run.key {
                *runs.entry(key).or_default() += 1;
            }
        }
        runs.into_values().max().unwrap_or(0)
    }

    /// The maximum number of extra attempts for the same root.
    pub fn extra_per_root_max(&self) -> u64 {
        self.extra_by_root.values().copied().max().unwrap_or(0)
    }
}
