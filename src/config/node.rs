//! What one node alone is told: its addresses, its place and its limits.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Addresses, place and limits of one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// A name that stays the same over restarts.
    pub name: String,
    /// The failure domain the VM stands in.
    pub failure_domain: String,
    /// The service whose target stands beside this node.
    pub service: String,
    /// Where outside callers come in.
    pub caller_listen: SocketAddr,
    /// Where the target beside this node announces itself and sends its own calls; loopback only.
    pub target_listen: SocketAddr,
    /// Where other nodes connect.
    pub peer_listen: SocketAddr,
    /// Where operators and the collector of metrics connect.
    pub operator_listen: SocketAddr,
    /// Peer addresses to ask when the table service is away at the start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The environment variable that holds the operators' key.
    #[serde(default = "default_operator_key_env")]
    pub operator_key_env: String,
    /// The longest body of a request or an answer, in bytes.
    #[serde(default = "default_body_max_bytes")]
    pub body_max_bytes: usize,
    /// The most bytes of bodies that may be held at once.
    #[serde(default = "default_bodies_max_bytes")]
    pub bodies_max_bytes: usize,
    /// How long a caller may take to send its request.
    #[serde(default = "default_request_read_ms")]
    pub request_read_ms: u64,
    /// How many entries a ring between two threads holds.
    #[serde(default = "default_ring_entries")]
    pub ring_entries: usize,
    /// Worker threads of the HTTP listeners.
    #[serde(default = "default_http_workers")]
    pub http_workers: usize,
    /// How long the node keeps refusing new work while it leaves, before it may exit.
    #[serde(default = "default_leave_ms")]
    pub leave_ms: u64,
}

fn default_operator_key_env() -> String {
    "ASPENSPRING_OPERATOR_KEY".to_owned()
}

fn default_body_max_bytes() -> usize {
    8 << 20
}

fn default_bodies_max_bytes() -> usize {
    32 << 20
}

fn default_request_read_ms() -> u64 {
    5_000
}

fn default_ring_entries() -> usize {
    4_096
}

fn default_http_workers() -> usize {
    2
}

fn default_leave_ms() -> u64 {
    2_000
}
