//! The document that operators submit: rules shared by all sites, and an overlay for each site.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde_json::{Map, Value, json};

use super::describe::render;
use super::load::{RULES_POINTER, check_merged_rules, load_site, to_problems};
use super::merge::merge;
use super::problem::{Finding, Problem};
use super::read::{read_file, read_text};
use super::tree::{Tree, TreeValue, join_pointer};
use super::{Rules, validate};

/// The member with the rules that all sites share.
const BASE: &str = "base";
/// The member with the overlay of each site, by site name.
const SITES: &str = "sites";
/// The file name in problems of a document that was not read from a file.
const UNNAMED_FILE: &str = "document";

/// The rules of all sites, as read from a document.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteRules {
    /// The rules of each site that has an overlay in the document.
    by_site: BTreeMap<String, Rules>,
    /// The rules of any other site, or the problems that make them invalid.
    shared: Result<Rules, Vec<Problem>>,
}

impl SiteRules {
    /// The rules of `site`. A site without an overlay gets the shared rules.
    ///
    /// # Errors
    ///
    /// The problems of the shared rules, if `site` has no overlay and they are not valid alone.
    pub fn for_site(self, site: &str) -> Result<Rules, Vec<Problem>> {
        let Self { mut by_site, shared } = self;
        by_site.remove(site).map_or(shared, Ok)
    }
}

/// Reads the rules of `site` from the document in `text`.
///
/// # Errors
///
/// Every problem of every site, not only of `site`: a document is accepted for all sites or for
/// none.
pub fn read_document(site: &str, text: &str) -> Result<Rules, Vec<Problem>> {
    read_site_rules(Path::new(UNNAMED_FILE), text)?.for_site(site)
}

/// Reads the rules of all sites from the document in `text`, which came from `file`.
///
/// # Errors
///
/// Every problem of every site; if the document has no overlays, the problems of the shared rules.
pub fn read_site_rules(file: &Path, text: &str) -> Result<SiteRules, Vec<Problem>> {
    let mut problems = Vec::new();
    let Some(document) = read_text(file, text, &mut problems) else {
        return Err(problems);
    };
    problems.extend(check_structure(&document));
    let (Some(base), true) = (document.member(BASE), problems.is_empty()) else {
        return Err(problems);
    };
    let mut by_site = BTreeMap::new();
    for (name, overlay) in members_of(document.member(SITES)) {
        match merge_rules(base, Some(overlay)) {
            Ok(rules) => drop(by_site.insert(name.clone(), rules)),
            Err(site_problems) => problems.extend(site_problems),
        }
    }
    let shared = merge_rules(base, None);
    if by_site.is_empty() && problems.is_empty() {
        problems.extend(shared.clone().err().into_iter().flatten());
    }
    if problems.is_empty() { Ok(SiteRules { by_site, shared }) } else { Err(dedup(problems)) }
}

/// Composes a document from the rules in the settings file `base` and in the overlay file of each
/// site.
///
/// # Errors
///
/// Every problem of every site's settings, and every site that is given twice.
pub fn compose_document(base: &Path, sites: &[PathBuf]) -> Result<Value, Vec<Problem>> {
    let mut problems = Vec::new();
    let mut overlays = Map::new();
    for file in sites {
        let files = [base.to_path_buf(), file.clone()];
        let site = match load_site(&files) {
            Ok(site) => site.settings.site,
            Err(site_problems) => {
                problems.extend(site_problems);
                continue;
            }
        };
        if overlays.contains_key(&site) {
            problems.push(Problem {
                file: Some(file.clone()),
                path: "/site".to_owned(),
                found: format!("\"{site}\" a second time"),
                accepted: "each site once".to_owned(),
            });
        }
        overlays.insert(site, read_rules_section(file, &mut problems));
    }
    let base = read_rules_section(base, &mut problems);
    let document = json!({ BASE: base, SITES: overlays });
    if problems.is_empty() { Ok(document) } else { Err(dedup(problems)) }
}

/// The rules section of a settings file, unmerged.
fn read_rules_section(file: &Path, problems: &mut Vec<Problem>) -> Value {
    let tree = read_file(file, problems);
    let rules = tree.as_ref().and_then(|tree| tree.member("rules"));
    rules.map_or_else(|| json!({}), Tree::to_value)
}

/// Merges the overlay of one site into the shared rules and checks the result.
fn merge_rules(base: &Tree, overlay: Option<&Tree>) -> Result<Rules, Vec<Problem>> {
    let mut problems = Vec::new();
    let mut merged = merge(None, base.clone(), RULES_POINTER, &mut problems);
    if let Some(overlay) = overlay {
        merged = merge(merged, overlay.clone(), RULES_POINTER, &mut problems);
    }
    match merged {
        Some(tree) => check_merged_rules(&tree, problems),
        None => Err(problems),
    }
}

/// Checks the structure of a document down to, but not including, the rules in it.
fn check_structure(document: &Tree) -> Vec<Problem> {
    let schema = json!({
        "type": "object",
        "properties": {
            BASE: { "type": "object", "description": "The rules that all sites share" },
            SITES: { "type": "object", "description": "The overlay of each site, by site name" },
        },
        "additionalProperties": false,
        "required": [BASE],
    });
    // The contents of these members are left out; they are checked against the schema of the rules.
    let mut outline = document.to_value();
    for name in [BASE, SITES] {
        if let Some(Value::Object(members)) = outline.get_mut(name) {
            members.clear();
        }
    }
    let mut findings = validate::validate(&schema, &outline);
    for (name, overlay) in members_of(document.member(SITES)) {
        if !matches!(overlay.value, TreeValue::Object(_)) {
            let pointer = join_pointer(&join_pointer("", SITES), name);
            let found = render(&overlay.to_value());
            findings.push(Finding::new(pointer, found, "an object"));
        }
    }
    to_problems(document, findings)
}

/// The members of an object; empty if `tree` is not an object.
fn members_of(tree: Option<&Tree>) -> impl Iterator<Item = (&String, &Tree)> {
    let members = tree.and_then(|tree| match &tree.value {
        TreeValue::Object(members) => Some(&members.present),
        TreeValue::Scalar(_) | TreeValue::List(_) => None,
    });
    members.into_iter().flatten()
}

/// Removes duplicates: a problem in the shared rules is found once for each site.
fn dedup(problems: Vec<Problem>) -> Vec<Problem> {
    let mut unique = Vec::new();
    for problem in problems {
        if !unique.contains(&problem) {
            unique.push(problem);
        }
    }
    unique
}
