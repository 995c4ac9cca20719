//! The `schema` command: prints the JSON schema of the settings.

use argh::{ArgsInfo, FromArgs};

use super::{Exit, print_json};
use crate::config::schema::{rules_schema, settings_schema};

/// Print the JSON schema of the settings.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "schema")]
pub struct SchemaArgs {
    /// print only the schema of the rules of one site
    #[argh(switch)]
    pub rules: bool,
}

pub(super) fn run(args: &SchemaArgs) -> eyre::Result<Exit> {
    let schema = if args.rules { rules_schema() } else { settings_schema() };
    print_json(&schema)?;
    Ok(Exit::Success)
}
