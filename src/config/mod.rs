//! Settings, read from a base file and overlays that hold only the differences.
//!
//! Each section of the settings has a module of its own.

pub mod arm;
mod check;
mod check_node;
pub mod class;
mod describe;
mod document;
pub mod effective;
mod format;
pub mod load;
pub mod lookup;
mod merge;
pub mod node;
mod partial;
pub mod platform;
pub mod policy;
pub mod problem;
mod read;
pub mod route;
pub mod schema;
pub mod service;
pub mod site;
pub mod telemetry;
mod tree;
mod validate;

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

/// All settings that a node reads at startup: those shared by the site and its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the site.
    #[schemars(extend("format" = "name"))]
    pub site: String,
    /// Settings of this node only.
    pub node: NodeSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Settings for logs and traces.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
    /// The rules, which can be changed while the site runs.
    pub rules: Rules,
}

/// The part of the settings that operators submit and nodes distribute while the site runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Classes of calls, in any order; their ranks set the order of shedding.
    #[schemars(length(min = 1))]
    pub classes: Vec<ClassSettings>,
    /// Assignment of calls to classes; the first matching route applies.
    #[schemars(length(min = 1))]
    pub routes: Vec<RouteSettings>,
    /// The services of the site.
    #[schemars(length(min = 1))]
    pub services: Vec<ServiceSettings>,
    /// The arms, each of which runs a policy on a share of root requests.
    #[schemars(length(min = 1))]
    pub arms: Vec<ArmSettings>,
    /// The policies that arms refer to.
    #[schemars(length(min = 1))]
    pub policies: Vec<PolicySettings>,
}
