//! The command `status`.

use std::fmt::Write;

use argh::{ArgsInfo, FromArgs};
use serde_json::Value;

use super::remote::Remote;
use super::{DEFAULT_KEY_ENV, Exit, print, print_json};

/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1_000.0;
/// How far a class's rank stands to the left in a level.
const RANK_SHIFT: u32 = 8;

/// Show the state of nodes: their targets, limits and floors, and what they send to.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// the base URL of a node's operators' listener, such as http://10.20.1.11:7003; may be
    /// repeated
    #[argh(option)]
    pub node: Vec<String>,
    /// the environment variable that holds the operators' key (ASPENSPRING_OPERATOR_KEY)
    #[argh(option, default = "DEFAULT_KEY_ENV.to_owned()")]
    pub key_env: String,
    /// print a list in JSON
    #[argh(switch)]
    pub json: bool,
}

/// Shows the state of nodes. Those that reply are shown even if others do not.
pub(super) fn run(args: &StatusArgs) -> eyre::Result<Exit> {
    if args.node.is_empty() {
        eprintln!("Name a node with --node.");
        return Ok(Exit::Usage);
    }
    let mut exit = Exit::Done;
    let mut statuses = Vec::new();
    for node in &args.node {
        let asked = Remote::new(node, &args.key_env).and_then(|remote| remote.get("status"));
        match asked.and_then(|reply| reply.good()) {
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

/// Writes the lines of one node.
fn write_node(lines: &mut String, status: &Value) -> std::fmt::Result {
    let state = match (is(status, "leaving"), is(status, "ready")) {
        (true, _) => "leaving",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    writeln!(
        lines,
        "{} of {} in {}: {state}, configuration {}, {} other nodes known",
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

/// Writes the line of an arm beside the target.
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

/// Writes the lines of a target that the node sends calls to.
fn write_peer(lines: &mut String, peer: &Value) -> std::fmt::Result {
    let near = if is(peer, "near") { "near" } else { "far" };
    let link = peer["link"].as_str().unwrap_or("connection lost");
    let active = if is(peer, "active") { "" } else { ", not used at present" };
    let leaving = if is(peer, "leaving") { ", leaving" } else { "" };
    let (service, address) = (text(peer, "service"), text(peer, "address"));
    writeln!(lines, "  to {service} at {address}: {near}, {link}{active}{leaving}")?;
    for arm in list(peer, "arms") {
        let errors_percent = 100.0 * arm["errors"].as_f64().unwrap_or_default();
        let use_percent = 100.0 * arm["utilisation"].as_f64().unwrap_or_default();
        let ejected = if is(arm, "ejected") { ", probes only" } else { "" };
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

/// A member that is text.
fn text<'a>(value: &'a Value, member: &str) -> &'a str {
    value[member].as_str().unwrap_or("?")
}

/// A member that is true.
fn is(value: &Value, member: &str) -> bool {
    value[member] == true
}

/// A member that is a list.
fn list<'a>(value: &'a Value, member: &str) -> &'a [Value] {
    value[member].as_array().map(Vec::as_slice).unwrap_or_default()
}

/// The smoothed latency, in words.
fn latency(value: &Value) -> String {
    let latency_ms = value["latency_us"].as_f64().unwrap_or_default() / US_PER_MS;
    format!("{latency_ms:.1} ms")
}

/// The class rank of a floor.
fn rank(value: &Value) -> u64 {
    value["floor"].as_u64().unwrap_or_default() >> RANK_SHIFT
}
