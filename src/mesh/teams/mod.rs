//! API key authentication and request quotas of teams.
//!
//! [`roster`] maps API keys to teams. A team's quota applies to all nodes together: one node, the *owner*,
//! keeps the team's token [`bucket`] ([`owner`]) and leases tokens to entry nodes on request ([`lease`]).
//! [`quota`] combines these on a node. It reads no clock; the caller passes the current time.

pub mod admission;
pub mod bucket;
pub mod key;
pub mod lease;
pub mod owner;
pub mod quota;
pub mod roster;
pub mod share;
pub mod use_report;
