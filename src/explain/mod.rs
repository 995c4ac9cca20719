//! Explains one request afterwards, from the logs of the nodes alone.
//!
//! The lines about a request and the calls made for it are put into the order of the calls, not of
//! the clocks, since those of different VMs differ. The cause is what the deepest failed step says,
//! with what its node wrote about itself around that moment.

mod cause;
mod line;
mod page;
mod step;

use serde::Serialize;

pub use cause::Cause;
pub use line::{Line, read_lines};
pub use step::Step;

/// What the logs say about one request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// The id of the caller's attempt.
    pub id: String,
    /// What happened to it, in the order of the calls.
    pub steps: Vec<Step>,
    /// Why it ended as it did.
    pub cause: Cause,
    /// What nodes wrote about themselves around it, that bears on the cause.
    pub context: Vec<Line>,
    /// Lines about requests that were left out around it, as the nodes counted them.
    pub left_out: u64,
}

impl Explanation {
    /// The explanation as text for people.
    pub fn page(&self) -> String {
        page::page(self)
    }
}

/// Explains the request `id`, or the request for which the call `id` was made.
pub fn explain(id: &str, lines: &[Line]) -> Explanation {
    let root = id.split('.').next().unwrap_or(id);
    let steps = step::steps(root, lines);
    let (cause, context) = cause::find(&steps, lines);
    let left_out = line::left_out(lines);
    Explanation { id: root.to_owned(), steps, cause, context, left_out }
}
