//! Whether a target that broke off what it was running has ended.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

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
}

/// Takes in that the target broke off a call. If the target no longer takes connections, it has ended, and what
/// it ran may be the cause; else only this answer was lost.
pub fn note_broken(node: &Rc<Node>, instance: &Instance, call: &Call) {
    let path = call.path.split('?').next().unwrap_or_default().to_owned();
    let broken = &node.target.broken;
    broken.requests.borrow_mut().push(Broken { fingerprint: call.fingerprint(), path });
    if broken.is_looking.replace(true) {
        return;
    }
    let (node, instance) = (Rc::clone(node), instance.clone());
    spawn_local(async move {
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
    });
}
