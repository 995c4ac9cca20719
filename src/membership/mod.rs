//! Which nodes there are, how fresh the news of them is, and which of them are leaving.
//!
//! [`Membership`] is a state machine without I/O, clock or hidden randomness. Nodes meet through
//! rows of the platform's table service, which are written and read rarely, and keep each other
//! fresh by an epidemic exchange (digest, reply, missing records) that is limited to the services
//! both sides care about. Only a member itself raises its `beat`; whoever sees a beat rise knows
//! that the member was alive a known time ago. No clocks of different VMs are compared.

mod contact;
mod event;
mod gossip;
mod inherited;
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
pub use wire::ConfigurationMark;
