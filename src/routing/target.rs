//! One target as the router keeps it.

use std::net::SocketAddr;

use super::record::ArmRecord;
use crate::call::NodeId;

/// The state of the connection to a target's node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Link {
    /// Calls may be sent.
    Up,
    /// Nothing may be sent.
    Lost {
        /// When the connection was lost.
        since_us: u64,
    },
}

/// One target.
#[derive(Clone, Debug)]
pub(super) struct Target {
    /// The node beside the target.
    pub node: NodeId,
    /// The place of its service in the router.
    pub service: usize,
    /// Whether it stands in this node's failure domain.
    pub near: bool,
    /// Where its node listens.
    pub address: SocketAddr,
    /// How many calls it runs at once.
    pub slots: u32,
    /// Whether it takes no new work for good.
    pub leaving: bool,
    /// When it was first seen.
    pub first_seen_us: u64,
    /// The connection to its node.
    pub link: Link,
    /// What each arm has seen of it; empty until something was sent to it.
    pub records: Vec<ArmRecord>,
}

impl Target {
    /// Whether calls may be sent to it at all.
    pub fn usable(&self) -> bool {
        !self.leaving && self.link == Link::Up
    }

    /// Keeps what was known about the same target before the membership told it anew.
    pub fn keep(&mut self, known: Target) {
        self.leaving |= known.leaving;
        self.first_seen_us = self.first_seen_us.min(known.first_seen_us);
        self.link = known.link;
        self.records = known.records;
    }

    /// The record of the arm at `arm`, made where there is none yet.
    pub fn record_mut(&mut self, arm: usize, arms: usize) -> &mut ArmRecord {
        if self.records.len() < arms {
            self.records.resize_with(arms, ArmRecord::default);
        }
        &mut self.records[arm]
    }

    /// The record of the arm at `arm`, if there is one.
    pub fn record(&self, arm: usize) -> Option<&ArmRecord> {
        self.records.get(arm)
    }
}
