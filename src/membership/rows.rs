//! When the node's row is written and when rows are read, so that the store carries all nodes.

use std::collections::{BTreeMap, VecDeque};

use rand::Rng;
use rand::rngs::SmallRng;

use crate::call::NodeId;
use crate::clock::US_PER_S;

use super::member::MemberRow;
use super::options::MembershipOptions;

/// How much less often rows are read while peers keep the node fresh.
const READ_STRETCH: u64 = 4;
/// The row writes a second of a whole site that starts at once.
const SITE_WRITES_PER_S: u64 = 200;
/// The first reads a second of a whole site that starts at once; as many go to the configuration.
const SITE_FIRST_READS_PER_S: u64 = 800;
/// The reads a second of a whole site that then reads one service after the other, roughly.
const SITE_READS_PER_S: u64 = 250;
/// The least time between two writes of one row, in microseconds.
const WRITE_GAP_US: u64 = 2 * US_PER_S;
/// The first wait before a service without a known member is read again, in microseconds.
const EMPTY_WAIT_US: u64 = 2 * US_PER_S;
/// The first backoff after a failure, in microseconds.
const BACKOFF_US: u64 = US_PER_S;

/// A store request without an outcome yet, and when it is given up.
type Pending = Option<u64>;

/// Full-jitter backoff.
#[derive(Debug, Default)]
struct Backoff {
    failures: u32,
}

impl Backoff {
    /// The wait after one more failure.
    fn next_us(&mut self, max_us: u64, rng: &mut SmallRng) -> u64 {
        self.failures = self.failures.saturating_add(1);
        let ceiling_us = (BACKOFF_US << self.failures.min(16)).min(max_us);
        rng.random_range(BACKOFF_US / 2..=ceiling_us.max(BACKOFF_US))
    }
}

/// A row that has not changed since it was first read so.
#[derive(Debug)]
struct Still {
    version: u64,
    since_us: u64,
}

/// The schedule of the node's row traffic.
#[derive(Debug)]
pub(super) struct Rows {
    next_write_us: u64,
    next_read_us: u64,
    /// Whether this life has written its row.
    pub(super) written_once: bool,
    writing: Pending,
    reading: Pending,
    write_backoff: Backoff,
    read_backoff: Backoff,
    /// Services in the order in which they are read; the front is next.
    queue: VecDeque<String>,
    /// How many services at the front of the queue have not been read yet.
    unread: usize,
    /// How many reads in a row have left a service without a known member.
    empty_reads: u32,
    /// The version of the node's own row, as far as is known.
    pub(super) own_version: Option<u64>,
    still: BTreeMap<String, BTreeMap<NodeId, Still>>,
}

