//! The `list` command: lists the accepted configurations.

use std::fmt::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use argh::{ArgsInfo, FromArgs};
use serde::{Deserialize, Serialize};

use super::remote::OperatorClient;
use super::{DEFAULT_KEY_ENV, Exit, print, print_json};

/// Units for the age of a configuration with their length in milliseconds, longest first.
const AGE_UNITS_MS: [(u64, &str); 4] =
    [(86_400_000, "day"), (3_600_000, "hour"), (60_000, "minute"), (1_000, "second")];

/// List the accepted configurations, newest first.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "list")]
pub struct ListArgs {
    /// the base URL of a node's operator listener, such as http://10.20.1.11:7003
    #[argh(option)]
    pub node: String,
    /// the environment variable that holds the operator key (default: ASPENSPRING_OPERATOR_KEY)
    #[argh(option, default = "DEFAULT_KEY_ENV.to_owned()")]
    pub key_env: String,
    /// print a JSON array
    #[argh(switch)]
    pub json: bool,
}

/// An accepted configuration, without its content.
#[derive(Debug, Serialize, Deserialize)]
struct Acceptance {
    version: u64,
    /// The name of the submitter; absent for the settings that the node started with.
    by: Option<String>,
    /// When it was accepted, in milliseconds since the Unix epoch.
    at_unix_ms: Option<u64>,
}

/// The parts of a node's reply to `GET config` that `list` prints.
#[derive(Debug, Deserialize)]
struct Config {
    /// The configuration in force.
    #[serde(flatten)]
    in_force: Acceptance,
    /// The earlier configurations, newest first.
    #[serde(default)]
    history: Vec<Acceptance>,
}

/// Prints the configuration in force and the earlier ones.
pub(super) fn run(args: &ListArgs) -> eyre::Result<Exit> {
    let client = OperatorClient::new(&args.node, &args.key_env)?;
    let config: Config = serde_json::from_value(client.get("config")?.success_body()?)?;
    let mut all = vec![config.in_force];
    all.extend(config.history);
    if args.json {
        print_json(&all)?;
        return Ok(Exit::Success);
    }
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let now_unix_ms = since_epoch.as_millis() as u64;
    let mut lines = String::new();
    for acceptance in &all {
        let by = acceptance.by.as_deref().unwrap_or("startup settings");
        let at = acceptance.at_unix_ms.map(|at| age(now_unix_ms.saturating_sub(at)));
        writeln!(lines, "{:>6}  {:<24}  {}", acceptance.version, by, at.unwrap_or_default())?;
    }
    print(&lines)?;
    Ok(Exit::Success)
}

/// Formats an age in the largest unit that is at least 1.
fn age(age_ms: u64) -> String {
    for (unit_ms, unit) in AGE_UNITS_MS {
        let count = age_ms / unit_ms;
        if count > 0 {
            let plural = if count == 1 { "" } else { "s" };
            return format!("{count} {unit}{plural} ago");
        }
    }
    "just now".to_owned()
}
