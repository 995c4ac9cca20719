//! Documents are accepted for all sites or for none.

use std::path::{Path, PathBuf};

use aspenspring::config::{self, Problem};
use serde_json::{Value, json};

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/sites").join(name)
}

fn document() -> Value {
    let sites = [example("jordan.json"), example("donauwelle.json")];
    config::compose_document(&example("base.json"), &sites).expect("the examples are well")
}

fn paths(problems: &[Problem]) -> Vec<&str> {
    problems.iter().map(|problem| problem.path.as_str()).collect()
}

#[test]
fn a_problem_of_one_site_refuses_the_document_for_all() {
    let mut document = document();
    document["sites"]["donauwelle"]["classes"][0]["rank"] = json!(10);
    let text = document.to_string();
    for site in ["jordan", "donauwelle", "elsewhere"] {
        let problems = config::read_document(site, &text).expect_err("a rank twice");
        assert_eq!(paths(&problems), ["/base/classes/3/rank"], "{site}");
        assert_eq!(problems[0].file.as_deref(), Some(Path::new("document")));
    }
}

#[test]
fn a_problem_of_the_shared_part_is_told_once() {
    let mut document = document();
    document["base"]["policies"][0]["queue_delay_ms"] = json!("20ms");
    document["sites"]["jordan"]["arms"] = json!([{"id": 0, "share": 0.5}]);
    let problems = config::read_document("jordan", &document.to_string()).expect_err("both");
    assert_eq!(paths(&problems), ["/base/policies/0/queue_delay_ms", "/base/arms"]);
}

#[test]
fn a_site_that_is_not_named_needs_a_shared_part_that_suffices() {
    let document = document();
    assert!(config::read_document("elsewhere", &document.to_string()).is_err());
    let jordan = config::read_document("jordan", &document.to_string()).expect("valid rules");
    let alone = json!({"base": jordan}).to_string();
    assert_eq!(config::read_document("elsewhere", &alone).expect("the shared rules"), jordan);
}

#[test]
fn what_is_no_document_is_refused() {
    for (text, path) in [
        ("7", ""),
        ("{}", "/base"),
        (r#"{"base": []}"#, "/base"),
        (r#"{"base": {}, "sites": {"jordan": null}}"#, "/sites/jordan"),
        (r#"{"base": {}, "rules": {}}"#, "/rules"),
        (r#"{"base": {}, "base": {}}"#, "/base"),
        (r#"{"base": {}"#, ""),
    ] {
        let problems = config::read_document("jordan", text).expect_err("no document");
        assert_eq!(paths(&problems)[0], path, "{text}");
    }
}

#[test]
fn a_site_is_composed_once() {
    let sites = [example("jordan.json"), example("jordan.json")];
    let problems = config::compose_document(&example("base.json"), &sites).expect_err("twice");
    assert_eq!(paths(&problems), ["/site"]);
}
