//! Small stand-ins for the surroundings of a site, for tests and demonstrations: the services of the
//! platform, the operators' trace collector, targets and outside callers.
//!
//! Servers run inside a test (`start`) or as a process (`aspenspring standin ..`).

pub mod answer;
pub mod bench;
pub mod cli;
pub mod client;
pub mod collector;
mod faulty_body;
pub mod fetch;
pub mod load;
pub mod message;
pub mod platform;
pub mod server;
pub mod target;

pub use server::Server;
