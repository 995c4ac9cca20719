//! The router's state of one target.

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
    /// The target's node.
    pub node: NodeId,
    /// The index of its service in the router.
    pub service: usize,
    /// Whether it is in this node's failure domain.
    pub near: bool,
    /// The address at which its node listens.
    pub address: SocketAddr,
    /// How many calls it can run at the same time.
    pub slots: u32,
    /// Whether it is draining: it accepts no new calls, permanently.
    pub leaving: bool,
    /// When it was first seen.
    pub first_seen_us: u64,
    /// The connection to its node.
    pub link: Link,
    /// The statistics of each arm; empty until an attempt was sent to it.
    pub records: Vec<ArmRecord>,
}

impl Target {
    /// Whether calls may be sent to it at all.
    pub fn is_usable(&self) -> bool {
        !self.leaving && self.link == Link::Up
    }

    /// Keeps the state of the same target from before its membership entry was updated.
    pub fn inherit(&mut self, known: Target) {
        self.leaving |= known.leaving;
        self.first_seen_us = self.first_seen_us.min(known.first_seen_us);
        self.link = known.link;
        self.records = known.records;
    }

    /// The record of the arm at index `arm`, added if there is none.
    pub fn record_mut(&mut self, arm: usize, arms: usize) -> &mut ArmRecord {
        if self.records.len() < arms {
            self.records.resize_with(arms, ArmRecord::default);
        }
        &mut self.records[arm]
    }

    /// The record of the arm at index `arm`, if there is one.
    pub fn record(&self, arm: usize) -> Option<&ArmRecord> {
        self.records.get(arm)
    }
}
