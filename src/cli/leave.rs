//! The `leave` command: drains and stops a node.

use argh::{ArgsInfo, FromArgs};

use super::remote::OperatorClient;
use super::{DEFAULT_KEY_ENV, Exit, print, print_json};

/// Drain and stop a node: it refuses new calls, finishes those in flight and exits.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "leave")]
pub struct LeaveArgs {
    /// the base URL of the node's operator listener, such as http://10.20.1.11:7003
    #[argh(option)]
    pub node: String,
    /// the environment variable that holds the operator key (default: ASPENSPRING_OPERATOR_KEY)
    #[argh(option, default = "DEFAULT_KEY_ENV.to_owned()")]
    pub key_env: String,
    /// print the reply as JSON
    #[argh(switch)]
    pub json: bool,
}

/// Requests the node to drain and prints how many calls are still in flight.
pub(super) fn run(args: &LeaveArgs) -> eyre::Result<Exit> {
    let reply = OperatorClient::new(&args.node, &args.key_env)?.post("leave")?.success_body()?;
    if args.json {
        print_json(&reply)?;
        return Ok(Exit::Success);
    }
    print(&format!("The node is leaving; {} calls are running or waiting.\n", reply["in_flight"]))?;
    Ok(Exit::Success)
}
