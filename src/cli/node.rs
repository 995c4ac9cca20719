//! The `node` command: runs a node until it is drained.

use std::path::PathBuf;

use argh::{ArgsInfo, FromArgs};

use super::{Exit, load_settings};
use crate::duty;

/// Run the node of one target until it is drained.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "node")]
pub struct NodeArgs {
    /// a settings file; give the base first, then the overlays in order
    #[argh(option)]
    pub settings: Vec<PathBuf>,
    /// record every event that the node handles to this new file, for `replay`
    #[argh(option)]
    pub record: Option<PathBuf>,
}

pub(super) fn run(args: &NodeArgs) -> eyre::Result<Exit> {
    let effective = match load_settings(&args.settings, false)? {
        Ok(effective) => effective,
        Err(exit) => return Ok(exit),
    };
    duty::run_node(effective.settings, args.record.as_deref())?;
    Ok(Exit::Success)
}
