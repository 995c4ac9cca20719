//! Tests the limits on retries and which verdicts permit one.

use aspenspring::call::{HttpAnswer, NodeId, RefusalReason, RootId, Verdict};
use aspenspring::config::RetryRule;
use aspenspring::retry::{
    AttemptHistory, Failure, RetryBudget, RetryStep, RootAllowances, next_step,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const DEADLINE_US: u64 = 1_000_000;

fn bounded(allowance: u8) -> RetryRule {
    RetryRule::Bounded { allowance, budget_share: 0.1, backoff_ms: 5, backoff_max_ms: 100 }
}

fn step(rule: &RetryRule, verdict: &Verdict, at_most_once: bool) -> RetryStep {
    let failure = Failure::builder()
        .verdict(verdict)
        .at_most_once(at_most_once)
        .retry(0)
        .now_us(0)
        .deadline_us(DEADLINE_US)
        .expected_latency_us(1_000)
        .other_target_open(false)
        .build();
    next_step(rule, &failure, &mut SmallRng::seed_from_u64(1))
}

fn answered(status: u16) -> Verdict {
    Verdict::Answered(HttpAnswer { status, headers: Vec::new(), body: Default::default() })
}

#[test]
fn an_allowance_cannot_be_refilled_nor_outlive_its_deadline() {
    let mut allowances = RootAllowances::new();
    let root = RootId(7);
    allowances.open(0, root, 2, DEADLINE_US);
    assert!(allowances.take(1, root));
    allowances.open(2, root, 2, DEADLINE_US);
    assert!(allowances.take(3, root));
    assert!(!allowances.take(4, root), "opening twice refilled the allowance");
    let late = RootId(8);
    allowances.open(5, late, 2, DEADLINE_US);
    assert!(!allowances.take(DEADLINE_US, late), "granted at the deadline");
    allowances.expire(DEADLINE_US);
    assert_eq!(allowances.len(), 0);
}

#[test]
fn an_idle_node_may_retry_once_and_then_must_earn_it() {
    let mut budget = RetryBudget::new(0.1);
    assert!(budget.try_take(0));
    assert!(!budget.try_take(1));
    for _ in 0..10 {
        budget.on_success(1);
    }
    assert!(budget.try_take(1));
    assert!(!budget.try_take(1));
}

#[test]
fn an_at_most_once_request_is_repeated_only_where_it_did_not_run() {
    let doubt = Verdict::MayHaveRun(aspenspring::call::Doubt::ConnectionLost);
    let refused = Verdict::not_run(RefusalReason::QueueFull, 10);
    for rule in [bounded(3), RetryRule::Naive { retries: 3 }] {
        assert_eq!(step(&rule, &doubt, true), RetryStep::Never);
        assert_eq!(step(&rule, &answered(503), true), RetryStep::Never);
        assert_ne!(step(&rule, &refused, true), RetryStep::Never);
        assert_ne!(step(&rule, &doubt, false), RetryStep::Never);
        assert_eq!(step(&rule, &answered(404), false), RetryStep::Never);
    }
}

#[test]
fn a_refusal_of_the_whole_service_is_not_retried_here() {
    let shed = Verdict::not_run(RefusalReason::Shed, 100);
    assert_eq!(step(&bounded(3), &shed, false), RetryStep::Never);
    let leaving = Verdict::not_run(RefusalReason::Leaving, 0);
    assert_eq!(step(&bounded(3), &leaving, true), RetryStep::AfterGrant { backoff_us: 0 });
}

#[test]
fn a_key_that_was_used_for_another_request_is_not_tried_again() {
    let mismatch = Verdict::not_run(RefusalReason::KeyMismatch, 0);
    for rule in [bounded(3), RetryRule::Naive { retries: 3 }] {
        assert_eq!(step(&rule, &mismatch, true), RetryStep::Never);
    }
    let inherited = Verdict::not_run(RefusalReason::KeyInherited(NodeId(1)), 0);
    assert_eq!(step(&bounded(3), &inherited, true), RetryStep::AfterGrant { backoff_us: 0 });
}

#[test]
fn a_hop_is_not_run_only_when_none_of_its_attempts_may_have_run() {
    let refused = Verdict::not_run(RefusalReason::NoTarget, 10);
    let doubt = Verdict::MayHaveRun(aspenspring::call::Doubt::ConnectionLost);
    let mut history = AttemptHistory::default();
    history.note(&refused);
    assert_eq!(history.conclude(refused.clone()), refused);
    history.note(&doubt);
    history.note(&refused);
    assert_eq!(history.conclude(refused.clone()), doubt);
    history.note(&doubt);
    assert_eq!(history.conclude(answered(200)), answered(200));
    history.note(&answered(503));
    assert_eq!(history.conclude(refused), answered(503));
}
