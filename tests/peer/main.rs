//! The transport between nodes.

mod delivery;
mod frames;
mod library;
mod liveness;
mod silence;
mod support;
