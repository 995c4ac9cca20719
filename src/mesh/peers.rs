//! Links to peers: dials and accepts them, handles their frames, and replaces those that no longer
//! respond.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep};

use crate::event::{EventLog, LogEvent};

use super::caller_end::{CallerEnd, EndTimes};
use super::codec::Received;
use super::crash_reports;
use super::directory::Peer;
use super::frame::{Call, CallEnd, Doubt, Frame, NotRun};
use super::limit_reports;
use super::link::Link;
use super::node::Node;
use super::receiver;
use super::socket;
use super::teams::admission;
use super::tree_calls::TreeCalls;

/// Interval at which all links are checked.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);
/// A link with pending calls is pinged after this much silence.
const PING_PENDING_AFTER: Duration = Duration::from_millis(250);
/// An idle link is pinged after this much silence. No call depends on it, and TCP keepalive detects
/// a dead connection; the ping is needed only to detect a process that is hung or suspended.
const PING_IDLE_AFTER: Duration = Duration::from_secs(5);
/// A link whose ping is unanswered for this long is replaced. Must exceed the pauses of a busy
/// node.
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// The initial backoff before a peer is dialled again.
const REDIAL_BACKOFF_MIN: Duration = Duration::from_millis(50);
/// The longest backoff before a peer is dialled again.
const REDIAL_BACKOFF_MAX: Duration = Duration::from_secs(2);
/// A peer that could not be reached for this long is removed. If it comes back, it dials this node.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// Adds the node at `address` to the directory, and maintains a link to it.
pub fn add_peer(node: &Rc<Node>, address: std::net::SocketAddr, failure_domain: &str) {
    if let Some(peer) = node.directory.add(address, failure_domain) {
        spawn_local(maintain_link(Rc::clone(node), peer));
    }
}

/// Maintains a link to a peer for as long as the peer can be reached.
async fn maintain_link(node: Rc<Node>, peer: Rc<Peer>) {
    let mut backoff = REDIAL_BACKOFF_MIN;
    let mut last_linked = Instant::now();
    while last_linked.elapsed() < FORGET_AFTER {
        // A SYN to a VM that is down is lost and sent again only after a second. When all VMs
        // restart at once, this would delay the links of a node to all nodes that start after it. A
        // peer that has sent a hello can be reached, so it is dialled again at once.
        let connected = tokio::select! {
            connected = socket::connect(peer.address) => connected,
            () = peer.hello_received.notified() => continue,
        };
        if let Ok(stream) = connected {
            let connected_at = Instant::now();
            run_link(&node, &peer, stream).await;
            last_linked = Instant::now();
            if connected_at.elapsed() > REDIAL_BACKOFF_MAX {
                backoff = REDIAL_BACKOFF_MIN;
            }
        }
        tokio::select! {
            () = sleep(backoff) => backoff = (backoff * 2).min(REDIAL_BACKOFF_MAX),
            () = peer.hello_received.notified() => backoff = REDIAL_BACKOFF_MIN,
        }
    }
    node.directory.remove(peer.address);
}

