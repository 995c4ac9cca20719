//! Settings: one base file, overlays that change only what differs, one file per section.

pub mod arm;
mod check;
mod check_node;
pub mod class;
mod describe;
mod document;
mod draft;
pub mod effective;
pub mod load;
pub mod lookup;
mod merge;
pub mod node;
pub mod platform;
pub mod policy;
pub mod problem;
mod read;
pub mod route;
pub mod schema;
pub mod service;
mod shape;
pub mod site;
pub mod telemetry;
mod text;
mod tree;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use arm::ArmSettings;
pub use class::ClassSettings;
pub use document::{SiteRules, compose_document, read_document, read_site_rules};
pub use effective::{Effective, EffectiveValue};
pub use load::{check_rules, load, load_site, read_rules};
pub use node::NodeSettings;
pub use platform::PlatformSettings;
pub use policy::{LimitRule, PolicySettings, RetryRule, TargetChoice};
pub use problem::Problem;
pub use route::RouteSettings;
pub use service::ServiceSettings;
pub use site::SiteSettings;
pub use telemetry::TelemetrySettings;
pub use tree::Origin;

/// Everything one node reads at its start: what all nodes of a site share, and what is its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the site.
    #[schemars(extend("format" = "name"))]
    pub site: String,
    /// What this node alone is told.
    pub node: NodeSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// Logs, metrics and traces.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
    /// What may be changed while the site runs.
    pub rules: Rules,
}

/// The part of the settings that is submitted, accepted and spread while the site runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Classes of calls, in any order; their ranks decide which is shed first.
    #[schemars(length(min = 1))]
    pub classes: Vec<ClassSettings>,
    /// Which calls belong to which class; the first route that fits decides.
    #[schemars(length(min = 1))]
    pub routes: Vec<RouteSettings>,
    /// The services of the site.
    #[schemars(length(min = 1))]
    pub services: Vec<ServiceSettings>,
    /// The policies that run side by side.
    #[schemars(length(min = 1))]
    pub arms: Vec<ArmSettings>,
    /// The policies the arms refer to.
    #[schemars(length(min = 1))]
    pub policies: Vec<PolicySettings>,
}
