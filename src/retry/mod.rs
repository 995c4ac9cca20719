//! When a failed attempt may be made again, and how many extra attempts there may be.
//!
//! Three bounds act together: the verdict must allow it ([`next_step`]), the sending node must have
//! earned it ([`RetryBudget`]), and the entry node of the root must still have allowance
//! ([`RootAllowances`]). Nothing here does I/O or reads a clock.

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
