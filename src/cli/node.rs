//! The command `node`.

use std::path::PathBuf;

use argh::{ArgsInfo, FromArgs};

use super::{Exit, load};
use crate::duty;

/// Run the node beside one target until it is told to leave.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "node")]
pub struct NodeArgs {
    /// a file of settings; the base first, then each overlay
    #[argh(option)]
    pub settings: Vec<PathBuf>,
    /// a new file that gets everything the node is told, for `replay`
    #[argh(option)]
    pub record: Option<PathBuf>,
}

/// Runs a node.
pub(super) fn run(args: &NodeArgs) -> eyre::Result<Exit> {
    let effective = match load(&args.settings, false)? {
        Ok(effective) => effective,
        Err(exit) => return Ok(exit),
    };
    duty::run_node(effective.settings, args.record.as_deref())?;
    Ok(Exit::Done)
}
