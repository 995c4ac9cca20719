//! A member of the mesh and its row in the platform's table service.

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

/// The state of one incarnation (one run of the process) of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The ID of the incarnation.
    pub node: NodeId,
    /// The node's name, which is kept across restarts.
    pub name: String,
    /// The service of the node's target.
    pub service: String,
    /// The failure domain of its VM.
    pub failure_domain: String,
    /// The address that other nodes connect to.
    pub peer_address: SocketAddr,
    /// How many calls its target can run concurrently; 0 while it has no target.
    pub slots: u32,
    /// How many connections its target accepts; 0 while it has no target.
    pub connections: u32,
    /// Whether it takes new work.
    pub state: MemberState,
    /// The heartbeat counter, incremented only by the member itself.
    pub beat: u64,
    /// Incremented by the member itself with every change of another field.
    pub revision: u32,
    /// When the incarnation started, in milliseconds since the Unix epoch. Of two incarnations with
    /// one name, the later one keeps it. A new incarnation that finds its predecessor's row sets
    /// its own value just above the predecessor's, because its clock may be behind.
    pub started_unix_ms: u64,
}

impl Member {
    /// Whether this incarnation is later than `other`, which has the same name.
    pub fn supersedes(&self, other: &Member) -> bool {
        (self.started_unix_ms, self.node) > (other.started_unix_ms, other.node)
    }

    /// Whether both are incarnations of the same node.
    pub fn is_same_node(&self, other: &Member) -> bool {
        self.name == other.name && self.service == other.service
    }

    /// The key of the member's row.
    pub fn row_key(&self) -> String {
        row_key(&self.service, &self.name)
    }
}

/// A member's row as read from the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRow {
    /// The value of the row.
    pub member: Member,
    /// The version that the table service assigned to the row.
    pub version: u64,
}

impl MemberRow {
    /// Parses the value of a row; none if it is malformed.
    pub fn parse(value: &serde_json::Value, version: u64) -> Option<Self> {
        let member = Member::deserialize(value).ok()?;
        Some(Self { member, version })
    }
}

/// The key of the row of the node called `name`.
pub fn row_key(service: &str, name: &str) -> String {
    format!("member:{service}:{name}")
}

/// The common key prefix of all rows of `service`.
pub fn row_prefix(service: &str) -> String {
    format!("member:{service}:")
}
