//! The command `schema`.

use argh::{ArgsInfo, FromArgs};

use super::{Exit, print_json};
use crate::config::schema::{rules_schema, settings_schema};

/// Print the JSON schema of the settings.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "schema")]
pub struct SchemaArgs {
    /// print the schema of the rules of one site alone
    #[argh(switch)]
    pub rules: bool,
}

/// Prints the schema.
pub(super) fn run(args: &SchemaArgs) -> eyre::Result<Exit> {
    let schema = if args.rules { rules_schema() } else { settings_schema() };
    print_json(&schema)?;
    Ok(Exit::Done)
}
