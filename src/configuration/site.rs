//! Builds the rules of one site from a submitted document.

use crate::config;

use super::state::BuildRules;

/// Returns a function that builds the rules of `site` from a submitted document. Its error lists
/// the problems, one per line.
pub fn site_rules(site: &str) -> BuildRules {
    let site = site.to_owned();
    Box::new(move |text| {
        config::read_document(&site, text).map_err(|problems| {
            let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
            lines.join("\n")
        })
    })
}
