//! Which calls belong to which class.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One rule that gives calls a class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RouteSettings {
    /// The service the call is for.
    #[schemars(extend("format" = "name"))]
    pub service: String,
    /// The method, or any where absent.
    #[serde(default)]
    #[schemars(extend("format" = "method"))]
    pub method: Option<String>,
    /// What the path begins with.
    #[serde(default = "default_path_prefix")]
    #[schemars(extend("format" = "path-prefix"))]
    pub path_prefix: String,
    /// The class of calls that fit.
    #[schemars(extend("format" = "name"))]
    pub class: String,
}

fn default_path_prefix() -> String {
    "/".to_owned()
}
