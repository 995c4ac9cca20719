//! What operators see of the router.

use serde::Serialize;

use crate::call::{ArmId, Level, NodeId};

/// The state of the connection to a target's node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkState {
    /// Calls may be sent.
    Up,
    /// Nothing may be sent until the connection is up again.
    Lost {
        /// For how long it has been lost, in microseconds.
        for_us: u64,
    },
}

/// One target as this sender sees it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PeerView {
    /// The node beside the target.
    pub node: NodeId,
    /// Its service.
    pub service: String,
    /// Where the node listens.
    pub address: std::net::SocketAddr,
    /// Whether it stands in the own failure domain.
    pub near: bool,
    /// Whether this sender uses it at present.
    pub active: bool,
    /// Whether it takes no new work for good.
    pub leaving: bool,
    /// The connection.
    pub link: LinkState,
    /// What each arm has seen of it.
    pub arms: Vec<ArmView>,
}

/// What one arm has seen of a target.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ArmView {
    /// The arm.
    pub arm: ArmId,
    /// Attempts sent and not yet settled.
    pub outstanding: u32,
    /// The smoothed latency, in microseconds.
    pub latency_us: u64,
    /// The smoothed share of attempts that failed, from 0 to 1.
    pub errors: f32,
    /// Calls at the target as a share of what it can run.
    pub utilisation: f64,
    /// Whether it gets only probes.
    pub ejected: bool,
    /// The highest floor that still counts.
    pub floor: Level,
}
