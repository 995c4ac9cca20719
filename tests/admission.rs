//! Tests the rules of admission control one by one through its public interface.

use aspenspring::admission::{Admission, CancelResult, Candidate, Decision, End, TargetState};
use aspenspring::call::{ArmId, AttemptId, ClassRank, Level, NodeId, RefusalReason};
use aspenspring::config::Rules;

const FAR_DEADLINE_US: u64 = 60_000_000;
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
    for (sequence, level, deadline_us) in [
        (1, 5, FAR_DEADLINE_US),
        (2, 5, FAR_DEADLINE_US),
        (3, 5, FAR_DEADLINE_US),
        (4, 6, FAR_DEADLINE_US),
        (5, 6, FAR_DEADLINE_US - 1),
    ] {
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
fn an_expired_call_never_runs_and_is_refused_at_its_deadline() {
    let mut admission = serving(r#"{"kind": "static"}"#, 1);
    let mut out = Vec::new();
    admission.offer(0, call(1, 1, FAR_DEADLINE_US), &mut out);
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
fn cancelling_frees_the_queue_at_once_but_the_slot_only_at_the_end() {
    let mut admission = serving(r#"{"kind": "static"}"#, 1);
    let mut out = Vec::new();
    for sequence in 1..=2 {
        admission.offer(0, call(sequence, 1, FAR_DEADLINE_US), &mut out);
    }
    out.clear();
    assert_eq!(admission.cancel(0, attempt(2), &mut out), CancelResult::WasQueued);
    assert_eq!(refused(&out), [(2, RefusalReason::Cancelled)]);
    assert_eq!(admission.cancel(0, attempt(2), &mut out), CancelResult::Unknown);
    assert_eq!(admission.cancel(0, attempt(1), &mut out), CancelResult::IsRunning);
    assert_eq!(admission.load(0, ArmId(0), ClassRank(0)).running, 1);
    admission.finish(0, attempt(1), End::Cancelled, &mut out);
    assert_eq!(admission.load(0, ArmId(0), ClassRank(0)).running, 0);
}

#[test]
fn a_draining_or_lost_target_refuses_queued_and_new_calls() {
    for (state, reason) in [
        (TargetState::Draining, RefusalReason::Leaving),
        (TargetState::Down, RefusalReason::NotReady),
    ] {
        let mut admission = serving(r#"{"kind": "static"}"#, 1);
        let mut out = Vec::new();
        admission.offer(0, call(1, 1, FAR_DEADLINE_US), &mut out);
        admission.offer(0, call(2, 1, FAR_DEADLINE_US), &mut out);
        out.clear();
        admission.set_target(10, state, 1, 20);
        assert_eq!(admission.next_wake_us(), Some(10));
        admission.poll(10, &mut out);
        admission.offer(10, call(3, 1, FAR_DEADLINE_US), &mut out);
        assert_eq!(refused(&out), [(2, reason), (3, reason)]);
        assert_eq!(admission.load(0, ArmId(0), ClassRank(0)).running, 1);
    }
}

#[test]
fn a_warming_target_gets_its_slots_gradually() {
    let mut admission = serving(r#"{"kind": "static"}"#, 10);
    admission.set_target(0, TargetState::Warming { since_us: 0 }, 10, 20);
    let mut out = Vec::new();
    for sequence in 0..12 {
        admission.offer(0, call(sequence, 1, FAR_DEADLINE_US), &mut out);
    }
    assert_eq!(ran(&out).len(), 1);
    admission.poll(500_000, &mut out);
    let half = admission.load(500_000, ArmId(0), ClassRank(0));
    assert!(half.limit >= 5 && half.limit <= 7, "{half:?}");
    admission.poll(1_000_000, &mut out);
    assert_eq!(admission.load(1_000_000, ArmId(0), ClassRank(0)).limit, 10);
}

#[test]
fn without_a_limit_everything_runs() {
    let mut admission = serving(r#"{"kind": "none"}"#, 1);
    let mut out = Vec::new();
    for sequence in 0..500 {
        admission.offer(0, call(sequence, 1, FAR_DEADLINE_US), &mut out);
    }
    assert_eq!(ran(&out).len(), 500);
}

#[test]
fn downstream_floors_are_reported_and_decay() {
    let mut admission = serving(r#"{"kind": "static"}"#, 1);
    admission.note_downstream(0, ArmId(0), ClassRank(1), "t", Level(0x180));
    let floor = |now_us, rank| admission.load(now_us, ArmId(0), ClassRank(rank)).floor;
    assert_eq!(floor(100_000, 1), Level(0x180));
    assert_eq!(floor(100_000, 2), Level::LOWEST);
    assert!(floor(600_000, 1) < Level(0x180));
    assert_eq!(floor(1_000_000, 1), Level::LOWEST);
}

fn rules_with_classes() -> Rules {
    let mut rules = rules(r#"{"kind": "gradient", "tolerance": 2.0, "smoothing": 0.2}"#);
    let class = r#"[{"name": "k", "rank": 3, "deadline_ms": 1, "deadline_max_ms": 1,
        "reserved_share": 1.0}]"#;
    rules.classes = serde_json::from_str(class).expect("the classes are well formed");
    rules
}

/// Admission control for a target with four slots that has answered one call after 10 ms.
fn with_one_answer() -> Admission {
    let mut admission = Admission::new(0, &rules_with_classes(), "s");
    admission.set_target(0, TargetState::Serving, 4, 40);
    admission.offer(0, call(9_999, 0x300, FAR_DEADLINE_US), &mut Vec::new());
    admission.finish(10_000, attempt(9_999), OK, &mut Vec::new());
    admission
}

#[test]
fn slots_stay_reserved_for_a_class_that_used_them_but_not_forever() {
    let mut admission = with_one_answer();
    let mut out = Vec::new();
    let mut now_us = 10_000;
    for sequence in 0..4 {
        admission.offer(now_us, call(sequence, 0x300, FAR_DEADLINE_US), &mut out);
    }
    // The class uses all slots for five seconds, then its calls end.
    while now_us < 5_000_000 {
        now_us += 100_000;
        admission.poll(now_us, &mut out);
    }
    for sequence in 0..4 {
        admission.finish(now_us, attempt(sequence), OK, &mut out);
    }
    out.clear();
    // The class used slightly less than four slots on average, so three are reserved and one is
    // free.
    admission.offer(now_us, call(10, 0x100, FAR_DEADLINE_US), &mut out);
    admission.offer(now_us, call(11, 0x100, FAR_DEADLINE_US), &mut out);
    assert_eq!(ran(&out), [10], "the other slots are still reserved");
    while ran(&out).len() < 2 {
        let wake_us = admission.next_wake_us().expect("a call waits");
        assert!(wake_us > now_us && wake_us < 15_000_000);
        now_us = wake_us;
        admission.poll(now_us, &mut out);
    }
    assert_eq!(ran(&out), [10, 11]);
}

#[test]
fn an_unresponsive_target_gets_only_probes_until_it_answers() {
    let mut admission = with_one_answer();
    let mut out = Vec::new();
    for sequence in 0..4 {
        admission.offer(20_000, call(sequence, 0x300, FAR_DEADLINE_US), &mut out);
    }
    // Nothing is answered for a second, and the callers cancel.
    admission.poll(1_000_000, &mut out);
    for sequence in 0..4 {
        admission.finish(1_100_000, attempt(sequence), End::Cancelled, &mut out);
    }
    out.clear();
    for sequence in 10..14 {
        admission.offer(1_200_000, call(sequence, 0x300, FAR_DEADLINE_US), &mut out);
    }
    assert_eq!(ran(&out), [10]);
    admission.finish(1_210_000, attempt(10), OK, &mut out);
    assert_eq!(ran(&out), [10, 11, 12, 13]);
}

#[test]
fn a_target_that_has_become_faster_gets_calls_with_short_deadlines_again() {
    let mut admission = with_one_answer();
    let mut out = Vec::new();
    let mut now_us = 100_000;
    // Slow answers raise the estimated minimum latency above 100 ms.
    for sequence in 0..700 {
        admission.offer(now_us, call(sequence, 0x300, u64::MAX), &mut out);
        now_us += 200_000;
        let end = End::Answered { latency_us: 200_000, healthy: true };
        admission.finish(now_us, attempt(sequence), end, &mut out);
    }
    out.clear();
    admission.offer(now_us, call(1_000, 0x300, now_us + 100_000), &mut out);
    admission.offer(now_us, call(1_001, 0x300, now_us + 100_000), &mut out);
    assert_eq!(ran(&out), [1_000], "one call runs although it seems unable to meet its deadline");
    assert_eq!(refused(&out), [(1_001, RefusalReason::Expired)]);
    admission.finish(now_us, attempt(1_000), OK, &mut out);
    for sequence in 1_002..1_200 {
        admission.offer(now_us, call(sequence, 0x300, now_us + 100_000), &mut out);
        now_us += 10_000;
        admission.finish(now_us, attempt(sequence), OK, &mut out);
    }
    out.clear();
    admission.offer(now_us, call(2_000, 0x300, now_us + 100_000), &mut out);
    admission.offer(now_us, call(2_001, 0x300, now_us + 100_000), &mut out);
    assert_eq!(ran(&out), [2_000, 2_001]);
}

#[test]
fn a_floor_falls_without_traffic_and_retry_times_are_jittered() {
    let mut admission = with_one_answer();
    let mut now_us = 20_000;
    let mut sequence = 0;
    let mut out = Vec::new();
    while now_us < 1_000_000 {
        for _ in 0..20 {
            admission.offer(
                now_us,
                call(sequence, 0x100 + (sequence % 256) as u16, FAR_DEADLINE_US),
                &mut out,
            );
            sequence += 1;
        }
        now_us += 10_000;
        for decision in std::mem::take(&mut out) {
            let Decision::Run { attempt } = decision else {
                continue;
            };
            admission.finish(now_us, attempt, OK, &mut out);
        }
    }
    let floor =
        |admission: &Admission, now_us| admission.load(now_us, ArmId(0), ClassRank(1)).floor;
    assert!(floor(&admission, now_us) > Level(0x100));
    out.clear();
    for sequence in 10_000..10_100 {
        admission.offer(now_us, call(sequence, 0x100, FAR_DEADLINE_US), &mut out);
    }
    let mut times = std::collections::BTreeSet::new();
    for decision in &out {
        let Decision::Refuse { refusal, .. } = decision else {
            continue;
        };
        assert_eq!(refusal.reason, RefusalReason::Shed);
        assert!((10..=10_000).contains(&refusal.retry_after_ms));
        times.insert(refusal.retry_after_ms);
    }
    assert!(times.len() > 50, "{times:?}");
    let end_us = now_us;
    while let Some(wake_us) = admission.next_wake_us() {
        assert!(wake_us > now_us);
        now_us = wake_us;
        admission.poll(now_us, &mut out);
        for decision in std::mem::take(&mut out) {
            admission.finish(now_us, decision.attempt(), OK, &mut out);
        }
    }
    assert_eq!(floor(&admission, now_us), Level::LOWEST);
    assert!(now_us < end_us + 2_000_000);
}
