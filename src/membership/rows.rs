//! Schedules one node's reads and writes of member rows, at rates that keep a large site from
//! overloading the table service.

use std::collections::{BTreeMap, VecDeque};

use rand::Rng;
use rand::rngs::SmallRng;

use crate::call::NodeId;
use crate::clock::US_PER_S;

use super::member::MemberRow;
use super::options::MembershipOptions;

/// How many times longer the read interval is while gossip arrives from peers.
const READ_INTERVAL_FACTOR: u64 = 4;
/// The rate, per second, of the first row writes of a site whose nodes all start simultaneously.
const SITE_WRITES_PER_S: u64 = 200;
/// The rate, per second, of the first reads of a site whose nodes all start simultaneously. The
/// configuration adds as many reads.
const SITE_FIRST_READS_PER_S: u64 = 800;
/// The approximate rate, per second, of the reads that follow on such a site, when each node reads
/// its remaining services.
const SITE_READS_PER_S: u64 = 250;
/// The longest random delay before a write after a change or a conflict, in microseconds.
const WRITE_SPREAD_US: u64 = 2 * US_PER_S;
/// The first delay before rows are read again while a called service has no known member, in
/// microseconds.
const EMPTY_REREAD_US: u64 = 2 * US_PER_S;
/// The base of the backoff after failures, in microseconds.
const BACKOFF_US: u64 = US_PER_S;

/// When an outstanding request to the table service times out; none if no request is outstanding.
type RequestDeadline = Option<u64>;

/// Exponential backoff with jitter.
#[derive(Debug, Default)]
struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Counts one more failure and returns the delay after it, in microseconds.
    fn next_us(&mut self, max_us: u64, rng: &mut SmallRng) -> u64 {
        self.failures = self.failures.saturating_add(1);
        let ceiling_us = (BACKOFF_US << self.failures.min(16)).min(max_us);
        rng.random_range(BACKOFF_US / 2..=ceiling_us.max(BACKOFF_US))
    }
}

/// The version of a row and when it was first read with that version.
#[derive(Debug)]
struct UnchangedRow {
    version: u64,
    since_us: u64,
}

/// The schedule of the node's requests to the table service.
#[derive(Debug)]
pub(super) struct RowSchedule {
    next_write_us: u64,
    next_read_us: u64,
    /// Whether this incarnation has written its row.
    pub(super) written_once: bool,
    writing: RequestDeadline,
    reading: RequestDeadline,
    write_backoff: Backoff,
    read_backoff: Backoff,
    /// Services in the order in which they are read; the front is read next.
    queue: VecDeque<String>,
    /// How many services at the front of the queue have not been read yet.
    unread: usize,
    /// How many consecutive reads left a called service without a known member.
    empty_reads: u32,
    /// The last known version of the node's own row.
    pub(super) own_version: Option<u64>,
    unchanged: BTreeMap<String, BTreeMap<NodeId, UnchangedRow>>,
}

impl RowSchedule {
    /// Creates a schedule whose first requests are due at random times, which spreads the load on
    /// the table service when all nodes of a site start simultaneously.
    pub(super) fn new(
        now_us: u64,
        own_service: &str,
        options: &MembershipOptions,
        rng: &mut SmallRng,
    ) -> Self {
        let nodes = u64::from(options.site_nodes);
        let write_spread_us = nodes * US_PER_S / SITE_WRITES_PER_S;
        let read_spread_us = nodes * US_PER_S / SITE_FIRST_READS_PER_S;
        Self {
            next_write_us: now_us + rng.random_range(0..=write_spread_us),
            next_read_us: now_us + rng.random_range(0..=read_spread_us),
            written_once: false,
            writing: None,
            reading: None,
            write_backoff: Backoff::default(),
            read_backoff: Backoff::default(),
            queue: VecDeque::from([own_service.to_owned()]),
            unread: 1,
            empty_reads: 0,
            own_version: None,
            unchanged: BTreeMap::new(),
        }
    }

    /// Adds a service, which is read before those that have been read already.
    pub(super) fn add_service(
        &mut self,
        now_us: u64,
        service: &str,
        options: &MembershipOptions,
        rng: &mut SmallRng,
    ) {
        let is_before_first_read = self.unread == self.queue.len();
        self.queue.insert(self.unread, service.to_owned());
        self.unread += 1;
        // Before the first read, the start-up spread applies; while reads fail, the backoff does.
        if is_before_first_read || self.read_backoff.failures > 0 {
            return;
        }
        let soon_us = now_us + rng.random_range(0..=read_spread_us(options));
        self.next_read_us = self.next_read_us.min(soon_us);
    }

    /// Moves unread services at the front of the queue to its back if their members are known from
    /// peers already.
    pub(super) fn skip_known(&mut self, is_known: impl Fn(&str) -> bool) {
        while self.unread > 0 && self.queue.front().is_some_and(|service| is_known(service)) {
            self.queue.rotate_left(1);
            self.unread -= 1;
        }
    }

    /// Moves the next write of the node's own row forward because its content changed. The first
    /// write is not moved, because many nodes may have started and found their targets
    /// simultaneously.
    pub(super) fn schedule_write(&mut self, now_us: u64, rng: &mut SmallRng) {
        if self.write_backoff.failures > 0 || !self.written_once {
            return;
        }
        let soon_us = now_us + rng.random_range(0..=WRITE_SPREAD_US);
        self.next_write_us = self.next_write_us.min(soon_us);
    }

    /// Whether a write of the node's own row is due. If so, the write counts as started.
    pub(super) fn start_due_write(&mut self, now_us: u64, options: &MembershipOptions) -> bool {
        if self.writing.is_some_and(|until_us| now_us < until_us) || now_us < self.next_write_us {
            return false;
        }
        self.writing = Some(now_us + options.store_timeout_us);
        self.next_write_us = now_us + options.store_timeout_us;
        true
    }

