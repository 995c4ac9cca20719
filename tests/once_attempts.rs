//! Tests the attempt table, and the verdict of a request with several attempts.

use aspenspring::call::{AttemptId, Doubt, HttpAnswer, NodeId, Refusal, RefusalReason, Verdict};
use aspenspring::once::{
    Arrival, AttemptTable, AttemptTableOptions, FenceReply, Outcome, ReturnPath, external_verdict,
};

const DEADLINE_US: u64 = 1_000;
const RETENTION_US: u64 = 500;
const PATH: ReturnPath = ReturnPath(1);
const OTHER_PATH: ReturnPath = ReturnPath(2);

fn table() -> AttemptTable {
    AttemptTable::new(AttemptTableOptions::builder().retention_us(RETENTION_US).build())
}

fn attempt(sequence: u64) -> AttemptId {
    AttemptId { origin: NodeId(9), sequence, nonce: 0 }
}

fn answer() -> Verdict {
    Verdict::Answered(HttpAnswer { status: 200, headers: Vec::new(), body: vec![1; 64].into() })
}

fn refused(reason: RefusalReason) -> Arrival {
    Arrival::Refused(Refusal { reason, retry_after_ms: 0 })
}

fn answer_forgotten() -> Verdict {
    Verdict::MayHaveRun(Doubt::AnswerForgotten)
}

#[test]
fn repeated_attempt_gets_the_first_verdict() {
    let mut table = table();
    assert_eq!(table.arrive(0, attempt(1), DEADLINE_US, PATH), Arrival::New);
    assert_eq!(table.arrive(1, attempt(1), DEADLINE_US, OTHER_PATH), Arrival::InProgress);
    assert_eq!(table.in_progress(), 1);
    assert_eq!(table.settle(2, attempt(1), &answer()), vec![PATH, OTHER_PATH]);
    assert_eq!(table.settle(3, attempt(1), &answer_forgotten()), Vec::new());
    assert_eq!(table.in_progress(), 0);
    assert_eq!(table.arrive(4, attempt(1), DEADLINE_US, PATH), Arrival::Repeat(answer()));
    let reply = table.fence(5, attempt(1), DEADLINE_US, PATH);
    assert_eq!(reply, FenceReply::Settled(answer()));
}

#[test]
fn fenced_attempt_never_runs_however_late_it_arrives() {
    let mut table = table();
    assert_eq!(table.fence(0, attempt(5), DEADLINE_US, PATH), FenceReply::NowFenced);
    assert_eq!(
        table.fence(0, attempt(5), DEADLINE_US, PATH).clone(),
        FenceReply::Settled(Verdict::not_run(RefusalReason::Fenced, 0))
    );
    let late = refused(RefusalReason::Fenced);
    assert_eq!(table.arrive(1, attempt(5), DEADLINE_US, PATH), late);
    table.expire(DEADLINE_US + RETENTION_US);
    assert!(table.is_empty());
    assert_eq!(table.arrive(1 << 40, attempt(5), 2 << 40, PATH), late);
    assert_eq!(table.arrive(1 << 40, attempt(6), 2 << 40, PATH), Arrival::New);
}

#[test]
fn expired_attempt_neither_runs_again_nor_is_reported_not_run() {
    let mut table = table();
    assert_eq!(table.arrive(0, attempt(1), DEADLINE_US, PATH), Arrival::New);
    table.settle(1, attempt(1), &answer());
    assert_eq!(table.fence(1, attempt(7), DEADLINE_US, PATH), FenceReply::NowFenced);
    assert_eq!(table.next_wake_us(), Some(DEADLINE_US + RETENTION_US));
    table.expire(DEADLINE_US + RETENTION_US);
    assert!(table.is_empty());
    let late_us = 1 << 40;
    assert_eq!(
        table.arrive(late_us, attempt(1), late_us, PATH),
        Arrival::Repeat(answer_forgotten())
    );
    let reply = table.fence(late_us, attempt(1), late_us, PATH);
    assert_eq!(reply, FenceReply::Settled(answer_forgotten()));
}

#[test]
fn attempt_in_progress_is_not_forgotten() {
    let mut table = table();
    assert_eq!(table.arrive(0, attempt(1), DEADLINE_US, PATH), Arrival::New);
    table.expire(1 << 40);
    assert_eq!(table.arrive(1 << 40, attempt(1), 2 << 40, OTHER_PATH), Arrival::InProgress);
    let reply = table.fence(1 << 40, attempt(1), 2 << 40, OTHER_PATH);
    assert_eq!(reply, FenceReply::InProgress);
    assert_eq!(table.settle(1 << 40, attempt(1), &answer()), vec![PATH, OTHER_PATH]);
}

