//! Tests at-most-once execution and correct "not run" verdicts under random losses, duplicates,
//! crashes, pauses, delegations and handovers, and that each mechanism is necessary: random steps
//! violate an invariant without it.

mod once_world;

use std::cell::Cell;

use once_world::{End, EventCounts, Flaw, Invariant, Op, Trace, run_ops};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestError, TestRunner};

const CASES: u32 = 4_000;
const FLAWED_CASES: u32 = 40_000;

fn runner(cases: u32, seed: u64) -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })
}

/// The flaws that random steps detect. `CallsOutliveConnections` is not among them, as it needs far
/// more cases than a test has time for; steps that detect it are kept as a trace.
const FLAWS: [Flaw; 11] = [
    Flaw::SameIdentity,
    Flaw::EmptyHandover,
    Flaw::OpenAfterHandover,
    Flaw::UnrecordedDelegation,
    Flaw::LedgerForgets,
    Flaw::AttemptTableForgets,
    Flaw::UnrecordedFence,
    Flaw::RunsAnyKey,
    Flaw::RefusesBeforeLedger,
    Flaw::LastRefusalWins,
    Flaw::AnyIncarnationMayAnswer,
];

#[test]
fn rules_hold_under_faults() {
    let total = Cell::new(EventCounts::default());
    let result = runner(CASES, 52).run(&ops(), |ops| {
        let (counts, _) = run_ops(None, &ops).map_err(fail)?;
        let mut sum = total.get();
        add(&mut sum, counts);
        total.set(sum);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
    let total = total.get();
    println!("{CASES} cases: {total:?}");
    let counts = [
        total.runs,
        total.runs_of_delegated,
        total.runs_of_inherited,
        total.joined,
        total.recorded_answers,
        total.fenced,
        total.delegated,
        total.adopted,
        total.keys_refused,
        total.expired_keys,
        total.full_ledgers,
        total.full_attempt_tables,
        total.answers_dropped_from_ledgers,
        total.forgotten_attempts,
        total.keys_held_elsewhere,
        total.dropped_answers,
    ];
    assert!(
        counts.iter().all(|count| *count >= 100),
        "an event occurred fewer than 100 times: {total:?}"
    );
}

#[test]
fn each_mechanism_is_needed() {
    for flaw in FLAWS {
        let ops = find(flaw).unwrap_or_else(|| panic!("{flaw:?} violates no invariant"));
        assert_eq!(run_ops(Some(flaw), &ops).err(), Some(flaw.violates()), "{flaw:?}");
        let (_, expected) =
            run_ops(None, &ops).expect("the same steps satisfy all invariants without the flaw");
        let about = format!("With the flaw {flaw:?}, these steps violate {:?}.", flaw.violates());
        let trace = Trace { about, flaw: Some(flaw), expected, ops };
        println!("{}", serde_json::to_string(&trace).unwrap());
    }
}

/// Searches random steps for some that violate the flaw's invariant, and returns them shrunk as far
/// as possible.
fn find(flaw: Flaw) -> Option<Vec<Op>> {
    let result = runner(FLAWED_CASES, 53)
        .run(&ops(), |ops| run_ops(Some(flaw), &ops).map(|_| ()).map_err(fail));
    match result {
        Ok(()) => None,
        Err(TestError::Fail(_, ops)) => Some(ops),
        Err(TestError::Abort(reason)) => panic!("{reason}"),
    }
}

fn fail(invariant: Invariant) -> TestCaseError {
    TestCaseError::fail(format!("{invariant:?}"))
}

/// Adds `other` to `sum`.
fn add(sum: &mut EventCounts, other: EventCounts) {
    sum.runs += other.runs;
    sum.runs_of_delegated += other.runs_of_delegated;
    sum.runs_of_inherited += other.runs_of_inherited;
    sum.joined += other.joined;
    sum.recorded_answers += other.recorded_answers;
    sum.fenced += other.fenced;
    sum.delegated += other.delegated;
    sum.adopted += other.adopted;
    sum.keys_refused += other.keys_refused;
    sum.expired_keys += other.expired_keys;
    sum.full_ledgers += other.full_ledgers;
    sum.full_attempt_tables += other.full_attempt_tables;
    sum.answers_dropped_from_ledgers += other.answers_dropped_from_ledgers;
    sum.forgotten_attempts += other.forgotten_attempts;
    sum.keys_held_elsewhere += other.keys_held_elsewhere;
    sum.dropped_answers += other.dropped_answers;
}

/// Random steps, weighted so that requests make progress.
fn ops() -> impl Strategy<Value = Vec<Op>> {
    let end = prop_oneof![
        4 => Just(End::Answered),
        1 => Just(End::Broke),
        2 => Just(End::Declined),
    ];
    let recipient = prop_oneof![4 => Just(0u8), 1 => 1u8..4];
    let wait_ms = prop_oneof![4 => 0u16..2_000, 1 => 20_000u16..61_000];
    let (node, any) = (0u8..3, any::<u8>());
    let op = prop_oneof![
        4 => node.clone().prop_map(|node| Op::Mint { node }),
        1 => node.clone().prop_map(|node| Op::MintForRequest { node }),
        12 => (0u8..2, any, recipient)
            .prop_map(|(sender, key, recipient)| Op::Send { sender, key, recipient }),
        40 => (any, prop::bool::weighted(0.2))
            .prop_map(|(message, duplicated)| Op::Deliver { message, duplicated }),
        3 => any.prop_map(|message| Op::Lose { message }),
        12 => (node.clone(), any).prop_map(|(node, call)| Op::Start { node, call }),
        3 => (node.clone(), any).prop_map(|(node, call)| Op::Refuse { node, call }),
        3 => (node.clone(), any, node.clone())
            .prop_map(|(node, call, to)| Op::Delegate { node, call, to }),
        12 => (node.clone(), any, end)
            .prop_map(|(node, call, end)| Op::Finish { node, call, end }),
        4 => any.prop_map(|attempt| Op::Fence { attempt }),
        1 => node.clone().prop_map(|node| Op::Crash { node }),
        2 => (node.clone(), prop::bool::weighted(0.3))
            .prop_map(|(node, frozen)| Op::Freeze { node, frozen }),
        2 => (node.clone(), node.clone())
            .prop_map(|(node, successor)| Op::Leave { node, successor }),
        5 => wait_ms.prop_map(|ms| Op::Wait { ms }),
        3 => node.prop_map(|node| Op::Expire { node }),
    ];
    prop::collection::vec(op, 1..250)
}
