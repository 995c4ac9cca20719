//! The nodes that call this one, and what they are told of its target.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::frame::{Frame, Status};
use super::link::Link;
use super::overload::Policy;
use super::report::{INTERVAL_BUSY, LoadReport};

/// The least pause between two reports of the whole state, unless the target comes or goes.
const STATUS_PAUSE: Duration = INTERVAL_BUSY;

/// A link on which another node calls this one.
#[derive(Debug)]
struct Caller {
    link: Rc<Link>,
    /// Whether that node is in the same failure domain.
    is_near: bool,
}

/// The nodes that call this one.
#[derive(Debug)]
pub struct Callers {
    failure_domain: String,
    policy: Policy,
    links: RefCell<Vec<Caller>>,
    /// When they were told last of the whole state of the node.
    told_status_at: Cell<Option<Instant>>,
    /// What they were told, apart from the target's work.
    told_status: RefCell<Status>,
    /// What those of the own failure domain were told of the target's work.
    near_report: Cell<LoadReport>,
    /// What all others were told of it.
    far_report: Cell<LoadReport>,
}

impl Callers {
    /// Nobody yet, for a node in `failure_domain`.
    pub fn new(failure_domain: &str, policy: Policy) -> Self {
        Self {
            failure_domain: failure_domain.to_owned(),
            policy,
            links: RefCell::default(),
            told_status_at: Cell::default(),
            told_status: RefCell::default(),
            near_report: Cell::default(),
            far_report: Cell::default(),
        }
    }

    /// Adds a link on which a node of `failure_domain` calls this one.
    pub fn add(&self, link: &Rc<Link>, failure_domain: &str) {
        let is_near = failure_domain == self.failure_domain;
        self.links.borrow_mut().push(Caller { link: Rc::clone(link), is_near });
    }

    /// Removes a link.
    pub fn remove(&self, link: &Rc<Link>) {
        self.links.borrow_mut().retain(|known| !Rc::ptr_eq(&known.link, link));
    }

    /// Tells all of a state that has changed, and of the target's work where that is due. `near` and `all`
    /// are the numbers of targets of the service in the own failure domain and altogether.
    pub fn tell_what_is_due(&self, status: &Status, near: usize, all: usize) {
        if self.is_status_due(status) {
            self.broadcast_status(status);
            return;
        }
        let now = Instant::now();
        for (is_near, targets) in [(true, near), (false, all)] {
            if self.report(is_near).get().is_due(status.load, targets, now) {
                self.tell_load(status, is_near);
            }
        }
    }

    fn is_status_due(&self, status: &Status) -> bool {
        let told = self.told_status.borrow();
        if status.roots.len() != told.roots.len() || status.ready != told.ready {
            return true;
        }
        let last = self.told_status_at.get();
        let is_due = last.is_none_or(|last| last.elapsed() >= STATUS_PAUSE);
        is_due && !status.is_same_but_for_work(&told)
    }

    /// Tells all the whole state of the node.
    pub fn broadcast_status(&self, status: &Status) {
        self.told_status_at.set(Some(Instant::now()));
        self.told_status.replace(status.clone());
        let frame = Frame::Status(status.clone());
        for is_near in [true, false] {
            self.note_report(status, is_near);
            self.send(&frame, is_near);
        }
    }

    /// Tells those of the own failure domain, or all others, what the target has to do.
    fn tell_load(&self, status: &Status, is_near: bool) {
        self.note_report(status, is_near);
        self.send(&self.load_frame(status), is_near);
    }

    /// The frame that tells what the target has to do.
    pub fn load_frame(&self, status: &Status) -> Frame {
        // The levels go by how much of each route a target runs, which only a whole status tells.
        match self.policy {
            Policy::Levels => Frame::Status(status.clone()),
            Policy::Open | Policy::Windows => Frame::Load(status.load),
        }
    }

    /// Tells all something that does not concern the target's work.
    pub fn tell_all(&self, frame: &Frame) {
        for caller in self.links.borrow().iter() {
            caller.link.send(frame);
        }
    }

    fn send(&self, frame: &Frame, is_near: bool) {
        for caller in self.links.borrow().iter() {
            if caller.is_near == is_near {
                caller.link.send(frame);
            }
        }
    }

    /// What those of the own failure domain, or all others, were told of the target's work.
    fn report(&self, is_near: bool) -> &Cell<LoadReport> {
        if is_near { &self.near_report } else { &self.far_report }
    }

    fn note_report(&self, status: &Status, is_near: bool) {
        let mut noted = self.report(is_near).get();
        noted.note(status.load, Instant::now());
        self.report(is_near).set(noted);
    }
}
