//! Determines from log lines why a request ended the way it did.

use std::fmt;

use serde::Serialize;

use super::line::Line;
use super::step::{CALLER_LEFT, Role, Step};

/// Node events within this many milliseconds of a step's end are given as context: the loss of a
/// node is noticed within 2.5 s, and the restarted node needs a little longer to start.
const CONTEXT_MS: u64 = 4_000;
/// Maximum number of context lines.
const CONTEXT_MAX: usize = 12;
/// A connection that was silent for longer than this, in milliseconds, was lost to a timeout; with
/// less silence, the peer closed it.
const SILENCE_MIN_MS: u64 = 1_500;

/// A call that expired within this time, in milliseconds, was not queued.
const NOT_QUEUED_MAX_MS: u64 = 3;
/// The status with which a target reports that its own time limit passed.
const GATEWAY_TIMEOUT: u64 = 504;

/// Why a request ended the way it did.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "cause", rename_all = "snake_case")]
pub enum Cause {
    /// No log line mentions the request.
    NotLogged,
    /// The target answered, in time as far as the logs show.
    WentWell {
        /// How long the caller waited, in milliseconds.
        took_ms: u64,
        /// How many times it reached a target.
        arrivals: u64,
    },
    /// The caller closed the connection before it received the answer.
    CallerLeft {
        /// The entry node.
        node: String,
        /// Time from reading the request to noticing the close, in milliseconds.
        took_ms: u64,
        /// The state of the request at that time: `reading`, `waiting` or `answered`.
        noticed: String,
    },
    /// The entry node shed the request because a downstream service was overloaded.
    Shed {
        /// The entry node.
        node: String,
        /// The overloaded service; empty if the log line does not name it.
        service: String,
        /// Percentage of the route's requests that were admitted at the time.
        admitted_percent: u64,
    },
    /// The entry node shed the request because its tree would most likely not have completed.
    Unlikely {
        /// The entry node.
        node: String,
        /// The service whose targets reject calls; empty if the log line does not name it.
        service: String,
        /// Percentage of the route's requests that were admitted at the time.
        admitted_percent: u64,
    },
    /// The deadline passed in the queue of a busy target, or the queue was full.
    Busy {
        /// The node of the target.
        node: String,
        /// The target's service.
        service: String,
        /// `expired` or `queue-full`.
        reason: String,
        /// Requests running on the target.
        running: u64,
        /// Requests queued for the target.
        waiting: u64,
        /// Maximum number of requests running concurrently.
        limit: u64,
        /// Whether that target, or its node, had only just started.
        has_just_started: bool,
    },
    /// The limits that the targets of the service had named were used up.
    Limited {
        /// The node that refused it.
        node: String,
        /// The service.
        service: String,
        /// The limit of the target that refused it last, who named it and how long before.
        limit: String,
    },
    /// No known node had a target that accepts requests for the service.
    NoTarget {
        /// The node that looked for one.
        node: String,
        /// The service.
        service: String,
        /// `no-target`, `leaving`, `target-unreachable` or `unsent`.
        reason: String,
    },
    /// The request is quarantined: targets that ran the same request have crashed.
    HeldBack {
        /// The fingerprint that all attempts of the request share.
        fingerprint: String,
    },
    /// No team has the API key of the request, or the request had no key or several.
    NoKey {
        /// The entry node.
        node: String,
        /// The configuration version that the entry node applied.
        config_version: u64,
    },
    /// The quota of the team was used up.
    OverQuota {
        /// The entry node.
        node: String,
        /// The team.
        team: String,
        /// The state of the quota as known to the entry node.
        quota: String,
        /// The configuration version that the entry node applied.
        config_version: u64,
    },
    /// The team asked for more than its share of an overloaded service.
    OverShare {
        /// The entry node.
        node: String,
        /// The team; empty for requests without one.
        team: String,
        /// The share and the demand as known to the entry node.
        share: String,
    },
    /// The parent request of the call had ended, or had begun before the node started.
    Orphaned {
        /// The node.
        node: String,
    },
    /// The node that received the request was shutting down.
    Closing {
        /// That node.
        node: String,
    },
    /// A nested call arrived with too little of the deadline left to run.
    TimeUsedUp {
        /// The node of the target that the call was sent to.
        node: String,
        /// The service of that target.
        service: String,
        /// How long the caller's request took, in milliseconds.
        took_ms: u64,
        /// Whether that target, or its node, had only just started.
        has_just_started: bool,
    },
    /// The target received the request and did not answer in time.
    Slow {
        /// The node of the target.
        node: String,
        /// The service.
        service: String,
        /// How long the sender waited for the answer, in milliseconds.
        took_ms: u64,
        /// Whether the node of the target logged nothing about the request.
        is_silent: bool,
    },
    /// The connection to the node that was handling the request was lost.
    LinkLost {
        /// The node that was handling it.
        peer: String,
        /// How long nothing had been received from that node, in milliseconds.
        silent_ms: u64,
        /// Whether that node, or its replacement, logged a stop or a start.
        has_restarted: bool,
    },
    /// The target failed the request.
    TargetFailed {
        /// The node of the target.
        node: String,
        /// The service.
        service: String,
        /// `target-failed`, `target-broke`, `target-declined`, or `call-failed` for a failed nested
        /// call that no log line mentions.
        reason: String,
        /// What the node observed; empty if it observed only the status.
        detail: String,
    },
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLogged => f.write_str(
                "no log line mentions it: it succeeded, its line was suppressed, or the log of its \
                 entry node is missing",
            ),
            Self::WentWell { took_ms, arrivals } => {
                write!(f, "answered after {took_ms} ms; it reached a target {arrivals} time(s)")
            }
            Self::Shed { node, service, admitted_percent } => {
                let service = if service.is_empty() { "a downstream service" } else { service };
                write!(
                    f,
                    "refused by {node} before anything ran: {service} was overloaded, and \
                     {admitted_percent}% of the requests of its route were admitted"
                )
            }
            Self::Unlikely { node, service, admitted_percent } => {
                let service = if service.is_empty() { "a downstream service" } else { service };
                write!(
                    f,
                    "refused by {node} before anything ran: the targets of {service} rejected so \
                     many calls that the retry budget sufficed for {admitted_percent}% of the \
                     requests of its route"
                )
            }
            Self::Busy { node, service, reason, running, waiting, limit, has_just_started } => {
                let how = if reason == "expired" {
                    "the deadline passed in its queue"
                } else {
                    "its queue was full"
                };
                write!(
                    f,
                    "the target of {service} at {node} was busy ({running} of {limit} running, \
                     {waiting} queued): {how}"
                )?;
                if *has_just_started {
                    f.write_str("; that target or its node had only just started")?;
                }
                Ok(())
            }
            Self::Limited { node, service, limit } => {
                write!(
                    f,
                    "refused by {node} before it ran: the targets of {service} accept no more"
                )?;
                if !limit.is_empty() {
                    write!(f, " ({limit})")?;
                }
                Ok(())
            }
            Self::NoTarget { node, service, reason } => {
                write!(f, "{node} found no target of {service} that accepts requests ({reason})")
            }
            Self::HeldBack { fingerprint } => {
                write!(f, "quarantined, because targets crashed while running the same request")?;
                if !fingerprint.is_empty() {
                    write!(f, " ({fingerprint})")?;
                }
                Ok(())
            }
            Self::CallerLeft { node, took_ms, noticed } => write!(
                f,
                "the caller closed its connection to {node}, noticed after {took_ms} ms ({noticed})"
            ),
            Self::NoKey { node, config_version } => write!(
                f,
                "refused by {node}: in configuration {config_version} no team has its API key, or it \
                 had none or several"
            ),
            Self::OverQuota { node, team, quota, config_version } => write!(
                f,
                "refused by {node}: the team {team:?} has used up its quota ({quota}; configuration \
                 {config_version})"
            ),
            Self::OverShare { node, team, share } => write!(
                f,
                "refused by {node}: the team {team:?} asks for more than its share of an overloaded \
                 service ({share})"
            ),
            Self::Orphaned { node } => write!(
                f,
                "abandoned by {node}: its parent request had ended, or had begun before the node started"
            ),
            Self::Closing { node } => write!(f, "{node} was shutting down"),
            Self::TimeUsedUp { node, service, took_ms, has_just_started } => {
                write!(
                    f,
                    "its {took_ms} ms were used up before a call to {service} at {node} could run"
                )?;
                if *has_just_started {
                    f.write_str("; that target or its node had only just started")?;
                }
                Ok(())
            }
            Self::Slow { node, service, took_ms, is_silent } => {
                write!(f, "the target of {service} at {node} did not answer within {took_ms} ms")?;
                if *is_silent {
                    f.write_str("; that node logged nothing about it")?;
                }
                Ok(())
            }
            Self::LinkLost { peer, silent_ms, has_restarted } => {
                let how = if *silent_ms > SILENCE_MIN_MS { "fell silent" } else { "was closed" };
                write!(
                    f,
                    "the connection to {peer}, which handled it, {how} ({silent_ms} ms silent)"
                )?;
                if *has_restarted {
                    f.write_str("; that node stopped or started around then")?;
                }
                Ok(())
            }
            Self::TargetFailed { node, service, reason, detail } => {
                write!(f, "the target of {service} at {node} failed it ({reason})")?;
                if reason == "call-failed" {
                    f.write_str(": a nested call failed that no log line mentions")?;
                }
                if !detail.is_empty() {
                    write!(f, ": {detail}")?;
                }
                Ok(())
            }
        }
    }
}

