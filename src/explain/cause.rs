//! Why a request ended as it did.

use std::fmt;

use serde::Serialize;

use super::line::Line;
use super::step::{CALLER_LEFT, Role, Step};

/// How far around the end of a step a node's lines about itself may bear on it, in milliseconds: a
/// node that was lost is noticed within 2.5 s, and its successor needs a moment more to start.
const CONTEXT_MS: u64 = 4_000;
/// The most lines that are given as context.
const CONTEXT_MAX: usize = 12;
/// A link that was silent for longer than this, in milliseconds, was lost for its silence and not
/// because the other side closed it.
const SILENT_MS: u64 = 1_500;

/// A call that expired within this time, in milliseconds, had not waited.
const AT_ONCE_MS: u64 = 3;
/// The status of a target whose own time was over.
const GATEWAY_TIMEOUT: u64 = 504;

/// Why a request ended as it did.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "cause", rename_all = "snake_case")]
pub enum Cause {
    /// No line tells of it.
    NotLogged,
    /// It was answered by the target, in time as far as the logs say.
    WentWell {
        /// How long the caller waited, in milliseconds.
        took_ms: u64,
        /// How often it reached a target.
        arrivals: u64,
    },
    /// Its caller closed the connection before it had the answer.
    CallerLeft {
        /// The entry.
        node: String,
        /// How long after the request had been read that was noticed, in milliseconds.
        took_ms: u64,
        /// When that was: `reading`, `waiting` or `answered`.
        noticed: String,
    },
    /// The entry refused it as a service further down had no room.
    Shed {
        /// The entry.
        node: String,
        /// That service; empty where the line does not tell.
        service: String,
        /// How many in 100 requests of its route were let in at that moment.
        admitted_percent: u64,
    },
    /// It waited for a busy target until its time was over, or found the queue full.
    Busy {
        /// The node beside the target.
        node: String,
        /// Its service.
        service: String,
        /// `expired` or `queue-full`.
        reason: String,
        /// Requests that ran there.
        running: u64,
        /// Requests that waited there.
        waiting: u64,
        /// How many may run there at once.
        limit: u64,
        /// Whether that target, or its node, had only just started.
        has_just_started: bool,
    },
    /// No node was known whose target takes work of the service.
    NoTarget {
        /// The node that looked for one.
        node: String,
        /// The service.
        service: String,
        /// `no-target`, `leaving`, `target-unreachable` or `unsent`.
        reason: String,
    },
    /// It is held back, as targets that ran the same request have ended.
    HeldBack {
        /// What all attempts at the request have in common.
        fingerprint: String,
    },
    /// Nobody holds the key that it carried, or it carried none, or several.
    NoKey {
        /// The entry.
        node: String,
        /// The version of the configuration that the entry went by.
        config_version: u64,
    },
    /// The quota of its team was used up.
    OverQuota {
        /// The entry.
        node: String,
        /// The team.
        team: String,
        /// What the entry knew of the quota.
        quota: String,
        /// The version of the configuration that the entry went by.
        config_version: u64,
    },
    /// It was a call for a run that had ended, or that began before the node did.
    Orphaned {
        /// The node.
        node: String,
    },
    /// The node that took it was about to end.
    Closing {
        /// That node.
        node: String,
    },
    /// So much of its time was used up above that a call made for it came too late to be run.
    TimeUsedUp {
        /// The node beside the target that the call came to.
        node: String,
        /// The service of that target.
        service: String,
        /// How long the caller's request had taken, in milliseconds.
        took_ms: u64,
        /// Whether that target, or its node, had only just started.
        has_just_started: bool,
    },
    /// The target had it and did not answer in time.
    Slow {
        /// The node beside the target.
        node: String,
        /// The service.
        service: String,
        /// How long it was waited for, in milliseconds.
        took_ms: u64,
        /// Whether the node beside the target wrote nothing of it.
        is_silent: bool,
    },
    /// The connection to the node that had it was lost.
    LinkLost {
        /// The node that had it.
        peer: String,
        /// How long nothing had come from there, in milliseconds.
        silent_ms: u64,
        /// Whether that node, or its successor, tells that it ended or started.
        has_restarted: bool,
    },
    /// The target failed it.
    TargetFailed {
        /// The node beside the target.
        node: String,
        /// The service.
        service: String,
        /// `target-failed`, `target-broke`, `target-declined`, or `call-failed` where a call that it made
        /// failed of which no line tells.
        reason: String,
        /// What its node noticed; empty where that is the status only.
        detail: String,
    },
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLogged => f.write_str(
                "no line tells of it: it went well, or its line was left out, or the log of its \
                 entry is missing",
            ),
            Self::WentWell { took_ms, arrivals } => {
                write!(f, "answered after {took_ms} ms, having reached a target {arrivals} time(s)")
            }
            Self::Shed { node, service, admitted_percent } => {
                let service = if service.is_empty() { "a service further down" } else { service };
                write!(
                    f,
                    "refused by {node} before anything ran: {service} had no room, and \
                     {admitted_percent} in 100 requests of its route were let in"
                )
            }
            Self::Busy { node, service, reason, running, waiting, limit, has_just_started } => {
                let how = if reason == "expired" {
                    "it waited until its time was over"
                } else {
                    "the queue was full"
                };
                write!(
                    f,
                    "the target of {service} beside {node} was busy ({running} of {limit} ran, \
                     {waiting} waited): {how}"
                )?;
                if *has_just_started {
                    f.write_str("; that target or its node had only just started")?;
                }
                Ok(())
            }
            Self::NoTarget { node, service, reason } => {
                write!(f, "{node} found no target of {service} that takes work ({reason})")
            }
            Self::HeldBack { fingerprint } => {
                write!(f, "held back, as targets that began to run the same request have ended")?;
                if !fingerprint.is_empty() {
                    write!(f, " ({fingerprint})")?;
                }
                Ok(())
            }
            Self::CallerLeft { node, took_ms, noticed } => write!(
                f,
                "its caller closed the connection to {node}, noticed after {took_ms} ms ({noticed})"
            ),
            Self::NoKey { node, config_version } => write!(
                f,
                "refused by {node}: by configuration {config_version} no team holds the key that it \
                 carried, or it carried none or several"
            ),
            Self::OverQuota { node, team, quota, config_version } => write!(
                f,
                "refused by {node}: the team {team:?} has used up its quota ({quota}; configuration \
                 {config_version})"
            ),
            Self::Orphaned { node } => write!(
                f,
                "given up by {node}: it was a call for a run that had ended, or that began before the node"
            ),
            Self::Closing { node } => write!(f, "{node} was about to end"),
            Self::TimeUsedUp { node, service, took_ms, has_just_started } => {
                write!(
                    f,
                    "its {took_ms} ms were used up before a call to {service} beside {node} could run"
                )?;
                if *has_just_started {
                    f.write_str("; that target or its node had only just started")?;
                }
                Ok(())
            }
            Self::Slow { node, service, took_ms, is_silent } => {
                write!(
                    f,
                    "the target of {service} beside {node} did not answer within {took_ms} ms"
                )?;
                if *is_silent {
                    f.write_str("; that node wrote nothing of it")?;
                }
                Ok(())
            }
            Self::LinkLost { peer, silent_ms, has_restarted } => {
                let how = if *silent_ms > SILENT_MS { "fell silent" } else { "was closed" };
                write!(f, "the connection to {peer}, which had it, {how} ({silent_ms} ms silent)")?;
                if *has_restarted {
                    f.write_str("; that node ended or started around then")?;
                }
                Ok(())
            }
            Self::TargetFailed { node, service, reason, detail } => {
                write!(f, "the target of {service} beside {node} failed it ({reason})")?;
                if reason == "call-failed" {
                    f.write_str(": a call that it made failed, of which no line tells")?;
                }
                if !detail.is_empty() {
                    write!(f, ": {detail}")?;
                }
                Ok(())
            }
        }
    }
}

