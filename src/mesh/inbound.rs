//! Tracks the links on which other nodes call this one, and sends status updates and load reports
//! on them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use super::frame::{Condition, Frame, Load, Status, TargetLimit};
use super::link::Link;
use super::overload::Policy;
use super::report::{INTERVAL_BUSY, LoadReport, paced};

/// Minimum interval between two full status updates, unless the target appears or disappears.
const STATUS_PAUSE: Duration = INTERVAL_BUSY;

/// An inbound link on which another node sends calls.
#[derive(Debug)]
struct InboundLink {
    link: Rc<Link>,
    /// Whether that node is in the same failure domain.
    is_same_domain: bool,
}

/// The links on which other nodes send calls to this one.
#[derive(Debug)]
pub struct InboundLinks {
    failure_domain: String,
    policy: Policy,
    links: RefCell<Vec<InboundLink>>,
    /// When the full status was last sent.
    status_sent_at: Cell<Option<Instant>>,
    /// The last full status sent; its load may be outdated.
    sent_status: RefCell<Status>,
    /// The last load sent to nodes of the same failure domain.
    same_domain_report: Cell<LoadReport>,
    /// The last load sent to all other nodes.
    other_domain_report: Cell<LoadReport>,
    /// The last demand on the limit of the target sent to all nodes.
    limit_report: Cell<LoadReport>,
    /// When the condition of the target was last sent to all nodes.
    condition_sent_at: Cell<Option<Instant>>,
}

impl InboundLinks {
    /// An empty set, for a node in `failure_domain`.
    pub fn new(failure_domain: &str, policy: Policy) -> Self {
        Self {
            failure_domain: failure_domain.to_owned(),
            policy,
            links: RefCell::default(),
            status_sent_at: Cell::default(),
            sent_status: RefCell::default(),
            same_domain_report: Cell::default(),
            other_domain_report: Cell::default(),
            limit_report: Cell::default(),
            condition_sent_at: Cell::default(),
        }
    }

    /// Adds a link on which a node of `failure_domain` sends calls.
    pub fn add(&self, link: &Rc<Link>, failure_domain: &str) {
        let is_same_domain = failure_domain == self.failure_domain;
        self.links.borrow_mut().push(InboundLink { link: Rc::clone(link), is_same_domain });
    }

    /// Removes a link.
    pub fn remove(&self, link: &Rc<Link>) {
        self.links.borrow_mut().retain(|inbound| !Rc::ptr_eq(&inbound.link, link));
    }

    /// Sends the full status if it has changed, and otherwise the target's load to the groups of
    /// nodes for which a load report is due. `in_domain` and `all` are the numbers of targets of
    /// the service in this failure domain and in total.
    pub fn send_due_updates(&self, status: &Status, in_domain: usize, all: usize) {
        if self.is_status_due(status) {
            self.broadcast_status(status);
            return;
        }
        let now = Instant::now();
        for (is_same_domain, targets) in [(true, in_domain), (false, all)] {
            if self.report(is_same_domain).get().is_due(status.load, targets, now) {
                self.send_load(status, is_same_domain);
            }
        }
    }

    fn is_status_due(&self, status: &Status) -> bool {
        let sent = self.sent_status.borrow();
        if status.roots.len() != sent.roots.len() || status.ready != sent.ready {
            return true;
        }
        let last = self.status_sent_at.get();
        let is_due = last.is_none_or(|last| last.elapsed() >= STATUS_PAUSE);
        is_due && !status.eq_except_work(&sent)
    }

    /// Sends the full status to all nodes.
    pub fn broadcast_status(&self, status: &Status) {
        self.status_sent_at.set(Some(Instant::now()));
        self.sent_status.replace(status.clone());
        let frame = Frame::Status(status.clone());
        for is_same_domain in [true, false] {
            self.record_report(status, is_same_domain);
            self.send(&frame, is_same_domain);
        }
    }

    /// Sends the target's load to the nodes of the same failure domain, or to all others.
    fn send_load(&self, status: &Status, is_same_domain: bool) {
        self.record_report(status, is_same_domain);
        self.send(&self.load_frame(status), is_same_domain);
    }

    /// The frame that carries the target's load.
    pub fn load_frame(&self, status: &Status) -> Frame {
        // `Levels` needs the running requests of each route, which only the full status contains.
        match self.policy {
            Policy::Levels => Frame::Status(status.clone()),
            Policy::Open | Policy::Windows => Frame::Load(status.load),
        }
    }

    /// Sends the condition of the target to the nodes that read it, if it has changed and the last
    /// report to all is long enough ago. `targets` is the number of targets of the service.
    pub fn send_due_condition(&self, condition: Condition, targets: usize) {
        let now = Instant::now();
        if self
            .condition_sent_at
            .get()
            .is_some_and(|sent_at| now - sent_at < paced(INTERVAL_BUSY, targets))
        {
            return;
        }
        let mut has_sent = false;
        for inbound in self.links.borrow().iter() {
            has_sent |= inbound.link.send_condition(Some(condition));
        }
        // A check that found nothing to send must not delay the next change.
        if has_sent {
            self.condition_sent_at.set(Some(now));
        }
    }

    /// Sends a frame to the nodes that read conditions.
    pub fn broadcast_to_condition_readers(&self, frame: &Frame) {
        for inbound in self.links.borrow().iter() {
            if inbound.link.peer_reads_conditions() {
                inbound.link.send(frame);
            }
        }
    }

    /// Whether the demand on the limit of the target should be reported now. `targets` is the
    /// number of targets of the service.
    pub fn is_limit_due(&self, demand: Load, targets: usize) -> bool {
        self.limit_report.get().is_due(demand, targets, Instant::now())
    }

    /// Sends the limit of the target to all nodes.
    pub fn report_limit(&self, limit: TargetLimit) {
        let mut report = self.limit_report.get();
        report.record(limit.load, Instant::now());
        self.limit_report.set(report);
        self.broadcast(&Frame::Limit(limit));
    }

    /// Sends a frame to all nodes.
    pub fn broadcast(&self, frame: &Frame) {
        for inbound in self.links.borrow().iter() {
            inbound.link.send(frame);
        }
    }

    fn send(&self, frame: &Frame, is_same_domain: bool) {
        for inbound in self.links.borrow().iter() {
            if inbound.is_same_domain == is_same_domain {
                inbound.link.send(frame);
            }
        }
    }

    /// The last load sent to nodes of the same failure domain, or to all others.
    fn report(&self, is_same_domain: bool) -> &Cell<LoadReport> {
        if is_same_domain { &self.same_domain_report } else { &self.other_domain_report }
    }

    fn record_report(&self, status: &Status, is_same_domain: bool) {
        let mut report = self.report(is_same_domain).get();
        report.record(status.load, Instant::now());
        self.report(is_same_domain).set(report);
    }
}
