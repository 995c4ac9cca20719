//! Which request a call of the target belongs to.
//!
//! A target names the calls that it makes for a request by the id of that request, a dot and a part
//! of its own. The claim is checked against what the target is running at this moment, so an id that
//! only looks alike is taken for that of a new request.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use tokio::time::Instant;

/// Stands between the id of a request and the own part of a call made for it.
const SEPARATOR: char = '.';

/// Where a request came from, as far as calls made for it inherit it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The route by which a caller's request began it all.
    pub root: Rc<str>,
    /// The rank of that route.
    pub rank: u8,
    /// When an answer is of no more use.
    pub deadline: Instant,
    /// Whether the run repeats another, or was made by one that does.
    pub is_repeat: bool,
    /// Whether a call that it made has failed.
    pub has_failed_below: Rc<Cell<bool>>,
}

/// The requests that the target is running.
#[derive(Debug, Default)]
pub struct Ancestry {
    running: RefCell<HashMap<String, Origin>>,
}

/// A request that the target is running, until dropped.
pub struct Running<'a> {
    ancestry: &'a Ancestry,
    id: &'a str,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.ancestry.running.borrow_mut().remove(self.id);
    }
}

impl Ancestry {
    /// Notes that the target runs the request `id` until what is given back is dropped.
    pub fn run<'a>(&'a self, id: &'a str, origin: Origin) -> Running<'a> {
        self.running.borrow_mut().insert(id.to_owned(), origin);
        Running { ancestry: self, id }
    }

    /// How many of the requests that run began by the route `root`.
    pub fn running_of(&self, root: &str) -> usize {
        self.running.borrow().values().filter(|origin| &*origin.root == root).count()
    }

    /// The origin of the request for which the target makes the call `id`, if it makes it.
    pub fn parent(&self, id: &str) -> Option<Origin> {
        let (parent, _) = id.rsplit_once(SEPARATOR)?;
        self.running.borrow().get(parent).cloned()
    }
}
