//! The call path: its decisions by themselves, and whole nodes on loopback with stand-in targets.

mod callers;
mod crashes;
mod decisions;
mod exchange;
mod inquiry;
mod links;
mod nodes;
mod properties;
mod quarantine;
mod quotas;
mod stop;
mod support;
mod targets;
mod teams;
