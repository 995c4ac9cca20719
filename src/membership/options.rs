//! Intervals and bounds of the membership.

use std::net::SocketAddr;

use bon::Builder;

use crate::clock::{US_PER_MS, US_PER_S};

/// Intervals and bounds; the defaults fit a site of any size named in docs/CAPACITY.md.
#[derive(Clone, Debug, Builder)]
pub struct MembershipOptions {
    /// How often the node's own row is written, in microseconds.
    #[builder(default = 60 * US_PER_S)]
    pub announce_us: u64,
    /// How often rows are read, one service at a time, in microseconds. While the exchange with
    /// peers works, rows are read `READ_STRETCH` times less often.
    #[builder(default = 12 * US_PER_S)]
    pub poll_us: u64,
    /// How often a digest is sent to a peer, in microseconds, on a small site.
    #[builder(default = US_PER_S)]
    pub gossip_us: u64,
    /// The least time between two digests for each member this node cares about, in microseconds.
    /// It bounds the bytes a second whatever the number of members.
    #[builder(default = 15 * US_PER_MS)]
    pub gossip_per_member_us: u64,
    /// The longest time between two digests, in microseconds.
    #[builder(default = 4 * US_PER_S)]
    pub gossip_max_us: u64,
    /// How often a member raises its beat, in microseconds, in a small service.
    #[builder(default = 5 * US_PER_S)]
    pub beat_us: u64,
    /// How much longer the time between two beats gets for each member of the service, in
    /// microseconds. It keeps the number of beats a second in one service bounded.
    #[builder(default = 25 * US_PER_MS)]
    pub beat_per_member_us: u64,
    /// After how many missed beats a member is gone.
    #[builder(default = 12)]
    pub beats_missed: u64,
    /// How long a store request may stay without an outcome, in microseconds.
    #[builder(default = 10 * US_PER_S)]
    pub store_timeout_us: u64,
    /// The longest time between two tries while the store fails, in microseconds.
    #[builder(default = 60 * US_PER_S)]
    pub backoff_max_us: u64,
    /// How long a row must stand unchanged in readable state before it may be deleted as dead.
    #[builder(default = 600 * US_PER_S)]
    pub row_dead_us: u64,
    /// How long the memory of a member that went silent is kept, in microseconds. That a member
    /// left is remembered until there are too many memories.
    #[builder(default = 3_600 * US_PER_S)]
    pub tombstone_us: u64,
    /// A pause between two events that counts as a freeze of the process, in microseconds.
    #[builder(default = 10 * US_PER_S)]
    pub freeze_us: u64,
    /// How many nodes the site is expected to have; it spreads the first row traffic after a start
    /// so that a site that starts at once stays within the store's means.
    #[builder(default = 20)]
    pub site_nodes: u32,
    /// Peer addresses to ask when the table service is away.
    #[builder(default)]
    pub seeds: Vec<SocketAddr>,
    /// The most signs of life in one digest.
    #[builder(default = 256)]
    pub signs_max: usize,
    /// The most full records in one message.
    #[builder(default = 64)]
    pub records_max: usize,
    /// The most members that are kept.
    #[builder(default = 8_192)]
    pub members_max: usize,
    /// The most members gone that are remembered.
    #[builder(default = 2_048)]
    pub tombstones_max: usize,
}

impl MembershipOptions {
    /// How often a member of a service with `members` members raises its beat.
    pub fn beat_interval_us(&self, members: usize) -> u64 {
        self.beat_us.max(self.beat_per_member_us * members as u64)
    }

    /// How often a node that cares about `members` members sends a digest.
    pub fn gossip_interval_us(&self, members: usize) -> u64 {
        let wanted_us = self.gossip_us.max(self.gossip_per_member_us * members as u64);
        wanted_us.min(self.gossip_max_us)
    }

    /// After how long without a sign of life a member of such a service is gone.
    pub fn age_out_us(&self, members: usize) -> u64 {
        self.beat_interval_us(members) * self.beats_missed
    }
}
