//! Replays what a node was told against a fresh node, and states what it decides.
//!
//! A trace is a file of JSON lines: a [`Header`], then an event and its time on each line, then how
//! the recording ended. `aspenspring node --record` writes it.

mod expect;
mod sight;
mod tally;
mod trace;

use std::sync::Arc;

use crate::node::Node;

pub use expect::{Expectation, Expectations};
pub use tally::{Broken, Ends, Report};
pub use trace::{End, FORMAT, Header, Line, TraceError, TraceReader};

use tally::Tally;

/// Feeds a trace to a fresh node and states what it decided up to the trace's end, or up to the
/// line where the trace is cut or makes no sense.
///
/// # Errors
///
/// The trace has no header that can be read. What is wrong with a later line stands beside the
/// report.
pub fn replay(text: &str) -> Result<(Report, Option<TraceError>), TraceError> {
    let (header, mut lines) = TraceReader::open(text)?;
    let settings = Arc::new(header.settings.clone());
    let build = crate::configuration::site_rules(&settings.site);
    let mut node = Node::new(header.started_us, header.identity, settings.clone(), build);
    let mut tally = Tally::new(&settings.rules, header.started_us);
    let problem = loop {
        let (at_us, event) = match lines.next_event() {
            Ok(Some(next)) => next,
            Ok(None) => break None,
            Err(error) => break Some(error),
        };
        tally.take_event(at_us, &event);
        let mut actions = Vec::new();
        node.handle(at_us, event, &mut actions);
        for action in &actions {
            tally.take_action(action);
        }
    };
    Ok((tally.report(node.in_flight()), problem))
}
