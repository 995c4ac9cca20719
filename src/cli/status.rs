//! The `status` command: prints the state of nodes.

use std::fmt::Write;

use argh::{ArgsInfo, FromArgs};
use serde_json::Value;

use super::remote::OperatorClient;
use super::{DEFAULT_KEY_ENV, Exit, print, print_json};

const US_PER_MS: f64 = 1_000.0;
/// Bit offset of the class rank within a priority level; the lower bits order calls of one class.
const CLASS_RANK_SHIFT: u32 = 8;

/// Show the status of nodes: their targets, concurrency limits, admission floors and peers.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// the base URL of a node's operator listener, such as http://10.20.1.11:7003; may be
    /// repeated
    #[argh(option)]
    pub node: Vec<String>,
    /// the environment variable that holds the operator key (default: ASPENSPRING_OPERATOR_KEY)
    #[argh(option, default = "DEFAULT_KEY_ENV.to_owned()")]
    pub key_env: String,
    /// print a JSON array
    #[argh(switch)]
    pub json: bool,
}

/// Prints the status of every node that replies. The exit code is `Failed` if one does not.
pub(super) fn run(args: &StatusArgs) -> eyre::Result<Exit> {
    if args.node.is_empty() {
        eprintln!("Give at least one node with --node.");
        return Ok(Exit::Usage);
    }
    let mut exit = Exit::Success;
    let mut statuses = Vec::new();
    for node in &args.node {
        let result =
            OperatorClient::new(node, &args.key_env).and_then(|client| client.get("status"));
        match result.and_then(|reply| reply.success_body()) {
            Ok(status) => statuses.push(status),
            Err(error) => {
                eprintln!("{node}: {error:#}");
                exit = Exit::Failed;
            }
        }
    }
    if args.json {
        print_json(&statuses)?;
        return Ok(exit);
    }
    let mut lines = String::new();
    for status in &statuses {
        write_node(&mut lines, status)?;
    }
    print(&lines)?;
    Ok(exit)
}

/// Writes the status of one node, its arms and its peers.
fn write_node(lines: &mut String, status: &Value) -> std::fmt::Result {
    let state = match (is_true(status, "leaving"), is_true(status, "ready")) {
        (true, _) => "leaving",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    writeln!(
        lines,
        "{} of {} in {}: {state}, configuration {}, {} other members",
        text(status, "name"),
        text(status, "service"),
        text(status, "failure_domain"),
        status["config_version"],
        status["members"],
    )?;
    let target = status["target_url"].as_str().unwrap_or("none");
    writeln!(lines, "  target {target}; {} calls in, {} out", status["inbound"], status["hops"])?;
    for arm in list(status, "arms") {
        write_arm(lines, arm)?;
    }
    for peer in list(status, "peers") {
        write_peer(lines, peer)?;
    }
    Ok(())
}

/// Writes the load of one arm at the node's own target.
fn write_arm(lines: &mut String, arm: &Value) -> std::fmt::Result {
    let load = &arm["load"];
    writeln!(
        lines,
        "  arm {}: {} running, {} queued, limit {}, {}, sheds below rank {}",
        text(arm, "arm"),
        load["running"],
        load["queued"],
        load["limit"],
        latency(load),
        rank(load),
    )
}

/// Writes the state of a target that the node sends calls to, and the load of its arms.
fn write_peer(lines: &mut String, peer: &Value) -> std::fmt::Result {
    let near = if is_true(peer, "near") { "near" } else { "far" };
    let link = peer["link"].as_str().unwrap_or("connection lost");
    let active = if is_true(peer, "active") { "" } else { ", inactive" };
    let leaving = if is_true(peer, "leaving") { ", leaving" } else { "" };
    let (service, address) = (text(peer, "service"), text(peer, "address"));
    writeln!(lines, "  to {service} at {address}: {near}, {link}{active}{leaving}")?;
    for arm in list(peer, "arms") {
        let errors_percent = 100.0 * arm["errors"].as_f64().unwrap_or_default();
        let use_percent = 100.0 * arm["utilisation"].as_f64().unwrap_or_default();
        let ejected = if is_true(arm, "ejected") { ", probes only" } else { "" };
        writeln!(
            lines,
            "    arm {}: {} outstanding, {}, {errors_percent:.1} % errors, {use_percent:.0} % in \
             use, sheds below rank {}{ejected}",
            arm["arm"],
            arm["outstanding"],
            latency(arm),
            rank(arm),
        )?;
    }
    Ok(())
}

/// A string member; `?` if absent.
fn text<'a>(value: &'a Value, member: &str) -> &'a str {
    value[member].as_str().unwrap_or("?")
}

/// Whether a boolean member is true; false if absent.
fn is_true(value: &Value, member: &str) -> bool {
    value[member] == true
}

/// An array member; empty if absent.
fn list<'a>(value: &'a Value, member: &str) -> &'a [Value] {
    value[member].as_array().map(Vec::as_slice).unwrap_or_default()
}

/// Formats the smoothed latency in milliseconds.
fn latency(value: &Value) -> String {
    let latency_ms = value["latency_us"].as_f64().unwrap_or_default() / US_PER_MS;
    format!("{latency_ms:.1} ms")
}

/// The class rank of the admission floor.
fn rank(value: &Value) -> u64 {
    value["floor"].as_u64().unwrap_or_default() >> CLASS_RANK_SHIFT
}
