//! Load balancing on the sending node: picks the target of each attempt.
//!
//! [`Router`] holds the targets of the services that this node calls, with statistics from the
//! outcomes of earlier attempts. Nothing here does I/O or reads a clock.

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

pub use router::{Observation, Outcome, Peer, PickRequest, Router};
pub use subset::{ACTIVE_TARGETS, rendezvous_order};
pub use view::{ArmView, LinkState, PeerView};
