//! A simulated node with its queued and running calls.

use std::collections::HashSet;

use aspenspring::call::{AttemptId, Key, NodeId};
use aspenspring::once::{AttemptBook, AttemptBookOptions, Ledger, LedgerOptions};

const TTL_MS: u64 = 60_000;
const TTL_MIN_MS: u64 = 1_000;
const REQUEST_TTL_MS: u64 = 5_000;
const SKEW_MAX_MS: u64 = 1_000;
const MARGIN_US: u64 = 2_000_000;

/// An attempt that may run its key: it is queued or running.
#[derive(Clone, Copy, Debug)]
pub struct AdmittedAttempt {
    pub attempt: AttemptId,
    pub key: Key,
}

pub struct Node {
    pub id: NodeId,
    pub ledger: Ledger,
    pub book: AttemptBook,
    pub queue: Vec<AdmittedAttempt>,
    pub running: Vec<AdmittedAttempt>,
    pub seen: HashSet<AttemptId>,
    pub frozen: bool,
}

impl Node {
    pub fn new(id: NodeId) -> Self {
        Self {
            id,
            ledger: new_ledger(id),
            book: new_book(),
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

pub fn new_book() -> AttemptBook {
    let options = AttemptBookOptions::builder()
        .margin_us(MARGIN_US)
        .entries_max(12)
        .answers_max_bytes(400)
        .build();
    AttemptBook::new(options)
}
