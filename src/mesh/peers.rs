//! Links to the other nodes: who dials, who is told what, and when a silent link is replaced.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep};

use crate::event::{EventLog, LogEvent};

use super::blame;
use super::directory::Peer;
use super::frame::{Call, Frame};
use super::link::Link;
use super::node::Node;
use super::receiver;
use super::socket;
use super::teams::admission;

/// How often all links are looked at.
const WATCH_EVERY: Duration = Duration::from_millis(500);
/// After this silence a link on which a call waits is asked for a sign of life.
const PING_AWAITING_AFTER: Duration = Duration::from_millis(250);
/// After this silence any other is asked. Nobody waits on it, and the kernel's own probes notice a
/// connection that has fallen silent; only a node that does not run is found out by this.
const PING_IDLE_AFTER: Duration = Duration::from_secs(5);
/// A link that leaves the question unanswered for this long is replaced. It must bear the pauses of a
/// busy node.
const UNANSWERED_MAX: Duration = Duration::from_secs(2);
/// The pause before a node is dialled again, at first.
const REDIAL_MIN: Duration = Duration::from_millis(50);
/// The longest pause before a node is dialled again.
const REDIAL_MAX: Duration = Duration::from_secs(2);
/// A node that could not be reached for this long is forgotten; should it come back, it dials itself.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// Makes the node at `address` known, and keeps a link to it.
pub fn meet(node: &Rc<Node>, address: std::net::SocketAddr, failure_domain: &str) {
    if let Some(peer) = node.directory.add(address, failure_domain) {
        spawn_local(keep_link(Rc::clone(node), peer));
    }
}

/// Keeps a link to another node for as long as it can be reached.
async fn keep_link(node: Rc<Node>, peer: Rc<Peer>) {
    let mut pause = REDIAL_MIN;
    let mut reached = Instant::now();
    while reached.elapsed() < FORGET_AFTER {
        // The opening packet to a VM without power is lost, and sent again only after a second. Where all
        // VMs come back at once, that kept a node from all those that started after it; a node that says
        // hello can be reached, so it is dialled anew.
        let connected = tokio::select! {
            connected = socket::connect(peer.address) => connected,
            () = peer.greeted.notified() => continue,
        };
        if let Ok(stream) = connected {
            let linked = Instant::now();
            run_link(&node, &peer, stream).await;
            reached = Instant::now();
            if linked.elapsed() > REDIAL_MAX {
                pause = REDIAL_MIN;
            }
        }
        tokio::select! {
            () = sleep(pause) => pause = (pause * 2).min(REDIAL_MAX),
            () = peer.greeted.notified() => pause = REDIAL_MIN,
        }
    }
    node.directory.remove(peer.address);
}

/// Serves a link that this node has dialled, until it ends.
async fn run_link(node: &Rc<Node>, peer: &Rc<Peer>, stream: TcpStream) {
    let (link, reader) = Link::start(stream);
    let left = peer.status.borrow().left.clone();
    link.send(&Frame::Hello(node.hello(left)));
    node.add_dialled(&link);
    let take = |frame| match frame {
        Frame::Hello(hello) => {
            node.directory.take_hello(&hello);
            peer.link.replace(Some(Rc::clone(&link)));
            peer.was_linked.set(true);
            node.log.emit(&LogEvent::LinkUp {
                peer: peer.address,
                service: hello.status.service.clone(),
                config_version: hello.status.site_version,
            });
            node.want_site(&hello.status, &link);
            if node.wants_neighbours() {
                link.send(&Frame::NeighboursWanted);
            }
        }
        Frame::Neighbours(neighbours) => {
            for neighbour in &neighbours {
                meet(node, neighbour.address, &neighbour.failure_domain);
            }
        }
        Frame::Answer { id, end, load } => {
            peer.take_load(load);
            link.end_call(id, end);
        }
        Frame::Status(status) => {
            node.want_site(&status, &link);
            peer.take_status(status);
        }
        Frame::Load(load) => peer.take_load(load),
        Frame::Crash(crash) => blame::take_crash(node, &crash),
        Frame::Cleared(fingerprint) => {
            node.quarantine.clear(fingerprint);
        }
        Frame::Suspicions(suspicions) => blame::take_suspicions(node, &suspicions, "peer"),
        Frame::QuotaGranted { team, grant } => admission::handle_answer(node, &link, team, grant),
        Frame::Site { document } => match node.take_document(&document, "peer") {
            Ok(_) => {}
            Err(error) => {
                let detail = format!("{}: {error:#}", peer.address);
                node.log.emit(&LogEvent::InputRefused { input: "configuration", detail });
            }
        },
        Frame::Call(_)
        | Frame::Cancel { .. }
        | Frame::Ping
        | Frame::NeighboursWanted
        | Frame::SiteWanted
        | Frame::QuotaWanted { .. }
        | Frame::QuotaReturned { .. } => {}
    };
    let error = link.read_all(reader, take).await;
    node.remove_dialled(&link);
    if peer.link.borrow().is_some() {
        node.log.emit(&LogEvent::LinkLost {
            peer: peer.address,
            waiting: peer.in_flight.get(),
            silent_ms: link.heard().elapsed().as_millis() as u64,
            detail: error.to_string(),
        });
    }
    peer.link.replace(None);
    peer.status.borrow_mut().ready = false;
}

