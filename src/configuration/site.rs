//! How a submitted document becomes the rules of one site.

use serde::Deserialize;
use serde_json::{Map, Value};

use crate::config::Rules;

use super::state::BuildRules;

/// A submitted document.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    /// The rules all sites share.
    base: Value,
    /// What differs at each site, by its name.
    #[serde(default)]
    sites: Map<String, Value>,
}

/// Makes the rules of `site` from a document.
pub fn site_rules(site: &str) -> BuildRules {
    let site = site.to_owned();
    Box::new(move |text| build(&site, text))
}

/// The rules of `site` in the document `text`, or what is wrong with it.
fn build(site: &str, text: &str) -> Result<Rules, String> {
    let document: Document = serde_json::from_str(text).map_err(|error| error.to_string())?;
    if document.sites.contains_key(site) {
        return Err("overlays are not merged yet".to_owned());
    }
    serde_json::from_value(document.base).map_err(|error| error.to_string())
}
