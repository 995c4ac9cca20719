//! Stand-ins for the systems around a site, for tests and demonstrations: the platform's services,
//! the operators' trace collector, targets and external callers.
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
