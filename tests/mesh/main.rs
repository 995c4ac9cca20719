//! The call path: single components, and whole nodes on loopback with simulated targets.

mod callers;
mod conditions;
mod crashes;
mod decisions;
mod exchange;
mod limits;
mod links;
mod memory;
mod nodes;
mod polling;
mod properties;
mod quarantine;
mod quotas;
mod stop;
mod support;
mod targets;
mod teams;
