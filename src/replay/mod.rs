//! Replays a recorded trace of events against a new node and reports its decisions.
//!
//! A trace is a JSON Lines file: a [`Header`], then one timestamped event per line, then an [`End`]
//! line with the result of the recording. `aspenspring node --record` writes it.

mod attempts;
mod expect;
mod tally;
mod trace;

use std::sync::Arc;

use crate::node::Node;

pub use expect::{Expectation, Expectations};
pub use tally::{OutcomeCounts, Report, Violations};
pub use trace::{End, FORMAT, Header, Line, TraceError, TraceReader};

use tally::ReportBuilder;

/// Feeds a trace to a new node and reports its decisions up to the end of the trace, or up to the
/// line where the trace is truncated or malformed.
///
/// # Errors
///
/// The header is missing or malformed. An error in a later line is returned together with
/// the report.
pub fn replay(text: &str) -> Result<(Report, Option<TraceError>), TraceError> {
    let (header, mut lines) = TraceReader::open(text)?;
    let settings = Arc::new(header.settings.clone());
    let build_rules = crate::configuration::site_rules(&settings.site);
    let mut node = Node::new(header.started_us, header.identity, settings.clone(), build_rules);
    let mut builder = ReportBuilder::new(&settings.rules, header.started_us);
    let problem = loop {
        let (at_us, event) = match lines.next_event() {
            Ok(Some(next)) => next,
            Ok(None) => break None,
            Err(error) => break Some(error),
        };
        builder.record_event(at_us, &event);
        let mut actions = Vec::new();
        node.handle(at_us, event, &mut actions);
        for action in &actions {
            builder.record_action(action);
        }
    };
    Ok((builder.finish(node.in_flight()), problem))
}
