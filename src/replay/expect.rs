//! Expectations that the report of a replay is checked against.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::tally::Report;

/// The expectations for the report of one trace.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expectations {
    /// A description of the trace.
    pub title: String,
    /// The individual expectations.
    pub stated: Vec<Expectation>,
}

/// Bounds for the sum of some figures of the report.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    /// The reason for the expectation, printed if it fails.
    pub because: String,
    /// The JSON pointers (RFC 6901) of the figures to add up.
    pub of: Vec<String>,
    /// The lower bound of the sum, inclusive.
    #[serde(default)]
    pub min: Option<u64>,
    /// The upper bound of the sum, inclusive.
    #[serde(default)]
    pub max: Option<u64>,
}

impl Expectations {
    /// Returns one message for each expectation that `report` does not meet.
    ///
    /// # Errors
    ///
    /// The report cannot be serialized to JSON.
    pub fn differences(&self, report: &Report) -> serde_json::Result<Vec<String>> {
        let report = serde_json::to_value(report)?;
        let mut differences = Vec::new();
        for expectation in &self.stated {
            differences.extend(expectation.difference(&report));
        }
        Ok(differences)
    }
}

impl Expectation {
    /// Returns a message if the expectation is not met or is invalid.
    fn difference(&self, report: &Value) -> Option<String> {
        let pointers = self.of.join(" + ");
        if self.of.is_empty() || (self.min.is_none() && self.max.is_none()) {
            return Some(format!("{}: the expectation has no figure or no bound", self.because));
        }
        let mut sum = 0;
        for pointer in &self.of {
            match figure(report, pointer) {
                Some(figure) => sum += figure,
                None => return Some(format!("{pointer} is not a figure of the report")),
            }
        }
        let is_below = self.min.is_some_and(|min| sum < min);
        let is_above = self.max.is_some_and(|max| sum > max);
        if !is_below && !is_above {
            return None;
        }
        let bound = |bound: Option<u64>| bound.map_or("any".to_owned(), |bound| bound.to_string());
        let (min, max) = (bound(self.min), bound(self.max));
        Some(format!("{pointers} is {sum}, expected {min} to {max}: {}", self.because))
    }
}

/// Looks up a figure of the report. In `reasons` and `retries`, which have only the names that
/// occurred, a missing name counts as 0.
fn figure(report: &Value, pointer: &str) -> Option<u64> {
    if let Some(value) = report.pointer(pointer) {
        return value.as_u64();
    }
    let (parent, _) = pointer.rsplit_once('/')?;
    let is_keyed_by_name = parent.ends_with("/reasons") || parent == "/retries";
    (is_keyed_by_name && report.pointer(parent)?.is_object()).then_some(0)
}
