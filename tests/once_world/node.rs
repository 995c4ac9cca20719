//! A simulated node with its queued and running calls.

use std::collections::HashSet;

use aspenspring::call::{AttemptId, Key, NodeId};
use aspenspring::once::{AttemptTable, AttemptTableOptions, Ledger, LedgerOptions};

const TTL_MS: u64 = 60_000;
const TTL_MIN_MS: u64 = 1_000;
const REQUEST_TTL_MS: u64 = 5_000;
const SKEW_MAX_MS: u64 = 1_000;
const RETENTION_US: u64 = 2_000_000;

/// An attempt that may run its key: it is queued or running.
#[derive(Clone, Copy, Debug)]
pub struct AdmittedAttempt {
    pub attempt: AttemptId,
    pub key: Key,
}

/// One incarnation of a simulated node.
pub struct Node {
    pub id: NodeId,
    pub ledger: Ledger,
    pub attempt_table: AttemptTable,
    pub queue: Vec<AdmittedAttempt>,
    pub running: Vec<AdmittedAttempt>,
    /// The attempts that arrived.
    pub seen: HashSet<AttemptId>,
    /// Whether the node is paused.
    pub frozen: bool,
}

impl Node {
    pub fn new(id: NodeId) -> Self {
        Self {
            id,
            ledger: new_ledger(id),
            attempt_table: new_attempt_table(),
            queue: Vec::new(),
            running: Vec::new(),
            seen: HashSet::new(),
            frozen: false,
        }
    }
}

pub fn new_ledger(owner: NodeId) -> Ledger {
    let options = LedgerOptions::builder()
        .key_ttl_ms(TTL_MS)
        .key_ttl_min_ms(TTL_MIN_MS)
        .request_key_ttl_ms(REQUEST_TTL_MS)
        .skew_max_ms(SKEW_MAX_MS)
        .entries_max(3)
        .answers_max_bytes(200)
        .waiters_max(2)
        .build();
    Ledger::new(owner, options)
}

pub fn new_attempt_table() -> AttemptTable {
    let options = AttemptTableOptions::builder()
        .retention_us(RETENTION_US)
        .entries_max(12)
        .answers_max_bytes(400)
        .build();
    AttemptTable::new(options)
}
