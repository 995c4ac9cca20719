//! What a node tells about itself: metrics that are scraped, spans that are sent to a collector.

pub mod metrics;
pub mod trace;
