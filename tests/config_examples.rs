//! Tests that the example settings match what the two organisations run today.

use std::path::{Path, PathBuf};

use aspenspring::call::{ArmId, ClassRank, Level, RootId};
use aspenspring::config::{self, Effective, LimitRule, RetryRule, TargetChoice};

fn load(site: &str, node: &str) -> Effective {
    let sites = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/sites");
    let files = ["base.json".to_owned(), format!("{site}.json"), format!("nodes/{node}.json")];
    let files: Vec<PathBuf> = files.iter().map(|file| sites.join(file)).collect();
    config::load(&files).unwrap_or_else(|problems| panic!("{problems:#?}"))
}

fn sizes(effective: &Effective) -> Vec<(&str, u32, u32, u32)> {
    let services = &effective.settings.rules.services;
    services.iter().map(|s| (s.name.as_str(), s.targets, s.slots, s.connections)).collect()
}

#[test]
fn jordan_has_the_sizes_of_today() {
    let effective = load("jordan", "souq-catalogue-1");
    assert_eq!(effective.settings.site, "jordan");
    assert_eq!(effective.settings.node.failure_domain, "amman-hall-a");
    let expected = [
        ("souq-catalogue", 6, 130, 850),
        ("souq-orders", 4, 190, 1_250),
        ("souq-uploads", 4, 190, 1_250),
        ("souq-stock", 4, 25, 250),
    ];
    assert_eq!(sizes(&effective), expected);
}

#[test]
fn donauwelle_has_the_sizes_of_today() {
    let effective = load("donauwelle", "kabinenblick-1");
    assert_eq!(effective.settings.site, "donauwelle");
    assert_eq!(effective.settings.node.failure_domain, "passau");
    let expected = [
        ("kabinenblick", 5, 170, 1_150),
        ("hilfebuchung", 4, 200, 1_400),
        ("fotoablage", 3, 300, 1_800),
        ("routenkarte", 3, 65, 500),
    ];
    assert_eq!(sizes(&effective), expected);
}

/// The name and rank of the class of a call, and whether it runs at most once.
fn class<'a>(
    effective: &'a Effective,
    service: &str,
    method: &str,
    path: &str,
) -> (&'a str, u8, bool) {
    let class = effective.settings.rules.class_for(service, method, path).expect("a class");
    (&class.name, class.rank, class.at_most_once)
}

#[test]
fn confirmations_releases_and_bookings_run_at_most_once_and_are_shed_last() {
    let jordan = load("jordan", "souq-catalogue-1");
    let release = class(&jordan, "souq-orders", "POST", "/releases/17");
    let confirmation = class(&jordan, "souq-orders", "POST", "/confirmations");
    assert_eq!(release, ("release", 110, true));
    assert_eq!(confirmation, ("commit", 100, true));
    let mut ranks = vec![release.1, confirmation.1];
    for (service, method, path) in [
        ("souq-uploads", "POST", "/photos/17"),
        ("souq-stock", "GET", "/lots"),
        ("souq-catalogue", "GET", "/page/1?q=okra"),
    ] {
        let (_, rank, at_most_once) = class(&jordan, service, method, path);
        assert!(!at_most_once, "{service}");
        ranks.push(rank);
    }
    assert!(ranks.is_sorted_by(|high, low| high > low), "{ranks:?}");

    let donauwelle = load("donauwelle", "kabinenblick-1");
    let mut ranks = Vec::new();
    for (service, method, path) in [
        ("hilfebuchung", "POST", "/buchungen"),
        ("fotoablage", "POST", "/berichte"),
        ("routenkarte", "GET", "/liegeplan/passau"),
        ("kabinenblick", "GET", "/kabine/12"),
    ] {
        let (_, rank, at_most_once) = class(&donauwelle, service, method, path);
        assert_eq!(at_most_once, service == "hilfebuchung", "{service}");
        ranks.push(rank);
    }
    assert!(ranks.is_sorted_by(|high, low| high > low), "{ranks:?}");
}

#[test]
fn whatever_changes_an_order_or_a_booking_runs_at_most_once() {
    let jordan = load("jordan", "souq-catalogue-1");
    let donauwelle = load("donauwelle", "kabinenblick-1");
    for method in ["POST", "PUT", "PATCH", "DELETE"] {
        for path in ["/", "/confirmations/17", "/releases", "/anything/else"] {
            assert!(class(&jordan, "souq-orders", method, path).2, "{method} {path}");
            assert!(class(&donauwelle, "hilfebuchung", method, path).2, "{method} {path}");
        }
    }
    assert!(!class(&jordan, "souq-orders", "GET", "/confirmations/17").2);
}

/// The number of services in the longest call chain that starts at `service`.
fn depth(effective: &Effective, service: &str) -> usize {
    let service = effective.settings.rules.service(service).expect("known");
    1 + service.calls.iter().map(|callee| depth(effective, callee)).max().unwrap_or(0)
}

#[test]
fn call_chains_have_the_expected_depth() {
    let jordan = load("jordan", "souq-catalogue-1");
    assert_eq!(depth(&jordan, "souq-catalogue"), 3);
    assert_eq!(depth(&jordan, "souq-orders"), 4);
    let donauwelle = load("donauwelle", "kabinenblick-1");
    assert_eq!(depth(&donauwelle, "kabinenblick"), 4);
}

#[test]
fn one_arm_runs_the_threshold_policy_and_the_baselines_are_defined() {
    for (site, node) in [("jordan", "souq-catalogue-1"), ("donauwelle", "kabinenblick-1")] {
        let effective = load(site, node);
        let rules = &effective.settings.rules;
        assert_eq!(rules.arm_for(RootId(17)).name, "chosen");
        let chosen = rules.policy_of(ArmId(0));
        assert_eq!(chosen.name, "threshold");
        assert!(chosen.order_by_level && chosen.refuse_early);
        assert_eq!(chosen.choice, TargetChoice::LeastLoaded);
        assert!(matches!(chosen.retry, RetryRule::Bounded { allowance: 3, .. }));
        let none = rules.policy("none").expect("a baseline");
        assert_eq!((&none.limit, &none.retry), (&LimitRule::None, &RetryRule::None));
        let naive = rules.policy("naive").expect("a baseline");
        assert_eq!(naive.retry, RetryRule::Naive { retries: 3 });
        for baseline in ["none", "naive", "static", "gradient"] {
            let policy = rules.policy(baseline).expect("a baseline");
            assert!(!policy.order_by_level && !policy.refuse_early, "{baseline}");
        }
    }
}

#[test]
fn the_highest_class_of_a_site_is_above_every_level_of_the_next() {
    let jordan = load("jordan", "souq-catalogue-1");
    let commit = jordan.settings.rules.class("commit").expect("known").rank;
    let upload = jordan.settings.rules.class("upload").expect("known").rank;
    for root in 0..1_000 {
        let low = Level::new(ClassRank(commit), RootId(root));
        let high = Level::new(ClassRank(upload), RootId(u128::MAX - root));
        assert!(low > high);
    }
}
