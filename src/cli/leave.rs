//! The command `leave`.

use argh::{ArgsInfo, FromArgs};

use super::remote::Remote;
use super::{DEFAULT_KEY_ENV, Exit, print, print_json};

/// Tell a node to leave: it takes no new work, finishes what runs and then ends.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "leave")]
pub struct LeaveArgs {
    /// the base URL of the node's operators' listener, such as http://10.20.1.11:7003
    #[argh(option)]
    pub node: String,
    /// the environment variable that holds the operators' key (ASPENSPRING_OPERATOR_KEY)
    #[argh(option, default = "DEFAULT_KEY_ENV.to_owned()")]
    pub key_env: String,
    /// print the reply in JSON
    #[argh(switch)]
    pub json: bool,
}

/// Tells a node to leave.
pub(super) fn run(args: &LeaveArgs) -> eyre::Result<Exit> {
    let reply = Remote::new(&args.node, &args.key_env)?.post("leave")?.good()?;
    if args.json {
        print_json(&reply)?;
        return Ok(Exit::Done);
    }
    print(&format!("The node is leaving; {} calls are running or waiting.\n", reply["in_flight"]))?;
    Ok(Exit::Done)
}
