//! Tests the ledger: runs, expiry, limits, delegation and handover.

use aspenspring::call::{
    AttemptId, Doubt, HttpAnswer, Key, KeyLifetime, NodeId, RefusalReason, Verdict,
};
use aspenspring::once::{
    AdoptError, DelegateError, Fingerprint, Handover, HandoverError, Ledger, LedgerOptions, Offer,
};

const OWNER: NodeId = NodeId(1);
const SUCCESSOR: NodeId = NodeId(2);
const NOW_UNIX_MS: u64 = 1_000_000_000;
const TTL_MS: u64 = 60_000;
const REQUEST_TTL_MS: u64 = 10_000;
const REQUEST: Fingerprint = Fingerprint(7);
const HANDOVER_MAX_BYTES: usize = 1 << 20;

fn ledger() -> Ledger {
    ledger_of(OWNER)
}

fn ledger_of(owner: NodeId) -> Ledger {
    let options = LedgerOptions::builder()
        .key_ttl_ms(TTL_MS)
        .request_key_ttl_ms(REQUEST_TTL_MS)
        .skew_max_ms(1_000)
        .build();
    Ledger::new(owner, options)
}

fn key(nonce: u64) -> Key {
    Key { owner: OWNER, minted_unix_ms: NOW_UNIX_MS, nonce }
}

fn attempt(sequence: u64) -> AttemptId {
    AttemptId { origin: NodeId(50), sequence, nonce: 0 }
}

fn answer(length: usize) -> Verdict {
    let body = vec![b'x'; length].into();
    Verdict::Answered(HttpAnswer { status: 201, headers: Vec::new(), body })
}

fn not_run(reason: RefusalReason) -> Offer {
    Offer::Settled(Verdict::not_run(reason, 0))
}

fn doubt(doubt: Doubt) -> Offer {
    Offer::Settled(Verdict::MayHaveRun(doubt))
}

fn offer(ledger: &mut Ledger, key: Key, sequence: u64) -> Offer {
    ledger.offer(NOW_UNIX_MS, key, REQUEST, attempt(sequence))
}

#[test]
fn repeats_join_then_get_the_recorded_answer() {
    let mut ledger = ledger();
    assert_eq!(offer(&mut ledger, key(1), 1), Offer::Run);
    assert_eq!(offer(&mut ledger, key(1), 2), Offer::Joined);
    assert_eq!(offer(&mut ledger, key(1), 3), Offer::Joined);
    ledger.abandon_waiter(key(1), attempt(2));
    assert_eq!(ledger.finished(key(1), attempt(1), &answer(3)), vec![attempt(3)]);
    assert_eq!(offer(&mut ledger, key(1), 4), Offer::Settled(answer(3)));
}

#[test]
fn only_a_refusal_of_the_running_attempt_frees_the_key() {
    let mut ledger = ledger();
    assert_eq!(offer(&mut ledger, key(1), 1), Offer::Run);
    assert_eq!(offer(&mut ledger, key(1), 2), Offer::Joined);
    assert_eq!(ledger.refused(key(1), attempt(2)), Vec::new());
    assert_eq!(offer(&mut ledger, key(1), 3), Offer::Joined);
    assert_eq!(ledger.refused(key(1), attempt(1)), vec![attempt(2), attempt(3)]);
    assert_eq!(offer(&mut ledger, key(1), 4), Offer::Run);
    // A repeated refusal of the first attempt does not free the key, which another attempt runs
    // now.
    assert_eq!(ledger.refused(key(1), attempt(1)), Vec::new());
    assert_eq!(offer(&mut ledger, key(1), 5), Offer::Joined);
}

#[test]
fn doubt_is_recorded() {
    let mut ledger = ledger();
    assert_eq!(offer(&mut ledger, key(1), 1), Offer::Run);
    ledger.finished(key(1), attempt(1), &Verdict::MayHaveRun(Doubt::TargetBroke));
    assert_eq!(offer(&mut ledger, key(1), 2), doubt(Doubt::TargetBroke));
}

