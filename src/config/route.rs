//! Routes, which assign calls to classes.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A rule that assigns matching calls to a class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RouteSettings {
    /// The service that is called.
    #[schemars(extend("format" = "name"))]
    pub service: String,
    /// The HTTP method; any method if absent.
    #[serde(default)]
    #[schemars(extend("format" = "method"))]
    pub method: Option<String>,
    /// The prefix of the path, matched by whole segments.
    #[serde(default = "default_path_prefix")]
    #[schemars(extend("format" = "path-prefix"))]
    pub path_prefix: String,
    /// The class of matching calls.
    #[schemars(extend("format" = "name"))]
    pub class: String,
}

fn default_path_prefix() -> String {
    "/".to_owned()
}
