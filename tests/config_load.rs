//! Tests that overlays hold only the differences, and that each merged value keeps its origin.

use std::path::{Path, PathBuf};
use std::sync::OnceLock;

use aspenspring::config::{self, Effective, LimitRule};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/sites").join(name)
}

/// Writes settings to a new file.
fn write_settings(name: &str, settings: &Value) -> PathBuf {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("config_load-{name}.json"));
    std::fs::write(&file, settings.to_string()).expect("the file is written");
    file
}

fn example_files() -> Vec<PathBuf> {
    ["base.json", "jordan.json", "nodes/souq-catalogue-1.json"].map(example).to_vec()
}

fn load_with(name: &str, overlay: &Value) -> Effective {
    let mut files = example_files();
    files.push(write_settings(name, overlay));
    config::load(&files).unwrap_or_else(|problems| panic!("{problems:#?}"))
}

/// The file and the JSON pointer in it that an effective value came from.
fn origin(effective: &Effective, pointer: &str) -> Option<(String, String)> {
    let values = effective.values().expect("settings can be represented in JSON");
    let value = values.into_iter().find(|value| value.pointer == pointer).expect("a value");
    let origin = value.origin?;
    let file = origin.file.file_name().expect("a name").to_string_lossy().into_owned();
    Some((file, origin.pointer))
}

#[test]
fn an_overlay_changes_one_member_of_one_item_and_each_value_keeps_its_origin() {
    let overlay = json!({"rules": {"classes": [{"name": "status", "deadline_ms": 1500}]}});
    let effective = load_with("one-member", &overlay);
    let rules = &effective.settings.rules;
    let names: Vec<&str> = rules.classes.iter().map(|class| class.name.as_str()).collect();
    assert_eq!(names, ["commit", "upload", "status", "browse", "release"]);
    assert_eq!(rules.classes[2].deadline_ms, 1_500);
    assert_eq!(rules.classes[2].deadline_max_ms, 5_000);
    let overlaid =
        Some(("config_load-one-member.json".into(), "/rules/classes/0/deadline_ms".into()));
    assert_eq!(origin(&effective, "/rules/classes/2/deadline_ms"), overlaid);
    let base = Some(("base.json".into(), "/rules/classes/2/rank".into()));
    assert_eq!(origin(&effective, "/rules/classes/2/rank"), base);
    let site = Some(("jordan.json".into(), "/rules/classes/0/rank".into()));
    assert_eq!(origin(&effective, "/rules/classes/4/rank"), site);
    assert_eq!(origin(&effective, "/node/leave_ms"), None, "a default has no origin");
}

#[test]
fn items_are_removed_and_null_gives_the_default_back() {
    let overlay = json!({
        "telemetry": {"sample_share": null},
        "rules": {"policies": [{"name": "naive", "remove": true},
                               {"name": "static", "queue_share": 0.5}]}
    });
    let effective = load_with("removal", &overlay);
    let policies = &effective.settings.rules.policies;
    let names: Vec<&str> = policies.iter().map(|policy| policy.name.as_str()).collect();
    assert_eq!(names, ["threshold", "gradient", "static", "none"]);
    assert_eq!(policies[2].queue_share, 0.5);
    assert_eq!(origin(&effective, "/telemetry/sample_share"), None);
}

#[test]
fn a_changed_kind_drops_the_members_of_the_old_kind() {
    let overlay = json!({"rules": {"policies": [
        {"name": "threshold", "limit": {"kind": "static"}, "retry": {"allowance": 2}}
    ]}});
    let effective = load_with("kind", &overlay);
    let policy = effective.settings.rules.policy("threshold").expect("known");
    assert_eq!(policy.limit, LimitRule::Static { running: None });
    let config::RetryRule::Bounded { allowance, backoff_ms, .. } = policy.retry else {
        panic!("the kind of the retry rule was kept");
    };
    assert_eq!((allowance, backoff_ms), (2, 25));
}

#[test]
fn added_routes_come_before_inherited_ones() {
    let overlay = json!({"rules": {"routes": [
        {"service": "souq-stock", "path_prefix": "/audit", "class": "browse"},
        {"service": "souq-catalogue", "class": "status"}
    ]}});
    let effective = load_with("routes", &overlay);
    let rules = &effective.settings.rules;
    let class = |service, path| &rules.class_for(service, "GET", path).expect("a class").name;
    assert_eq!(class("souq-stock", "/audit/1"), "browse");
    assert_eq!(class("souq-stock", "/lots"), "status");
    assert_eq!(class("souq-catalogue", "/"), "status");
    assert_eq!(rules.routes.len(), 8);
}

#[test]
fn the_merged_document_is_equivalent_to_the_files() {
    let effective = config::load(&example_files()).expect("the examples are valid");
    let merged = write_settings("merged", &effective.to_value().expect("valid JSON"));
    let again = config::load(&[merged]).unwrap_or_else(|problems| panic!("{problems:#?}"));
    assert_eq!(again.settings, effective.settings);
}