#[test]
fn key_of_another_owner_never_runs() {
    let mut ledger = ledger();
    let elsewhere = Key { owner: SUCCESSOR, ..key(1) };
    assert_eq!(offer(&mut ledger, elsewhere, 1), doubt(Doubt::KeyElsewhere));
}

#[test]
fn old_and_future_keys_do_not_run() {
    let mut ledger = ledger();
    let old = Key { minted_unix_ms: NOW_UNIX_MS - TTL_MS, ..key(1) };
    assert_eq!(offer(&mut ledger, old, 1), doubt(Doubt::KeyExpired));
    let future = Key { minted_unix_ms: NOW_UNIX_MS + 1_001, ..key(1) };
    assert_eq!(offer(&mut ledger, future, 2), not_run(RefusalReason::KeyInvalid));
    let ahead = Key { minted_unix_ms: NOW_UNIX_MS + 1_000, ..key(1) };
    assert_eq!(offer(&mut ledger, ahead, 3), Offer::Run);
}

#[test]
fn expired_key_never_runs_again() {
    let mut ledger = ledger();
    assert_eq!(offer(&mut ledger, key(1), 1), Offer::Run);
    assert_eq!(offer(&mut ledger, key(2), 2), Offer::Run);
    ledger.finished(key(1), attempt(1), &answer(3));
    assert_eq!(ledger.next_wake_us(5, NOW_UNIX_MS), Some(5 + TTL_MS * 1_000));
    ledger.expire(NOW_UNIX_MS + TTL_MS - 1);
    assert_eq!(ledger.len(), 2);
    ledger.expire(NOW_UNIX_MS + TTL_MS);
    assert_eq!(ledger.len(), 1, "the running key stays");
    // The key stays behind the horizon even if the clock passed to the ledger goes back.
    assert_eq!(offer(&mut ledger, key(1), 3), doubt(Doubt::KeyExpired));
    assert_eq!(ledger.finished(key(2), attempt(2), &answer(3)), Vec::new());
    ledger.expire(NOW_UNIX_MS + TTL_MS);
    assert_eq!((ledger.len(), ledger.approx_bytes()), (0, 0));
}

#[test]
fn key_for_one_request_expires_early() {
    let mut ledger = ledger();
    let short = Key::mint(OWNER, NOW_UNIX_MS, 1, KeyLifetime::OneRequest);
    assert_eq!(short.delegated_to(SUCCESSOR).lifetime(), KeyLifetime::OneRequest);
    assert_eq!(key(1).delegated_to(SUCCESSOR).lifetime(), KeyLifetime::Caller);
    for (sequence, key) in [(1, short), (2, key(1))] {
        assert_eq!(offer(&mut ledger, key, sequence), Offer::Run);
        ledger.finished(key, attempt(sequence), &answer(1));
    }
    assert_eq!(ledger.next_wake_us(5, NOW_UNIX_MS), Some(5 + REQUEST_TTL_MS * 1_000));
    ledger.expire(NOW_UNIX_MS + REQUEST_TTL_MS);
    assert_eq!(ledger.len(), 1);
    assert_eq!(offer(&mut ledger, short, 3), doubt(Doubt::KeyExpired));
    assert_eq!(offer(&mut ledger, key(1), 4), Offer::Settled(answer(1)));
}

#[test]
fn full_ledger_expires_the_oldest_keys_early_and_never_runs_them_again() {
    let options = LedgerOptions::builder().entries_max(2).key_ttl_min_ms(1_000).build();
    let mut ledger = Ledger::new(OWNER, options);
    let later = |nonce, ms| Key { minted_unix_ms: NOW_UNIX_MS + ms, ..key(nonce) };
    for (sequence, key) in [(1, later(1, 0)), (2, later(2, 5)), (3, later(3, 1_001))] {
        let unix_ms = NOW_UNIX_MS + 1_001;
        assert_eq!(ledger.offer(unix_ms, key, REQUEST, attempt(sequence)), Offer::Run);
        ledger.finished(key, attempt(sequence), &answer(1));
    }
    assert_eq!(ledger.len(), 2);
    assert_eq!(offer(&mut ledger, later(1, 0), 4), doubt(Doubt::KeyExpired));
    assert_eq!(offer(&mut ledger, later(2, 5), 5), Offer::Settled(answer(1)));
    // A key with the same minting time as the removed one cannot be told apart from it.
    assert_eq!(offer(&mut ledger, later(9, 0), 6), doubt(Doubt::KeyExpired));
}

