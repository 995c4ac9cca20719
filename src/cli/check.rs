//! The `check` command: validates settings, rules or a configuration document.

use std::path::PathBuf;

use argh::{ArgsInfo, FromArgs};
use eyre::WrapErr;

use super::{Exit, print, report_problems, submit};
use crate::config;

/// Validate settings, rules or a configuration document and report every problem.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// a settings file; give the base first, then the overlays in order
    #[argh(option)]
    pub settings: Vec<PathBuf>,
    /// a file with only the rules of one site
    #[argh(option)]
    pub rules: Option<PathBuf>,
    /// a file with a configuration document for all sites, as taken by `submit --document`
    #[argh(option)]
    pub document: Option<PathBuf>,
    /// treat the settings as those of a site, without node settings
    #[argh(switch)]
    pub site: bool,
    /// print the problems as a JSON array
    #[argh(switch)]
    pub json: bool,
}

/// Validates every given file and reports the problems of all of them together.
pub(super) fn run(args: &CheckArgs) -> eyre::Result<Exit> {
    if args.settings.is_empty() && args.rules.is_none() && args.document.is_none() {
        eprintln!("Give at least one file with --settings, --rules or --document.");
        return Ok(Exit::Usage);
    }
    let mut problems = Vec::new();
    if !args.settings.is_empty() {
        let problems_found = if args.site {
            config::load_site(&args.settings).err()
        } else {
            config::load(&args.settings).err()
        };
        problems.extend(problems_found.into_iter().flatten());
    }
    if let Some(file) = &args.rules {
        let text = std::fs::read_to_string(file)
            .wrap_err_with(|| format!("cannot read {}", file.display()))?;
        problems.extend(config::read_rules(file, &text).err().into_iter().flatten());
    }
    if let Some(file) = &args.document {
        problems.extend(submit::read_document(file)?.err().into_iter().flatten());
    }
    if !problems.is_empty() {
        return report_problems(&problems, args.json);
    }
    print(if args.json { "[]\n" } else { "No problems found.\n" })?;
    Ok(Exit::Success)
}
