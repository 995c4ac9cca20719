//! One member and its row in the platform's table.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::call::NodeId;

/// Whether a member takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It takes new work.
    Serving,
    /// It takes no new work and never will again.
    Leaving,
}

/// What is known of one life of one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The life.
    pub node: NodeId,
    /// The node's name, which stays the same over restarts.
    pub name: String,
    /// The service whose target stands beside the node.
    pub service: String,
    /// The failure domain of its VM.
    pub failure_domain: String,
    /// Where other nodes connect.
    pub peer_address: SocketAddr,
    /// How many calls its target can run at once; 0 while it has no target.
    pub slots: u32,
    /// How many connections its target accepts; 0 while it has no target.
    pub connections: u32,
    /// Whether it takes new work.
    pub state: MemberState,
    /// A sign of life, raised by the member itself only.
    pub beat: u64,
    /// Raised by the member itself with every change of another field.
    pub revision: u32,
    /// When the life began, in milliseconds since the Unix epoch; of two lives with one name the
    /// later one counts. A node that finds its predecessor at its name sets its own just after it,
    /// so a clock that is behind does no harm.
    pub started_unix_ms: u64,
    /// Nodes that left and whose keys this one has, the oldest first.
    #[serde(default)]
    pub inherited: Vec<NodeId>,
}

impl Member {
    /// Whether this life comes after `other` at the same name.
    pub fn supersedes(&self, other: &Member) -> bool {
        (self.started_unix_ms, self.node) > (other.started_unix_ms, other.node)
    }

    /// Whether both are lives of the same node.
    pub fn same_place(&self, other: &Member) -> bool {
        self.name == other.name && self.service == other.service
    }

    /// The key of the member's row.
    pub fn row_key(&self) -> String {
        row_key(&self.service, &self.name)
    }
}

/// A member's row as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRow {
    /// The value of the row.
    pub member: Member,
    /// The version the table service gave the row.
    pub version: u64,
}

impl MemberRow {
    /// The row in a value of the table, or none where it makes no sense.
    pub fn parse(value: &serde_json::Value, version: u64) -> Option<Self> {
        let member = Member::deserialize(value).ok()?;
        Some(Self { member, version })
    }
}

/// The key of the row of the node called `name`.
pub fn row_key(service: &str, name: &str) -> String {
    format!("member:{service}:{name}")
}

/// What the keys of all rows of `service` begin with.
pub fn row_prefix(service: &str) -> String {
    format!("member:{service}:")
}
