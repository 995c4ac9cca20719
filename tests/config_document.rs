//! Tests of the document that operators submit, which is accepted for all sites or for none.

use std::path::{Path, PathBuf};

use aspenspring::config::{self, Problem};
use serde_json::{Value, json};

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/sites").join(name)
}

fn document() -> Value {
    let sites = [example("jordan.json"), example("donauwelle.json")];
    config::compose_document(&example("base.json"), &sites).expect("the examples are valid")
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
        let problems = config::read_document(site, &text).expect_err("a duplicate rank");
        assert_eq!(paths(&problems), ["/base/classes/3/rank"], "{site}");
        assert_eq!(problems[0].file.as_deref(), Some(Path::new("document")));
    }
}

#[test]
fn a_problem_of_the_shared_rules_is_reported_once() {
    let mut document = document();
    document["base"]["policies"][0]["queue_delay_ms"] = json!("20ms");
    document["sites"]["jordan"]["arms"] = json!([{"id": 0, "share": 0.5}]);
    let problems =
        config::read_document("jordan", &document.to_string()).expect_err("two problems");
    assert_eq!(paths(&problems), ["/base/policies/0/queue_delay_ms", "/base/arms"]);
}

#[test]
fn a_site_without_overlay_needs_complete_shared_rules() {
    let document = document();
    assert!(config::read_document("elsewhere", &document.to_string()).is_err());
    let jordan = config::read_document("jordan", &document.to_string()).expect("valid rules");
    let shared_only = json!({"base": jordan}).to_string();
    assert_eq!(config::read_document("elsewhere", &shared_only).expect("the shared rules"), jordan);
}

#[test]
fn invalid_documents_are_refused() {
    for (text, path) in [
        ("7", ""),
        ("{}", "/base"),
        (r#"{"base": []}"#, "/base"),
        (r#"{"base": {}, "sites": {"jordan": null}}"#, "/sites/jordan"),
        (r#"{"base": {}, "rules": {}}"#, "/rules"),
        (r#"{"base": {}, "base": {}}"#, "/base"),
        (r#"{"base": {}"#, ""),
    ] {
        let problems = config::read_document("jordan", text).expect_err("an invalid document");
        assert_eq!(paths(&problems)[0], path, "{text}");
    }
}

#[test]
fn a_site_that_is_given_twice_is_refused() {
    let sites = [example("jordan.json"), example("jordan.json")];
    let problems =
        config::compose_document(&example("base.json"), &sites).expect_err("a duplicate site");
    assert_eq!(paths(&problems), ["/site"]);
}
