//! The node's threads: each has one duty, and bounded rings join them.

pub mod answer;
pub mod decider;
pub mod desk;
pub mod http;
pub mod launch;
pub mod note;
pub mod operator;
pub mod peer;
pub mod problem;
pub mod recorder;
mod slow;
pub mod store;
pub mod target;
pub mod web;

pub use launch::run_node;
