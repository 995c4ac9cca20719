//! Which configuration is in force, how a new one is accepted, and how it reaches every node.
//!
//! [`Configuration`] is a state machine without I/O, clock or hidden randomness. A document is
//! accepted by compare-and-set of one row in the platform's table. Nodes tell each other the
//! version they have with every gossip message; who hears of a higher one fetches the document
//! once, from a peer or from the table. A node takes only higher versions.

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
