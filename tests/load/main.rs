//! Decisions under hard load: models of services, entries and callers on a paused clock, and whole
//! nodes. Apart from the tests of tests/mesh, whose nodes run on the real clock and would be late
//! beside models that use all cores.

mod completion;
mod placing;
mod retries;
mod returns;
mod shares;
#[path = "../mesh/support.rs"]
#[allow(dead_code, reason = "the tests of tests/mesh use more of it")]
mod support;
