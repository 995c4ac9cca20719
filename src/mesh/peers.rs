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

use super::directory::Peer;
use super::frame::{Call, Frame, Hello, Status};
use super::link::Link;
use super::node::Node;
use super::receiver;
use super::socket;

/// How often a link is looked at; one on which nothing came in that time is asked for a sign of life.
const PING_EVERY: Duration = Duration::from_millis(500);
/// A link on which nothing came for this long is replaced. It must bear the pauses of a busy node.
const SILENCE_MAX: Duration = Duration::from_millis(2_500);
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
    let pinging = spawn_local(ping(Rc::clone(&link)));
    let take = |frame| match frame {
        Frame::Hello(hello) => {
            take_hello(node, &hello);
            node.directory.take_hello(&hello);
            peer.link.replace(Some(Rc::clone(&link)));
            node.log.emit(&LogEvent::LinkUp {
                peer: peer.address,
                service: hello.status.service.clone(),
                config_version: hello.status.site_version,
            });
            want_site(node, &hello.status, &link);
        }
        Frame::Answer { id, end, load } => {
            peer.take_load(load);
            link.end_call(id, end);
        }
        Frame::Status(status) => {
            want_site(node, &status, &link);
            peer.take_status(status);
        }
        Frame::Load(load) => peer.take_load(load),
        Frame::Site { document } => match node.take_document(&document, "peer") {
            Ok(_) => {}
            Err(error) => {
                let detail = format!("{}: {error:#}", peer.address);
                node.log.emit(&LogEvent::InputRefused { input: "configuration", detail });
            }
        },
        Frame::Call(_) | Frame::Cancel { .. } | Frame::Ping | Frame::SiteWanted => {}
    };
    let error = link.read_all(reader, take).await;
    pinging.abort();
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

/// Asks for a sign of life where none came by itself, and ends a link that stays silent.
async fn ping(link: Rc<Link>) {
    while link.is_open() {
        sleep(PING_EVERY).await;
        let silence = link.heard().elapsed();
        if silence > SILENCE_MAX {
            link.close();
        } else if silence >= PING_EVERY / 2 {
            link.send(&Frame::Ping);
        }
    }
}

/// Asks for the configuration where the other node has a newer one.
fn want_site(node: &Node, status: &Status, link: &Link) {
    if status.site_version > node.site_version() {
        link.send(&Frame::SiteWanted);
    }
}

/// Meets everyone that another node knows.
fn take_hello(node: &Rc<Node>, hello: &Hello) {
    meet(node, hello.address, &hello.failure_domain);
    for neighbour in &hello.known {
        meet(node, neighbour.address, &neighbour.failure_domain);
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
            take_hello(&node, &hello);
            if let Some(peer) = node.directory.get(hello.address) {
                peer.greeted.notify_waiters();
            }
            for incarnation in &hello.left_incarnations {
                node.target.leave(incarnation);
            }
            node.add_caller(&link);
            link.send(&Frame::Hello(node.hello(Vec::new())));
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
        Frame::Ping => node.tell_load_on(&link),
        Frame::SiteWanted => {
            if let Some(in_force) = node.in_force() {
                link.send(&Frame::Site { document: in_force.document });
            }
        }
        Frame::Answer { .. } | Frame::Status(_) | Frame::Load(_) | Frame::Site { .. } => {}
    };
    link.read_all(reader, take).await;
    // Nobody can be told the answers any more.
    for (_, call) in running.borrow_mut().drain() {
        call.abort();
    }
    node.remove_caller(&link);
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
