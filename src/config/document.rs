//! The document that operators submit: the rules of all sites, and what differs at each.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde_json::{Map, Value, json};

use super::describe::render;
use super::load::{RULES, check_merged_rules, load_site, trace};
use super::merge::merge;
use super::problem::{Finding, Problem};
use super::read::{read_file, read_text};
use super::tree::{Kind, Tree, join};
use super::{Rules, shape};

/// The member that holds the rules all sites share.
const BASE: &str = "base";
/// The member that holds what differs at each site, by its name.
const SITES: &str = "sites";
/// The name of a document that came from no file, in problems.
const UNNAMED: &str = "document";

/// The rules that a document gives to its sites.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteRules {
    /// The rules of each site that the document names.
    named: BTreeMap<String, Rules>,
    /// The rules of any other site, or why there are none.
    unnamed: Result<Rules, Vec<Problem>>,
}

impl SiteRules {
    /// The rules of `site`. One that the document does not name has the rules all sites share.
    ///
    /// # Errors
    ///
    /// Why the rules that all sites share do not suffice for a site that is not named.
    pub fn of(self, site: &str) -> Result<Rules, Vec<Problem>> {
        let Self { mut named, unnamed } = self;
        named.remove(site).map_or(unnamed, Ok)
    }
}

/// Makes the rules of `site` from the document in `text`.
///
/// # Errors
///
/// Every problem of every site, also of those that are not asked for: a document is accepted for
/// all sites or for none.
pub fn read_document(site: &str, text: &str) -> Result<Rules, Vec<Problem>> {
    read_site_rules(Path::new(UNNAMED), text)?.of(site)
}

/// Makes the rules of all sites from the document in `text`, which came from `file`.
///
/// # Errors
///
/// Every problem of every site. Where no site is named, the problems of what all sites share.
pub fn read_site_rules(file: &Path, text: &str) -> Result<SiteRules, Vec<Problem>> {
    let mut problems = Vec::new();
    let Some(document) = read_text(file, text, &mut problems) else {
        return Err(problems);
    };
    problems.extend(check_form(&document));
    let (Some(base), true) = (document.member(BASE), problems.is_empty()) else {
        return Err(problems);
    };
    let mut named = BTreeMap::new();
    for (name, overlay) in members_of(document.member(SITES)) {
        match merge_rules(base, Some(overlay)) {
            Ok(rules) => drop(named.insert(name.clone(), rules)),
            Err(wrong) => problems.extend(wrong),
        }
    }
    let unnamed = merge_rules(base, None);
    if named.is_empty() && problems.is_empty() {
        problems.extend(unnamed.clone().err().into_iter().flatten());
    }
    if problems.is_empty() { Ok(SiteRules { named, unnamed }) } else { Err(dedup(problems)) }
}

/// Makes a document of the rules in the settings `base` and in the overlay of each site.
///
/// # Errors
///
/// Every problem of every site's settings, and a site that is named twice.
pub fn compose_document(base: &Path, sites: &[PathBuf]) -> Result<Value, Vec<Problem>> {
    let mut problems = Vec::new();
    let mut overlays = Map::new();
    for file in sites {
        let files = [base.to_path_buf(), file.clone()];
        let site = match load_site(&files) {
            Ok(site) => site.settings.site,
            Err(wrong) => {
                problems.extend(wrong);
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
        overlays.insert(site, rules_in(file, &mut problems));
    }
    let base = rules_in(base, &mut problems);
    let document = json!({ BASE: base, SITES: overlays });
    if problems.is_empty() { Ok(document) } else { Err(dedup(problems)) }
}

/// The rules in a file of settings, as they stand there.
fn rules_in(file: &Path, problems: &mut Vec<Problem>) -> Value {
    let tree = read_file(file, problems);
    let rules = tree.as_ref().and_then(|tree| tree.member("rules"));
    rules.map_or_else(|| json!({}), Tree::to_value)
}

/// The rules that all sites share, with those of one site laid over them.
fn merge_rules(base: &Tree, overlay: Option<&Tree>) -> Result<Rules, Vec<Problem>> {
    let mut problems = Vec::new();
    let mut merged = merge(None, base.clone(), RULES, &mut problems);
    if let Some(overlay) = overlay {
        merged = merge(merged, overlay.clone(), RULES, &mut problems);
    }
    match merged {
        Some(tree) => check_merged_rules(&tree, problems),
        None => Err(problems),
    }
}

/// Everything that is wrong with the form of a document, down to the rules in it.
fn check_form(document: &Tree) -> Vec<Problem> {
    let schema = json!({
        "type": "object",
        "properties": {
            BASE: { "type": "object", "description": "The rules all sites share" },
            SITES: { "type": "object", "description": "What differs at each site, by its name" },
        },
        "additionalProperties": false,
        "required": [BASE],
    });
    // What is inside of these is for the schema of the rules.
    let mut outer = document.to_value();
    for name in [BASE, SITES] {
        if let Some(Value::Object(members)) = outer.get_mut(name) {
            members.clear();
        }
    }
    let mut findings = shape::check(&schema, &outer);
    for (name, overlay) in members_of(document.member(SITES)) {
        if !matches!(overlay.kind, Kind::Object(_)) {
            let pointer = join(&join("", SITES), name);
            let found = render(&overlay.to_value());
            findings.push(Finding::new(pointer, found, "an object"));
        }
    }
    trace(document, findings)
}

/// The members of an object, or nothing.
fn members_of(tree: Option<&Tree>) -> impl Iterator<Item = (&String, &Tree)> {
    let members = tree.and_then(|tree| match &tree.kind {
        Kind::Object(members) => Some(&members.present),
        Kind::Scalar(_) | Kind::List(_) => None,
    });
    members.into_iter().flatten()
}

/// What is wrong with the part that all sites share is found once for each site.
fn dedup(problems: Vec<Problem>) -> Vec<Problem> {
    let mut unique = Vec::new();
    for problem in problems {
        if !unique.contains(&problem) {
            unique.push(problem);
        }
    }
    unique
}
