//! Teams: whose key lets a request in, under which name it runs, and how many of them may.
//!
//! [`roster`] tells who holds a key. A team's quota holds for all nodes together: one node, the *owner*,
//! keeps the team's [`bucket`] ([`owner`]) and leases tokens to the entries that ask ([`lease`]).
//! [`quota`] joins these on a node; it decides on a clock that its caller reads.

pub mod admission;
pub mod bucket;
pub mod key;
pub mod lease;
pub mod owner;
pub mod quota;
pub mod roster;
