//! What operators ask the decider, in the node's own terms.

use std::collections::HashMap;

use rand::Rng;
use serde_json::Value;
use tokio::sync::oneshot;

use crate::configuration::{Accepted, HistoryEntry, Submit, SubmitOutcome};
use crate::duty::operator::{
    ConfigEntry, ConfigView, Health, LeaveReply, OperatorRequest, Submission, SubmitReply,
};
use crate::node::{LeaveRequester, Node, NodeEvent};

/// Answers operators, and keeps who waits for the outcome of a submission.
#[derive(Debug, Default)]
pub struct Desk {
    /// Who waits, by the random number of the submission.
    waiting: HashMap<u64, oneshot::Sender<SubmitReply>>,
}

impl Desk {
    /// Answers a request, or gives the event that will lead to its answer.
    ///
    /// Whoever asked may have gone; then nobody misses the answer.
    pub fn take(
        &mut self,
        now_us: u64,
        node: &Node,
        request: OperatorRequest,
    ) -> Option<NodeEvent> {
        match request {
            OperatorRequest::Health { reply } => {
                let status = node.status(now_us);
                let _ = reply.send(Health { ready: status.ready, leaving: status.leaving });
                None
            }
            OperatorRequest::Status { reply } => {
                let status = serde_json::to_value(node.status(now_us)).unwrap_or(Value::Null);
                let _ = reply.send(status);
                None
            }
            OperatorRequest::Config { version, reply } => {
                let _ = reply.send(config_view(node, version));
                None
            }
            OperatorRequest::Submit { submission, reply } => {
                let submit = make_submit(node.unix_ms(now_us), submission);
                self.waiting.insert(submit.submission, reply);
                Some(NodeEvent::Submit(submit))
            }
            OperatorRequest::Leave { reply } => {
                let _ = reply.send(LeaveReply { in_flight: node.in_flight() });
                Some(NodeEvent::Leave { asked_by: LeaveRequester::Operator })
            }
        }
    }

    /// Tells whoever waits what became of a submission.
    pub fn submitted(&mut self, submission: u64, outcome: SubmitOutcome) {
        let Some(reply) = self.waiting.remove(&submission) else { return };
        // The operator may have gone; the outcome stands in the table all the same.
        let _ = reply.send(reply_of(outcome));
    }
}

/// A submission as the configuration takes it.
fn make_submit(at_unix_ms: u64, submission: Submission) -> Submit {
    Submit {
        submission: rand::rng().random(),
        based_on: submission.expected_version,
        by: submission.by,
        at_unix_ms,
        document: submission.document,
    }
}

/// What became of a submission, in the operators' words.
fn reply_of(outcome: SubmitOutcome) -> SubmitReply {
    match outcome {
        SubmitOutcome::Accepted { version } => SubmitReply::Accepted { version },
        SubmitOutcome::Conflict { lost_to } => {
            SubmitReply::Conflict { lost_to: lost_to.map(|entry| entry_view(&entry)) }
        }
        SubmitOutcome::Invalid { cause } => {
            SubmitReply::Invalid { problems: cause.lines().map(str::to_owned).collect() }
        }
        SubmitOutcome::StoreAway => {
            SubmitReply::NotAccepted { cause: "the table service is away".to_owned() }
        }
        SubmitOutcome::Busy => {
            SubmitReply::NotAccepted { cause: "another submission is under way here".to_owned() }
        }
        SubmitOutcome::Unknown => {
            SubmitReply::Unknown { cause: "the table service does not tell".to_owned() }
        }
    }
}

/// The configuration in force, if `version` asks for it.
fn config_view(node: &Node, version: Option<u64>) -> Option<ConfigView> {
    let in_force = node.config_version();
    if version.is_some_and(|version| version != in_force) {
        return None;
    }
    match node.accepted() {
        Some(accepted) => Some(accepted_view(accepted)),
        None => Some(ConfigView {
            version: in_force,
            by: None,
            at_unix_ms: None,
            document: serde_json::to_value(node.rules()).unwrap_or(Value::Null),
            history: Vec::new(),
        }),
    }
}

/// An accepted configuration, for operators.
fn accepted_view(accepted: &Accepted) -> ConfigView {
    ConfigView {
        version: accepted.version(),
        by: Some(accepted.entry.by.clone()),
        at_unix_ms: Some(accepted.entry.at_unix_ms),
        document: serde_json::from_str(&accepted.document).unwrap_or(Value::Null),
        history: accepted.history.iter().map(entry_view).collect(),
    }
}

/// One acceptance, for operators.
fn entry_view(entry: &HistoryEntry) -> ConfigEntry {
    ConfigEntry { version: entry.version, by: entry.by.clone(), at_unix_ms: entry.at_unix_ms }
}
