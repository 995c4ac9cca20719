//! Simulates a sender that applies reported floors: it must send few calls below the floor during
//! the overload, and all calls again soon after it.

use aspenspring::call::{ArmId, ClassRank, Level, LoadReport, NodeId, RefusalReason};
use aspenspring::config::Rules;
use aspenspring::routing::{Observation, Outcome, Peer, PickRequest, Router};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ARM: ArmId = ArmId(0);
const CLASS: ClassRank = ClassRank(1);
const SERVICE: &str = "kabinenblick";
const TARGETS: u64 = 12;

fn router() -> Router {
    let rules: Rules = serde_json::from_value(serde_json::json!({
        "classes": [], "routes": [], "services": [],
        "arms": [{"id": 0, "name": "full", "share": 1.0, "policy": "full"}],
        "policies": [{"name": "full", "limit": {"kind": "none"}, "retry": {"kind": "none"},
                      "choice": "least_loaded"}]
    }))
    .expect("the rules are well formed");
    let mut router = Router::new(NodeId(500), "a", &rules);
    for node in 1..=TARGETS {
        let peer = Peer {
            node: NodeId(node),
            service: SERVICE.to_owned(),
            failure_domain: "a".to_owned(),
            address: ([127, 0, 0, 1], node as u16).into(),
            slots: 100,
            leaving: false,
            first_seen_us: 0,
        };
        router.put(0, peer);
    }
    router
}

/// The outcomes of the calls of one second.
#[derive(Debug, Default)]
struct SecondOutcome {
    shed_by_sender: u32,
    shed_at_target: u32,
    ran: u32,
}

/// Sends 1,000 calls of one class with random levels within a second; `floor_of` gives the floor of
/// each target.
fn send_second(
    router: &mut Router,
    start_us: u64,
    floor_of: impl Fn(NodeId) -> u16,
    rng: &mut SmallRng,
) -> SecondOutcome {
    let mut second = SecondOutcome::default();
    for number in 0..1_000 {
        let now_us = start_us + number * 1_000;
        let level = Level(0x0100 + rng.random_range(0..0x100));
        let request = PickRequest { service: SERVICE, arm: ARM, class: CLASS, level, avoid: &[] };
        let Ok(node) = router.pick(now_us, &request, rng) else {
            second.shed_by_sender += 1;
            continue;
        };
        router.sent(now_us, node, ARM);
        let floor = Level(floor_of(node));
        let outcome = if level < floor {
            second.shed_at_target += 1;
            Outcome::Refused(RefusalReason::Shed)
        } else {
            second.ran += 1;
            Outcome::Answered { healthy: true }
        };
        let load = LoadReport { limit: 100, floor, ..LoadReport::default() };
        let observation =
            Observation { arm: ARM, class: CLASS, latency_us: 900, outcome, load: Some(load) };
        router.observed(now_us + 900, node, &observation);
    }
    second
}

#[test]
fn few_calls_below_the_floor_are_sent_and_all_return_within_a_second() {
    for floor in [0x0140, 0x01f0, 0x0200, 0x0300] {
        let mut router = router();
        let mut rng = SmallRng::seed_from_u64(2);
        let mut below_floor = 0;
        let mut sent = 0;
        for second in 0..20 {
            let outcomes = send_second(&mut router, second * 1_000_000, |_| floor, &mut rng);
            below_floor += outcomes.shed_at_target + outcomes.shed_by_sender;
            sent += if second > 0 { outcomes.shed_at_target } else { 0 };
        }
        let share = f64::from(sent) / f64::from(below_floor);
        let first = send_second(&mut router, 20_000_000, |_| 0, &mut rng);
        let second = send_second(&mut router, 21_000_000, |_| 0, &mut rng);
        println!(
            "floor {floor:#06x}: {share:.4} of the calls below it sent; after its end {} of 1000 \
             shed by the sender in the first second, {} in the next",
            first.shed_by_sender, second.shed_by_sender
        );
        assert!(share < 0.03);
        assert!(first.shed_by_sender < 700);
        assert_eq!(second.shed_by_sender, 0);
    }
}

#[test]
fn one_overloaded_target_does_not_close_the_others() {
    let mut router = router();
    let mut rng = SmallRng::seed_from_u64(2);
    let floor_of = |node: NodeId| if node.0 == 1 { 0x0200 } else { 0 };
    let mut shed_at_target = 0;
    for second in 0..10 {
        let outcomes = send_second(&mut router, second * 1_000_000, floor_of, &mut rng);
        assert_eq!(outcomes.shed_by_sender, 0);
        shed_at_target += outcomes.shed_at_target;
    }
    println!(
        "one overloaded target of {TARGETS}: {shed_at_target} of 10000 calls were refused there"
    );
    assert!(shed_at_target < 200);
}