/// Serves a link that this node has dialled, until it ends.
async fn run_link(node: &Rc<Node>, peer: &Rc<Peer>, stream: TcpStream) {
    let (link, reader) = Link::start(stream);
    let left_incarnations = peer.status.borrow().left.clone();
    link.send(&Frame::Hello(node.hello(left_incarnations)));
    // Sent before any call: the peer may have been restarted and have forgotten the limit.
    if let Some(limit) = peer.limit.reported() {
        link.send(&Frame::Limit(limit));
    }
    node.add_dialled(&link);
    let on_frame = |frame| match frame {
        Frame::Hello(hello) => {
            link.set_peer_features(hello.features);
            if let Some(times) = node.own_end.times() {
                link.announce_end(times);
            }
            node.directory.update_from_hello(&hello);
            peer.link.replace(Some(Rc::clone(&link)));
            peer.was_linked.set(true);
            node.log.emit(&LogEvent::LinkUp {
                peer: peer.address,
                service: hello.status.service.clone(),
                config_version: hello.status.site_version,
            });
            node.request_newer_site(&hello.status, &link);
            if node.try_neighbour_request() {
                link.send(&Frame::NeighboursWanted);
            }
        }
        Frame::Neighbours(neighbours) => {
            for neighbour in &neighbours {
                add_peer(node, neighbour.address, &neighbour.failure_domain);
            }
        }
        Frame::Answer { id, end, load } => {
            peer.update_load(load);
            link.end_call(id, checked_end(node, peer, end));
        }
        Frame::Status(status) => {
            node.request_newer_site(&status, &link);
            peer.update_status(status);
        }
        Frame::Load(load) => peer.update_load(load),
        Frame::Limit(limit) => peer.limit.update(limit),
        Frame::Condition(condition) => peer.condition.update(condition),
        Frame::TreeCalls { id, calls } => link.keep_tree_calls(id, calls),
        Frame::TeamUse(mut report) => {
            report.limit = report.limit.min(peer.status.borrow().load.limit);
            peer.team_use.update(report);
        }
        Frame::Crash(crash) => crash_reports::receive_crash(node, &crash),
        Frame::Cleared(fingerprint) => {
            node.quarantine.clear(fingerprint);
        }
        Frame::Suspicions(suspicions) => {
            crash_reports::receive_suspicions(node, &suspicions, "peer")
        }
        Frame::QuotaGranted { team, grant } => admission::handle_answer(node, &link, team, grant),
        Frame::Site { document } => match node.apply_document(&document, "peer") {
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
        | Frame::QuotaReturned { .. }
        | Frame::CallerEnd { .. }
        | Frame::Unmet => {}
    };
    let on_received = |received| match received {
        Received::Frame(frame) => on_frame(frame),
        Received::UnreadAnswer { id, load } => {
            peer.update_load(load);
            link.end_call(id, CallEnd::MayHaveRun(Doubt::AnswerUnread));
        }
        Received::UnreadCall { .. } => {}
    };
    let error = link.read_all(reader, &node.memory, on_received).await;
    node.remove_dialled(&link);
    if peer.link.borrow().is_some() {
        node.log.emit(&LogEvent::LinkLost {
            peer: peer.address,
            waiting: peer.in_flight.get(),
            silent_ms: link.last_received().elapsed().as_millis() as u64,
            detail: error.to_string(),
        });
    }
    peer.link.replace(None);
    peer.status.borrow_mut().ready = false;
    // The next link starts with the default condition.
    peer.condition.clear();
    peer.team_use.clear();
}

/// The end of a call as reported by a peer. An invalid answer counts as that of a broken target.
fn checked_end(node: &Node, peer: &Peer, end: CallEnd) -> CallEnd {
    let CallEnd::Answered(answer) = &end else { return end };
    let Err(error) = answer.check(node.header_names.signature.as_str()) else { return end };
    let detail = format!("{}: {error}", peer.address);
    node.log.emit(&LogEvent::InputRefused { input: "answer", detail });
    CallEnd::MayHaveRun(Doubt::TargetBroke)
}

/// Pings silent links, and closes those that do not answer.
pub async fn watch_links(node: Rc<Node>) {
    loop {
        sleep(WATCH_INTERVAL).await;
        for link in node.dialled() {
            if link.ping_age() > PING_TIMEOUT {
                link.close();
                continue;
            }
            let ping_after =
                if link.is_awaiting_frames() { PING_PENDING_AFTER } else { PING_IDLE_AFTER };
            if link.last_received().elapsed() >= ping_after {
                link.ping();
            }
        }
    }
}

/// Accepts the links of peers.
pub async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if socket::configure(&stream).is_ok() {
                    spawn_local(serve_link(Rc::clone(&node), stream));
                }
            }
            Err(error) => pause_after(&node.log, &error).await,
        }
    }
}

/// Pauses after a failure to accept a connection, so that the accept loop does not spin.
pub async fn pause_after(log: &EventLog, error: &io::Error) {
    log.emit(&LogEvent::InputRefused { input: "connection", detail: error.to_string() });
    sleep(REDIAL_BACKOFF_MIN).await;
}

