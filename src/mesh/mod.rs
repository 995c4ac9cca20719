//! The call path of a node: from callers to a target, beside this node or beside a peer, and back.
//!
//! All tasks run in one thread: on a VM with less than half a core, handing work to another thread
//! costs more than a whole routing decision. docs/DESIGN-platform.md has the figures.

pub mod ancestry;
pub mod budget;
pub mod codec;
pub mod crash;
pub mod crash_reports;
pub mod directory;
pub mod failing;
pub mod fingerprint;
pub mod follower;
pub mod frame;
pub mod gate;
pub mod header_names;
pub mod http1;
pub mod inbound;
pub mod incarnation;
pub mod ingress;
pub mod launch;
pub mod levels;
pub mod linger;
pub mod link;
pub mod metrics;
pub mod node;
pub mod overload;
pub mod peers;
pub mod polling;
pub mod quarantine;
pub mod receiver;
pub mod report;
pub mod sender;
pub mod settings;
pub mod site;
pub mod socket;
pub mod split;
pub mod target;
pub mod teams;
pub mod trail;
pub mod window;
pub mod words;
