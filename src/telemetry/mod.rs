//! Telemetry of a node: metrics that are scraped and spans that are sent to a collector.

pub mod metrics;
pub mod trace;
