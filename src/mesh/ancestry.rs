//! Which request a call of the target belongs to.
//!
//! A target names the calls that it makes for a request by the id of that request, a dot and a part
//! of its own. The claim is checked against what the target is running at this moment, so an id that
//! only looks alike is taken for that of a new request.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Stands between the id of a request and the own part of a call made for it.
const SEPARATOR: char = '.';
/// For how long a run that has ended, or may have begun before this node did, is remembered: calls made for
/// it may still be on their way, or the target may not have noticed yet.
const ENDED_REMEMBERED: Duration = Duration::from_secs(6);
/// The most runs that are remembered so.
const ENDED_MAX: usize = 20_000;

/// Where a request came from, as far as calls made for it inherit it.
#[derive(Clone, Debug)]
pub struct Origin {
    /// The route by which a caller's request began it all.
    pub root: Rc<str>,
    /// The rank of that route.
    pub rank: u8,
    /// When an answer is of no more use.
    pub deadline: Instant,
    /// Whether the run repeats another, or was made by one that does.
    pub is_repeat: bool,
    /// The team whose key let the caller's request in; empty where no key did.
    pub team: Rc<str>,
    /// Whether a call that it made has failed.
    pub has_failed_below: Rc<Cell<bool>>,
    /// Cancelled when the run ends without an answer: nobody waits for the calls made for it any more.
    pub withdrawn: CancellationToken,
}

/// The requests that the target is running.
#[derive(Debug)]
pub struct Ancestry {
    started: Instant,
    running: RefCell<HashMap<String, Origin>>,
    ended: RefCell<Ended>,
}

impl Default for Ancestry {
    fn default() -> Self {
        Self { started: Instant::now(), running: RefCell::default(), ended: RefCell::default() }
    }
}

/// Runs that have ended of late.
#[derive(Debug, Default)]
struct Ended {
    in_order: VecDeque<(Instant, Rc<str>)>,
    /// The id of each, and whether the target answered it.
    answered: HashMap<Rc<str>, bool>,
}

impl Ended {
    fn note(&mut self, id: &str, is_answered: bool, now: Instant) {
        let id: Rc<str> = id.into();
        if self.answered.insert(Rc::clone(&id), is_answered).is_none() {
            self.in_order.push_back((now, id));
        }
        while self.in_order.len() > ENDED_MAX {
            self.forget_first();
        }
    }

    fn sweep(&mut self, now: Instant) {
        while self.in_order.front().is_some_and(|(at, _)| now - *at > ENDED_REMEMBERED) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((_, id)) = self.in_order.pop_front() {
            self.answered.remove(&id);
        }
    }
}

/// A request that the target is running, until dropped.
pub struct Running<'a> {
    ancestry: &'a Ancestry,
    id: &'a str,
    withdrawn: CancellationToken,
    is_answered: bool,
}

impl Running<'_> {
    /// Ends the run with the target's answer. Calls that it has begun are the target's to end.
    pub fn finish(mut self) {
        self.is_answered = true;
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.ancestry.running.borrow_mut().remove(self.id);
        if !self.is_answered {
            self.withdrawn.cancel();
        }
        let now = Instant::now();
        let mut ended = self.ancestry.ended.borrow_mut();
        ended.sweep(now);
        ended.note(self.id, self.is_answered, now);
    }
}

impl Ancestry {
    /// Notes that the target runs the request `id` until what is given back is dropped.
    pub fn run<'a>(&'a self, id: &'a str, origin: Origin) -> Running<'a> {
        let withdrawn = origin.withdrawn.clone();
        self.running.borrow_mut().insert(id.to_owned(), origin);
        Running { ancestry: self, id, withdrawn, is_answered: false }
    }

    /// How many of the requests that run began by the route `root`.
    pub fn running_of(&self, root: &str) -> usize {
        self.running.borrow().values().filter(|origin| &*origin.root == root).count()
    }

    /// Whether `id` names a call for a run of the target that is over, or that an earlier life of this node
    /// had begun. Nobody waits for its answer.
    pub fn is_orphan(&self, id: &str) -> bool {
        let Some((parent, _)) = id.rsplit_once(SEPARATOR) else { return false };
        self.started.elapsed() < ENDED_REMEMBERED
            || self.ended.borrow().answered.contains_key(parent)
    }

    /// Whether `id` names a call for a run that ended without an answer.
    pub fn was_withdrawn(&self, id: &str) -> bool {
        let Some((parent, _)) = id.rsplit_once(SEPARATOR) else { return false };
        self.ended.borrow().answered.get(parent) == Some(&false)
    }

    /// The origin of the request for which the target makes the call `id`, if it makes it.
    pub fn parent(&self, id: &str) -> Option<Origin> {
        let (parent, _) = id.rsplit_once(SEPARATOR)?;
        self.running.borrow().get(parent).cloned()
    }
}
