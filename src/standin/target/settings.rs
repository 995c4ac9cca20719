//! Settings of a stand-in target.

use std::net::SocketAddr;

use bon::Builder;

/// Settings of a stand-in target.
#[derive(Builder, Clone, Debug)]
#[builder(derive(Clone))]
pub struct TargetSettings {
    /// The service that the target belongs to.
    #[builder(into)]
    pub service: String,
    /// Name of the target in its answers.
    #[builder(into)]
    pub name: String,
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address on which the node accepts targets (`target_listen`). Without it, the target neither
    /// announces itself nor makes child calls.
    pub node: Option<SocketAddr>,
    /// Maximum number of calls that run concurrently.
    #[builder(default = 32)]
    pub slots: u32,
    /// Dedicated slots by policy arm (the value of the header `aspenspring-arm`); all other arms
    /// share `slots`.
    #[builder(default)]
    pub arm_slots: Vec<(String, u32)>,
    /// Maximum number of calls that wait for a slot, in each pool of slots.
    #[builder(default = 10_000)]
    pub queue_max: u32,
    /// Maximum number of connections that the target announces.
    #[builder(default = 1_000)]
    pub connections: u32,
    /// Mean service time of a call without its child calls, in milliseconds.
    #[builder(default = 5.0)]
    pub service_ms: f64,
    /// Seed of the random service times.
    #[builder(default = 1)]
    pub seed: u64,
    /// Services to which each call makes child calls.
    #[builder(default)]
    pub calls: Vec<String>,
    /// Whether child calls are made concurrently instead of in sequence.
    #[builder(default)]
    pub parallel: bool,
    /// How long after its start the target is cold and serves calls slowly, in milliseconds.
    #[builder(default)]
    pub cold_ms: u64,
    /// Default and maximum deadline of a call, in milliseconds.
    #[builder(default = 30_000)]
    pub deadline_ms: u64,
}