/// Returns the cause of the outcome, and the node events that may have contributed to it.
pub fn find_cause(steps: &[Step], lines: &[Line]) -> (Cause, Vec<Line>) {
    let Some(deepest) = deepest_failed_step(steps) else {
        let entry = steps.iter().find(|step| step.role == Role::Entry);
        let cause = entry.map_or(Cause::NotLogged, |entry| Cause::WentWell {
            took_ms: entry.took_ms,
            arrivals: entry.line.number("arrivals"),
        });
        return (cause, Vec::new());
    };
    let last_node = deepest.offered.last().filter(|_| deepest.role == Role::Entry);
    let last_node = last_node.unwrap_or(&deepest.node);
    let context = context(deepest, last_node, lines);
    (cause_of_step(deepest, last_node, steps, &context), context)
}

/// Finds the failed step that made the others fail. Follows the calls down from the caller's
/// request; at each depth, the failed call that ended last made its parent fail.
fn deepest_failed_step(steps: &[Step]) -> Option<&Step> {
    let mut deepest = steps.iter().find(|step| step.depth == 0 && step.has_failed())?;
    // Failures of its nested calls are a consequence, because they were withdrawn.
    if deepest.reason == CALLER_LEFT {
        return Some(deepest);
    }
    loop {
        let caused_deepest = |step: &&Step| {
            step.has_failed()
                && step.attempt.strip_prefix(deepest.attempt.as_str()).is_some_and(|rest| {
                    let is_call = rest.starts_with('.') && rest.matches('.').count() == 1;
                    let is_other_side = rest.is_empty() && deepest.role == Role::Entry;
                    is_call || is_other_side && step.role == Role::Target
                })
        };
        // A nested call is closer to the cause than the target side of the same attempt.
        let below =
            steps.iter().filter(caused_deepest).max_by_key(|step| (step.depth, step.unix_ms));
        let Some(below) = below else { return Some(deepest) };
        deepest = below;
    }
}

