//! Counts what a node decided.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;

use serde::Serialize;
use sha2::{Digest, Sha256};

use crate::call::{Doubt, Message, Verdict};
use crate::clock::US_PER_S;
use crate::config::Rules;
use crate::node::note::outcome_of;
use crate::node::{CallEnd, NodeAction, NodeEvent, Note, TargetCall, Ticket, header};

use super::sight::Sight;

/// What a node decided over a whole trace.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Events it was told.
    pub events: u64,
    /// The time from its start to the last event, in microseconds.
    pub duration_us: u64,
    /// Outside callers' requests, by their ends.
    pub callers: Ends,
    /// Those of them whose class runs at most once.
    pub confirmations: Ends,
    /// Outside callers' requests with a whole answer, by the second of the trace.
    pub answered_per_s: Vec<u64>,
    /// Requests of the target beside the node, by their ends.
    pub target_calls: Ends,
    /// Attempts of other nodes, by the answers told to them.
    pub received: Ends,
    /// Requests given to the target.
    pub runs: u64,
    /// Requests that the target was told to give up.
    pub aborted: u64,
    /// The most runs of the target under one key; a run that the target certainly did not begin is
    /// not counted.
    pub runs_per_key_max: u64,
    /// Attempts sent to other nodes, extra ones included.
    pub sent: u64,
    /// Attempts sent to other nodes that are not the first of their hop.
    pub extra_sent: u64,
    /// The most extra attempts that this node sent, or granted to other nodes, for one root.
    pub extra_per_root_max: u64,
    /// Wishes for one more attempt, by what became of them.
    pub retries: BTreeMap<String, u64>,
    /// Requests taken in on the node's own listeners and not answered by the end of the trace.
    pub unanswered: u64,
    /// Calls that ran, waited or were being sent on at the end of the trace.
    pub in_flight: u64,
    /// Answers, and ends of runs, of attempts of this node that it has not made in the replay. Any
    /// shows that the program decides or draws otherwise than the one that recorded the trace, so
    /// that the other figures say little of it.
    pub strangers: u64,
    /// What must never happen.
    pub broken: Broken,
    /// A digest of every action, with the times they were asked for at.
    pub digest: String,
}

/// What must never happen, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Broken {
    /// Requests that were answered more than once.
    pub answered_twice: u64,
    /// Attempts of other nodes that were said not to have run although the target had them.
    pub not_run_after_run: u64,
    /// Outside requests that were said not to have run although an attempt of theirs ran, or may
    /// have.
    pub not_run_in_doubt: u64,
    /// Outside requests that were said to have timed out in doubt although no attempt of theirs was
    /// sent on or given to the target.
    pub timeout_without_run: u64,
}

/// Ends of requests by their verdicts.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Ends {
    /// Those with a whole answer.
    pub answered: u64,
    /// Those that certainly did not run.
    pub not_run: u64,
    /// Those that may have run.
    pub may_have_run: u64,
    /// All of them by verdict and reason.
    pub reasons: BTreeMap<String, u64>,
}

impl Ends {
    /// Counts one end.
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

/// On which listener a request came in.
#[derive(Clone, Copy)]
enum Side {
    /// That for outside callers.
    Caller,
    /// That for the target.
    Target,
    /// That for outside callers, for a key alone.
    Key,
}

/// Counts while a trace is replayed.
pub(super) struct Tally {
    /// The counts so far.
    report: Report,
    /// When the node was made, in microseconds since its process started.
    started_us: u64,
    /// The names of the classes that run at most once.
    once_classes: Vec<String>,
    /// Where requests came in, and how often each was answered.
    tickets: HashMap<Ticket, (Side, u64)>,
    /// What is known of attempts and roots.
    sight: Sight,
    /// The digest so far.
    digest: Sha256,
}

impl Tally {
    /// Nothing counted yet.
    pub fn new(rules: &Rules, started_us: u64) -> Self {
        let mut once_classes = Vec::new();
        for class in &rules.classes {
            if class.at_most_once {
                once_classes.push(class.name.clone());
            }
        }
        Self {
            report: Report::default(),
            started_us,
            once_classes,
            tickets: HashMap::new(),
            sight: Sight::default(),
            digest: Sha256::new(),
        }
    }

