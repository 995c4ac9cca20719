//! Small stand-ins for what the platform and the operators provide, for tests and demonstrations.
//!
//! Each one runs inside a test (`start`) or as a process (`aspenspring standin ..`).

pub mod answer;
pub mod bench;
mod broken;
pub mod cli;
pub mod client;
pub mod collector;
pub mod exchange;
pub mod fetch;
pub mod load;
pub mod platform;
pub mod server;
pub mod target;

pub use server::Server;
