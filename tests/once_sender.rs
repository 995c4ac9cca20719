//! Keys for requests that came without one, and answers matched to calls.

use aspenspring::call::{AttemptId, Doubt, NodeId, Verdict};
use aspenspring::once::{
    CallToken, Fingerprint, GivenUp, Ledger, LedgerOptions, Offer, SenderBook, mint,
    mint_for_request,
};

#[test]
fn key_minted_for_a_request_is_forgotten_soon() {
    let options = LedgerOptions::builder().key_ttl_ms(3_600_000).skew_max_ms(1_000).build();
    let (owner, now_unix_ms) = (NodeId(1), 1_000_000_000);
    let key = mint_for_request(owner, now_unix_ms, 7, 5_000, &options);
    let attempt = AttemptId { origin: NodeId(2), sequence: 1, nonce: 0 };
    let mut ledger = Ledger::new(owner, options);
    // The owner's clock is ahead by the most that is allowed, and the request took its time.
    let late_unix_ms = now_unix_ms + 1_000 + 5_000;
    assert_eq!(ledger.offer(late_unix_ms, key, Fingerprint(1), attempt), Offer::Run);
    ledger.finished(key, attempt, &Verdict::MayHaveRun(Doubt::Timeout));
    ledger.expire(now_unix_ms + 6_999);
    assert_eq!(ledger.len(), 1);
    ledger.expire(now_unix_ms + 7_000);
    assert_eq!(ledger.len(), 0);
    let asked_for = mint(owner, now_unix_ms, 8);
    assert_eq!(ledger.offer(late_unix_ms, asked_for, Fingerprint(1), attempt), Offer::Run);
}

#[test]
fn answers_reach_their_own_call_once_and_from_the_right_node() {
    let attempt = |sequence| AttemptId { origin: NodeId(1), sequence, nonce: 0 };
    let (call, other) = (CallToken(1), CallToken(2));
    let (node, stranger) = (NodeId(8), NodeId(9));
    let mut book = SenderBook::default();
    for (sequence, token) in [(1, call), (2, call), (3, other), (4, other)] {
        book.sent(attempt(sequence), node, token, 100 * sequence);
    }
    assert_eq!(book.answered(stranger, attempt(1)), None);
    assert_eq!(book.answered(node, attempt(1)), Some(call));
    assert_eq!(book.answered(node, attempt(1)), None);
    assert_eq!(book.unanswered_by(node), vec![attempt(2), attempt(3), attempt(4)]);
    assert_eq!(book.next_wake_us(), Some(200));
    assert_eq!(book.expire(200), vec![GivenUp { attempt: attempt(2), to: node, call }]);
    assert_eq!(book.answered(node, attempt(2)), None);
    assert_eq!(book.close(other).len(), 2);
    assert_eq!(book.answered(node, attempt(4)), None);
    assert!(book.is_empty() && book.unanswered_by(node).is_empty());
}
