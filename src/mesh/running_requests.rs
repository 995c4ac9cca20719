//! Tracks the requests that the local target is running, and finds the parent request of each call
//! that the target makes.
//!
//! The id of such a call is the id of the parent request, a dot and a suffix. The parent id is
//! checked against the requests that the target is running now; an id of the same form whose parent
//! is not running counts as that of a new request.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::tree_calls::TreeCalls;

/// Separates the id of the parent request from the suffix in the id of a call.
const SEPARATOR: char = '.';
/// How long a finished request is remembered, and how long after the start of a node its target may
/// still be running requests accepted by the previous process. Covers calls in transit and targets
/// that have not yet noticed the end of a request.
const ENDED_RETENTION: Duration = Duration::from_secs(6);
/// Upper bound on remembered finished requests.
const ENDED_MAX: usize = 20_000;

/// The time for which a run has at least one call of its own open.
#[derive(Debug, Default)]
pub struct InnerCallTime {
    open: Cell<u32>,
    /// When the first of the open calls began.
    open_since: Cell<Option<Instant>>,
    /// The time before that.
    closed: Cell<Duration>,
}

impl InnerCallTime {
    /// Counts a call as open until the returned guard is dropped.
    pub fn begin(self: &Rc<Self>) -> InnerCallGuard {
        if self.open.replace(self.open.get() + 1) == 0 {
            self.open_since.set(Some(Instant::now()));
        }
        InnerCallGuard(Rc::clone(self))
    }

    /// The time so far. Calls that are open at the same time count once.
    pub fn total(&self) -> Duration {
        let open = self.open_since.get().map_or(Duration::ZERO, |since| since.elapsed());
        self.closed.get() + open
    }
}

/// An open call of a run.
#[derive(Debug)]
pub struct InnerCallGuard(Rc<InnerCallTime>);

impl Drop for InnerCallGuard {
    fn drop(&mut self) {
        let time = &self.0;
        time.open.set(time.open.get() - 1);
        if time.open.get() == 0 {
            time.closed.set(time.total());
            time.open_since.set(None);
        }
    }
}

/// A request that the local target is running, with the properties that its calls inherit.
#[derive(Clone, Debug)]
pub struct ParentRequest {
    /// The root route: that of the caller's request at the root of the call tree.
    pub root: Rc<str>,
    /// Its priority rank.
    pub rank: u8,
    /// When the answer is no longer of use.
    pub deadline: Instant,
    /// Whether the request is a retry, or was made by one.
    pub is_repeat: bool,
    /// Team whose API key admitted the root request; empty if no key was used.
    pub team: Rc<str>,
    /// Whether a call made for the request has failed.
    pub has_failed_below: Rc<Cell<bool>>,
    /// The calls made for the request so far.
    pub calls: Rc<TreeCalls>,
    /// The time for which the run waits for calls of its own.
    pub inner_call_time: Rc<InnerCallTime>,
    /// Cancelled when the request ends without an answer, after which its calls serve no purpose.
    pub withdrawn: CancellationToken,
}

/// The requests that the local target is running.
#[derive(Debug)]
pub struct RunningRequests {
    started: Instant,
    /// The runs of each request, oldest first. An attempt that is sent again may reach the target
    /// while an earlier run still goes on.
    running: RefCell<HashMap<String, Vec<(u64, ParentRequest)>>>,
    next_run: Cell<u64>,
    ended: RefCell<RecentlyEnded>,
}

impl Default for RunningRequests {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            running: RefCell::default(),
            next_run: Cell::default(),
            ended: RefCell::default(),
        }
    }
}

/// Requests that ended recently.
#[derive(Debug, Default)]
struct RecentlyEnded {
    by_time: VecDeque<(Instant, Rc<str>)>,
    /// Whether the target answered, by request id.
    answered: HashMap<Rc<str>, bool>,
}

impl RecentlyEnded {
    fn insert(&mut self, id: &str, is_answered: bool, now: Instant) {
        let id: Rc<str> = id.into();
        if self.answered.insert(Rc::clone(&id), is_answered).is_none() {
            self.by_time.push_back((now, id));
        }
        while self.by_time.len() > ENDED_MAX {
            self.evict_oldest();
        }
    }

    fn evict_expired(&mut self, now: Instant) {
        while self.by_time.front().is_some_and(|(at, _)| now - *at > ENDED_RETENTION) {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        if let Some((_, id)) = self.by_time.pop_front() {
            self.answered.remove(&id);
        }
    }
}

/// Registers a request as running until dropped.
pub struct RunGuard<'a> {
    running_requests: &'a RunningRequests,
    id: &'a str,
    run: u64,
    withdrawn: CancellationToken,
    is_answered: bool,
}

impl RunGuard<'_> {
    /// Marks the request as answered. The target itself ends calls that it still has open.
    pub fn finish(mut self) {
        self.is_answered = true;
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.withdrawn.cancel();
        }
        if self.running_requests.remove(self.id, self.run) {
            return;
        }
        let now = Instant::now();
        let mut ended = self.running_requests.ended.borrow_mut();
        ended.evict_expired(now);
        ended.insert(self.id, self.is_answered, now);
    }
}

impl RunningRequests {
    /// Registers request `id` as running until the returned guard is dropped.
    pub fn register<'a>(&'a self, id: &'a str, parent: ParentRequest) -> RunGuard<'a> {
        let withdrawn = parent.withdrawn.clone();
        let run = self.next_run.replace(self.next_run.get() + 1);
        self.running.borrow_mut().entry(id.to_owned()).or_default().push((run, parent));
        RunGuard { running_requests: self, id, run, withdrawn, is_answered: false }
    }

    /// Removes a run. Returns whether another run of the request goes on.
    fn remove(&self, id: &str, run: u64) -> bool {
        let mut running = self.running.borrow_mut();
        let Some(runs) = running.get_mut(id) else { return false };
        runs.retain(|(other, _)| *other != run);
        if runs.is_empty() {
            running.remove(id);
            return false;
        }
        true
    }

    /// Number of running requests with the root route `root`.
    pub fn running_of(&self, root: &str) -> usize {
        let running = self.running.borrow();
        running.values().flatten().filter(|(_, parent)| &*parent.root == root).count()
    }

    /// Number of running requests by team and rank.
    pub fn running_by_team(&self) -> HashMap<(Rc<str>, u8), u32> {
        let mut counts = HashMap::new();
        for (_, parent) in self.running.borrow().values().flatten() {
            *counts.entry((Rc::clone(&parent.team), parent.rank)).or_default() += 1;
        }
        counts
    }

    /// Whether `id` names a call made for a request that has ended, or that may have been started
    /// by the previous process of this node. Such a call is refused, as its answer would not be
    /// used.
    pub fn is_orphan(&self, id: &str) -> bool {
        let Some((parent, _)) = id.rsplit_once(SEPARATOR) else { return false };
        self.started.elapsed() < ENDED_RETENTION
            || self.ended.borrow().answered.contains_key(parent)
    }

    /// Whether `id` names a call made for a request that ended without an answer.
    pub fn has_unanswered_parent(&self, id: &str) -> bool {
        let Some((parent, _)) = id.rsplit_once(SEPARATOR) else { return false };
        self.ended.borrow().answered.get(parent) == Some(&false)
    }

    /// The parent request of the call `id`, if it is running; of several runs, the last one.
    pub fn parent(&self, id: &str) -> Option<ParentRequest> {
        let (parent, _) = id.rsplit_once(SEPARATOR)?;
        let running = self.running.borrow();
        running.get(parent)?.last().map(|(_, parent)| parent.clone())
    }
}
