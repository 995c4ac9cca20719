//! The adapter to the users' platform: parsing of its input, and nodes as real processes.

mod answers;
mod memory;
mod node;
mod process;
mod soak;
mod stop;
mod store;
mod target;

use std::fs;
use std::path::{Path, PathBuf};

use aspenspring::mesh::site::RouteKind;
use aspenspring::mesh::teams::roster::Quota;
use aspenspring::platform::{parse_settings, read_document};

const DOCUMENT: &str = include_str!("document.json");

#[test]
fn all_fields_of_a_configuration_are_read() {
    let site = read_document(DOCUMENT.as_bytes()).unwrap();
    assert_eq!(site.version, 12);
    let route = site.route("shop.test", "/pay/7").unwrap();
    assert_eq!(route.kind, RouteKind::AtMostOnce);
    assert_eq!((route.timeout_ms, route.objective_ms, route.rank), (800, 1500, 0));
    assert_eq!((route.attempts_max, route.split.len()), (2, 1));
    let split = site.route("shop.test", "/look/7").unwrap();
    assert_eq!(split.kind, RouteKind::Idempotent);
    let weights: Vec<_> = split.split.iter().map(|share| share.weight).collect();
    assert_eq!(weights, [90, 10]);
    let upload = site.route("shop.test", "/upload/7").unwrap();
    assert_eq!(upload.kind, RouteKind::AtMostOnce, "uploads must not be repeated");
    assert_eq!(site.limits.idle_timeout_ms, 15_000);
    assert_eq!(site.limits.head_max_bytes, 16_384);
    assert!(upload.needs_no_key && !split.needs_no_key);
    let growers = site.teams.team_by_key(b"old-key").unwrap();
    assert_eq!((&*growers.name, growers.rank), ("growers", Some(1)));
    assert_eq!(growers.quota, Some(Quota { per_s: 368.0, burst: 184.5 }));
    assert_eq!(site.teams.team("buyers").unwrap().quota, None);
}

/// Errors are logged and keys are secrets, so an error may name a team but contain none of its keys.
#[test]
fn errors_about_teams_contain_no_keys() {
    for (from, to) in [
        ("\"apiKeys\":[]", "\"apiKeys\":[\"old-key\"]"),
        ("\"apiKeys\":[]", "\"apiKeys\":\"blue-key\""),
        ("\"apiKeys\":[]", "\"apiKeys\":[\"blue-key\",\"\"]"),
        ("\"apiKeys\":[]", "\"apiKeys\":[],\"burst\":-1"),
        ("\"name\":\"buyers\"", "\"name\":\"growers\""),
    ] {
        assert!(DOCUMENT.contains(from), "{from}");
        let error = read_document(DOCUMENT.replace(from, to).as_bytes()).expect_err("refused");
        let text = format!("{error:#}");
        assert!(!text.contains("-key"), "{text}");
        assert!(text.contains("growers") || text.contains("buyers"), "{text}");
    }
}

#[test]
fn errors_of_a_configuration_name_the_invalid_part() {
    for (from, to, place) in [
        ("\"service\":\"pay\",", "", "the route r-pay"),
        ("\"r12\"", "\"twelve\"", "the version"),
        ("\"timeoutMs\":800", "\"timeoutMs\":-1", "the route r-pay"),
        ("\"resources\"", "\"things\"", "resources"),
    ] {
        assert!(DOCUMENT.contains(from), "{from}");
        let broken = DOCUMENT.replace(from, to);
        let error = read_document(broken.as_bytes()).expect_err("refused");
        assert!(format!("{error:#}").contains(place), "{error:#}");
    }
}

/// The settings template with the values that the platform fills in.
fn filled_template() -> String {
    let mut text = fs::read_to_string(root().join("deploy/node.json")).unwrap();
    for (name, value) in [
        ("{{nodeName|json}}", "\"n1\""),
        ("{{zone|json}}", "\"a\""),
        ("{{service|json}}", "\"stock\""),
        ("{{limits.memoryMb|json}}", "260"),
        ("{{limits.fileDescriptors|json}}", "4100"),
        ("{{listenAddresses.outbound|json}}", "\"127.0.0.1:1\""),
        ("{{listenAddresses.readiness|json}}", "\"127.0.0.1:2\""),
        ("{{listenAddresses.control|json}}", "\"127.0.0.1:3\""),
        ("{{ip}}", "127.0.0.1"),
        ("{{internalPortRange.0}}", "4"),
        ("{{applicationAddress|json}}", "\"127.0.0.1:5\""),
        ("{{platform.address|json}}", "\"127.0.0.1:6\""),
        (
            "{{bounds|json}}",
            r#"{"graceS":6,"retryBudgetRatio":0.2,"retryBudgetSlack":49,"seedLagS":3}"#,
        ),
    ] {
        assert!(text.contains(name), "{name}");
        text = text.replace(name, value);
    }
    assert!(!text.contains("{{"), "{text}");
    text
}

#[test]
fn the_filled_template_is_parsed() {
    let settings = parse_settings(&filled_template()).unwrap();
    assert_eq!(settings.mesh.node.failure_domain, "a");
    assert_eq!(settings.mesh.listen.peers, "127.0.0.1:4".parse().unwrap());
    assert_eq!(settings.mesh.timing.stop_grace_ms, 6_000);
    assert_eq!(settings.mesh.retry.share, 0.2);
    assert_eq!(settings.store.address, "127.0.0.1:6".parse().unwrap());
}

#[test]
fn settings_without_a_bound_or_with_a_bad_address_are_refused() {
    for (from, to, expected) in [
        ("\"graceS\":6,", "", "graceS"),
        ("\"graceS\":6", "\"graceS\":\"six\"", "graceS"),
        ("\"127.0.0.1:5\"", "\"nowhere\"", "invalid"),
        ("\"target\"", "\"other\"", "target"),
        ("\"teams\":", "\"teams\": 7, \"rest\":", "teams"),
    ] {
        let text = filled_template()
            .replace("\"seedLagS\":3", "\"quotaWindowS\":5,\"quotaOverage\":0.1,\"quotaSlack\":20");
        assert!(text.contains(from), "{from}");
        let error = parse_settings(&text.replace(from, to)).expect_err("refused");
        assert!(format!("{error:#}").contains(expected), "{error:#}");
    }
}

/// Names defined by the users' platform, which only the adapter may contain.
const PLATFORM_NAMES: [&str; 16] = [
    "attempt-id",
    "calling-service",
    "coldremaining",
    "deadline-milliseconds",
    "deregister",
    "expected-instance",
    "expectedrevision",
    "instance-id",
    "instance-load",
    "not-executed",
    "resourcekind",
    "response-signature",
    "rows-feed",
    "rows-get",
    "rows-tx",
    "trafficsplit",
];

#[test]
fn platform_names_occur_only_in_the_adapter() {
    let own = root().join("src/platform");
    let mut files = Vec::new();
    collect(&root().join("src"), &mut files);
    assert!(files.iter().any(|file| file.starts_with(&own)));
    for file in files.iter().filter(|file| !file.starts_with(&own)) {
        let text = fs::read_to_string(file).unwrap().to_lowercase();
        for name in PLATFORM_NAMES {
            assert!(!text.contains(name), "{name} in {}", file.display());
        }
    }
}

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn collect(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}
