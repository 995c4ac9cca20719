//! What one node alone is told: its addresses, its place and its limits.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Addresses, place and limits of one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// A name that stays the same over restarts.
    #[schemars(extend("format" = "name"))]
    pub name: String,
    /// The failure domain the VM stands in.
    #[schemars(extend("format" = "name"))]
    pub failure_domain: String,
    /// The service whose target stands beside this node.
    #[schemars(extend("format" = "name"))]
    pub service: String,
    /// Where outside callers come in.
    #[schemars(extend("format" = "ip-port"))]
    pub caller_listen: SocketAddr,
    /// Where the target beside this node announces itself and sends its own calls; loopback only.
    #[schemars(extend("format" = "ip-port"))]
    pub target_listen: SocketAddr,
    /// Where other nodes connect.
    #[schemars(extend("format" = "ip-port"))]
    pub peer_listen: SocketAddr,
    /// Where operators and the collector of metrics connect.
    #[schemars(extend("format" = "ip-port"))]
    pub operator_listen: SocketAddr,
    /// Peer addresses to ask when the table service is away at the start.
    #[serde(default)]
    #[schemars(extend("items" = { "type": "string", "format": "ip-port" }))]
    pub seeds: Vec<SocketAddr>,
    /// The environment variable that holds the operators' key.
    #[serde(default = "default_operator_key_env")]
    #[schemars(extend("format" = "env-name"))]
    pub operator_key_env: String,
    /// The longest body of a request or an answer, in bytes.
    #[serde(default = "default_body_max_bytes")]
    #[schemars(range(min = 1))]
    pub body_max_bytes: usize,
    /// The most bytes of bodies that may be held at once.
    #[serde(default = "default_bodies_max_bytes")]
    #[schemars(range(min = 1))]
    pub bodies_max_bytes: usize,
    /// How long a caller may take to send its request.
    #[serde(default = "default_request_read_ms")]
    #[schemars(range(min = 1))]
    pub request_read_ms: u64,
    /// How many entries a ring between two threads holds.
    #[serde(default = "default_ring_entries")]
    #[schemars(range(min = 16, max = 1048576))]
    pub ring_entries: usize,
    /// Worker threads of the HTTP listeners.
    #[serde(default = "default_http_workers")]
    #[schemars(range(min = 1, max = 64))]
    pub http_workers: usize,
    /// How long the node keeps refusing new work while it leaves, before it may exit.
    #[serde(default = "default_leave_ms")]
    pub leave_ms: u64,
}

fn default_operator_key_env() -> String {
    "ASPENSPRING_OPERATOR_KEY".to_owned()
}

pub(super) fn default_body_max_bytes() -> usize {
    8 << 20
}

pub(super) fn default_bodies_max_bytes() -> usize {
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