    /// The service whose rows are due to be read. If there is one, the read counts as started.
    pub(super) fn start_due_read(
        &mut self,
        now_us: u64,
        options: &MembershipOptions,
    ) -> Option<String> {
        if self.reading.is_some_and(|until_us| now_us < until_us) || now_us < self.next_read_us {
            return None;
        }
        self.reading = Some(now_us + options.store_timeout_us);
        self.next_read_us = now_us + options.store_timeout_us;
        self.queue.front().cloned()
    }

    /// Records a successful write of the node's own row.
    pub(super) fn write_succeeded(
        &mut self,
        now_us: u64,
        version: u64,
        options: &MembershipOptions,
        rng: &mut SmallRng,
    ) {
        self.own_version = Some(version);
        self.written_once = true;
        self.writing = None;
        self.write_backoff = Backoff::default();
        self.next_write_us = now_us + jitter(options.announce_us, rng);
    }

    /// Records that the node's own row has another version than expected.
    pub(super) fn write_conflicted(
        &mut self,
        now_us: u64,
        present: Option<u64>,
        rng: &mut SmallRng,
    ) {
        self.own_version = present;
        self.writing = None;
        self.next_write_us = now_us + rng.random_range(0..=WRITE_SPREAD_US);
    }

    /// Records a failed write.
    pub(super) fn write_failed(
        &mut self,
        now_us: u64,
        options: &MembershipOptions,
        rng: &mut SmallRng,
    ) {
        self.writing = None;
        let wait_us = self.write_backoff.next_us(options.backoff_max_us, rng);
        self.next_write_us = now_us + wait_us;
    }

    /// Records a successful read. `has_recent_gossip` says whether gossip arrived recently, and
    /// `has_empty_service` whether a service that the node calls has no known member.
    pub(super) fn read_succeeded(
        &mut self,
        now_us: u64,
        service: &str,
        has_recent_gossip: bool,
        has_empty_service: bool,
        options: &MembershipOptions,
        rng: &mut SmallRng,
    ) {
        self.reading = None;
        self.read_backoff = Backoff::default();
        self.empty_reads = if has_empty_service { self.empty_reads.saturating_add(1) } else { 0 };
        if self.queue.front().is_some_and(|front| front == service) {
            self.queue.rotate_left(1);
            self.unread = self.unread.saturating_sub(1);
        }
        self.next_read_us = now_us + self.read_wait_us(has_recent_gossip, options, rng);
    }

    fn read_wait_us(
        &self,
        has_recent_gossip: bool,
        options: &MembershipOptions,
        rng: &mut SmallRng,
    ) -> u64 {
        if self.unread > 0 {
            return rng.random_range(0..=read_spread_us(options));
        }
        if self.empty_reads > 0 {
            let wait_us = EMPTY_REREAD_US << (self.empty_reads - 1).min(8);
            return jitter(wait_us.min(options.poll_us), rng);
        }
        let factor = if has_recent_gossip { READ_INTERVAL_FACTOR } else { 1 };
        jitter(options.poll_us * factor, rng)
    }

    /// Records a failed read. The times for which rows stayed unchanged start over, because their
    /// owners may have been unable to write as well.
    pub(super) fn read_failed(
        &mut self,
        now_us: u64,
        options: &MembershipOptions,
        rng: &mut SmallRng,
    ) {
        self.reading = None;
        self.unchanged.clear();
        let wait_us = self.read_backoff.next_us(options.backoff_max_us, rng);
        self.next_read_us = now_us + wait_us;
    }

    /// Records the rows of a service and returns those that have not changed for `row_dead_us`,
    /// whose owners count as dead.
    pub(super) fn record_rows<'a>(
        &mut self,
        now_us: u64,
        service: &str,
        rows: &'a [MemberRow],
        options: &MembershipOptions,
    ) -> Vec<&'a MemberRow> {
        let before = self.unchanged.remove(service).unwrap_or_default();
        let mut after = BTreeMap::new();
        let mut dead = Vec::new();
        for row in rows {
            let unchanged_row =
                before.get(&row.member.node).filter(|previous| previous.version == row.version);
            let since_us = unchanged_row.map_or(now_us, |previous| previous.since_us);
            after.insert(row.member.node, UnchangedRow { version: row.version, since_us });
            if now_us.saturating_sub(since_us) >= options.row_dead_us {
                dead.push(row);
            }
        }
        self.unchanged.insert(service.to_owned(), after);
        dead
    }

    /// Moves the next read forward after a pause of the process.
    pub(super) fn schedule_read(&mut self, now_us: u64, rng: &mut SmallRng) {
        self.next_read_us = self.next_read_us.min(now_us + rng.random_range(0..=US_PER_S));
        self.unchanged.clear();
    }

    /// When the next write of the node's own row is due.
    pub(super) fn next_write_us(&self) -> u64 {
        self.next_write_us.max(self.writing.unwrap_or(0))
    }

    /// When the next read is due.
    pub(super) fn next_read_us(&self) -> u64 {
        self.next_read_us.max(self.reading.unwrap_or(0))
    }
}

/// The time over which the reads of a service are spread on a site whose nodes all start
/// simultaneously, in microseconds.
fn read_spread_us(options: &MembershipOptions) -> u64 {
    u64::from(options.site_nodes) * US_PER_S / SITE_READS_PER_S
}

/// A random time between 0.75 and 1.25 times `interval_us`.
pub(super) fn jitter(interval_us: u64, rng: &mut SmallRng) -> u64 {
    let quarter_us = interval_us / 4;
    rng.random_range(interval_us - quarter_us..=interval_us + quarter_us)
}
