//! Builds the report of a replay: counts of decisions, rule violations and a digest of all actions.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;

use serde::Serialize;
use sha2::{Digest, Sha256};

use crate::call::{Doubt, Message, Verdict};
use crate::clock::US_PER_S;
use crate::config::Rules;
use crate::node::note::outcome_of;
use crate::node::{CallEnd, NodeAction, NodeEvent, Note, TargetCall, Ticket, header};

use super::attempts::AttemptTracker;

/// The decisions of a node over a whole trace.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Events that the node handled.
    pub events: u64,
    /// Time from the start of the node to the last event, in microseconds.
    pub duration_us: u64,
    /// Requests of external callers, by outcome.
    pub callers: OutcomeCounts,
    /// The requests in `callers` whose class has `at_most_once`.
    pub confirmations: OutcomeCounts,
    /// Requests of external callers that got a complete answer, per second of the trace.
    pub answered_per_s: Vec<u64>,
    /// Requests made by the node's own target, by outcome.
    pub target_calls: OutcomeCounts,
    /// Attempts received from other nodes, by the outcome returned to them.
    pub received: OutcomeCounts,
    /// Requests passed to the target.
    pub runs: u64,
    /// Requests to the target that were aborted.
    pub aborted: u64,
    /// The maximum number of target runs with the same idempotency key, not counting runs that the
    /// target certainly did not begin.
    pub runs_per_key_max: u64,
    /// Attempts sent to other nodes, including extra attempts.
    pub sent: u64,
    /// Extra attempts (retries) sent to other nodes: those after the first attempt of a hop.
    pub extra_sent: u64,
    /// The maximum number of extra attempts that this node sent or granted for the same root.
    pub extra_per_root_max: u64,
    /// Retry decisions, by outcome.
    pub retries: BTreeMap<String, u64>,
    /// Requests received on the caller or target listener and not answered by the end of the trace.
    pub unanswered: u64,
    /// Calls that were running, queued or being forwarded at the end of the trace.
    pub in_flight: u64,
    /// Answers and target results for attempts that the node did not make in the replay. If not 0,
    /// this program decides or draws random numbers differently from the one that recorded the
    /// trace, and the other figures are not meaningful.
    pub strangers: u64,
    /// Violations of rules that must always hold.
    pub broken: Violations,
    /// SHA-256 digest, in hexadecimal, of the event times and all actions.
    pub digest: String,
}

/// Counts of rule violations; all must be 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Violations {
    /// Requests that were answered more than once.
    pub answered_twice: u64,
    /// Attempts of other nodes that were reported as not run although the target ran them or may
    /// have run them.
    pub not_run_after_run: u64,
    /// External requests that were reported as not run although one of their attempts ran or may
    /// have run.
    pub not_run_in_doubt: u64,
    /// External requests that were reported as possibly run after a timeout although none of their
    /// attempts ran or may have run.
    pub timeout_without_run: u64,
}

/// Counts of requests by verdict and reason.
#[derive(Clone, Debug, Default, Serialize)]
pub struct OutcomeCounts {
    /// Requests with a complete answer.
    pub answered: u64,
    /// Requests that certainly did not run.
    pub not_run: u64,
    /// Requests that may have run.
    pub may_have_run: u64,
    /// All requests, by verdict and reason.
    pub reasons: BTreeMap<String, u64>,
}

impl OutcomeCounts {
    /// Counts one request.
    fn count(&mut self, verdict: &Verdict) {
        match verdict {
            Verdict::Answered(_) => self.answered += 1,
            Verdict::NotRun(_) => self.not_run += 1,
            Verdict::MayHaveRun(_) => self.may_have_run += 1,
        }
        let outcome = outcome_of(verdict);
        let name = format!("{} {}", outcome.verdict, outcome.reason);
        *self.reasons.entry(name).or_default() += 1;
    }
}

/// The source of a request.
#[derive(Clone, Copy)]
enum RequestSource {
    /// An external caller.
    Caller,
    /// The node's own target.
    Target,
    /// An external caller that only requests a new idempotency key.
    Key,
}

/// Collects the report while a trace is replayed.
pub(super) struct ReportBuilder {
    /// The report so far.
    report: Report,
    /// When the node was created, in microseconds since the start of its process.
    started_us: u64,
    /// The names of the classes with `at_most_once`.
    at_most_once_classes: Vec<String>,
    /// The source of each request and how often it was answered.
    requests: HashMap<Ticket, (RequestSource, u64)>,
    /// The state of attempts and roots.
    attempts: AttemptTracker,
    digest: Sha256,
}

impl ReportBuilder {
    /// Starts an empty report for a node that was created at `started_us`.
    pub fn new(rules: &Rules, started_us: u64) -> Self {
        let mut at_most_once_classes = Vec::new();
        for class in &rules.classes {
            if class.at_most_once {
                at_most_once_classes.push(class.name.clone());
            }
        }
        Self {
            report: Report::default(),
            started_us,
            at_most_once_classes,
            requests: HashMap::new(),
            attempts: AttemptTracker::default(),
            digest: Sha256::new(),
        }
    }

