//! Accepts configurations submitted by operators and distributes them to all nodes.
//!
//! [`Configuration`] is a state machine without I/O, clock or hidden randomness. A document is
//! accepted by compare-and-set of one row in the platform's table service. Every gossip message
//! carries the version of its sender; a node that learns of a higher one fetches the document once,
//! from a peer or from the table service. A node only ever moves to a higher version.

mod document;
mod event;
mod fetch;
mod site;
mod state;
mod submission;

pub use document::{Accepted, HistoryEntry, TableRow};
pub use event::{
    ConfigurationAction, ConfigurationEvent, PeerVersion, RowRead, RowWrite, Submit, SubmitOutcome,
};
pub use site::site_rules;
pub use state::{BuildRules, Configuration, ConfigurationOptions};

/// The key of the row that holds the accepted configuration.
pub const ROW_KEY: &str = "config:current";