#[test]
fn full_ledger_refuses_new_keys_and_keeps_young_ones() {
    let options = LedgerOptions::builder().entries_max(2).build();
    let mut ledger = Ledger::new(OWNER, options);
    for nonce in 1..=2 {
        assert_eq!(offer(&mut ledger, key(nonce), nonce), Offer::Run);
        ledger.finished(key(nonce), attempt(nonce), &answer(1));
    }
    assert_eq!(offer(&mut ledger, key(3), 3), not_run(RefusalReason::NodeFull));
    assert_eq!(ledger.delegate(NOW_UNIX_MS, key(3), SUCCESSOR), Err(DelegateError::Full));
    assert_eq!(offer(&mut ledger, key(1), 4), Offer::Settled(answer(1)));
}

#[test]
fn dropped_answer_is_reported_as_may_have_run() {
    let options = LedgerOptions::builder().answers_max_bytes(3_000).build();
    let mut ledger = Ledger::new(OWNER, options);
    for nonce in 1..=3 {
        assert_eq!(offer(&mut ledger, key(nonce), nonce), Offer::Run);
        ledger.finished(key(nonce), attempt(nonce), &answer(1_200));
    }
    assert_eq!(offer(&mut ledger, key(1), 4), doubt(Doubt::AnswerForgotten));
    assert_eq!(offer(&mut ledger, key(3), 5), Offer::Settled(answer(1_200)));
}

#[test]
fn key_with_another_request_is_refused() {
    let mut ledger = ledger();
    assert_eq!(offer(&mut ledger, key(1), 1), Offer::Run);
    let other = ledger.offer(NOW_UNIX_MS, key(1), Fingerprint(8), attempt(2));
    assert_eq!(other, not_run(RefusalReason::KeyMismatch));
}

#[test]
fn delegation_is_permanent() {
    let mut ledger = ledger();
    let delegated = key(1).delegated_to(SUCCESSOR);
    assert_eq!(ledger.delegate(NOW_UNIX_MS, key(1), SUCCESSOR), Ok(delegated));
    assert_eq!(ledger.delegate(NOW_UNIX_MS, key(1), SUCCESSOR), Ok(delegated));
    let other = ledger.delegate(NOW_UNIX_MS, key(1), NodeId(3));
    assert_eq!(other, Err(DelegateError::AlreadyDelegated(SUCCESSOR)));
    assert_eq!(offer(&mut ledger, key(1), 1), not_run(RefusalReason::KeyDelegated(SUCCESSOR)));
    let mut successor = ledger_of(SUCCESSOR);
    assert_eq!(offer(&mut successor, delegated, 2), Offer::Run);
    assert_eq!(offer(&mut successor, key(1), 3), doubt(Doubt::KeyElsewhere));
}

#[test]
fn key_that_may_have_run_is_not_delegated() {
    let mut ledger = ledger();
    assert_eq!(offer(&mut ledger, key(1), 1), Offer::Run);
    assert_eq!(ledger.delegate(NOW_UNIX_MS, key(1), SUCCESSOR), Err(DelegateError::MayHaveRun));
    ledger.finished(key(1), attempt(1), &answer(1));
    assert_eq!(ledger.delegate(NOW_UNIX_MS, key(1), SUCCESSOR), Err(DelegateError::MayHaveRun));
    assert_eq!(ledger.delegate(NOW_UNIX_MS, key(2), OWNER), Err(DelegateError::ToSelf));
    let elsewhere = Key { owner: SUCCESSOR, ..key(3) };
    assert_eq!(ledger.delegate(NOW_UNIX_MS, elsewhere, NodeId(3)), Err(DelegateError::NotHeld));
    let late_unix_ms = NOW_UNIX_MS + TTL_MS;
    assert_eq!(ledger.delegate(late_unix_ms, key(2), SUCCESSOR), Err(DelegateError::NotValid));
}