#[test]
fn no_files_and_a_missing_file_are_refused() {
    assert_eq!(config::load(&[]).expect_err("no file").len(), 1);
    let mut files = example_files();
    files.push(example("no-such-file.json"));
    files.push(write_settings(
        "no-text",
        &json!({"rules": {"classes": [{"name": "x", "remove": true}]}}),
    ));
    let problems = config::load(&files).expect_err("a missing file");
    let names: Vec<_> = problems.iter().map(|problem| problem.file.clone()).collect();
    assert_eq!(names, [Some(files[3].clone()), Some(files[4].clone())]);
}

#[test]
fn rules_are_checked_the_same_as_text_and_as_values() {
    let effective = config::load(&example_files()).expect("the examples are valid");
    let mut rules = effective.settings.rules;
    assert_eq!(config::check_rules(&rules), []);
    rules.classes[0].rank = rules.classes[1].rank;
    rules.arms[0].share = f64::NAN;
    rules.services[0].calls.push("nowhere".to_owned());
    let from_value = config::check_rules(&rules);
    let paths: Vec<&str> = from_value.iter().map(|problem| problem.path.as_str()).collect();
    assert!(paths.contains(&"/classes/1/rank"), "{paths:?}");
    assert!(paths.contains(&"/arms/0/share"), "{paths:?}");
    assert!(paths.contains(&"/services/0/calls/2"), "{paths:?}");
    let text = serde_json::to_string(&rules).expect("valid JSON");
    let from_text = config::read_rules(Path::new("submitted.json"), &text).expect_err("the same");
    let text_paths: Vec<&str> = from_text.iter().map(|problem| problem.path.as_str()).collect();
    assert_eq!(text_paths, paths);
}

/// Collects the JSON pointers of all values, in document order.
fn collect_pointers(value: &Value, pointer: &str, pointers: &mut Vec<String>) {
    pointers.push(pointer.to_owned());
    match value {
        Value::Object(members) => {
            members.iter().for_each(|(name, value)| {
                collect_pointers(value, &format!("{pointer}/{name}"), pointers)
            });
        }
        Value::Array(items) => {
            items.iter().enumerate().for_each(|(index, value)| {
                collect_pointers(value, &format!("{pointer}/{index}"), pointers)
            });
        }
        _ => {}
    }
}

/// The merged example settings as one document.
fn example_document() -> &'static Value {
    static DOCUMENT: OnceLock<Value> = OnceLock::new();
    DOCUMENT.get_or_init(|| {
        let effective = config::load(&example_files()).expect("the examples are valid");
        effective.to_value().expect("valid JSON")
    })
}

fn any_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        (-2_i32..300).prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[a-z.:/0-9]{0,8}".prop_map(Value::from),
        Just(json!([])),
        Just(json!({})),
        Just(json!({"kind": "none"})),
        Just(json!("127.0.0.1:99999")),
        Just(json!([0, "x", null])),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: RngSeed::Fixed(0x5e77),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The checks find every value that deserialization would refuse, so that each problem has a
    /// pointer to the value.
    #[test]
    fn any_one_wrong_value_is_found_at_its_place(
        pick in any::<prop::sample::Index>(),
        value in any_value(),
    ) {
        let mut document = example_document().clone();
        let mut pointers = Vec::new();
        collect_pointers(&document, "", &mut pointers);
        let pointer = pick.get(&pointers).clone();
        *document.pointer_mut(&pointer).expect("a value of the document") = value;
        let file = write_settings("mutated", &document);
        match config::load(&[file]) {
            Ok(again) => {
                let value = again.to_value().expect("valid JSON");
                let settings: config::Settings =
                    serde_json::from_value(value).expect("accepted settings can be read again");
                prop_assert_eq!(settings, again.settings);
            }
            Err(problems) => {
                prop_assert!(!problems.is_empty());
                for problem in problems {
                    let is_expected = !problem.accepted.contains("settings that match the schema");
                    prop_assert!(is_expected, "{} set at {}", problem, pointer);
                }
            }
        }
    }
}

#[test]
fn the_files_of_a_site_are_checked_without_those_of_a_node() {
    let files = ["base.json", "donauwelle.json"].map(example);
    let site = config::load_site(&files).unwrap_or_else(|problems| panic!("{problems:#?}"));
    assert_eq!(site.settings.site, "donauwelle");
    let values = site.values().expect("valid JSON");
    assert!(values.iter().any(|value| value.pointer == "/node/target_listen"));
    assert!(!values.iter().any(|value| value.pointer == "/node/name"));

    let overlay = json!({"node": {"target_listen": "10.0.0.1:7001"}, "platform": {"poll_ms": null,
                         "table_url": null}});
    let files = [&files[..], &[write_settings("site", &overlay)]].concat();
    let problems = config::load_site(&files).expect_err("a wrong address and a missing one");
    let paths: Vec<&str> = problems.iter().map(|problem| problem.path.as_str()).collect();
    assert_eq!(paths, ["/platform/table_url", "/node/target_listen"]);
}
