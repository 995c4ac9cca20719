//! The threads that move events and carry out actions.

pub mod operator;
pub mod peer;
pub mod problem;
pub mod store;
pub mod web;