impl Rows {
    /// A schedule whose first requests are spread so that a site that starts at once stays within
    /// the store's means.
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
            still: BTreeMap::new(),
        }
    }

    /// Adds a service, which is read before those that were read already.
    pub(super) fn want(
        &mut self,
        now_us: u64,
        service: &str,
        options: &MembershipOptions,
        rng: &mut SmallRng,
    ) {
        let first = self.unread == self.queue.len();
        self.queue.insert(self.unread, service.to_owned());
        self.unread += 1;
        // Before the first read, a start is being spread; while reads fail, the backoff counts.
        if first || self.read_backoff.failures > 0 {
            return;
        }
        let soon_us = now_us + rng.random_range(0..=read_spread_us(options));
        self.next_read_us = self.next_read_us.min(soon_us);
    }

    /// Leaves services at the front of the queue for later whose members peers have told.
    pub(super) fn skip_told(&mut self, told: impl Fn(&str) -> bool) {
        while self.unread > 0 && self.queue.front().is_some_and(|service| told(service)) {
            self.queue.rotate_left(1);
            self.unread -= 1;
        }
    }

    /// Has the own row written soon, because it changed. The first write keeps its time: many
    /// nodes may have started, and found their targets, at once.
    pub(super) fn write_soon(&mut self, now_us: u64, rng: &mut SmallRng) {
        if self.write_backoff.failures > 0 || !self.written_once {
            return;
        }
        let soon_us = now_us + rng.random_range(0..=WRITE_GAP_US);
        self.next_write_us = self.next_write_us.min(soon_us);
    }

    /// Whether the own row is to be written now.
    pub(super) fn write_due(&mut self, now_us: u64, options: &MembershipOptions) -> bool {
        if self.writing.is_some_and(|until_us| now_us < until_us) || now_us < self.next_write_us {
            return false;
        }
        self.writing = Some(now_us + options.store_timeout_us);
        self.next_write_us = now_us + options.store_timeout_us;
        true
    }

    /// The service whose rows are to be read now.
    pub(super) fn read_due(&mut self, now_us: u64, options: &MembershipOptions) -> Option<String> {
        if self.reading.is_some_and(|until_us| now_us < until_us) || now_us < self.next_read_us {
            return None;
        }
        self.reading = Some(now_us + options.store_timeout_us);
        self.next_read_us = now_us + options.store_timeout_us;
        self.queue.front().cloned()
    }

    /// Notes that the own row was written.
    pub(super) fn written(
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

    /// Notes that another version of the own row stands there.
    pub(super) fn conflicted(&mut self, now_us: u64, present: Option<u64>, rng: &mut SmallRng) {
        self.own_version = present;
        self.writing = None;
        self.next_write_us = now_us + rng.random_range(0..=WRITE_GAP_US);
    }

    /// Notes that writing failed.
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

    /// Notes that rows were read. `fresh` says whether peers keep this node fresh, `empty` whether
    /// a service it calls has no known member.
    pub(super) fn read(
        &mut self,
        now_us: u64,
        service: &str,
        fresh: bool,
        empty: bool,
        options: &MembershipOptions,
        rng: &mut SmallRng,
    ) {
        self.reading = None;
        self.read_backoff = Backoff::default();
        self.empty_reads = if empty { self.empty_reads.saturating_add(1) } else { 0 };
        if self.queue.front().is_some_and(|front| front == service) {
            self.queue.rotate_left(1);
            self.unread = self.unread.saturating_sub(1);
        }
        self.next_read_us = now_us + self.read_wait_us(fresh, options, rng);
    }

    fn read_wait_us(&self, fresh: bool, options: &MembershipOptions, rng: &mut SmallRng) -> u64 {
        if self.unread > 0 {
            return rng.random_range(0..=read_spread_us(options));
        }
        if self.empty_reads > 0 {
            let wait_us = EMPTY_WAIT_US << (self.empty_reads - 1).min(8);
            return jitter(wait_us.min(options.poll_us), rng);
        }
        let stretch = if fresh { READ_STRETCH } else { 1 };
        jitter(options.poll_us * stretch, rng)
    }

    /// Notes that reading failed. What was seen standing still proves nothing any more, because
    /// its owner may have been unable to write.
    pub(super) fn read_failed(
        &mut self,
        now_us: u64,
        options: &MembershipOptions,
        rng: &mut SmallRng,
    ) {
        self.reading = None;
        self.still.clear();
        let wait_us = self.read_backoff.next_us(options.backoff_max_us, rng);
        self.next_read_us = now_us + wait_us;
    }

    /// Notes the rows of a service; returns those that have stood unchanged for so long that their
    /// owners must be dead.
    pub(super) fn dead<'a>(
        &mut self,
        now_us: u64,
        service: &str,
        rows: &'a [MemberRow],
        options: &MembershipOptions,
    ) -> Vec<&'a MemberRow> {
        let before = self.still.remove(service).unwrap_or_default();
        let mut after = BTreeMap::new();
        let mut dead = Vec::new();
        for row in rows {
            let same = before.get(&row.member.node).filter(|still| still.version == row.version);
            let since_us = same.map_or(now_us, |still| still.since_us);
            after.insert(row.member.node, Still { version: row.version, since_us });
            if now_us.saturating_sub(since_us) >= options.row_dead_us {
                dead.push(row);
            }
        }
        self.still.insert(service.to_owned(), after);
        dead
    }

    /// Pulls the next read forward, after a freeze.
    pub(super) fn read_soon(&mut self, now_us: u64, rng: &mut SmallRng) {
        self.next_read_us = self.next_read_us.min(now_us + rng.random_range(0..=US_PER_S));
        self.still.clear();
    }

    /// When the own row is to be written next.
    pub(super) fn next_write_us(&self) -> u64 {
        self.next_write_us.max(self.writing.unwrap_or(0))
    }

    /// When rows are to be read next.
    pub(super) fn next_read_us(&self) -> u64 {
        self.next_read_us.max(self.reading.unwrap_or(0))
    }
}

/// Over how long reads of a service are spread on a site that starts at once.
fn read_spread_us(options: &MembershipOptions) -> u64 {
    u64::from(options.site_nodes) * US_PER_S / SITE_READS_PER_S
}

/// A time between 0.75 and 1.25 of `interval_us`.
pub(super) fn jitter(interval_us: u64, rng: &mut SmallRng) -> u64 {
    let quarter_us = interval_us / 4;
    rng.random_range(interval_us - quarter_us..=interval_us + quarter_us)
}
