//! Discovery and liveness of the other nodes.
//!
//! [`Membership`] is a state machine without I/O, clock or hidden randomness. Nodes discover each
//! other through rows of the platform's table service, which are written and read rarely. They stay
//! up to date by gossip (digest, reply, missing records) that is limited to the services that both
//! sides track. Only a member itself increments its heartbeat counter, `beat`, so a higher counter
//! proves that the member was alive at a known time in the past. Clocks of different VMs are never
//! compared.

mod contact;
mod event;
mod gossip;
mod interest;
mod member;
mod options;
mod rows;
mod state;
mod table;
mod view;
mod wire;

pub use event::{MembershipAction, MembershipEvent};
pub use member::{Member, MemberRow, MemberState, row_key, row_prefix};
pub use options::MembershipOptions;
pub use state::{Membership, OwnMember};
pub use wire::ReportedConfiguration;
