//! Per-arm counters from scrapes of the nodes' metrics.

use std::collections::BTreeMap;

use crate::telemetry::metrics::names;

/// The metric label with the name of the arm.
const ARM_LABEL: &str = "arm";

/// The counters of one arm, summed over the nodes of a site.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ArmCounters {
    /// Root requests: those from external callers.
    pub roots: f64,
    /// Retries that were granted.
    pub retries: f64,
    /// Time that targets spent on calls, in microseconds.
    pub busy_us: f64,
    /// Time that targets spent on answers that could not be used, in microseconds.
    pub wasted_us: f64,
}

impl ArmCounters {
    /// One plus the retries per root request; `None` without requests.
    pub fn attempts_per_root(&self) -> Option<f64> {
        (self.roots > 0.0).then(|| 1.0 + self.retries / self.roots)
    }

    /// Wasted target time as a share of all target time; `None` if targets spent no time.
    pub fn wasted_share(&self) -> Option<f64> {
        (self.busy_us > 0.0).then(|| self.wasted_us / self.busy_us)
    }
}

/// The counters of all arms, by arm name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CountersByArm(BTreeMap<String, ArmCounters>);

impl CountersByArm {
    /// The counters of an arm.
    pub fn arm(&self, arm: &str) -> Option<&ArmCounters> {
        self.0.get(arm)
    }

    /// Adds the counters of a scrape.
    pub fn add(&mut self, scrape: &str) {
        self.add_scaled(scrape, 1.0);
    }

    /// Subtracts the counters of a scrape.
    pub fn subtract(&mut self, scrape: &str) {
        self.add_scaled(scrape, -1.0);
    }

    /// Adds the counters of a scrape, multiplied by `factor`.
    fn add_scaled(&mut self, scrape: &str, factor: f64) {
        for sample in scrape.lines().filter_map(Sample::parse) {
            let Some(arm) = sample.label(ARM_LABEL) else {
                continue;
            };
            let counters = self.0.entry(arm.to_owned()).or_default();
            let value = factor * sample.value;
            match sample.name {
                names::CALLS_TOTAL if sample.label("from") == Some("caller") => {
                    counters.roots += value;
                }
                names::RETRIES_TOTAL if sample.label("outcome") == Some("granted") => {
                    counters.retries += value;
                }
                names::TARGET_BUSY_MICROSECONDS_TOTAL => counters.busy_us += value,
                names::TARGET_WASTED_MICROSECONDS_TOTAL => counters.wasted_us += value,
                _ => {}
            }
        }
    }
}

/// One sample line of a scrape in the Prometheus text format.
struct Sample<'a> {
    name: &'a str,
    labels: &'a str,
    value: f64,
}

impl<'a> Sample<'a> {
    /// Parses a line with labels; returns `None` for comments and lines without labels. Label
    /// values are names from the settings, which contain no quotes, commas or braces.
    fn parse(line: &'a str) -> Option<Self> {
        let (name, rest) = line.split_once('{')?;
        let (labels, value) = rest.rsplit_once('}')?;
        Some(Self { name, labels, value: value.trim().parse().ok()? })
    }

    /// The value of a label; `None` if the sample lacks it.
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
