//! Overload control for service call graphs, with one sidecar node for each target.
//!
//! Decisions are made by state machines without I/O or clock (`call`, `admission`, `routing`, `retry`,
//! `once`, `membership`, `configuration`, combined in `node`). The threads that deliver events and
//! execute actions are in `duty`. The `node` command runs these; the `mesh` command runs the node in
//! `mesh` instead, which `platform` adapts to the users' platform.

pub mod admission;
pub mod call;
pub mod cli;
pub mod clock;
pub mod compare;
pub mod config;
pub mod configuration;
pub mod duty;
pub mod event;
pub mod explain;
pub mod framing;
pub mod logging;
pub mod membership;
pub mod mesh;
pub mod node;
pub mod once;
pub mod platform;
pub mod replay;
pub mod retry;
pub mod routing;
pub mod standin;
pub mod telemetry;
