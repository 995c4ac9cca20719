//! The node's threads, each with a single responsibility, connected by bounded channels.

pub mod answer;
mod connection_watch;
pub mod decider;
pub mod http;
pub mod launch;
pub mod note;
pub mod operator;
pub mod operator_responder;
pub mod peer;
pub mod problem;
pub mod recorder;
pub mod store;
pub mod target;
pub mod web;

pub use launch::run_node;
