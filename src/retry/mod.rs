//! Decides whether and when an attempt that did not succeed is retried.
//!
//! A retry under the bounded rule passes three checks: the verdict must permit it ([`next_step`]),
//! the sending node must have retry budget ([`RetryBudget`]), and the root must have allowance left
//! at its entry node ([`RootAllowances`]). This module does no I/O and reads no clock.

pub mod allowance;
pub mod backoff;
pub mod budget;
pub mod history;
pub mod step;

pub use allowance::RootAllowances;
pub use backoff::backoff_us;
pub use budget::RetryBudget;
pub use history::AttemptHistory;
pub use step::{Failure, RetryStep, next_step};
