//! Which target gets the next attempt.
//!
//! [`Router`] knows the targets of the services this node calls, what their answers said about
//! them, and picks one for each attempt. Nothing here does I/O or reads a clock.

mod arms;
mod cost;
mod floor;
mod health;
mod observe;
mod pick;
mod record;
mod review;
mod router;
mod subset;
mod target;
mod view;

pub use router::{Observation, Outcome, Peer, Pick, Router};
pub use subset::{ACTIVE_TARGETS, rendezvous_order};
pub use view::{ArmView, LinkState, PeerView};