/// Asks for a sign of life on links that are silent, and ends those that stay so.
pub async fn watch_links(node: Rc<Node>) {
    loop {
        sleep(WATCH_EVERY).await;
        for link in node.dialled() {
            if link.unanswered() > UNANSWERED_MAX {
                link.close();
                continue;
            }
            let patience = if link.is_awaiting() { PING_AWAITING_AFTER } else { PING_IDLE_AFTER };
            if link.heard().elapsed() >= patience {
                link.ping();
            }
        }
    }
}

/// Takes in the links of other nodes.
pub async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if socket::watch(&stream).is_ok() {
                    spawn_local(serve_link(Rc::clone(&node), stream));
                }
            }
            Err(error) => pause_after(&node.log, &error).await,
        }
    }
}

/// Waits a little after a connection could not be accepted, so that the loop does not spin.
pub async fn pause_after(log: &EventLog, error: &io::Error) {
    log.emit(&LogEvent::InputRefused { input: "connection", detail: error.to_string() });
    sleep(REDIAL_MIN).await;
}

/// Serves a link that another node has dialled, until it ends.
async fn serve_link(node: Rc<Node>, stream: TcpStream) {
    let (link, reader) = Link::start(stream);
    let running: Rc<RefCell<HashMap<u64, AbortHandle>>> = Rc::default();
    let take = |frame| match frame {
        Frame::Hello(hello) => {
            meet(&node, hello.address, &hello.failure_domain);
            if let Some(peer) = node.directory.get(hello.address) {
                peer.greeted.notify_waiters();
            }
            for incarnation in &hello.left_incarnations {
                node.target.leave(incarnation);
            }
            node.callers.add(&link, &hello.failure_domain);
            link.send(&Frame::Hello(node.hello(Vec::new())));
            let suspicions = node.quarantine.suspicions();
            if !suspicions.is_empty() {
                link.send(&Frame::Suspicions(suspicions));
            }
        }
        Frame::Call(call) => {
            let id = call.id;
            let task = serve_call(Rc::clone(&node), Rc::clone(&link), Rc::clone(&running), call);
            let handle = spawn_local(task).abort_handle();
            running.borrow_mut().insert(id, handle);
        }
        Frame::Cancel { id } => {
            if let Some(call) = running.borrow_mut().remove(&id) {
                call.abort();
            }
        }
        Frame::Ping => link.send(&node.callers.load_frame(&node.status())),
        Frame::NeighboursWanted => link.send(&Frame::Neighbours(node.directory.neighbours())),
        Frame::SiteWanted => {
            if let Some(in_force) = node.in_force() {
                link.send(&Frame::Site { document: in_force.document });
            }
        }
        Frame::QuotaWanted { team, tokens } => {
            admission::answer_token_request(&node, &link, team, tokens)
        }
        Frame::QuotaReturned { team, tokens } => {
            node.quotas.put_back(&team, tokens, Instant::now());
        }
        Frame::Answer { .. }
        | Frame::QuotaGranted { .. }
        | Frame::Status(_)
        | Frame::Load(_)
        | Frame::Crash(_)
        | Frame::Cleared(_)
        | Frame::Suspicions(_)
        | Frame::Neighbours(_)
        | Frame::Site { .. } => {}
    };
    link.read_all(reader, take).await;
    // Nobody can be told the answers any more.
    for (_, call) in running.borrow_mut().drain() {
        call.abort();
    }
    node.callers.remove(&link);
}

/// Runs one call and sends its end.
async fn serve_call(
    node: Rc<Node>,
    link: Rc<Link>,
    running: Rc<RefCell<HashMap<u64, AbortHandle>>>,
    call: Call,
) {
    let deadline = Instant::now() + Duration::from_millis(call.remaining_ms.into());
    let end = receiver::serve(&node, &call, deadline).await;
    running.borrow_mut().remove(&call.id);
    link.send(&Frame::Answer { id: call.id, end, load: node.target.load() });
}
