//! Tests of lookups in the rules: classes of calls, arms of root requests and policies.

use aspenspring::call::{ArmId, ClassRank, Level, RootId};
use aspenspring::config::Rules;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;

fn rules_with_shares(shares: &[(u8, f64)]) -> Rules {
    let mut arms = Vec::new();
    for (id, share) in shares {
        arms.push(json!({"id": id, "name": format!("arm-{id}"), "share": share, "policy": "p"}));
    }
    let rules = json!({
        "classes": [
            {"name": "confirm", "rank": 40, "at_most_once": true,
             "deadline_ms": 2000, "deadline_max_ms": 5000},
            {"name": "browse", "rank": 10, "deadline_ms": 2000, "deadline_max_ms": 5000}
        ],
        "routes": [
            {"service": "orders", "method": "POST", "path_prefix": "/confirm", "class": "confirm"},
            {"service": "orders", "class": "browse"}
        ],
        "services": [{"name": "orders", "slots": 4, "connections": 8}],
        "arms": arms,
        "policies": [{"name": "p", "limit": {"kind": "none"}, "retry": {"kind": "none"},
                      "choice": "round_robin"}]
    });
    serde_json::from_value(rules).expect("the rules are well formed")
}

fn class_name(method: &str, path: &str) -> Option<String> {
    let rules = rules_with_shares(&[(0, 1.0)]);
    rules.class_for("orders", method, path).map(|class| class.name.clone())
}

#[test]
fn the_first_route_that_fits_gives_the_class() {
    assert_eq!(class_name("POST", "/confirm/17?by=clerk").as_deref(), Some("confirm"));
    assert_eq!(class_name("POST", "/confirm").as_deref(), Some("confirm"));
    assert_eq!(class_name("GET", "/confirm/17").as_deref(), Some("browse"));
    assert_eq!(class_name("POST", "/confirmations").as_deref(), Some("browse"));
    assert_eq!(class_name("GET", "/").as_deref(), Some("browse"));
    assert_eq!(class_name("GET", "/with%20space/").as_deref(), Some("browse"));
    let rules = rules_with_shares(&[(0, 1.0)]);
    assert!(rules.class_for("stock", "GET", "/").is_none());
}

#[test]
fn a_path_that_a_target_could_read_as_another_has_no_class() {
    let paths = [
        "//confirm/17",
        "/./confirm/17",
        "/a/../confirm/17",
        "/%63onfirm/17",
        "/a%2Fconfirm",
        "/a/%2e%2e/confirm",
        "/a\\..\\confirm",
        "/bad%escape",
        "/bad%4",
        "/nul%00",
        "confirm",
        "",
    ];
    for path in paths {
        assert_eq!(class_name("POST", path), None, "{path}");
    }
}

#[test]
fn services_ranks_and_policies_are_found() {
    let rules = rules_with_shares(&[(3, 1.0)]);
    assert_eq!(rules.service("orders").expect("known").slots, 4);
    assert_eq!(rules.class_of_rank(ClassRank(40)).expect("known").name, "confirm");
    assert_eq!(rules.policy_of(ArmId(3)).name, "p");
    assert_eq!(rules.policy_of(ArmId(200)).name, "p", "an unknown arm gets the first policy");
}

/// Root ids from a fixed sequence in which, as in random ids, all bits vary.
fn roots(count: u64) -> impl Iterator<Item = RootId> {
    (0..count).map(|n| {
        let high = u128::from(n.wrapping_mul(0xd134_2543_de82_ef95));
        RootId(high << 64 | u128::from(n.wrapping_mul(0xaf25_1af3_b0f0_25b5)))
    })
}

#[test]
fn every_level_byte_is_split_by_the_same_shares() {
    let rules = rules_with_shares(&[(0, 0.5), (1, 0.3), (2, 0.2)]);
    let mut counts = vec![[0_u32; 3]; 256];
    for root in roots(256 * 2_000) {
        let byte = Level::new(ClassRank(0), root).0 as usize;
        counts[byte][usize::from(rules.arm_for(root).id)] += 1;
    }
    for (byte, arms) in counts.iter().enumerate() {
        let total: u32 = arms.iter().sum();
        for (arm, expected) in [0.5, 0.3, 0.2].into_iter().enumerate() {
            let share = f64::from(arms[arm]) / f64::from(total);
            assert!((share - expected).abs() < 0.07, "byte {byte}, arm {arm}: {share}");
        }
    }
}

#[test]
fn an_arm_without_share_gets_nothing() {
    let rules = rules_with_shares(&[(0, 0.0), (1, 1.0)]);
    for root in roots(10_000) {
        assert_eq!(rules.arm_for(root).id, 1);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(0x0a5e),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_order_of_the_arms_decides_nothing(root in any::<u128>(), share in 0.01..0.99_f64) {
        let forward = rules_with_shares(&[(0, share), (1, 1.0 - share)]);
        let backward = rules_with_shares(&[(1, 1.0 - share), (0, share)]);
        let root = RootId(root);
        prop_assert_eq!(forward.arm_for(root).id, backward.arm_for(root).id);
    }

    #[test]
    fn a_grown_share_takes_no_root_away_from_its_arm(
        root in any::<u128>(),
        share in 0.01..0.5_f64,
        growth in 0.0..0.4_f64,
    ) {
        let before = rules_with_shares(&[(0, share), (1, 1.0 - share)]);
        let after = rules_with_shares(&[(0, share + growth), (1, 1.0 - share - growth)]);
        let root = RootId(root);
        if before.arm_for(root).id == 0 {
            prop_assert_eq!(after.arm_for(root).id, 0);
        }
    }
}
