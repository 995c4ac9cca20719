//! The `mesh` command.

use argh::{ArgsInfo, FromArgs};

/// Run the mesh node of one target on the users' platform until it is signalled to stop. The environment
/// variable `ASPENSPRING_CONFIG` contains the path of its settings file.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "mesh")]
pub struct MeshArgs {}
