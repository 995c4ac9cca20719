//! Tests that answers are matched to the calls they belong to.

use aspenspring::call::{AttemptId, NodeId};
use aspenspring::once::{AbandonedAttempt, CallToken, InFlightAttempts};

#[test]
fn answers_reach_their_own_call_once_and_from_the_right_node() {
    let attempt = |sequence| AttemptId { origin: NodeId(1), sequence, nonce: 0 };
    let (call, other_call) = (CallToken(1), CallToken(2));
    let (node, other_node) = (NodeId(8), NodeId(9));
    let mut in_flight = InFlightAttempts::default();
    for (sequence, token) in [(1, call), (2, call), (3, other_call), (4, other_call)] {
        in_flight.record_sent(attempt(sequence), node, token, 100 * sequence);
    }
    assert_eq!(in_flight.take_answered(other_node, attempt(1)), None);
    assert_eq!(in_flight.take_answered(node, attempt(1)), Some(call));
    assert_eq!(in_flight.take_answered(node, attempt(1)), None);
    assert_eq!(in_flight.unanswered_by(node), vec![attempt(2), attempt(3), attempt(4)]);
    assert_eq!(in_flight.next_wake_us(), Some(200));
    assert_eq!(
        in_flight.expire(200),
        vec![AbandonedAttempt { attempt: attempt(2), to: node, call }]
    );
    assert_eq!(in_flight.take_answered(node, attempt(2)), None);
    assert_eq!(in_flight.close(other_call).len(), 2);
    assert_eq!(in_flight.take_answered(node, attempt(4)), None);
    assert!(in_flight.is_empty() && in_flight.unanswered_by(node).is_empty());
}
