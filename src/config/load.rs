//! Reads files of settings, merges and checks them. Nothing is returned unless all is well.

use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::draft::{NodeDraft, RulesDraft};
use super::effective::Effective;
use super::merge::merge;
use super::problem::{Finding, Problem};
use super::read::{read_file, read_text};
use super::tree::Tree;
use super::{Rules, SiteSettings, check, check_node, schema, shape};

/// Where the rules stand in the settings.
pub(super) const RULES: &str = "/rules";
/// Where a node's own settings stand.
const NODE: &str = "/node";

/// Reads `files`, the base first, and lays each over what the ones before it say.
///
/// # Errors
///
/// Every problem of all files, in no case some settings and some problems. Contradictions between
/// values are looked for among those values that can be read.
pub fn load(files: &[PathBuf]) -> Result<Effective, Vec<Problem>> {
    let (tree, problems) = read_all(files)?;
    accept(tree, problems, |_| true)
}

/// Reads the files of a site without those of a node: what the node's own file adds may be missing.
///
/// # Errors
///
/// Every problem of all files.
pub fn load_site(files: &[PathBuf]) -> Result<Effective<SiteSettings>, Vec<Problem>> {
    let (tree, problems) = read_all(files)?;
    accept(tree, problems, |finding| !(finding.is_absent && is_of_node(&finding.pointer)))
}

/// Whether a place is that of a node's own settings or below it.
fn is_of_node(pointer: &str) -> bool {
    let below = pointer.strip_prefix(NODE);
    below.is_some_and(|below| below.is_empty() || below.starts_with('/'))
}

/// Reads and merges `files`. Where that fails, what is wrong is all that can be said.
fn read_all(files: &[PathBuf]) -> Result<(Tree, Vec<Problem>), Vec<Problem>> {
    let mut problems = Vec::new();
    let mut trees = Vec::new();
    for file in files {
        trees.extend(read_file(file, &mut problems));
    }
    let is_every_file_read = trees.len() == files.len();
    let tree = merge_all(trees, &mut problems);
    // What an unreadable file would have said is not known, so the merge proves nothing.
    if let Some(tree) = tree.filter(|_| is_every_file_read) {
        return Ok((tree, problems));
    }
    if problems.is_empty() {
        problems.push(no_settings());
    }
    Err(problems)
}

/// Checks merged settings and takes them in, if nothing of what counts is wrong.
fn accept<S: DeserializeOwned + Serialize>(
    tree: Tree,
    mut problems: Vec<Problem>,
    counts: impl Fn(&Finding) -> bool,
) -> Result<Effective<S>, Vec<Problem>> {
    let value = tree.to_value();
    let mut findings = check_settings(&value);
    findings.retain(counts);
    problems.extend(trace(&tree, findings));
    if !problems.is_empty() {
        return Err(problems);
    }
    match S::deserialize(&value) {
        Ok(settings) => Ok(Effective::new(settings, tree)),
        Err(error) => Err(vec![unforeseen(&tree, &error)]),
    }
}

/// Reads rules that an operator submits from `text`, which came from `file`.
///
/// # Errors
///
/// Every problem of the rules.
pub fn read_rules(file: &Path, text: &str) -> Result<Rules, Vec<Problem>> {
    let mut problems = Vec::new();
    let Some(tree) = read_text(file, text, &mut problems) else {
        return Err(problems);
    };
    check_merged_rules(&tree, problems)
}

/// Checks rules that were read and merged with the `problems` found so far.
pub(super) fn check_merged_rules(
    tree: &Tree,
    mut problems: Vec<Problem>,
) -> Result<Rules, Vec<Problem>> {
    let value = tree.to_value();
    let mut findings = shape::check(&schema::rules_schema(), &value);
    findings.extend(check::check_rules(&RulesDraft::read(&value)));
    problems.extend(trace(tree, findings));
    if !problems.is_empty() {
        return Err(problems);
    }
    Rules::deserialize(&value).map_err(|error| vec![unforeseen(tree, &error)])
}

/// Every problem of rules that came from no file. Paths begin at the rules.
pub fn check_rules(rules: &Rules) -> Vec<Problem> {
    let value = match serde_json::to_value(rules) {
        Ok(value) => value,
        Err(error) => {
            let finding = Finding::new("", error.to_string(), "rules that have a form in JSON");
            return vec![without_file(finding)];
        }
    };
    let mut findings = shape::check(&schema::rules_schema(), &value);
    findings.extend(check::check_rules(&RulesDraft::read(&value)));
    findings.into_iter().map(without_file).collect()
}

/// Lays each tree over the ones before it.
fn merge_all(trees: Vec<Tree>, problems: &mut Vec<Problem>) -> Option<Tree> {
    let mut merged = None;
    for tree in trees {
        merged = merge(merged, tree, "", problems);
    }
    merged
}

/// Everything that is wrong with merged settings.
fn check_settings(value: &Value) -> Vec<Finding> {
    let mut findings = shape::check(&schema::settings_schema(), value);
    let rules = RulesDraft::read(value.get("rules").unwrap_or(&Value::Null));
    for mut finding in check::check_rules(&rules) {
        finding.pointer.insert_str(0, RULES);
        findings.push(finding);
    }
    findings.extend(check_node::check_node(&NodeDraft::read(value), &rules));
    findings
}

/// Traces findings back to the files.
pub(super) fn trace(tree: &Tree, findings: Vec<Finding>) -> Vec<Problem> {
    let mut problems = Vec::new();
    for Finding { pointer, found, accepted, .. } in findings {
        let origin = tree.origin_of(&pointer);
        let file = Some(origin.file.to_path_buf());
        problems.push(Problem { file, path: origin.pointer, found, accepted });
    }
    problems
}

/// A problem of something that came from no file.
fn without_file(finding: Finding) -> Problem {
    let Finding { pointer, found, accepted, .. } = finding;
    Problem { file: None, path: pointer, found, accepted }
}

/// No file, or none that says anything.
fn no_settings() -> Problem {
    without_file(Finding::new("", "no settings", "a base file and any overlays"))
}

/// What the checks let pass although the types refuse it.
fn unforeseen(tree: &Tree, error: &serde_json::Error) -> Problem {
    Problem {
        file: Some(tree.origin.file.to_path_buf()),
        path: String::new(),
        found: error.to_string(),
        accepted: "settings of the form that the schema gives".to_owned(),
    }
}
