//! How a submitted document becomes the rules of one site.

use crate::config;

use super::state::BuildRules;

/// Makes the rules of `site` from submitted documents; problems stand a line each in its error.
pub fn site_rules(site: &str) -> BuildRules {
    let site = site.to_owned();
    Box::new(move |text| {
        config::read_document(&site, text).map_err(|problems| {
            let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
            lines.join("\n")
        })
    })
}