/// Events of `node` and of the step's own node that were logged around the end of the step.
fn context(step: &Step, node: &str, lines: &[Line]) -> Vec<Line> {
    const NODE_EVENTS: [&str; 15] = [
        "MeshStarted",
        "LeavingStarted",
        "LeavingFinished",
        "TargetChanged",
        "TargetCrashed",
        "TargetSignalled",
        "RequestHeld",
        "AdmissionChanged",
        "CompletionChanged",
        "TeamSharesChanged",
        "LinkLost",
        "FollowerChanged",
        "StoreAway",
        "StoreBack",
        "ConfigInForce",
    ];
    let mut context = Vec::new();
    for line in lines {
        let is_node_event = NODE_EVENTS.contains(&line.name.as_str());
        if !is_node_event || !line.is_within(step.unix_ms, CONTEXT_MS) {
            continue;
        }
        let is_relevant_link = line.name != "LinkLost"
            || super::step::node_name(line.text("peer"), &line.node, lines) == node;
        let names_route = matches!(line.name.as_str(), "AdmissionChanged" | "CompletionChanged");
        let is_relevant_route = !names_route || line.text("root") == step.root;
        if (line.node == node || line.node == step.node) && is_relevant_link && is_relevant_route {
            context.push(line.clone());
        }
    }
    context.sort_by_key(|line| line.unix_ms.abs_diff(step.unix_ms));
    context.truncate(CONTEXT_MAX);
    context.sort_by_key(|line| line.unix_ms);
    context
}