/// The cause, and the lines that nodes wrote about themselves that bear on it.
pub fn find(steps: &[Step], lines: &[Line]) -> (Cause, Vec<Line>) {
    let Some(deepest) = deepest_failed(steps) else {
        let entry = steps.iter().find(|step| step.role == Role::Entry);
        let cause = entry.map_or(Cause::NotLogged, |entry| Cause::WentWell {
            took_ms: entry.took_ms,
            arrivals: entry.line.number("arrivals"),
        });
        return (cause, Vec::new());
    };
    let had_it = deepest.offered.last().filter(|_| deepest.role == Role::Entry);
    let had_it = had_it.unwrap_or(&deepest.node);
    let context = context(deepest, had_it, lines);
    (cause_of(deepest, had_it, steps, &context), context)
}

/// The failed step from which the others follow: down from the caller's request, at each level the
/// failed call that ended last, as that is the one that failed its parent.
fn deepest_failed(steps: &[Step]) -> Option<&Step> {
    let mut found = steps.iter().find(|step| step.depth == 0 && step.has_failed())?;
    // Whatever failed below was withdrawn for it.
    if found.reason == CALLER_LEFT {
        return Some(found);
    }
    loop {
        let is_below = |step: &&Step| {
            step.has_failed()
                && step.attempt.strip_prefix(found.attempt.as_str()).is_some_and(|rest| {
                    let is_call = rest.starts_with('.') && rest.matches('.').count() == 1;
                    let is_other_side = rest.is_empty() && found.role == Role::Entry;
                    is_call || is_other_side && step.role == Role::Target
                })
        };
        // A call tells more than the other side of the same attempt.
        let below = steps.iter().filter(is_below).max_by_key(|step| (step.depth, step.unix_ms));
        let Some(below) = below else { return Some(found) };
        found = below;
    }
}

