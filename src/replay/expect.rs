//! Stated outcomes of a trace.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::tally::Report;

/// What must hold of the report of a trace.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expectations {
    /// What the trace shows.
    pub title: String,
    /// What must hold.
    pub stated: Vec<Expectation>,
}

/// What must hold of one figure of the report.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    /// Why it must hold.
    pub because: String,
    /// The JSON pointers (RFC 6901) of the figures, which are added up.
    pub of: Vec<String>,
    /// The least that the sum may be.
    #[serde(default)]
    pub min: Option<u64>,
    /// The most that the sum may be.
    #[serde(default)]
    pub max: Option<u64>,
}

impl Expectations {
    /// What does not hold of `report`, a sentence each.
    ///
    /// # Errors
    ///
    /// Fails only if the report has no form in JSON.
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
    /// Why it does not hold, if so.
    fn difference(&self, report: &Value) -> Option<String> {
        let names = self.of.join(" + ");
        if self.of.is_empty() || (self.min.is_none() && self.max.is_none()) {
            return Some(format!("{}: it states nothing that could fail", self.because));
        }
        let mut sum = 0;
        for pointer in &self.of {
            match figure(report, pointer) {
                Some(figure) => sum += figure,
                None => return Some(format!("{pointer} is no figure of the report")),
            }
        }
        let is_low = self.min.is_some_and(|min| sum < min);
        let is_high = self.max.is_some_and(|max| sum > max);
        if !is_low && !is_high {
            return None;
        }
        let bound = |bound: Option<u64>| bound.map_or("any".to_owned(), |bound| bound.to_string());
        let (min, max) = (bound(self.min), bound(self.max));
        Some(format!("{names} is {sum}, not {min} to {max}: {}", self.because))
    }
}

/// A figure of the report. What is counted by name is 0 where it did not occur.
fn figure(report: &Value, pointer: &str) -> Option<u64> {
    if let Some(value) = report.pointer(pointer) {
        return value.as_u64();
    }
    let (parent, _) = pointer.rsplit_once('/')?;
    let is_counted_by_name = parent.ends_with("/reasons") || parent == "/retries";
    (is_counted_by_name && report.pointer(parent)?.is_object()).then_some(0)
}
