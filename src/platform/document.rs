//! Parses the operator's configuration document from the platform's store.

use std::collections::HashSet;

use eyre::{WrapErr, eyre};
use serde::Deserialize;

use crate::mesh::site::{Limits, Route, RouteKind, Share, Site};
use crate::mesh::teams::roster::{Quota, Roster, Team};

/// The prefix of a version number, as in `r12`.
const VERSION_PREFIX: char = 'r';

#[derive(Deserialize)]
struct Document {
    version: String,
    resources: Vec<Resource>,
}

/// One resource; `resource_kind` determines the fields of `specification`.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Resource {
    resource_kind: String,
    #[serde(default)]
    metadata: Metadata,
    specification: serde_json::Value,
}

#[derive(Default, Deserialize)]
struct Metadata {
    #[serde(default)]
    name: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RouteSpecification {
    host: String,
    prefix: String,
    kind: String,
    timeout_ms: u64,
    #[serde(default)]
    target_latency_ms: u64,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    service: Option<String>,
    #[serde(default)]
    traffic_split: Vec<SplitEntry>,
    attempts: u32,
    #[serde(default)]
    allow_anonymous: bool,
}

#[derive(Deserialize)]
struct SplitEntry {
    service: String,
    weight: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TenantSpecification {
    #[serde(default)]
    api_keys: Vec<String>,
    #[serde(default)]
    priority: Option<u8>,
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct LimitsSpecification {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: u64,
    idle_timeout_ms: u64,
}

/// Parses a configuration document.
pub fn read_document(bytes: &[u8]) -> eyre::Result<Site> {
    let document: Document = serde_json::from_slice(bytes)?;
    let version = read_version(&document.version)?;
    let mut routes = Vec::new();
    let mut limits = Limits::default();
    let mut services = HashSet::new();
    let mut teams = Vec::new();
    for resource in document.resources {
        let name = resource.metadata.name;
        match resource.resource_kind.as_str() {
            "routes" => routes.push(
                read_route(&name, resource.specification)
                    .wrap_err_with(|| format!("the route {name}"))?,
            ),
            "limits" => limits = read_limits(resource.specification)?,
            "tenants" => teams.push(read_team(&name, resource.specification)?),
            "services" => {
                services.insert(name);
            }
            // Kinds that the platform adds later are ignored.
            _ => {}
        }
    }
    let teams = Roster::new(teams)?;
    Ok(Site::new(version, routes, limits).with_services(services).with_teams(teams))
}

fn read_version(text: &str) -> eyre::Result<u64> {
    let number = text.strip_prefix(VERSION_PREFIX).unwrap_or(text);
    number.parse().wrap_err_with(|| format!("the version {text:?}"))
}

fn read_route(name: &str, specification: serde_json::Value) -> eyre::Result<Route> {
    let spec: RouteSpecification = serde_json::from_value(specification)?;
    let mut split = Vec::new();
    for entry in spec.traffic_split {
        split.push(Share { service: entry.service, weight: entry.weight });
    }
    if split.is_empty() {
        let service =
            spec.service.ok_or_else(|| eyre!("it has neither a service nor a traffic split"))?;
        split.push(Share { service, weight: 1 });
    }
    Ok(Route {
        name: name.into(),
        host: spec.host.to_ascii_lowercase(),
        prefix: spec.prefix,
        kind: read_kind(&spec.kind),
        timeout_ms: spec.timeout_ms,
        objective_ms: spec.target_latency_ms,
        rank: spec.priority,
        attempts_max: spec.attempts.max(1),
        needs_no_key: spec.allow_anonymous,
        split,
    })
}

/// Reads a team and its keys. Errors omit the cause, which may quote keys.
fn read_team(name: &str, specification: serde_json::Value) -> eyre::Result<(Team, Vec<String>)> {
    let spec: TenantSpecification = serde_json::from_value(specification)
        .map_err(|_| eyre!("the team {name:?} has missing or invalid fields"))?;
    if !spec.rate_per_s.is_finite() || !spec.burst.is_finite() || spec.burst < 0.0 {
        return Err(eyre!("the team {name:?} has an invalid quota"));
    }
    let quota =
        (spec.rate_per_s > 0.0).then_some(Quota { per_s: spec.rate_per_s, burst: spec.burst });
    let team = Team { name: name.into(), rank: spec.priority, quota };
    Ok((team, spec.api_keys))
}

/// Requests of any kind other than `idempotent` run at most once.
fn read_kind(kind: &str) -> RouteKind {
    match kind {
        "idempotent" => RouteKind::Idempotent,
        _ => RouteKind::AtMostOnce,
    }
}

fn read_limits(specification: serde_json::Value) -> eyre::Result<Limits> {
    let spec: LimitsSpecification = serde_json::from_value(specification)?;
    Ok(Limits {
        head_max_bytes: spec.max_header_bytes,
        body_max_bytes: spec.max_body_bytes,
        head_timeout_ms: spec.header_timeout_ms,
        idle_timeout_ms: spec.idle_timeout_ms,
    })
}
