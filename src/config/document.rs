//! The document that operators submit: the rules of all sites, and what differs at each.

use std::path::Path;

use serde::Deserialize;
use serde_json::{Map, Value};

use super::Rules;
use super::load::check_merged_rules;
use super::merge::merge;
use super::problem::{Finding, Problem};
use super::read::read_text;

/// The name of the part that all sites share, in problems.
const BASE_PART: &str = "base";
/// What the names of the parts of single sites begin with, in problems.
const SITES_PART: &str = "sites";

/// A submitted document, not yet merged.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    /// The rules all sites share.
    base: Value,
    /// What differs at each site, by its name.
    #[serde(default)]
    sites: Map<String, Value>,
}

/// Makes the rules of `site` from the document in `text`. A site of which the document says nothing
/// has the rules that all sites share.
///
/// # Errors
///
/// Every problem of every site, also of those that are not asked for: a document is accepted for
/// all sites or for none.
pub fn read_document(site: &str, text: &str) -> Result<Rules, Vec<Problem>> {
    let document: Document = serde_json::from_str(text).map_err(|error| vec![malformed(&error)])?;
    let mut problems = Vec::new();
    for (name, overlay) in &document.sites {
        let checked = site_rules(&document.base, Some((name, overlay)));
        problems.extend(checked.err().into_iter().flatten());
    }
    if !problems.is_empty() {
        return Err(problems);
    }
    site_rules(&document.base, document.sites.get_key_value(site))
}

/// The rules of one site.
fn site_rules(base: &Value, overlay: Option<(&String, &Value)>) -> Result<Rules, Vec<Problem>> {
    let mut problems = Vec::new();
    let mut tree = read_text(Path::new(BASE_PART), &base.to_string(), &mut problems);
    if let Some((name, overlay)) = overlay {
        let part = Path::new(SITES_PART).join(name);
        if let Some(over) = read_text(&part, &overlay.to_string(), &mut problems) {
            tree = merge(tree, over, super::load::RULES, &mut problems);
        }
    }
    let Some(tree) = tree else { return Err(problems) };
    check_merged_rules(&tree, problems)
}

/// The text is not a document at all.
fn malformed(error: &serde_json::Error) -> Problem {
    let Finding { pointer, found, accepted, .. } = Finding::new(
        "",
        error.to_string(),
        "an object with `base` and, where sites differ, `sites`",
    );
    Problem { file: None, path: pointer, found, accepted }
}
