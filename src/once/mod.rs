//! At most one run: of a key over the whole fleet, and of an attempt at its receiving node.
//!
//! The [`Ledger`] beside each target remembers the keys its node owns; the [`AttemptBook`] every
//! attempt that arrived; the [`SenderBook`] every attempt that was sent. An [`Outcome`] joins the
//! verdicts of a request's attempts. All are plain state machines without I/O, clock or randomness.
//! The design and its alternatives are in `docs/DESIGN-once.md`.

mod attempt_book;
mod fingerprint;
mod floor;
mod handover;
mod keyspace;
mod ledger;
mod outcome;
mod sender_book;

pub use attempt_book::{Arrival, AttemptBook, AttemptBookOptions, FenceReply, ReturnPath};
pub use fingerprint::Fingerprint;
pub use handover::{AdoptError, Handover, HandoverError};
pub use ledger::{DelegateError, Ledger, LedgerOptions, Offer};
pub use outcome::{Outcome, Scope, outward};
pub use sender_book::{CallToken, GivenUp, SenderBook};
