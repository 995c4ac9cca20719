//! Tests message delivery between two transports over loopback.

use std::collections::HashMap;

use crate::support::{Options, answer, attempt_of, call, node, options, start, start_blocked};
use aspenspring::call::Message;
use aspenspring::duty::peer::{PeerEvent, SendError};
use rand::SeedableRng;
use rand::seq::SliceRandom;

#[test]
fn answers_in_any_order_reach_their_caller() {
    const CALLERS: u64 = 3;
    const CALLS: u64 = 400;
    let server = start(options(100));
    let callers: Vec<_> = (0..CALLERS).map(|index| start(options(index))).collect();
    for (index, caller) in callers.iter().enumerate() {
        for sequence in 0..CALLS {
            caller.send_with_retry(server.address(), &call(index as u64, sequence));
        }
    }
    let mut requests = server.collect_requests((CALLERS * CALLS) as usize);
    let mut rng = rand::rngs::SmallRng::seed_from_u64(7);
    requests.shuffle(&mut rng);
    for (path, message) in &requests {
        let reply = answer(attempt_of(message), 100);
        server.handle().reply(*path, &reply).expect("the ring has room for every call");
    }
    for (index, caller) in callers.iter().enumerate() {
        let mut seen = HashMap::new();
        for message in caller.collect_answers(CALLS as usize) {
            let attempt = attempt_of(&message);
            assert_eq!(attempt.origin, node(index as u64));
            *seen.entry(attempt.sequence).or_insert(0) += 1;
        }
        assert_eq!(seen.len() as u64, CALLS);
        assert!(seen.values().all(|&count| count == 1));
    }
}

/// Without the reply window, nng drops replies that do not fit into a connection's queue.
#[test]
fn a_slow_receiver_loses_no_answer() {
    const CALLS: u64 = 400;
    let (unblock, gate) = crossbeam_channel::bounded(0);
    let server = start(options(1));
    let caller = start_blocked(options(2), gate);
    for sequence in 0..CALLS {
        caller.send_with_retry(server.address(), &call(2, sequence));
    }
    for (path, message) in server.collect_requests(CALLS as usize) {
        server.handle().reply(path, &answer(attempt_of(&message), 1)).expect("the ring has room");
    }
    drop(unblock);
    assert_eq!(caller.collect_answers(CALLS as usize).len() as u64, CALLS);
}

#[test]
fn a_dead_listener_loses_the_link_and_its_successor_gets_nothing_again() {
    const CALLS: u64 = 50;
    let server = start(options(1));
    let address = server.address();
    let caller = start(Options { connect_within_ms: 200, ..options(2) });
    caller.handle().connect(address);
    caller.wait_for("link up", |event| matches!(event, PeerEvent::LinkUp { .. }));
    for sequence in 0..CALLS {
        caller.send_with_retry(address, &call(2, sequence));
    }
    let first: Vec<_> = server.collect_requests(CALLS as usize);
    assert_eq!(first.len() as u64, CALLS);
    server.stop();
    caller.wait_for("link lost", |event| matches!(event, PeerEvent::LinkLost { .. }));
    let successor = start(options(3).listen_at(address));
    caller.wait_for("link up again", |event| matches!(event, PeerEvent::LinkUp { .. }));
    let last = call(2, CALLS);
    caller.send_with_retry(address, &last);
    let (_, message) = successor.collect_requests(1).remove(0);
    assert_eq!(message, last, "only what is new reaches the successor");
}

#[test]
fn a_message_to_nobody_is_given_back() {
    let caller = start(Options { connect_within_ms: 200, ..options(1) });
    let unused = crate::support::unused_address();
    let message = call(1, 1);
    caller.handle().send(unused, &message).expect("it waits for the connection");
    let event = caller.wait_for("unsent", |event| matches!(event, PeerEvent::Unsent { .. }));
    assert_eq!(event, PeerEvent::Unsent { peer: unused, message: message.clone() });
    caller.wait_for("link lost", |event| matches!(event, PeerEvent::LinkLost { .. }));
    let refused = caller.handle().send(unused, &message);
    assert_eq!(refused, Err(SendError::Unreachable));
}

#[test]
fn a_reply_on_a_closed_connection_is_refused() {
    let server = start(options(1));
    let caller = start(options(2));
    caller.send_with_retry(server.address(), &call(2, 1));
    let (path, message) = server.collect_requests(1).remove(0);
    caller.stop();
    let reply = answer(attempt_of(&message), 1);
    let refused = server.poll_until(|| server.handle().reply(path, &reply).err());
    assert_eq!(refused, SendError::ConnectionClosed);
}

#[test]
fn a_message_that_is_too_long_is_refused_at_once() {
    let caller = start(options(1));
    let long = Message::Gossip(vec![0; crate::support::BODY_MAX_BYTES + 1].into());
    let refused = caller.handle().send(crate::support::unused_address(), &long);
    assert!(matches!(refused, Err(SendError::Codec(_))));
}

/// nng aborts the process if a receive operation is started on a socket that is being closed.
#[test]
fn links_may_come_and_go_under_traffic() {
    const ROUNDS: u64 = 200;
    let server = start(options(1));
    let caller = start(options(2));
    for sequence in 0..ROUNDS {
        caller.send_with_retry(server.address(), &call(2, sequence));
        for (path, message) in server.collect_requests(1) {
            let _ = server.handle().reply(path, &answer(attempt_of(&message), 1));
        }
        caller.handle().disconnect(server.address());
    }
}