#[test]
fn successor_answers_and_runs_the_keys_of_the_leaving_node() {
    let (mut leaving, mut successor) = (ledger(), ledger_of(SUCCESSOR));
    assert_eq!(offer(&mut leaving, key(1), 1), Offer::Run);
    assert_eq!(
        leaving.hand_over(SUCCESSOR, HANDOVER_MAX_BYTES),
        Err(HandoverError::StillRunning(1))
    );
    leaving.finished(key(1), attempt(1), &answer(3));
    let encoded = leaving.hand_over(SUCCESSOR, HANDOVER_MAX_BYTES).unwrap();
    assert_eq!(leaving.hand_over(SUCCESSOR, HANDOVER_MAX_BYTES), Ok(encoded.clone()));
    let other = leaving.hand_over(NodeId(3), HANDOVER_MAX_BYTES);
    assert_eq!(other, Err(HandoverError::AlreadyHandedOver(SUCCESSOR)));
    for nonce in 1..=2 {
        let refused = not_run(RefusalReason::KeyInherited(SUCCESSOR));
        assert_eq!(offer(&mut leaving, key(nonce), 2), refused);
    }
    assert_eq!(offer(&mut successor, key(2), 3), doubt(Doubt::KeyElsewhere));
    successor.adopt(NOW_UNIX_MS, Handover::decode(&encoded).unwrap()).unwrap();
    assert_eq!(offer(&mut successor, key(1), 4), Offer::Settled(answer(3)));
    assert_eq!(offer(&mut successor, key(2), 5), Offer::Run);
    successor.finished(key(2), attempt(5), &answer(4));
    successor.adopt(NOW_UNIX_MS, Handover::decode(&encoded).unwrap()).unwrap();
    assert_eq!(
        offer(&mut successor, key(2), 6),
        Offer::Settled(answer(4)),
        "changed by a repeated handover"
    );
}

#[test]
fn handover_is_for_one_successor_complete_and_bounded() {
    let mut leaving = ledger();
    for nonce in 1..=4 {
        assert_eq!(offer(&mut leaving, key(nonce), nonce), Offer::Run);
        leaving.finished(key(nonce), attempt(nonce), &answer(500));
    }
    assert!(matches!(leaving.hand_over(SUCCESSOR, 20), Err(HandoverError::TooLarge(_))));
    assert_eq!(
        offer(&mut leaving, key(1), 5),
        Offer::Settled(answer(500)),
        "the ledger stays open"
    );
    let encoded = leaving.hand_over(SUCCESSOR, 1_500).unwrap();
    assert!(encoded.len() <= 1_500);
    for length in 0..encoded.len() {
        assert_eq!(Handover::decode(&encoded[..length]), Err(AdoptError::Malformed));
    }
    let mut longer = encoded.clone();
    longer.push(0);
    assert_eq!(Handover::decode(&longer), Err(AdoptError::Malformed));
    let handover = Handover::decode(&encoded).unwrap();
    let other = ledger_of(NodeId(3)).adopt(NOW_UNIX_MS, handover.clone());
    assert_eq!(other, Err(AdoptError::OtherSuccessor(SUCCESSOR)));
    let mut successor = ledger_of(SUCCESSOR);
    successor.adopt(NOW_UNIX_MS, handover).unwrap();
    assert_eq!(offer(&mut successor, key(1), 6), doubt(Doubt::AnswerForgotten));
    assert_eq!(offer(&mut successor, key(4), 7), Offer::Settled(answer(500)));
}