    /// Counts an event before the node takes it in.
    pub fn take_event(&mut self, at_us: u64, event: &NodeEvent) {
        self.report.events += 1;
        let second = ((at_us - self.started_us) / US_PER_S) as usize;
        if self.report.answered_per_s.len() <= second {
            self.report.answered_per_s.resize(second + 1, 0);
        }
        self.report.duration_us = at_us - self.started_us;
        self.digest.update(at_us.to_be_bytes());
        match event {
            NodeEvent::CallerCall(incoming) => self.open(incoming.ticket, Side::Caller),
            NodeEvent::TargetCall { incoming, .. } => self.open(incoming.ticket, Side::Target),
            NodeEvent::MintKey { ticket, .. } => self.open(*ticket, Side::Key),
            NodeEvent::PeerRequest { message: Message::AskRetry { root, failed }, .. } => {
                self.sight.asked(*failed, *root);
            }
            NodeEvent::PeerReply { message: Message::Answer(answer), .. } => {
                self.report.strangers += u64::from(!self.sight.was_sent(answer.attempt));
                self.sight.answered(answer.attempt, &answer.verdict);
            }
            NodeEvent::SendFailed { message: Message::Call(frame) } => {
                self.sight.unsent(frame.attempt);
            }
            NodeEvent::TargetEnded { attempt, outcome } => {
                self.report.strangers += u64::from(!self.sight.was_given(*attempt));
                self.sight.ended(*attempt, outcome);
            }
            _ => {}
        }
    }

    /// Counts an action of the node.
    pub fn take_action(&mut self, action: &NodeAction) {
        self.digest.update(format!("{action:?}\n"));
        match action {
            NodeAction::Reply { ticket, end } => self.reply(*ticket, end),
            NodeAction::Send { message: Message::Call(frame), .. } => {
                self.report.sent += 1;
                self.report.extra_sent += u64::from(frame.retry > 0);
                self.sight.sent(frame);
            }
            NodeAction::Return { message: Message::Answer(answer), .. } => {
                self.report.received.count(&answer.verdict);
                let is_false = answer.verdict.is_not_run() && self.sight.has_run(answer.attempt);
                self.report.broken.not_run_after_run += u64::from(is_false);
            }
            NodeAction::Return {
                message: Message::RetryGrant { failed, granted: true }, ..
            } => {
                self.sight.granted(*failed);
            }
            NodeAction::RunTarget(call) => self.run(call),
            NodeAction::AbortTarget { .. } => self.report.aborted += 1,
            NodeAction::Note(Note::RetryDecided { outcome, .. }) => {
                *self.report.retries.entry(outcome.label().to_owned()).or_default() += 1;
            }
            _ => {}
        }
    }

    /// The counts over the whole trace.
    pub fn report(mut self, in_flight: u64) -> Report {
        self.report.in_flight = in_flight;
        self.report.runs_per_key_max = self.sight.runs_per_key_max();
        self.report.extra_per_root_max = self.sight.extra_per_root_max();
        for (_, answers) in self.tickets.values() {
            self.report.unanswered += u64::from(*answers == 0);
            self.report.broken.answered_twice += u64::from(*answers > 1);
        }
        for byte in self.digest.finalize() {
            // Writing to a string has no way to fail.
            let _ = write!(self.report.digest, "{byte:02x}");
        }
        self.report
    }

    /// Counts a request that came in.
    fn open(&mut self, ticket: Ticket, side: Side) {
        self.tickets.insert(ticket, (side, 0));
    }

    /// Counts the end of a request.
    fn reply(&mut self, ticket: Ticket, end: &CallEnd) {
        let Some((side, answers)) = self.tickets.get_mut(&ticket) else { return };
        *answers += 1;
        match side {
            Side::Key => {}
            Side::Target => self.report.target_calls.count(&end.verdict),
            Side::Caller => {
                self.report.callers.count(&end.verdict);
                if matches!(end.verdict, Verdict::Answered(_)) {
                    // The event that led to this end has made its second the last one.
                    if let Some(last) = self.report.answered_per_s.last_mut() {
                        *last += 1;
                    }
                }
                if self.once_classes.contains(&end.class) {
                    self.report.confirmations.count(&end.verdict);
                }
                let may_have_run = self.sight.may_have_run(end.root);
                let is_false = end.verdict.is_not_run() && may_have_run;
                self.report.broken.not_run_in_doubt += u64::from(is_false);
                let is_timeout = end.verdict == Verdict::MayHaveRun(Doubt::Timeout);
                let is_needless = is_timeout && !may_have_run;
                self.report.broken.timeout_without_run += u64::from(is_needless);
            }
        }
    }

    /// Counts a run of the target.
    fn run(&mut self, call: &TargetCall) {
        self.report.runs += 1;
        let added = |wanted: &str| {
            let mut headers = call.added_headers.iter();
            headers.find(|(name, _)| *name == wanted).map(|(_, value)| value.as_str())
        };
        let key = added(header::IDEMPOTENCY_KEY);
        self.sight.run(call.attempt, key, added(header::TRACEPARENT));
    }
}
