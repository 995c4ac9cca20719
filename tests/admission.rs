//! The admission's rules, one by one, through its public interface.

use aspenspring::admission::{Admission, Cancelled, Candidate, Decision, End, TargetState};
use aspenspring::call::{ArmId, AttemptId, ClassRank, Level, NodeId, RefusalReason};
use aspenspring::config::Rules;

const FAR_US: u64 = 60_000_000;
const OK: End = End::Answered { latency_us: 10_000, healthy: true };

fn rules(limit: &str) -> Rules {
    let text = format!(
        r#"{{"classes": [], "routes": [],
        "services": [{{"name": "s", "slots": 2, "connections": 20, "warm_up_ms": 1000}}],
        "arms": [{{"id": 0, "name": "a", "share": 1.0, "policy": "p"}}],
        "policies": [{{"name": "p", "limit": {limit}, "queue_share": 1.0,
            "retry": {{"kind": "none"}}, "choice": "least_loaded"}}]}}"#
    );
    serde_json::from_str(&text).expect("the rules are well formed")
}

fn serving(limit: &str, slots: u32) -> Admission {
    let mut admission = Admission::new(0, &rules(limit), "s");
    admission.set_target(0, TargetState::Serving, slots, 20);
    admission.poll(0, &mut Vec::new());
    admission
}

fn attempt(sequence: u64) -> AttemptId {
    AttemptId { origin: NodeId(1), sequence, nonce: 7 }
}

fn call(sequence: u64, level: u16, deadline_us: u64) -> Candidate {
    Candidate { attempt: attempt(sequence), arm: ArmId(0), level: Level(level), deadline_us }
}

fn ran(out: &[Decision]) -> Vec<u64> {
    let runs = out.iter().filter(|decision| matches!(decision, Decision::Run { .. }));
    runs.map(|decision| decision.attempt().sequence).collect()
}

fn refused(out: &[Decision]) -> Vec<(u64, RefusalReason)> {
    let mut refused = Vec::new();
    for decision in out {
        let Decision::Refuse { attempt, refusal } = decision else {
            continue;
        };
        refused.push((attempt.sequence, refusal.reason));
    }
    refused
}

#[test]
fn waiting_calls_run_by_level_then_deadline_and_the_lowest_is_pushed_out() {
    let mut admission = serving(r#"{"kind": "static"}"#, 2);
    let mut out = Vec::new();
    for (sequence, level, deadline_us) in
        [(1, 5, FAR_US), (2, 5, FAR_US), (3, 5, FAR_US), (4, 6, FAR_US), (5, 6, FAR_US - 1)]
    {
        admission.offer(0, call(sequence, level, deadline_us), &mut out);
    }
    assert_eq!(ran(&out), [1, 2]);
    assert_eq!(refused(&out), [(3, RefusalReason::QueueFull)]);
    out.clear();
    admission.finish(1_000, attempt(1), OK, &mut out);
    admission.finish(1_000, attempt(2), OK, &mut out);
    assert_eq!(ran(&out), [5, 4]);
}

#[test]
fn an_expired_call_never_runs_and_the_machine_wakes_for_it() {
    let mut admission = serving(r#"{"kind": "static"}"#, 1);
    let mut out = Vec::new();
    admission.offer(0, call(1, 1, FAR_US), &mut out);
    admission.offer(0, call(2, 1, 5_000), &mut out);
    admission.offer(100, call(3, 1, 100), &mut out);
    assert_eq!(ran(&out), [1]);
    assert_eq!(refused(&out), [(3, RefusalReason::Expired)]);
    let wake_us = admission.next_wake_us().expect("a call waits");
    assert!(wake_us <= 5_000);
    out.clear();
    admission.poll(wake_us.max(5_000), &mut out);
    assert_eq!(refused(&out), [(2, RefusalReason::Expired)]);
}

#[test]
fn cancelling_frees_the_place_at_once_but_the_slot_only_at_the_end() {
    let mut admission = serving(r#"{"kind": "static"}"#, 1);
    let mut out = Vec::new();
    for sequence in 1..=2 {
        admission.offer(0, call(sequence, 1, FAR_US), &mut out);
    }
    out.clear();
    assert_eq!(admission.cancel(0, attempt(2), &mut out), Cancelled::WasQueued);
    assert_eq!(refused(&out), [(2, RefusalReason::Cancelled)]);
    assert_eq!(admission.cancel(0, attempt(2), &mut out), Cancelled::Unknown);
    assert_eq!(admission.cancel(0, attempt(1), &mut out), Cancelled::IsRunning);
    assert_eq!(admission.load(0, ArmId(0), ClassRank(0)).running, 1);
    admission.finish(0, attempt(1), End::Cancelled, &mut out);
    assert_eq!(admission.load(0, ArmId(0), ClassRank(0)).running, 0);
}

#[test]
fn a_target_that_leaves_or_is_gone_refuses_what_waits_and_what_comes() {
    for (state, reason) in [
        (TargetState::Draining, RefusalReason::Leaving),
        (TargetState::Down, RefusalReason::NotReady),
    ] {
        let mut admission = serving(r#"{"kind": "static"}"#, 1);
        let mut out = Vec::new();
        admission.offer(0, call(1, 1, FAR_US), &mut out);
        admission.offer(0, call(2, 1, FAR_US), &mut out);
        out.clear();
        admission.set_target(10, state, 1, 20);
        assert_eq!(admission.next_wake_us(), Some(10));
        admission.poll(10, &mut out);
        admission.offer(10, call(3, 1, FAR_US), &mut out);
        assert_eq!(refused(&out), [(2, reason), (3, reason)]);
        assert_eq!(admission.load(0, ArmId(0), ClassRank(0)).running, 1);
    }
}

#[test]
fn a_cold_target_is_given_its_slots_by_and_by() {
    let mut admission = serving(r#"{"kind": "static"}"#, 10);
    admission.set_target(0, TargetState::Warming { since_us: 0 }, 10, 20);
    let mut out = Vec::new();
    for sequence in 0..12 {
        admission.offer(0, call(sequence, 1, FAR_US), &mut out);
    }
    assert_eq!(ran(&out).len(), 1);
    admission.poll(500_000, &mut out);
    let half = admission.load(500_000, ArmId(0), ClassRank(0));
    assert!(half.limit >= 5 && half.limit <= 7, "{half:?}");
    admission.poll(1_000_000, &mut out);
    assert_eq!(admission.load(1_000_000, ArmId(0), ClassRank(0)).limit, 10);
}

#[test]
fn without_control_everything_runs() {
    let mut admission = serving(r#"{"kind": "none"}"#, 1);
    let mut out = Vec::new();
    for sequence in 0..500 {
        admission.offer(0, call(sequence, 1, FAR_US), &mut out);
    }
    assert_eq!(ran(&out).len(), 500);
}

#[test]
fn floors_from_further_down_are_told_and_fade() {
    let mut admission = serving(r#"{"kind": "static"}"#, 1);
    admission.note_downstream(0, ArmId(0), ClassRank(1), "t", Level(0x180));
    let floor = |now_us, rank| admission.load(now_us, ArmId(0), ClassRank(rank)).floor;
    assert_eq!(floor(100_000, 1), Level(0x180));
    assert_eq!(floor(100_000, 2), Level::LOWEST);
    assert!(floor(600_000, 1) < Level(0x180));
    assert_eq!(floor(1_000_000, 1), Level::LOWEST);
}
