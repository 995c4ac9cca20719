//! Intervals and limits of the membership.

use std::net::SocketAddr;

use bon::Builder;

use crate::clock::{US_PER_MS, US_PER_S};

/// Intervals and limits. The defaults suit every site size listed in docs/CAPACITY.md.
#[derive(Clone, Debug, Builder)]
pub struct MembershipOptions {
    /// How often the node's own row is written, in microseconds.
    #[builder(default = 60 * US_PER_S)]
    pub announce_us: u64,
    /// How often rows are read, one service at a time, in microseconds. While gossip works, the
    /// interval is `READ_INTERVAL_FACTOR` times as long.
    #[builder(default = 12 * US_PER_S)]
    pub poll_us: u64,
    /// How often a digest is sent to a peer, in microseconds, on a small site.
    #[builder(default = US_PER_S)]
    pub gossip_us: u64,
    /// The minimum gossip interval per known member, in microseconds. It bounds the bytes per
    /// second whatever the number of members.
    #[builder(default = 15 * US_PER_MS)]
    pub gossip_per_member_us: u64,
    /// The maximum time between two digests, in microseconds.
    #[builder(default = 4 * US_PER_S)]
    pub gossip_max_us: u64,
    /// The heartbeat interval in a small service, in microseconds.
    #[builder(default = 5 * US_PER_S)]
    pub beat_us: u64,
    /// The minimum heartbeat interval per member of the service, in microseconds. It bounds the
    /// heartbeats per second of one service.
    #[builder(default = 25 * US_PER_MS)]
    pub beat_per_member_us: u64,
    /// After how many missed heartbeats a member is removed.
    #[builder(default = 12)]
    pub beats_missed: u64,
    /// Timeout of a request to the table service, in microseconds.
    #[builder(default = 10 * US_PER_S)]
    pub store_timeout_us: u64,
    /// The maximum backoff while the table service fails, in microseconds.
    #[builder(default = 60 * US_PER_S)]
    pub backoff_max_us: u64,
    /// How long a row must be seen unchanged, without a failed read in between, before it may be
    /// deleted as dead, in microseconds.
    #[builder(default = 600 * US_PER_S)]
    pub row_dead_us: u64,
    /// How long the tombstone of a member that went silent is kept, in microseconds. The tombstone
    /// of a member that left is kept until there are more than `tombstones_max`.
    #[builder(default = 3_600 * US_PER_S)]
    pub tombstone_us: u64,
    /// The shortest gap between two events that counts as a pause of the process, in microseconds.
    #[builder(default = 10 * US_PER_S)]
    pub pause_min_us: u64,
    /// The expected number of nodes of the site. The first reads and writes after a start are
    /// spread accordingly, which protects the table service when all nodes start simultaneously.
    #[builder(default = 20)]
    pub site_nodes: u32,
    /// Peer addresses to contact when the table service is unavailable.
    #[builder(default)]
    pub seeds: Vec<SocketAddr>,
    /// About how many heartbeats of other members one digest holds at most.
    #[builder(default = 256)]
    pub heartbeats_max: usize,
    /// Maximum number of full records in one message.
    #[builder(default = 64)]
    pub records_max: usize,
    /// Maximum number of known members.
    #[builder(default = 8_192)]
    pub members_max: usize,
    /// Maximum number of tombstones.
    #[builder(default = 2_048)]
    pub tombstones_max: usize,
}

impl MembershipOptions {
    /// The heartbeat interval of a service with `members` members, in microseconds.
    pub fn beat_interval_us(&self, members: usize) -> u64 {
        self.beat_us.max(self.beat_per_member_us * members as u64)
    }

    /// The gossip interval of a node that knows `members` members, in microseconds.
    pub fn gossip_interval_us(&self, members: usize) -> u64 {
        let scaled_us = self.gossip_us.max(self.gossip_per_member_us * members as u64);
        scaled_us.min(self.gossip_max_us)
    }

    /// How long a member of a service with `members` members may go without a heartbeat before it
    /// is removed, in microseconds.
    pub fn age_out_us(&self, members: usize) -> u64 {
        self.beat_interval_us(members) * self.beats_missed
    }
}
