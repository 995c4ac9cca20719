//! The command `list`.

use std::fmt::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use argh::{ArgsInfo, FromArgs};
use serde::{Deserialize, Serialize};

use super::remote::Remote;
use super::{DEFAULT_KEY_ENV, Exit, print, print_json};

/// Milliseconds in a second, a minute, an hour and a day, the longest first.
const UNITS_MS: [(u64, &str); 4] =
    [(86_400_000, "day"), (3_600_000, "hour"), (60_000, "minute"), (1_000, "second")];

/// List the configurations that were accepted, the latest first.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "list")]
pub struct ListArgs {
    /// the base URL of a node's operators' listener, such as http://10.20.1.11:7003
    #[argh(option)]
    pub node: String,
    /// the environment variable that holds the operators' key (ASPENSPRING_OPERATOR_KEY)
    #[argh(option, default = "DEFAULT_KEY_ENV.to_owned()")]
    pub key_env: String,
    /// print a list in JSON
    #[argh(switch)]
    pub json: bool,
}

/// One acceptance.
#[derive(Debug, Serialize, Deserialize)]
struct Acceptance {
    /// Its version.
    version: u64,
    /// Who submitted it; nobody where it is the settings of the start.
    by: Option<String>,
    /// When, in milliseconds since the Unix epoch.
    at_unix_ms: Option<u64>,
}

/// What a node replies, as far as it is listed.
#[derive(Debug, Deserialize)]
struct Config {
    /// What is in force.
    #[serde(flatten)]
    in_force: Acceptance,
    /// What was before.
    #[serde(default)]
    history: Vec<Acceptance>,
}

/// Lists configurations.
pub(super) fn run(args: &ListArgs) -> eyre::Result<Exit> {
    let remote = Remote::new(&args.node, &args.key_env)?;
    let config: Config = serde_json::from_value(remote.get("config")?.good()?)?;
    let mut all = vec![config.in_force];
    all.extend(config.history);
    if args.json {
        print_json(&all)?;
        return Ok(Exit::Done);
    }
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let now_unix_ms = since_epoch.as_millis() as u64;
    let mut lines = String::new();
    for acceptance in &all {
        let by = acceptance.by.as_deref().unwrap_or("the settings of the start");
        let at = acceptance.at_unix_ms.map(|at| age(now_unix_ms.saturating_sub(at)));
        writeln!(lines, "{:>6}  {:<24}  {}", acceptance.version, by, at.unwrap_or_default())?;
    }
    print(&lines)?;
    Ok(Exit::Done)
}

/// How long ago something was, in the largest unit that fits.
fn age(age_ms: u64) -> String {
    for (unit_ms, unit) in UNITS_MS {
        let count = age_ms / unit_ms;
        if count > 0 {
            let plural = if count == 1 { "" } else { "s" };
            return format!("{count} {unit}{plural} ago");
        }
    }
    "just now".to_owned()
}
