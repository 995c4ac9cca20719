//! Reads, merges and checks settings files. Settings are returned only if there is no problem.

use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::effective::Effective;
use super::merge::merge;
use super::partial::{PartialNode, PartialRules};
use super::problem::{Finding, Problem};
use super::read::{read_file, read_text};
use super::tree::Tree;
use super::{Rules, SiteSettings, check, check_node, schema, validate};

/// The JSON pointer of the rules in the settings.
pub(super) const RULES_POINTER: &str = "/rules";
/// The JSON pointer of a node's own settings.
const NODE_POINTER: &str = "/node";

/// Reads `files`, the base first, and merges each as an overlay into those before it.
///
/// # Errors
///
/// Every problem of all files, and no settings. Consistency checks skip values that are invalid in
/// themselves.
pub fn load(files: &[PathBuf]) -> Result<Effective, Vec<Problem>> {
    let (tree, problems) = read_all(files)?;
    check_and_deserialize(tree, problems, |_| true)
}

/// Reads the files that all nodes of a site share: members of the node section may be missing.
///
/// # Errors
///
/// Every problem of all files.
pub fn load_site(files: &[PathBuf]) -> Result<Effective<SiteSettings>, Vec<Problem>> {
    let (tree, problems) = read_all(files)?;
    check_and_deserialize(tree, problems, |finding| {
        !(finding.is_absent && is_node_pointer(&finding.pointer))
    })
}

/// Whether `pointer` is that of the node section or of a value inside it.
fn is_node_pointer(pointer: &str) -> bool {
    let rest = pointer.strip_prefix(NODE_POINTER);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Reads and merges `files`. If a file cannot be read, only the problems found so far are returned.
fn read_all(files: &[PathBuf]) -> Result<(Tree, Vec<Problem>), Vec<Problem>> {
    let mut problems = Vec::new();
    let mut trees = Vec::new();
    for file in files {
        trees.extend(read_file(file, &mut problems));
    }
    let is_every_file_read = trees.len() == files.len();
    let tree = merge_all(trees, &mut problems);
    // Without the contents of an unreadable file, the merged settings cannot be checked.
    if let Some(tree) = tree.filter(|_| is_every_file_read) {
        return Ok((tree, problems));
    }
    if problems.is_empty() {
        problems.push(no_settings());
    }
    Err(problems)
}

/// Checks merged settings and deserializes them if there are no problems. Findings for which
/// `is_relevant` returns false are ignored.
fn check_and_deserialize<S: DeserializeOwned + Serialize>(
    tree: Tree,
    mut problems: Vec<Problem>,
    is_relevant: impl Fn(&Finding) -> bool,
) -> Result<Effective<S>, Vec<Problem>> {
    let value = tree.to_value();
    let mut findings = check_settings(&value);
    findings.retain(is_relevant);
    problems.extend(to_problems(&tree, findings));
    if !problems.is_empty() {
        return Err(problems);
    }
    match S::deserialize(&value) {
        Ok(settings) => Ok(Effective::new(settings, tree)),
        Err(error) => Err(vec![unexpected_error(&tree, &error)]),
    }
}

/// Reads the rules that an operator submits from `text`, which came from `file`.
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

/// Checks merged rules. `problems` holds the problems found while reading and merging.
pub(super) fn check_merged_rules(
    tree: &Tree,
    mut problems: Vec<Problem>,
) -> Result<Rules, Vec<Problem>> {
    let value = tree.to_value();
    let mut findings = validate::validate(&schema::rules_schema(), &value);
    findings.extend(check::check_rules(&PartialRules::read(&value)));
    problems.extend(to_problems(tree, findings));
    if !problems.is_empty() {
        return Err(problems);
    }
    Rules::deserialize(&value).map_err(|error| vec![unexpected_error(tree, &error)])
}

/// Every problem of rules that were not read from a file. Paths are relative to the rules.
pub fn check_rules(rules: &Rules) -> Vec<Problem> {
    let value = match serde_json::to_value(rules) {
        Ok(value) => value,
        Err(error) => {
            let finding =
                Finding::new("", error.to_string(), "rules that can be represented in JSON");
            return vec![without_file(finding)];
        }
    };
    let mut findings = validate::validate(&schema::rules_schema(), &value);
    findings.extend(check::check_rules(&PartialRules::read(&value)));
    findings.into_iter().map(without_file).collect()
}

/// Merges each tree as an overlay into those before it.
fn merge_all(trees: Vec<Tree>, problems: &mut Vec<Problem>) -> Option<Tree> {
    let mut merged = None;
    for tree in trees {
        merged = merge(merged, tree, "", problems);
    }
    merged
}

/// Every problem of merged settings.
fn check_settings(value: &Value) -> Vec<Finding> {
    let mut findings = validate::validate(&schema::settings_schema(), value);
    let rules = PartialRules::read(value.get("rules").unwrap_or(&Value::Null));
    for mut finding in check::check_rules(&rules) {
        finding.pointer.insert_str(0, RULES_POINTER);
        findings.push(finding);
    }
    findings.extend(check_node::check_node(&PartialNode::read(value), &rules));
    findings
}

/// Converts findings to problems, which refer to the file that each value came from.
pub(super) fn to_problems(tree: &Tree, findings: Vec<Finding>) -> Vec<Problem> {
    let mut problems = Vec::new();
    for Finding { pointer, found, accepted, .. } in findings {
        let origin = tree.origin_of(&pointer);
        let file = Some(origin.file.to_path_buf());
        problems.push(Problem { file, path: origin.pointer, found, accepted });
    }
    problems
}

/// A problem of settings that were not read from a file.
fn without_file(finding: Finding) -> Problem {
    let Finding { pointer, found, accepted, .. } = finding;
    Problem { file: None, path: pointer, found, accepted }
}

/// The problem of a load without files, or of files that merge to null.
fn no_settings() -> Problem {
    without_file(Finding::new("", "no settings", "a base file and any overlays"))
}

/// The problem of settings that passed every check but cannot be deserialized.
fn unexpected_error(tree: &Tree, error: &serde_json::Error) -> Problem {
    Problem {
        file: Some(tree.origin.file.to_path_buf()),
        path: String::new(),
        found: error.to_string(),
        accepted: "settings that match the schema".to_owned(),
    }
}
