//! What a stand-in target is told.

use std::net::SocketAddr;

use bon::Builder;

/// What a stand-in target is told at its start.
#[derive(Builder, Clone, Debug)]
#[builder(derive(Clone))]
pub struct TargetSettings {
    /// The service it belongs to.
    #[builder(into)]
    pub service: String,
    /// Its name in answers.
    #[builder(into)]
    pub name: String,
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Where its node listens for it (`target_listen`); without a node it announces nothing and
    /// can call nobody.
    pub node: Option<SocketAddr>,
    /// How many calls it runs at once.
    #[builder(default = 32)]
    pub slots: u32,
    /// Slots set aside for single policy arms, by the value of the header `aspenspring-arm`; calls
    /// of any other arm share `slots`.
    #[builder(default)]
    pub lanes: Vec<(String, u32)>,
    /// How many calls may wait for a slot.
    #[builder(default = 10_000)]
    pub queue_max: u32,
    /// How many connections it says that it accepts.
    #[builder(default = 1_000)]
    pub connections: u32,
    /// The mean time of its own work for a call, in milliseconds.
    #[builder(default = 5.0)]
    pub service_ms: f64,
    /// The seed of the times it draws.
    #[builder(default = 1)]
    pub seed: u64,
    /// The services it calls for each call.
    #[builder(default)]
    pub calls: Vec<String>,
    /// Whether it calls them all at once, instead of one after the other.
    #[builder(default)]
    pub parallel: bool,
    /// How long after its start it works slowly, in milliseconds.
    #[builder(default)]
    pub cold_ms: u64,
    /// The deadline of a call that names none, in milliseconds.
    #[builder(default = 30_000)]
    pub deadline_ms: u64,
}
