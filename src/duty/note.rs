//! Routes the node's notes to the log, the metrics and the trace exporter.

use crate::call::{ArmId, LoadReport};
use crate::event::EventLog;
use crate::node::Note;
use crate::telemetry::metrics::{CallMetrics, LabelNames};
use crate::telemetry::trace::SpanSink;

/// Receives the notes of one node.
#[derive(Debug)]
pub struct NoteSink {
    /// The event log.
    events: EventLog,
    /// The call metrics.
    calls: CallMetrics,
    /// The queue of spans to export.
    spans: SpanSink,
}

impl NoteSink {
    /// Creates a sink that writes to the given log, metrics and spans.
    pub fn new(events: EventLog, calls: CallMetrics, spans: SpanSink) -> Self {
        Self { events, calls, spans }
    }

    /// Records one note.
    pub fn record(&mut self, note: Note) {
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

    /// Updates the load metrics of the arms.
    pub fn record_loads(&mut self, loads: &[(ArmId, LoadReport)]) {
        for (arm, load) in loads {
            self.calls.arm_load(*arm, &(*load).into());
        }
    }
}
