//! The operator's configuration as it lies in the store.

use std::collections::HashSet;

use eyre::{WrapErr, eyre};
use serde::Deserialize;

use crate::mesh::site::{Limits, Route, RouteKind, Share, Site};
use crate::mesh::teams::roster::{Quota, Roster, Team};

/// The letter before the number of a version.
const VERSION_PREFIX: char = 'r';

#[derive(Deserialize)]
struct Document {
    version: String,
    resources: Vec<Resource>,
}

/// One entry; which kind it is decides what `specification` holds.
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

/// Reads a configuration.
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
            // Kinds that the platform may add concern nobody here.
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
    let found: RouteSpecification = serde_json::from_value(specification)?;
    let mut split = Vec::new();
    for entry in found.traffic_split {
        split.push(Share { service: entry.service, weight: entry.weight });
    }
    if split.is_empty() {
        let service = found.service.ok_or_else(|| eyre!("it leads to no service"))?;
        split.push(Share { service, weight: 1 });
    }
    Ok(Route {
        name: name.into(),
        host: found.host.to_ascii_lowercase(),
        prefix: found.prefix,
        kind: read_kind(&found.kind),
        timeout_ms: found.timeout_ms,
        objective_ms: found.target_latency_ms,
        rank: found.priority,
        attempts_max: found.attempts.max(1),
        needs_no_key: found.allow_anonymous,
        split,
    })
}

/// Reads a team with its keys. What is wrong with it is not told in full, as keys stand in it.
fn read_team(name: &str, specification: serde_json::Value) -> eyre::Result<(Team, Vec<String>)> {
    let found: TenantSpecification = serde_json::from_value(specification)
        .map_err(|_| eyre!("the team {name:?} has fields that cannot be read"))?;
    if !found.rate_per_s.is_finite() || !found.burst.is_finite() || found.burst < 0.0 {
        return Err(eyre!("the team {name:?} has a quota that is no quota"));
    }
    let quota =
        (found.rate_per_s > 0.0).then_some(Quota { per_s: found.rate_per_s, burst: found.burst });
    let team = Team { name: name.into(), rank: found.priority, quota };
    Ok((team, found.api_keys))
}

/// What is not named as idempotent runs once at most.
fn read_kind(kind: &str) -> RouteKind {
    match kind {
        "idempotent" => RouteKind::Idempotent,
        _ => RouteKind::AtMostOnce,
    }
}

fn read_limits(specification: serde_json::Value) -> eyre::Result<Limits> {
    let found: LimitsSpecification = serde_json::from_value(specification)?;
    Ok(Limits {
        head_max_bytes: found.max_header_bytes,
        body_max_bytes: found.max_body_bytes,
        head_timeout_ms: found.header_timeout_ms,
        idle_timeout_ms: found.idle_timeout_ms,
    })
}
