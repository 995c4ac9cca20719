//! Explains the outcome of one request afterwards, from the logs of the nodes alone.
//!
//! Log lines about a request and its nested calls are put into call order rather than time order,
//! since the clocks of different VMs differ. The cause is taken from the deepest failed step and
//! from the events that its node logged around that time.

mod cause;
mod line;
mod page;
mod step;

use serde::Serialize;

pub use cause::Cause;
pub use line::{Line, read_lines};
pub use step::Step;

/// The outcome of one request and its cause, as found in the logs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// The id of the caller's request.
    pub id: String,
    /// The steps of the request, in call order.
    pub steps: Vec<Step>,
    /// Why it ended the way it did.
    pub cause: Cause,
    /// Node events around that time that may have contributed to the cause.
    pub context: Vec<Line>,
    /// How many lines about requests the nodes suppressed, by their own counts.
    pub left_out: u64,
}

impl Explanation {
    /// The explanation as human-readable text.
    pub fn page(&self) -> String {
        page::page(self)
    }
}

/// Explains the request `id`; for the id of a nested call, the request that the call belongs to.
pub fn explain(id: &str, lines: &[Line]) -> Explanation {
    let root = id.split('.').next().unwrap_or(id);
    let steps = step::steps(root, lines);
    let (cause, context) = cause::find_cause(&steps, lines);
    let left_out = line::suppressed_request_lines(lines);
    Explanation { id: root.to_owned(), steps, cause, context, left_out }
}
