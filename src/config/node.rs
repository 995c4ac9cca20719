//! Settings of a single node: its addresses, location and limits.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Addresses, location and limits of one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The node's name, which stays the same across restarts.
    #[schemars(extend("format" = "name"))]
    pub name: String,
    /// The failure domain of the VM.
    #[schemars(extend("format" = "name"))]
    pub failure_domain: String,
    /// The service of the node's local target.
    #[schemars(extend("format" = "name"))]
    pub service: String,
    /// The address that external callers connect to.
    #[schemars(extend("format" = "ip-port"))]
    pub caller_listen: SocketAddr,
    /// The address where the local target announces itself and sends its own calls; loopback only.
    #[schemars(extend("format" = "ip-port"))]
    pub target_listen: SocketAddr,
    /// The address that other nodes connect to.
    #[schemars(extend("format" = "ip-port"))]
    pub peer_listen: SocketAddr,
    /// The address that operators and the metrics collector connect to.
    #[schemars(extend("format" = "ip-port"))]
    pub operator_listen: SocketAddr,
    /// Peer addresses to ask if the table service is unavailable at startup.
    #[serde(default)]
    #[schemars(extend("items" = { "type": "string", "format": "ip-port" }))]
    pub seeds: Vec<SocketAddr>,
    /// The environment variable that holds the operator key.
    #[serde(default = "default_operator_key_env")]
    #[schemars(extend("format" = "env-name"))]
    pub operator_key_env: String,
    /// The maximum size of a request or response body, in bytes.
    #[serde(default = "default_body_max_bytes")]
    #[schemars(range(min = 1))]
    pub body_max_bytes: usize,
    /// The maximum total size of the bodies held at once, in bytes.
    #[serde(default = "default_bodies_max_bytes")]
    #[schemars(range(min = 1))]
    pub bodies_max_bytes: usize,
    /// The time limit for a caller to send its request, in milliseconds.
    #[serde(default = "default_request_read_ms")]
    #[schemars(range(min = 1))]
    pub request_read_ms: u64,
    /// The capacity of each ring buffer between two threads, in entries.
    #[serde(default = "default_ring_entries")]
    #[schemars(range(min = 16, max = 1048576))]
    pub ring_entries: usize,
    /// The number of worker threads of the HTTP listeners.
    #[serde(default = "default_http_workers")]
    #[schemars(range(min = 1, max = 64))]
    pub http_workers: usize,
    /// How long a leaving node refuses new work before it may exit, in milliseconds.
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
