//! The call path of a node: forwards requests of callers to the local target or to that of a peer,
//! and returns the answers.
//!
//! All tasks run in one thread: on a VM with less than half a core, passing work to another thread
//! costs more than a whole routing decision. docs/DESIGN-platform.md has the figures.

pub mod budget;
pub mod caller_end;
mod chunk;
pub mod codec;
pub mod completion;
pub mod condition;
pub mod crash;
pub mod crash_reports;
pub mod departures;
pub mod directory;
pub mod failure_share;
mod field;
pub mod fingerprint;
pub mod follower;
pub mod frame;
pub mod gate;
pub mod header_names;
pub mod http1;
pub mod idle;
pub mod inbound;
pub mod incarnation;
pub mod ingress;
pub mod launch;
pub mod levels;
pub mod limit_reports;
pub mod linger;
pub mod link;
pub mod lives;
pub mod memory;
pub mod metrics;
pub mod named_limit;
pub mod node;
pub mod overload;
pub mod pacer;
pub mod peer_limit;
pub mod peers;
pub mod placing;
pub mod polling;
pub mod quarantine;
pub mod receiver;
pub mod report;
pub mod request_log;
pub mod retry_window;
pub mod returns;
pub mod running_requests;
pub mod sender;
pub mod settings;
pub mod signal;
pub mod site;
pub mod socket;
pub mod split;
pub mod target;
pub mod teams;
pub mod tree_calls;
pub mod unsent_answers;
pub mod window;
pub mod words;
