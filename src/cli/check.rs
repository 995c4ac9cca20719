//! The command `check`.

use std::path::PathBuf;

use argh::{ArgsInfo, FromArgs};
use eyre::WrapErr;

use super::{Exit, print, refuse, submit};
use crate::config;

/// Check settings, or rules alone, and name everything that is wrong.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// a file of settings; the base first, then each overlay
    #[argh(option)]
    pub settings: Vec<PathBuf>,
    /// a file with the rules of one site alone
    #[argh(option)]
    pub rules: Option<PathBuf>,
    /// a file with a document for all sites, as it is submitted
    #[argh(option)]
    pub document: Option<PathBuf>,
    /// the settings are those of a site, without a node's own
    #[argh(switch)]
    pub site: bool,
    /// print the problems as a list in JSON
    #[argh(switch)]
    pub json: bool,
}

/// Checks what is named.
pub(super) fn run(args: &CheckArgs) -> eyre::Result<Exit> {
    if args.settings.is_empty() && args.rules.is_none() && args.document.is_none() {
        eprintln!("Name a file with --settings, --rules or --document.");
        return Ok(Exit::Usage);
    }
    let mut problems = Vec::new();
    if !args.settings.is_empty() {
        let refused = if args.site {
            config::load_site(&args.settings).err()
        } else {
            config::load(&args.settings).err()
        };
        problems.extend(refused.into_iter().flatten());
    }
    if let Some(file) = &args.rules {
        let text = std::fs::read_to_string(file)
            .wrap_err_with(|| format!("{} cannot be read", file.display()))?;
        problems.extend(config::read_rules(file, &text).err().into_iter().flatten());
    }
    if let Some(file) = &args.document {
        problems.extend(submit::read_document(file)?.err().into_iter().flatten());
    }
    if !problems.is_empty() {
        return refuse(&problems, args.json);
    }
    print(if args.json { "[]\n" } else { "No problem found.\n" })?;
    Ok(Exit::Done)
}
