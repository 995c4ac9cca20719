//! Tests which targets may be picked, and when floors and ejections exclude a target.

use aspenspring::call::{ArmId, ClassRank, Level, LoadReport, NodeId, RefusalReason};
use aspenspring::config::Rules;
use aspenspring::routing::{Observation, Outcome, Peer, PickRequest, Router};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const ARM: ArmId = ArmId(0);
const CLASS: ClassRank = ClassRank(1);
const SERVICE: &str = "souq-stock";

fn rules() -> Rules {
    serde_json::from_value(serde_json::json!({
        "classes": [{"name": "browse", "rank": 1, "deadline_ms": 1000, "deadline_max_ms": 5000}],
        "routes": [],
        "services": [{"name": SERVICE, "slots": 25, "connections": 250, "warm_up_ms": 0}],
        "arms": [{"id": 0, "name": "full", "share": 1.0, "policy": "full"}],
        "policies": [{"name": "full", "limit": {"kind": "none"}, "retry": {"kind": "none"},
                      "choice": "least_loaded"}]
    }))
    .expect("the rules are well formed")
}

fn peer(node: u64, failure_domain: &str) -> Peer {
    Peer {
        node: NodeId(node),
        service: SERVICE.to_owned(),
        failure_domain: failure_domain.to_owned(),
        address: ([127, 0, 0, 1], node as u16).into(),
        slots: 25,
        leaving: false,
        first_seen_us: 0,
    }
}

fn router(targets: u64) -> Router {
    let mut router = Router::new(NodeId(1_000), "a", &rules());
    for node in 1..=targets {
        router.put(0, peer(node, if node % 2 == 0 { "a" } else { "b" }));
    }
    router
}

fn request<'a>(avoid: &'a [NodeId]) -> PickRequest<'a> {
    PickRequest { service: SERVICE, arm: ARM, class: CLASS, level: Level(0x0180), avoid }
}

/// A refusal by a target that sheds calls below `floor`.
fn shed_below(floor: u16) -> Observation {
    let load = LoadReport { limit: 25, floor: Level(floor), ..LoadReport::default() };
    Observation {
        arm: ARM,
        class: CLASS,
        latency_us: 100,
        outcome: Outcome::Refused(RefusalReason::Shed),
        load: Some(load),
    }
}

#[test]
fn avoided_leaving_and_lost_targets_are_never_picked() {
    let mut router = router(4);
    let mut rng = SmallRng::seed_from_u64(1);
    router.put(1, Peer { leaving: true, ..peer(1, "b") });
    router.link_lost(1, NodeId(2));
    let avoid = [NodeId(3)];
    for _ in 0..100 {
        assert_eq!(router.pick(2, &request(&avoid), &mut rng), Ok(NodeId(4)));
    }
    router.remove(3, NodeId(4));
    let refusal = router.pick(3, &request(&avoid), &mut rng).expect_err("no target is left");
    assert_eq!(refusal.reason, RefusalReason::NoTarget);
    router.link_up(4, NodeId(2));
    assert_eq!(router.pick(4, &request(&avoid), &mut rng), Ok(NodeId(2)));
}

#[test]
fn a_call_below_every_floor_is_shed_until_the_floors_have_decayed() {
    let mut router = router(2);
    let mut rng = SmallRng::seed_from_u64(1);
    router.observed(0, NodeId(1), &shed_below(0x01c0));
    assert_eq!(router.pick(0, &request(&[]), &mut rng), Ok(NodeId(2)));
    router.observed(0, NodeId(2), &shed_below(0x01f0));
    assert_eq!(router.floor(0, SERVICE, ARM, CLASS), Level(0x01c0));
    let refusal = router.pick(0, &request(&[]), &mut rng).expect_err("below both floors");
    assert_eq!(refusal.reason, RefusalReason::Shed);
    assert!(refusal.retry_after_ms >= 200);
    assert!(router.pick(1_000_000, &request(&[]), &mut rng).is_ok());
}

fn answered(latency_us: u64) -> Observation {
    let outcome = Outcome::Answered { healthy: true };
    Observation { arm: ARM, class: CLASS, latency_us, outcome, load: None }
}

/// Settles ten attempts at node 1 as `lost` and returns whether it was ejected.
fn is_ejected_after(lost: &Observation) -> bool {
    let mut router = router(4);
    let mut rng = SmallRng::seed_from_u64(1);
    for round in 0..20 {
        for node in 1..=4 {
            router.sent(round, NodeId(node), ARM);
            router.observed(round, NodeId(node), &answered(10_000));
        }
    }
    for round in 0..10 {
        let now_us = 100_000 * (round + 1);
        router.pick(now_us, &request(&[]), &mut rng).expect("a target is available");
        router.sent(now_us, NodeId(1), ARM);
        router.observed(now_us + lost.latency_us, NodeId(1), lost);
    }
    router.pick(1_100_000, &request(&[]), &mut rng).expect("a target is available");
    router.view(1_100_000)[0].arms[0].ejected
}

#[test]
fn calls_cancelled_early_do_not_count_against_their_target() {
    let cancelled = Observation { outcome: Outcome::Lost, ..answered(2_000) };
    assert!(!is_ejected_after(&cancelled), "ejected because callers cancelled");
    let timed_out = Observation { outcome: Outcome::Lost, ..answered(90_000) };
    assert!(is_ejected_after(&timed_out), "never answers, but is not ejected");
    let load = Some(LoadReport { limit: 25, ..LoadReport::default() });
    let broken_off = Observation { outcome: Outcome::Lost, load, ..answered(500) };
    assert!(is_ejected_after(&broken_off), "breaks off at once, but is not ejected");
}