    /// Records an event. Must be called before the node handles it.
    pub fn record_event(&mut self, at_us: u64, event: &NodeEvent) {
        self.report.events += 1;
        let second = ((at_us - self.started_us) / US_PER_S) as usize;
        if self.report.answered_per_s.len() <= second {
            self.report.answered_per_s.resize(second + 1, 0);
        }
        self.report.duration_us = at_us - self.started_us;
        self.digest.update(at_us.to_be_bytes());
        match event {
            NodeEvent::CallerCall(incoming) => {
                self.record_request(incoming.ticket, RequestSource::Caller)
            }
            NodeEvent::TargetCall { incoming, .. } => {
                self.record_request(incoming.ticket, RequestSource::Target)
            }
            NodeEvent::MintKey { ticket, .. } => self.record_request(*ticket, RequestSource::Key),
            NodeEvent::PeerRequest { message: Message::AskRetry { root, failed }, .. } => {
                self.attempts.retry_requested(*failed, *root);
            }
            NodeEvent::PeerReply { message: Message::Answer(answer), .. } => {
                self.report.strangers += u64::from(!self.attempts.was_sent(answer.attempt));
                self.attempts.call_answered(answer.attempt, &answer.verdict);
            }
            NodeEvent::SendFailed { message: Message::Call(frame) } => {
                self.attempts.did_not_run(frame.attempt);
            }
            NodeEvent::TargetEnded { attempt, outcome } => {
                self.report.strangers += u64::from(!self.attempts.was_at_target(*attempt));
                self.attempts.target_ended(*attempt, outcome);
            }
            _ => {}
        }
    }

    /// Records an action of the node.
    pub fn record_action(&mut self, action: &NodeAction) {
        self.digest.update(format!("{action:?}\n"));
        match action {
            NodeAction::Reply { ticket, end } => self.record_reply(*ticket, end),
            NodeAction::Send { message: Message::Call(frame), .. } => {
                self.report.sent += 1;
                self.report.extra_sent += u64::from(frame.retry > 0);
                self.attempts.call_sent(frame);
            }
            NodeAction::Return { message: Message::Answer(answer), .. } => {
                self.report.received.count(&answer.verdict);
                let is_contradicted = answer.verdict.is_not_run()
                    && self.attempts.attempt_may_have_run(answer.attempt);
                self.report.broken.not_run_after_run += u64::from(is_contradicted);
            }
            NodeAction::Return {
                message: Message::RetryGrant { failed, granted: true }, ..
            } => {
                self.attempts.retry_granted(*failed);
            }
            NodeAction::RunTarget(call) => self.record_target_call(call),
            NodeAction::AbortTarget { .. } => self.report.aborted += 1,
            NodeAction::Note(Note::RetryDecided { outcome, .. }) => {
                *self.report.retries.entry(outcome.label().to_owned()).or_default() += 1;
            }
            _ => {}
        }
    }

    /// Completes the report; `in_flight` is the number of calls in flight at the end of the trace.
    pub fn finish(mut self, in_flight: u64) -> Report {
        self.report.in_flight = in_flight;
        self.report.runs_per_key_max = self.attempts.runs_per_key_max();
        self.report.extra_per_root_max = self.attempts.extra_per_root_max();
        for (_, answers) in self.requests.values() {
            self.report.unanswered += u64::from(*answers == 0);
            self.report.broken.answered_twice += u64::from(*answers > 1);
        }
        for byte in self.digest.finalize() {
            // Formatting into a `String` does not fail.
            let _ = write!(self.report.digest, "{byte:02x}");
        }
        self.report
    }

    /// Records a received request.
    fn record_request(&mut self, ticket: Ticket, source: RequestSource) {
        self.requests.insert(ticket, (source, 0));
    }

    /// Records the answer to a request.
    fn record_reply(&mut self, ticket: Ticket, end: &CallEnd) {
        let Some((source, answers)) = self.requests.get_mut(&ticket) else { return };
        *answers += 1;
        match source {
            RequestSource::Key => {}
            RequestSource::Target => self.report.target_calls.count(&end.verdict),
            RequestSource::Caller => {
                self.report.callers.count(&end.verdict);
                if matches!(end.verdict, Verdict::Answered(_)) {
                    // `record_event` has already extended the list to the current second.
                    if let Some(last) = self.report.answered_per_s.last_mut() {
                        *last += 1;
                    }
                }
                if self.at_most_once_classes.contains(&end.class) {
                    self.report.confirmations.count(&end.verdict);
                }
                let may_have_run = self.attempts.root_may_have_run(end.root);
                let is_contradicted = end.verdict.is_not_run() && may_have_run;
                self.report.broken.not_run_in_doubt += u64::from(is_contradicted);
                let is_timeout = end.verdict == Verdict::MayHaveRun(Doubt::Timeout);
                let is_unfounded = is_timeout && !may_have_run;
                self.report.broken.timeout_without_run += u64::from(is_unfounded);
            }
        }
    }

    /// Records a request passed to the target.
    fn record_target_call(&mut self, call: &TargetCall) {
        self.report.runs += 1;
        let added_header = |wanted_name: &str| {
            let mut headers = call.added_headers.iter();
            headers.find(|(name, _)| *name == wanted_name).map(|(_, value)| value.as_str())
        };
        let key = added_header(header::IDEMPOTENCY_KEY);
        self.attempts.target_started(call.attempt, key, added_header(header::TRACEPARENT));
    }
}
