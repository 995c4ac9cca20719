//! The state of the router as reported to operators.

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

/// The state of one target at this sender.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PeerView {
    /// The target's node.
    pub node: NodeId,
    /// Its service.
    pub service: String,
    /// The address at which the node listens.
    pub address: std::net::SocketAddr,
    /// Whether it is in this sender's failure domain.
    pub near: bool,
    /// Whether this sender currently uses it.
    pub active: bool,
    /// Whether it is draining: it accepts no new calls, permanently.
    pub leaving: bool,
    /// The connection.
    pub link: LinkState,
    /// The statistics of each arm.
    pub arms: Vec<ArmView>,
}

/// The statistics of one target in one arm.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ArmView {
    /// The arm.
    pub arm: ArmId,
    /// Attempts sent and not yet settled.
    pub outstanding: u32,
    /// The smoothed latency, in microseconds.
    pub latency_us: u64,
    /// The smoothed error rate of attempts, from 0 to 1.
    pub errors: f32,
    /// Calls at the target as a share of its capacity.
    pub utilisation: f64,
    /// Whether it is ejected and gets only probes.
    pub ejected: bool,
    /// The highest decayed floor of any class.
    pub floor: Level,
}
