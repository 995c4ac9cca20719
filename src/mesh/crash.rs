//! Whether a target that broke off what it was running has ended.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::blame;
use super::fingerprint::Fingerprint;
use super::frame::Call;
use super::http1::Connection;
use super::node::Node;
use super::target::Instance;

/// How long after the first request that was broken off it is looked whether the target is there: all that it
/// ran is noticed as broken off by then, also by a busy node.
const LOOK_AFTER: Duration = Duration::from_millis(30);

/// How long news of an end takes to all nodes at most, but for lost packets and busy nodes.
const NEWS_TRAVEL: Duration = Duration::from_millis(20);

/// A request that the target was running when it broke off.
#[derive(Clone, Debug)]
pub struct Broken {
    /// Which request it is.
    pub fingerprint: Fingerprint,
    /// Its path, without the query.
    pub path: String,
}

/// The requests that were broken off while it is not known whether the target has ended.
#[derive(Debug, Default)]
pub struct BrokenRequests {
    requests: RefCell<Vec<Broken>>,
    is_looking: Cell<bool>,
    /// Wakes whoever waits until it is known.
    looked: Notify,
}

/// Takes in that the target broke off a call. If the target no longer takes connections, it has ended, and what
/// it ran may be the cause; else only this answer was lost.
pub fn note_broken(node: &Rc<Node>, instance: &Instance, call: &Call) {
    let path = call.path.split('?').next().unwrap_or_default().to_owned();
    let broken = &node.target.broken;
    broken.requests.borrow_mut().push(Broken { fingerprint: call.fingerprint(), path });
    if !broken.is_looking.replace(true) {
        spawn_local(look(Rc::clone(node), instance.clone()));
    }
}

/// Waits, where the target no longer takes connections, until that has been told to all nodes, and what others
/// tell of the same moment has come: whoever repeats a call then knows which targets have ended.
pub async fn until_known(node: &Node) {
    let looked = node.target.broken.looked.notified();
    match Connection::open(node.target.address).await {
        Ok(connection) => node.target.keep(connection),
        Err(error) if error.is_refused() => {
            looked.await;
            sleep(NEWS_TRAVEL).await;
        }
        Err(_) => {}
    }
}

/// Finds out whether the target has ended.
async fn look(node: Rc<Node>, instance: Instance) {
    sleep(LOOK_AFTER).await;
    let opened = Connection::open(node.target.address).await;
    let broken = &node.target.broken;
    broken.is_looking.set(false);
    let requests = broken.requests.take();
    match opened {
        Ok(connection) => node.target.keep(connection),
        Err(error) if error.is_refused() => blame::note_crash(&node, &instance, &requests),
        Err(_) => {}
    }
    broken.looked.notify_waiters();
}
