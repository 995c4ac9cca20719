//! Trace spans: a client span for each hop and a server span for each received attempt.

use crate::clock::US_PER_MS;
use crate::telemetry::trace::{AttributeValue, SpanKind, SpanRecord};

use super::event::NodeAction;
use super::hop::Hop;
use super::inbound::Inbound;
use super::note::{self, Note};
use super::{Node, Verdict};

impl Node {
    /// Emits the span of a hop that has ended, if its trace is sampled.
    pub(super) fn emit_hop_span(
        &self,
        now_us: u64,
        hop: &Hop,
        verdict: &Verdict,
        out: &mut Vec<NodeAction>,
    ) {
        if !hop.trace.sampled {
            return;
        }
        let span = SpanRecord::builder()
            .trace_id(hop.trace.trace_id)
            .span_id(hop.trace.parent_span_id)
            .parent_span_id(hop.caller_span_id)
            .name(format!("call {}", hop.service))
            .kind(SpanKind::Client)
            .start_unix_us(self.unix_us(hop.started_us))
            .end_unix_us(self.unix_us(now_us))
            .failed(is_failure(verdict))
            .attributes(vec![
                ("aspenspring.verdict", note::outcome_of(verdict).verdict.into()),
                ("aspenspring.reason", note::outcome_of(verdict).reason.into()),
                ("aspenspring.attempts", AttributeValue::Number(i64::from(hop.retries) + 1)),
                ("aspenspring.depth", AttributeValue::Number(i64::from(hop.depth))),
            ])
            .build();
        out.push(NodeAction::Note(Note::Span(Box::new(span))));
    }

    /// Emits the span of a received attempt that has its verdict, if its trace is sampled.
    pub(super) fn emit_inbound_span(
        &self,
        now_us: u64,
        inbound: &Inbound,
        verdict: &Verdict,
        out: &mut Vec<NodeAction>,
    ) {
        let frame = &inbound.frame;
        if !frame.trace.sampled {
            return;
        }
        let queued_us = match inbound.stage {
            super::Stage::Running { since_us } | super::Stage::Aborting { since_us } => {
                since_us.saturating_sub(inbound.arrived_us)
            }
            super::Stage::Joined | super::Stage::Queued => now_us - inbound.arrived_us,
        };
        let span = SpanRecord::builder()
            .trace_id(frame.trace.trace_id)
            .span_id(inbound.span_id)
            .parent_span_id(frame.trace.parent_span_id)
            .name(format!("serve {}", frame.service))
            .kind(SpanKind::Server)
            .start_unix_us(self.unix_us(inbound.arrived_us))
            .end_unix_us(self.unix_us(now_us))
            .failed(is_failure(verdict))
            .attributes(vec![
                ("aspenspring.verdict", note::outcome_of(verdict).verdict.into()),
                ("aspenspring.reason", note::outcome_of(verdict).reason.into()),
                ("aspenspring.queued_us", AttributeValue::Number(queued_us as i64)),
                ("aspenspring.retry", AttributeValue::Number(i64::from(frame.retry))),
            ])
            .build();
        out.push(NodeAction::Note(Note::Span(Box::new(span))));
    }

    /// The wall clock at `at_us`, in microseconds since the Unix epoch.
    fn unix_us(&self, at_us: u64) -> u64 {
        self.identity.origin_unix_ms * US_PER_MS + at_us
    }
}

/// Whether a verdict marks the span as failed.
fn is_failure(verdict: &Verdict) -> bool {
    match verdict {
        Verdict::Answered(answer) => answer.status >= 500,
        Verdict::NotRun(_) | Verdict::MayHaveRun(_) => true,
    }
}