/// Determines the cause from the deepest failed step and its context.
fn cause_of_step(step: &Step, last_node: &str, steps: &[Step], context: &[Line]) -> Cause {
    let node = last_node.to_owned();
    let service = service_of(step, steps);
    let reason = step.reason.clone();
    let has_just_started = context.iter().any(|line| {
        let is_start = line.name == "MeshStarted" || line.text("state") == "cold";
        line.node == node && is_start
    });
    match reason.as_str() {
        "shed" => Cause::Shed {
            node: step.node.clone(),
            service: step.line.text("limited_by").to_owned(),
            admitted_percent: step.line.number("admitted_percent"),
        },
        "unlikely-to-finish" => Cause::Unlikely {
            node: step.node.clone(),
            service: step.line.text("limited_by").to_owned(),
            admitted_percent: step.line.number("admitted_percent"),
        },
        "expired" if step.took_ms < NOT_QUEUED_MAX_MS && step.line.number("waiting") == 0 => {
            Cause::TimeUsedUp {
                node,
                service,
                took_ms: steps.first().map_or(0, |first| first.took_ms),
                has_just_started,
            }
        }
        "expired" | "queue-full" => Cause::Busy {
            node,
            service,
            reason,
            running: step.line.number("running"),
            waiting: step.line.number("waiting"),
            limit: step.line.number("limit"),
            has_just_started,
        },
        "no-target" | "leaving" | "target-unreachable" | "unsent" => {
            Cause::NoTarget { node: step.node.clone(), service, reason }
        }
        "target-limited" => {
            Cause::Limited { node, service, limit: step.line.text("target_limit").to_owned() }
        }
        "quarantined" => Cause::HeldBack { fingerprint: step.line.text("fingerprint").to_owned() },
        "no-key" => Cause::NoKey {
            node: step.node.clone(),
            config_version: step.line.number("config_version"),
        },
        "over-quota" => Cause::OverQuota {
            node: step.node.clone(),
            team: step.line.text("team").to_owned(),
            quota: step.line.text("quota").to_owned(),
            config_version: step.line.number("config_version"),
        },
        "over-share" => Cause::OverShare {
            node: step.node.clone(),
            team: step.line.text("team").to_owned(),
            share: step.line.text("share").to_owned(),
        },
        CALLER_LEFT => Cause::CallerLeft {
            node: step.node.clone(),
            took_ms: step.took_ms,
            noticed: step.line.text("noticed").to_owned(),
        },
        "orphaned" | "withdrawn" => Cause::Orphaned { node: step.node.clone() },
        "closing" => Cause::Closing { node: step.node.clone() },
        _ if reason == "timeout" || step.status == GATEWAY_TIMEOUT => Cause::Slow {
            node,
            service,
            took_ms: step.took_ms,
            is_silent: step.role == Role::Entry,
        },
        "link-lost" => {
            let lost = context.iter().find(|line| line.name == "LinkLost");
            let has_restarted = context.iter().any(|line| {
                let is_restart = line.name == "MeshStarted" || line.name.starts_with("Leaving");
                line.node == node && is_restart
            });
            Cause::LinkLost {
                peer: node,
                silent_ms: lost.map_or(0, |line| line.number("silent_ms")),
                has_restarted,
            }
        }
        _ => {
            let detail = step.line.text("detail").to_owned();
            Cause::TargetFailed { node, service, reason, detail }
        }
    }
}

/// The service of a step, or the one that the entry node logged for the same attempt.
fn service_of(step: &Step, steps: &[Step]) -> String {
    if !step.service.is_empty() {
        return step.service.clone();
    }
    let is_same_attempt =
        |other: &&Step| other.attempt == step.attempt && !other.service.is_empty();
    steps.iter().find(is_same_attempt).map(|other| other.service.clone()).unwrap_or_default()
}