#[test]
fn full_table_refuses_permanently() {
    let options = AttemptTableOptions::builder().retention_us(RETENTION_US).entries_max(1).build();
    let mut table = AttemptTable::new(options);
    assert_eq!(table.arrive(0, attempt(1), DEADLINE_US, PATH), Arrival::New);
    let full = refused(RefusalReason::NodeFull);
    assert_eq!(table.arrive(1, attempt(2), DEADLINE_US, PATH), full);
    assert_eq!(table.fence(1, attempt(3), DEADLINE_US, PATH), FenceReply::NowFenced);
    table.settle(2, attempt(1), &answer());
    table.expire(DEADLINE_US + RETENTION_US);
    let late_us = 1 << 40;
    for sequence in 2..=3 {
        let arrival = table.arrive(late_us, attempt(sequence), late_us, PATH);
        assert_eq!(arrival, refused(RefusalReason::Fenced));
    }
    assert_eq!(table.arrive(late_us, attempt(4), late_us, PATH), Arrival::New);
}

#[test]
fn evicted_refusals_stay_refused() {
    let options = AttemptTableOptions::builder().retention_us(RETENTION_US).entries_max(2).build();
    let mut table = AttemptTable::new(options);
    let shed = Verdict::not_run(RefusalReason::Shed, 0);
    assert_eq!(table.arrive(0, attempt(1), DEADLINE_US, PATH), Arrival::New);
    for sequence in 2..=5 {
        assert_eq!(table.arrive(0, attempt(sequence), DEADLINE_US, PATH), Arrival::New);
        table.settle(0, attempt(sequence), &shed);
    }
    assert_eq!(table.len(), 2);
    for sequence in 2..=4 {
        let arrival = table.arrive(1, attempt(sequence), DEADLINE_US, PATH);
        assert_eq!(arrival, refused(RefusalReason::Fenced));
    }
    assert_eq!(table.arrive(1, attempt(5), DEADLINE_US, PATH), refused(RefusalReason::Shed));
    assert_eq!(table.settle(1, attempt(1), &answer()), vec![PATH]);
}

#[test]
fn unknown_origins_stay_refused_while_a_refused_frame_may_arrive_again() {
    let options = AttemptTableOptions::builder().origins_max(1).origin_idle_us(1_000).build();
    let mut table = AttemptTable::new(options);
    assert_eq!(table.arrive(0, attempt(1), 10, PATH), Arrival::New);
    let unknown = AttemptId { origin: NodeId(10), sequence: 1, nonce: 0 };
    assert_eq!(table.fence(900, unknown, 10, PATH), FenceReply::NowFenced);
    table.expire_idle_origins(1_000);
    let full = refused(RefusalReason::NodeFull);
    assert_eq!(table.arrive(1_001, unknown, 2_000, PATH), full);
}

#[test]
fn dropped_answer_is_reported_as_may_have_run() {
    let options = AttemptTableOptions::builder().answers_max_bytes(0).build();
    let mut table = AttemptTable::new(options);
    assert_eq!(table.arrive(0, attempt(1), DEADLINE_US, PATH), Arrival::New);
    table.settle(1, attempt(1), &answer());
    let reply = table.fence(2, attempt(1), DEADLINE_US, PATH);
    assert_eq!(reply, FenceReply::Settled(answer_forgotten()));
}

#[test]
fn request_was_not_run_only_if_no_attempt_was() {
    let shed = Verdict::not_run(RefusalReason::Shed, 0);
    let lost = Verdict::MayHaveRun(Doubt::ConnectionLost);
    let mut outcome = Outcome::default();
    outcome.record(attempt(1), &lost);
    outcome.record(attempt(2), &shed);
    assert_eq!(outcome.conclude(shed.clone()), lost);
    // A late reply to the fence shows that the first attempt did not run.
    outcome.record(attempt(1), &Verdict::not_run(RefusalReason::Fenced, 0));
    assert_eq!(outcome.conclude(shed.clone()), shed);
    assert_eq!(outcome.conclude(answer()), answer());
}

#[test]
fn delegated_key_is_not_reported_as_not_run_to_the_caller() {
    let moved = Verdict::not_run(RefusalReason::KeyDelegated(NodeId(3)), 0);
    assert_eq!(external_verdict(moved), Verdict::MayHaveRun(Doubt::KeyOwnerGone));
    let shed = Verdict::not_run(RefusalReason::Shed, 0);
    assert_eq!(external_verdict(shed.clone()), shed);
}

/// With a smaller table, a node would refuse calls although it has CPU time left.
#[test]
fn default_limits_have_room_for_ten_thousand_answers_per_second() {
    let mut table = AttemptTable::new(AttemptTableOptions::builder().build());
    for sequence in 0..160_000 {
        let now_us = sequence * 100;
        table.expire(now_us);
        let arrival = table.arrive(now_us, attempt(sequence), now_us + 2_000_000, PATH);
        assert_eq!(arrival, Arrival::New, "attempt {sequence}");
        table.settle(now_us + 5_000, attempt(sequence), &answer());
    }
}
