//! Options of the transport.

use std::net::SocketAddr;
use std::sync::Arc;

use bon::Builder;

use super::error::PeerError;
use super::liveness::LivenessSettings;
use crate::call::{LoadReport, NodeId};
use crate::clock::US_PER_MS;

/// The largest send queue that nng supports for a connection.
const RING_MAX_ENTRIES: usize = 8_192;
/// The longest time that can be set, in milliseconds: one day.
const TIME_MAX_MS: u64 = 86_400_000;
/// Bytes allowed in a message besides its body if `message_max_bytes` is not set.
const HEAD_MAX_BYTES: usize = 256 << 10;

/// Options of the transport.
#[derive(Clone, Builder)]
pub struct PeerOptions {
    /// The listening address; with port 0 the system chooses the port.
    pub listen: SocketAddr,
    /// The ID of this node.
    pub node: NodeId,
    /// The longest body, in bytes.
    #[builder(default = 8 << 20)]
    pub body_max_bytes: usize,
    /// The longest encoded message, in bytes. A connection that carries a longer one is closed.
    #[builder(default = body_max_bytes + HEAD_MAX_BYTES)]
    pub message_max_bytes: usize,
    /// A ping is sent after this long without receiving anything while answers are expected.
    #[builder(default = 200)]
    pub ping_every_ms: u64,
    /// The same while no answer is expected.
    #[builder(default = 5_000)]
    pub idle_ping_every_ms: u64,
    /// The connection is silent if nothing is received for this long while a ping is unanswered.
    #[builder(default = 400)]
    pub silent_after_ms: u64,
    /// The connect timeout; refused connections are not distinguished from slow ones.
    #[builder(default = 250)]
    pub connect_within_ms: u64,
    /// The backoff before reconnecting after the first failure; it doubles with each failure.
    #[builder(default = 50)]
    pub redial_after_ms: u64,
    /// The longest backoff before reconnecting.
    #[builder(default = 5_000)]
    pub redial_max_ms: u64,
    /// An inbound connection is closed after this long without receiving anything. It must be much
    /// longer than the idle ping interval of the other nodes.
    #[builder(default = 60_000)]
    pub inbound_idle_ms: u64,
    /// How many messages may be queued per connection, in each direction.
    #[builder(default = 1_024)]
    pub ring_entries: usize,
    /// Returns the load that pongs report.
    #[builder(default = Arc::new(LoadReport::default), with = |load: impl Fn() -> LoadReport + Send + Sync + 'static| Arc::new(load))]
    pub load: Arc<dyn Fn() -> LoadReport + Send + Sync>,
}

impl PeerOptions {
    /// Rejects options that are out of range.
    pub(super) fn validate(&self) -> Result<(), PeerError> {
        let times = [
            ("ping_every_ms", self.ping_every_ms),
            ("idle_ping_every_ms", self.idle_ping_every_ms),
            ("silent_after_ms", self.silent_after_ms),
            ("connect_within_ms", self.connect_within_ms),
            ("redial_after_ms", self.redial_after_ms),
            ("redial_max_ms", self.redial_max_ms),
            ("inbound_idle_ms", self.inbound_idle_ms),
        ];
        for (field, value) in times {
            check_range(field, value, 1, TIME_MAX_MS)?;
        }
        let ring_entries = self.ring_entries as u64;
        check_range("ring_entries", ring_entries, 1, RING_MAX_ENTRIES as u64)?;
        let message_max_bytes = self.message_max_bytes as u64;
        check_range("message_max_bytes", message_max_bytes, 1, u64::from(u32::MAX))
    }

    /// Ping intervals and the silence timeout of a connection.
    pub(super) fn liveness(&self) -> LivenessSettings {
        LivenessSettings::from_ms(self.ping_every_ms, self.idle_ping_every_ms, self.silent_after_ms)
    }

    /// How often the connections are checked, in microseconds.
    pub(super) fn tick_us(&self) -> u64 {
        /// Ticks in the shortest configured time.
        const TICKS_IN_INTERVAL: u64 = 4;
        let shortest_ms = self
            .ping_every_ms
            .min(self.silent_after_ms)
            .min(self.connect_within_ms)
            .min(self.redial_after_ms);
        (shortest_ms * US_PER_MS / TICKS_IN_INTERVAL).max(US_PER_MS)
    }
}

/// Rejects a value outside the range.
fn check_range(field: &'static str, value: u64, min: u64, max: u64) -> Result<(), PeerError> {
    if value < min || value > max {
        return Err(PeerError::BadOption { field, value, min, max });
    }
    Ok(())
}
