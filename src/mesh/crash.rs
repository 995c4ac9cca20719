//! Detects whether a target that closed its connections has crashed.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::crash_reports;
use super::fingerprint::Fingerprint;
use super::frame::Call;
use super::http1::Connection;
use super::node::Node;
use super::target::Instance;

/// Delay between the first interrupted request and the check whether the target still runs. By then
/// even a busy node has noticed all requests that were interrupted.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(30);

/// Time within which a crash report reaches all nodes, unless packets are lost or nodes are busy.
const CRASH_REPORT_DELAY: Duration = Duration::from_millis(20);

/// How long a target may keep running a request whose call was cancelled or has timed out.
const CANCELLED_RUN_MAX: Duration = Duration::from_secs(1);

/// Maximum number of remembered cancelled requests.
const CANCELLED_MAX: usize = 1_024;

/// A request that the target may have been running when it crashed.
#[derive(Clone, Debug)]
pub struct InterruptedRequest {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Its path, without the query.
    pub path: String,
}

impl InterruptedRequest {
    fn of(call: &Call) -> Self {
        let path = call.path.split('?').next().unwrap_or_default().to_owned();
        Self { fingerprint: call.fingerprint(), path }
    }
}

/// Interrupted requests for which it is not yet known whether the target has crashed.
#[derive(Debug, Default)]
pub struct InterruptedRequests {
    requests: RefCell<Vec<InterruptedRequest>>,
    /// Requests that the target may still be running although their calls have ended, with the time
    /// of that, oldest first.
    cancelled: RefCell<VecDeque<(Instant, InterruptedRequest)>>,
    is_checking: Cell<bool>,
    /// Notified when the check has finished.
    checked: Notify,
}

impl InterruptedRequests {
    fn record_cancelled(&self, call: &Call, now: Instant) {
        self.evict_cancelled(now);
        let mut cancelled = self.cancelled.borrow_mut();
        if cancelled.len() >= CANCELLED_MAX {
            cancelled.pop_front();
        }
        cancelled.push_back((now, InterruptedRequest::of(call)));
    }

    /// Removes the cancelled requests that the target no longer runs.
    fn evict_cancelled(&self, now: Instant) {
        let mut cancelled = self.cancelled.borrow_mut();
        while cancelled.front().is_some_and(|(at, _)| now - *at > CANCELLED_RUN_MAX) {
            cancelled.pop_front();
        }
    }

    /// Removes and returns the requests that a target was running that crashed now.
    fn take_running(&self, now: Instant) -> Vec<InterruptedRequest> {
        self.evict_cancelled(now);
        let mut running = self.requests.take();
        running.extend(self.cancelled.take().into_iter().map(|(_, request)| request));
        running
    }
}

/// Remembers a call that ends without an answer as one that the target may still be running.
pub struct RunGuard<'a> {
    node: &'a Node,
    call: &'a Call,
    has_ended: bool,
}

impl<'a> RunGuard<'a> {
    /// Begins with the call about to be sent to the target.
    pub fn new(node: &'a Node, call: &'a Call) -> Self {
        Self { node, call, has_ended: false }
    }

    /// The target no longer runs the call.
    pub fn finish(mut self) {
        self.has_ended = true;
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.node.target.interrupted.record_cancelled(self.call, Instant::now());
        }
    }
}

/// Records that the target closed the connection during a call. If the target then refuses
/// connections, it has crashed, and one of the requests it was running may be the cause; otherwise
/// only this answer was lost.
pub fn record_interrupted(node: &Rc<Node>, instance: &Instance, call: &Call) {
    node.target.interrupted.requests.borrow_mut().push(InterruptedRequest::of(call));
    schedule_check(node, instance);
}

/// Records that the target refused a connection. Unless it ran nothing, it is checked for a crash.
pub fn record_refused(node: &Rc<Node>, instance: &Instance) {
    let interrupted = &node.target.interrupted;
    interrupted.evict_cancelled(Instant::now());
    if !interrupted.cancelled.borrow().is_empty() {
        schedule_check(node, instance);
    }
}

fn schedule_check(node: &Rc<Node>, instance: &Instance) {
    if !node.target.interrupted.is_checking.replace(true) {
        spawn_local(check_target(Rc::clone(node), instance.clone()));
    }
}

/// If the target refuses connections, waits until the crash has been reported to all nodes and
/// simultaneous crash reports of other nodes have arrived. A retry then takes them into account.
pub async fn wait_for_check(node: &Node) {
    let checked = node.target.interrupted.checked.notified();
    match Connection::open(node.target.address, &node.memory).await {
        Ok(connection) => node.target.keep(connection),
        Err(error) if error.is_refused() => {
            checked.await;
            sleep(CRASH_REPORT_DELAY).await;
        }
        Err(_) => {}
    }
}

/// Checks whether the target has crashed.
async fn check_target(node: Rc<Node>, instance: Instance) {
    sleep(CRASH_CHECK_DELAY).await;
    let opened = Connection::open(node.target.address, &node.memory).await;
    let interrupted = &node.target.interrupted;
    interrupted.is_checking.set(false);
    match opened {
        Err(error) if error.is_refused() => {
            let running = interrupted.take_running(Instant::now());
            crash_reports::record_crash(&node, &instance, &running);
        }
        opened => {
            interrupted.requests.take();
            if let Ok(connection) = opened {
                node.target.keep(connection);
            }
        }
    }
    interrupted.checked.notify_waiters();
}