/// The lines of `node`, or about it, that were written around a step.
fn context(step: &Step, node: &str, lines: &[Line]) -> Vec<Line> {
    const ABOUT_NODES: [&str; 12] = [
        "MeshStarted",
        "LeavingStarted",
        "LeavingFinished",
        "TargetChanged",
        "TargetCrashed",
        "RequestHeld",
        "AdmissionChanged",
        "LinkLost",
        "FollowerChanged",
        "StoreAway",
        "StoreBack",
        "ConfigInForce",
    ];
    let mut context = Vec::new();
    for line in lines {
        let is_about = ABOUT_NODES.contains(&line.name.as_str());
        if !is_about || !line.is_near(step.unix_ms, CONTEXT_MS) {
            continue;
        }
        let is_its_link = line.name != "LinkLost"
            || super::step::name_of(line.text("peer"), &line.node, lines) == node;
        let is_its_route = line.name != "AdmissionChanged" || line.text("root") == step.root;
        if (line.node == node || line.node == step.node) && is_its_link && is_its_route {
            context.push(line.clone());
        }
    }
    context.sort_by_key(|line| line.unix_ms.abs_diff(step.unix_ms));
    context.truncate(CONTEXT_MAX);
    context.sort_by_key(|line| line.unix_ms);
    context
}

/// What the failed step says.
fn cause_of(step: &Step, had_it: &str, steps: &[Step], context: &[Line]) -> Cause {
    let node = had_it.to_owned();
    let service = service_of(step, steps);
    let reason = step.reason.clone();
    let has_started = context.iter().any(|line| {
        let is_start = line.name == "MeshStarted" || line.text("state") == "cold";
        line.node == node && is_start
    });
    match reason.as_str() {
        "shed" => Cause::Shed {
            node: step.node.clone(),
            service: step.line.text("limited_by").to_owned(),
            admitted_percent: step.line.number("admitted_percent"),
        },
        "expired" if step.took_ms < AT_ONCE_MS && step.line.number("waiting") == 0 => {
            Cause::TimeUsedUp {
                node,
                service,
                took_ms: steps.first().map_or(0, |first| first.took_ms),
                has_just_started: has_started,
            }
        }
        "expired" | "queue-full" => Cause::Busy {
            node,
            service,
            reason,
            running: step.line.number("running"),
            waiting: step.line.number("waiting"),
            limit: step.line.number("limit"),
            has_just_started: has_started,
        },
        "no-target" | "leaving" | "target-unreachable" | "unsent" => {
            Cause::NoTarget { node: step.node.clone(), service, reason }
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
            let has_ended = context.iter().any(|line| {
                let is_end = line.name == "MeshStarted" || line.name.starts_with("Leaving");
                line.node == node && is_end
            });
            Cause::LinkLost {
                peer: node,
                silent_ms: lost.map_or(0, |line| line.number("silent_ms")),
                has_restarted: has_ended,
            }
        }
        _ => {
            let detail = step.line.text("detail").to_owned();
            Cause::TargetFailed { node, service, reason, detail }
        }
    }
}

/// The service of a step; where its line does not tell, what the entry wrote about the same attempt.
fn service_of(step: &Step, steps: &[Step]) -> String {
    if !step.service.is_empty() {
        return step.service.clone();
    }
    let is_its = |other: &&Step| other.attempt == step.attempt && !other.service.is_empty();
    steps.iter().find(is_its).map(|other| other.service.clone()).unwrap_or_default()
}
