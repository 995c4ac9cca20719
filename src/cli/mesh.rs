//! The command `mesh`.

use argh::{ArgsInfo, FromArgs};

/// Run the node beside one target on the users' platform, until it is told to stop. Its settings are
/// in the file that the environment variable `ASPENSPRING_CONFIG` names.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "mesh")]
pub struct MeshArgs {}
