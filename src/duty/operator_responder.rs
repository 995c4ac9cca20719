//! Answers operators' requests from the node's state.

use std::collections::HashMap;

use rand::Rng;
use serde_json::Value;
use tokio::sync::oneshot;

use crate::configuration::{Accepted, HistoryEntry, Submit, SubmitOutcome};
use crate::duty::operator::{
    ConfigEntry, ConfigView, Health, LeaveReply, OperatorRequest, Submission, SubmitReply,
};
use crate::node::{LeaveRequester, Node, NodeEvent};

/// Answers operators' requests, and holds the reply channels of pending submissions.
#[derive(Debug, Default)]
pub struct OperatorResponder {
    /// Reply channels by the random id of the submission.
    pending_submissions: HashMap<u64, oneshot::Sender<SubmitReply>>,
}

impl OperatorResponder {
    /// Answers a request, and returns the event that it causes, if any.
    ///
    /// Answers to operators that have disconnected are dropped.
    pub fn handle(
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
                self.pending_submissions.insert(submit.submission, reply);
                Some(NodeEvent::Submit(submit))
            }
            OperatorRequest::Leave { reply } => {
                let _ = reply.send(LeaveReply { in_flight: node.in_flight() });
                Some(NodeEvent::Leave { asked_by: LeaveRequester::Operator })
            }
        }
    }

    /// Sends the outcome of a submission to the operator that waits for it.
    pub fn complete_submission(&mut self, submission: u64, outcome: SubmitOutcome) {
        let Some(reply) = self.pending_submissions.remove(&submission) else { return };
        // The operator may have disconnected; the outcome is stored in the table regardless.
        let _ = reply.send(submit_reply(outcome));
    }
}

/// Converts an operator's submission to the form of the configuration module.
fn make_submit(at_unix_ms: u64, submission: Submission) -> Submit {
    Submit {
        submission: rand::rng().random(),
        based_on: submission.expected_version,
        by: submission.by,
        at_unix_ms,
        document: submission.document,
    }
}

/// Converts the outcome of a submission to the operator API's reply.
fn submit_reply(outcome: SubmitOutcome) -> SubmitReply {
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

/// The configuration in force; `None` if `version` names another one.
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

/// Converts an accepted configuration to the operator API's view.
fn accepted_view(accepted: &Accepted) -> ConfigView {
    ConfigView {
        version: accepted.version(),
        by: Some(accepted.entry.by.clone()),
        at_unix_ms: Some(accepted.entry.at_unix_ms),
        document: serde_json::from_str(&accepted.document).unwrap_or(Value::Null),
        history: accepted.history.iter().map(entry_view).collect(),
    }
}

/// Converts a history entry to the operator API's view.
fn entry_view(entry: &HistoryEntry) -> ConfigEntry {
    ConfigEntry { version: entry.version, by: entry.by.clone(), at_unix_ms: entry.at_unix_ms }
}
