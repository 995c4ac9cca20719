//! Arguments of the `mesh` command, which runs a mesh node on the users' platform.

use argh::{ArgsInfo, FromArgs};

/// Run the mesh node of one target on the users' platform until it receives a stop signal. The
/// environment variable `ASPENSPRING_CONFIG` contains the path of its settings file.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "mesh")]
pub struct MeshArgs {}
