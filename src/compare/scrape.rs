//! What nodes counted for each arm, from scrapes of their metrics.

use std::collections::BTreeMap;

use crate::telemetry::metrics::names;

/// The label that names the arm.
const ARM: &str = "arm";

/// What the nodes of a site counted for one arm.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ArmCounts {
    /// Whole requests of outside callers.
    pub roots: f64,
    /// Retries that were made.
    pub retries: f64,
    /// Time targets spent, in microseconds.
    pub busy_us: f64,
    /// Time targets spent for answers that nobody could use, in microseconds.
    pub wasted_us: f64,
}

impl ArmCounts {
    /// One, and the retries for each whole request; none without requests.
    pub fn attempts_per_root(&self) -> Option<f64> {
        (self.roots > 0.0).then(|| 1.0 + self.retries / self.roots)
    }

    /// Wasted target time as a share of all; none where targets spent none.
    pub fn wasted_share(&self) -> Option<f64> {
        (self.busy_us > 0.0).then(|| self.wasted_us / self.busy_us)
    }
}

/// What the nodes of a site counted, by the name of the arm.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts(BTreeMap<String, ArmCounts>);

impl Counts {
    /// What was counted for an arm.
    pub fn arm(&self, arm: &str) -> Option<&ArmCounts> {
        self.0.get(arm)
    }

    /// Adds what is counted in a scrape.
    pub fn add(&mut self, scrape: &str) {
        self.count(scrape, 1.0);
    }

    /// Takes off what is counted in a scrape.
    pub fn take_off(&mut self, scrape: &str) {
        self.count(scrape, -1.0);
    }

    /// Adds `factor` times what is counted in a scrape.
    fn count(&mut self, scrape: &str, factor: f64) {
        for sample in scrape.lines().filter_map(Sample::read) {
            let Some(arm) = sample.label(ARM) else {
                continue;
            };
            let counts = self.0.entry(arm.to_owned()).or_default();
            let value = factor * sample.value;
            match sample.name {
                names::CALLS_TOTAL if sample.label("from") == Some("caller") => {
                    counts.roots += value;
                }
                names::RETRIES_TOTAL if sample.label("outcome") == Some("granted") => {
                    counts.retries += value;
                }
                names::TARGET_BUSY_MICROSECONDS_TOTAL => counts.busy_us += value,
                names::TARGET_WASTED_MICROSECONDS_TOTAL => counts.wasted_us += value,
                _ => {}
            }
        }
    }
}

/// One line of a scrape, as the node writes it (Prometheus text format).
struct Sample<'a> {
    name: &'a str,
    labels: &'a str,
    value: f64,
}

impl<'a> Sample<'a> {
    /// Reads a line with labels; comments and lines without labels are passed over. Labels of ours
    /// are names of the settings, which hold no quotes, commas or braces.
    fn read(line: &'a str) -> Option<Self> {
        let (name, rest) = line.split_once('{')?;
        let (labels, value) = rest.rsplit_once('}')?;
        Some(Self { name, labels, value: value.trim().parse().ok()? })
    }

    /// The value of a label.
    fn label(&self, name: &str) -> Option<&'a str> {
        for label in self.labels.split(',') {
            let (label, value) = label.split_once('=')?;
            if label == name {
                return Some(value.trim_matches('"'));
            }
        }
        None
    }
}
