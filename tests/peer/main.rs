//! Tests the transport between nodes (`duty::peer`).

mod delivery;
mod frames;
mod library;
mod liveness;
mod silence;
mod support;
