//! At-most-once execution: each idempotency key runs at most once in the whole fleet, and each
//! attempt at most once at the node that receives it.
//!
//! On each node the [`Ledger`] records the state of the keys the node owns, the [`AttemptTable`]
//! the attempts it received and [`InFlightAttempts`] the attempts it sent. An [`Outcome`] combines
//! the verdicts of a request's attempts. All are state machines without I/O, clock or randomness.
//! `docs/DESIGN-once.md` describes the design and its alternatives.

mod attempt_table;
mod fingerprint;
mod handover;
mod in_flight;
mod keyspace;
mod ledger;
mod outcome;
mod watermarks;

pub use attempt_table::{Arrival, AttemptTable, AttemptTableOptions, FenceReply, ReturnPath};
pub use fingerprint::Fingerprint;
pub use handover::{AdoptError, Handover, HandoverError};
pub use in_flight::{AbandonedAttempt, CallToken, InFlightAttempts};
pub use ledger::{DelegateError, Ledger, LedgerOptions, Offer};
pub use outcome::{Outcome, RefusalScope, external_verdict};