/// Serves a link that a peer has dialled, until it ends.
async fn serve_link(node: Rc<Node>, stream: TcpStream) {
    let (link, reader) = Link::start(stream);
    let running: Rc<RefCell<HashMap<u64, AbortHandle>>> = Rc::default();
    let caller_end: Rc<CallerEnd> = Rc::default();
    let on_frame = |frame| match frame {
        Frame::Hello(hello) => {
            link.set_peer_features(hello.features);
            add_peer(&node, hello.address, &hello.failure_domain);
            if let Some(peer) = node.directory.get(hello.address) {
                peer.hello_received.notify_waiters();
            }
            for incarnation in &hello.left_incarnations {
                node.target.mark_left(incarnation);
            }
            node.inbound.add(&link, &hello.failure_domain);
            link.send(&Frame::Hello(node.hello(Vec::new())));
            if let Some(limit) = limit_reports::current(&node).filter(|limit| limit.per_s.is_some())
            {
                link.send(&Frame::Limit(limit));
            }
            let suspicions = node.quarantine.suspicions();
            if !suspicions.is_empty() {
                link.send(&Frame::Suspicions(suspicions));
            }
        }
        Frame::Call(call) => {
            let id = call.id;
            let call = ReceivedCall {
                call,
                link: Rc::clone(&link),
                running: Rc::clone(&running),
                caller_end: Rc::clone(&caller_end),
            };
            let handle = spawn_local(serve_call(Rc::clone(&node), call)).abort_handle();
            running.borrow_mut().insert(id, handle);
        }
        Frame::CallerEnd { begin_ms, ends_ms } => {
            let after = |ms: u32| Instant::now() + Duration::from_millis(ms.into());
            caller_end.announce(EndTimes { begin_by: after(begin_ms), ends_at: after(ends_ms) });
        }
        Frame::Cancel { id } => {
            if let Some(call) = running.borrow_mut().remove(&id) {
                call.abort();
            }
        }
        Frame::Limit(limit) => limit_reports::restore(&node, &link, &limit),
        Frame::Unmet => node.target.gate.pacer.record_unmet(),
        Frame::Ping => link.send(&node.inbound.load_frame(&node.status())),
        Frame::NeighboursWanted => link.send(&Frame::Neighbours(node.directory.neighbours())),
        Frame::SiteWanted => {
            if let Some(active_site) = node.active_site() {
                link.send(&Frame::Site { document: active_site.document });
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
        | Frame::Condition(_)
        | Frame::TreeCalls { .. }
        | Frame::TeamUse(_)
        | Frame::Site { .. } => {}
    };
    let on_received = |received| match received {
        Received::Frame(frame) => on_frame(frame),
        Received::UnreadCall { id } => {
            let end = CallEnd::NotRun(NotRun::QueueFull);
            node.metrics.record_call(end.reason());
            link.send(&Frame::Answer { id, end, load: node.target.load() });
        }
        Received::UnreadAnswer { .. } => {}
    };
    link.read_all(reader, &node.memory, on_received).await;
    // The answers can no longer be delivered.
    for (_, call) in running.borrow_mut().drain() {
        call.abort();
    }
    node.inbound.remove(&link);
}

/// A call that a peer has sent.
struct ReceivedCall {
    call: Call,
    link: Rc<Link>,
    /// The calls of the link that are being served.
    running: Rc<RefCell<HashMap<u64, AbortHandle>>>,
    /// The end of the peer.
    caller_end: Rc<CallerEnd>,
}

/// Runs one call and sends its answer.
async fn serve_call(node: Rc<Node>, received: ReceivedCall) {
    let ReceivedCall { call, link, running, caller_end } = received;
    let deadline = Instant::now() + Duration::from_millis(call.remaining_ms.into());
    let calls = Rc::new(TreeCalls::default());
    let mut end = receiver::serve(&node, &call, &caller_end, deadline, &calls).await;
    if end == CallEnd::MayHaveRun(Doubt::AnswerUnread) {
        // Nodes of earlier versions don't know this reason.
        end = CallEnd::MayHaveRun(Doubt::TargetBroke);
    }
    running.borrow_mut().remove(&call.id);
    link.send_tree_calls(call.id, calls.take());
    link.send_condition(node.reported_condition());
    link.send(&Frame::Answer { id: call.id, end, load: node.target.load() });
}
