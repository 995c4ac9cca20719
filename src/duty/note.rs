//! Where the node's notes go: the log, the metrics and the collector of traces.

use crate::call::{ArmId, LoadReport};
use crate::event::EventLog;
use crate::node::Note;
use crate::telemetry::metrics::{CallMetrics, LabelNames};
use crate::telemetry::trace::SpanSink;

/// Takes the notes of one node.
#[derive(Debug)]
pub struct Notes {
    /// The log.
    events: EventLog,
    /// The figures.
    calls: CallMetrics,
    /// The spans.
    spans: SpanSink,
}

impl Notes {
    /// Notes go to this log and these figures.
    pub fn new(events: EventLog, calls: CallMetrics, spans: SpanSink) -> Self {
        Self { events, calls, spans }
    }

    /// Takes one note.
    pub fn take(&mut self, note: Note) {
        match note {
            Note::Event(event) => self.events.emit(&event),
            Note::CallEnded { from, class, arm, outcome, took_us } => {
                self.calls.call_ended(from, class, arm, outcome, took_us);
            }
            Note::AttemptEnded { service, arm, outcome } => {
                self.calls.attempt_ended(&service, arm, outcome);
            }
            Note::RetryDecided { service, arm, outcome } => {
                self.calls.retry_decided(&service, arm, outcome);
            }
            Note::ReceivedEnded { class, arm, outcome } => {
                self.calls.received_ended(class, arm, outcome);
            }
            Note::TargetEnded { class, arm, took_us, wasted } => {
                self.calls.target_ended(class, arm, took_us, wasted);
            }
            Note::Span(span) => self.spans.push(*span),
            Note::RulesInForce { version, rules } => {
                self.calls.set_config(version, LabelNames::new(&rules));
            }
        }
    }

    /// Shows the load of the arms.
    pub fn show_loads(&mut self, loads: &[(ArmId, LoadReport)]) {
        for (arm, load) in loads {
            self.calls.arm_load(*arm, &(*load).into());
        }
    }
}
