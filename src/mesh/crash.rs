//! Detects whether a target that closed its connections has crashed.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

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

/// A request that the target was running when its connection broke.
#[derive(Clone, Debug)]
pub struct InterruptedRequest {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Its path, without the query.
    pub path: String,
}

/// Interrupted requests for which it is not yet known whether the target has crashed.
#[derive(Debug, Default)]
pub struct InterruptedRequests {
    requests: RefCell<Vec<InterruptedRequest>>,
    is_checking: Cell<bool>,
    /// Notified when the check has finished.
    checked: Notify,
}

/// Records that the target closed the connection during a call. If the target then refuses
/// connections, it has crashed, and one of the requests it was running may be the cause; otherwise
/// only this answer was lost.
pub fn record_interrupted(node: &Rc<Node>, instance: &Instance, call: &Call) {
    let path = call.path.split('?').next().unwrap_or_default().to_owned();
    let interrupted = &node.target.interrupted;
    interrupted
        .requests
        .borrow_mut()
        .push(InterruptedRequest { fingerprint: call.fingerprint(), path });
    if !interrupted.is_checking.replace(true) {
        spawn_local(check_target(Rc::clone(node), instance.clone()));
    }
}

/// If the target refuses connections, waits until the crash has been reported to all nodes and
/// simultaneous crash reports of other nodes have arrived. A retry then takes them into account.
pub async fn wait_for_check(node: &Node) {
    let checked = node.target.interrupted.checked.notified();
    match Connection::open(node.target.address).await {
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
    let opened = Connection::open(node.target.address).await;
    let interrupted = &node.target.interrupted;
    interrupted.is_checking.set(false);
    let requests = interrupted.requests.take();
    match opened {
        Ok(connection) => node.target.keep(connection),
        Err(error) if error.is_refused() => {
            crash_reports::record_crash(&node, &instance, &requests)
        }
        Err(_) => {}
    }
    interrupted.checked.notify_waiters();
}
