//! Tests connections that go silent while new ones work.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::support::{
    Node, Options, answer, attempt_of, call, call_with_body, loopback, options, start,
};
use aspenspring::call::Message;
use aspenspring::duty::peer::{PeerEvent, SendError};

/// Bytes forwarded in each direction on the first connection before it goes silent permanently.
#[derive(Clone, Copy, Debug)]
struct Limits {
    /// From the caller to the server.
    up_bytes: usize,
    /// From the server to the caller.
    down_bytes: usize,
}

/// No limit.
const UNLIMITED: usize = usize::MAX;

/// Starts a proxy to `server`. Only its first connection has limits; later ones work.
fn start_proxy(server: SocketAddr, first: Limits) -> SocketAddr {
    let listener = TcpListener::bind(loopback(0)).expect("loopback has a free port");
    let address = listener.local_addr().expect("a bound socket has an address");
    let connections = Arc::new(AtomicUsize::new(0));
    std::thread::spawn(move || {
        for caller in listener.incoming() {
            let is_first = connections.fetch_add(1, Ordering::SeqCst) == 0;
            let unlimited = Limits { up_bytes: UNLIMITED, down_bytes: UNLIMITED };
            let limits = if is_first { first } else { unlimited };
            let (Ok(caller), Ok(server)) = (caller, TcpStream::connect(server)) else { continue };
            copy_bytes(&caller, &server, limits.up_bytes);
            copy_bytes(&server, &caller, limits.down_bytes);
        }
    });
    address
}

/// Forwards up to `limit_bytes`, then keeps both ends open but forwards nothing more.
fn copy_bytes(from: &TcpStream, to: &TcpStream, limit_bytes: usize) {
    let mut from = from.try_clone().expect("a socket can be cloned");
    let mut to = to.try_clone().expect("a socket can be cloned");
    std::thread::spawn(move || {
        let mut left_bytes = limit_bytes;
        let mut buffer = [0; 4_096];
        while left_bytes > 0 {
            let room = buffer.len().min(left_bytes);
            let Ok(read) = from.read(&mut buffer[..room]) else { break };
            if read == 0 || to.write_all(&buffer[..read]).is_err() {
                break;
            }
            left_bytes -= read;
        }
        if left_bytes > 0 {
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
        std::thread::park();
    });
}

/// Answers every request received so far and counts them by sequence number.
fn serve(server: &Node, seen: &mut HashMap<u64, usize>) {
    for event in server.events_so_far() {
        let PeerEvent::Request { path, message } = event else { continue };
        let attempt = attempt_of(&message);
        *seen.entry(attempt.sequence).or_insert(0) += 1;
        // The connection may be gone by now.
        let _ = server.handle().reply(path, &answer(attempt, 1));
    }
}

/// Makes calls through a connection that goes silent until one made after `LinkLost` is answered.
/// No call may arrive twice.
fn check_replacement(limits: Limits) {
    let server = start(options(1));
    let address = start_proxy(server.address(), limits);
    let caller = start(Options { silent_after_ms: 150, connect_within_ms: 150, ..options(2) });
    let mut seen = HashMap::new();
    let mut sequence = 0;
    let mut lost_at = None;
    caller.poll_until(|| {
        sequence += 1;
        let _ = caller.handle().send(address, &call(2, sequence));
        serve(&server, &mut seen);
        for event in caller.events_so_far() {
            match event {
                PeerEvent::LinkLost { .. } => lost_at = lost_at.or(Some(sequence)),
                PeerEvent::Reply { message: Message::Answer(answered), .. } => {
                    let is_later = lost_at.is_some_and(|lost| answered.attempt.sequence > lost);
                    if is_later {
                        return Some(());
                    }
                }
                _ => (),
            }
        }
        None
    });
    assert!(seen.values().all(|&count| count == 1), "{limits:?}: a call arrived twice");
}

/// Within nng's handshake (8 bytes), at its end, within a frame's header, its body and later
/// frames.
const POSITIONS: [usize; 9] = [0, 1, 7, 8, 9, 17, 300, 2_500, 30_000];

#[test]
fn a_connection_that_goes_silent_upwards_is_replaced() {
    std::thread::scope(|scope| {
        for up_bytes in POSITIONS {
            scope.spawn(move || check_replacement(Limits { up_bytes, down_bytes: UNLIMITED }));
        }
    });
}

#[test]
fn a_connection_that_goes_silent_downwards_is_replaced() {
    std::thread::scope(|scope| {
        for down_bytes in POSITIONS {
            scope.spawn(move || check_replacement(Limits { up_bytes: UNLIMITED, down_bytes }));
        }
    });
}

#[test]
fn a_full_ring_refuses_at_once_and_what_it_held_never_leaves() {
    /// Enough for nng's handshake and a few pings.
    const FORWARDED_BYTES: usize = 200;
    const MANY: u64 = 4_000;
    let server = start(options(1));
    let address =
        start_proxy(server.address(), Limits { up_bytes: FORWARDED_BYTES, down_bytes: UNLIMITED });
    let caller = start(Options { ring_entries: 16, silent_after_ms: 3_000, ..options(2) });
    caller.handle().connect(address);
    caller.wait_for("link up", |event| matches!(event, PeerEvent::LinkUp { .. }));
    let big = |sequence| call_with_body(2, sequence, 256 << 10);
    let refused =
        (0..MANY).find_map(|sequence| caller.handle().send(address, &big(sequence)).err());
    assert_eq!(refused, Some(SendError::RingFull));
    caller.wait_for("link lost", |event| matches!(event, PeerEvent::LinkLost { .. }));
    caller.wait_for("link up", |event| matches!(event, PeerEvent::LinkUp { .. }));
    let last = call(2, MANY);
    caller.send_with_retry(address, &last);
    let (_, first_to_arrive) = server.collect_requests(1).remove(0);
    assert_eq!(first_to_arrive, last, "no queued message was sent later");
}
