//! The `settings` command: prints the effective settings and where each value comes from.

use std::fmt::Write;
use std::path::PathBuf;

use argh::{ArgsInfo, FromArgs};
use serde::Serialize;
use serde_json::Value;

use super::{Exit, load_settings, print, print_json, report_problems};
use crate::config::{self, Effective, EffectiveValue};

/// Print the effective settings with the origin of each value.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "settings")]
pub struct SettingsArgs {
    /// a settings file; give the base first, then the overlays in order
    #[argh(option)]
    pub settings: Vec<PathBuf>,
    /// treat the settings as those of a site, without node settings
    #[argh(switch)]
    pub site: bool,
    /// print a JSON array
    #[argh(switch)]
    pub json: bool,
    /// print the settings merged into a single JSON document, without origins
    #[argh(switch)]
    pub merged: bool,
}

/// A value and its origin, as printed by `--json`.
#[derive(Serialize)]
struct PrintedValue<'a> {
    /// The JSON pointer of the value within the effective settings.
    path: &'a str,
    value: &'a Value,
    /// The file that the value was read from; absent for a default.
    #[serde(skip_serializing_if = "Option::is_none")]
    file: Option<String>,
    /// The JSON pointer of the value within that file; absent for a default.
    #[serde(skip_serializing_if = "Option::is_none")]
    file_path: Option<&'a str>,
}

/// Loads the settings and prints them, or reports their problems.
pub(super) fn run(args: &SettingsArgs) -> eyre::Result<Exit> {
    if args.site {
        return match config::load_site(&args.settings) {
            Ok(effective) => print_settings(args, &effective),
            Err(problems) => report_problems(&problems, args.json),
        };
    }
    match load_settings(&args.settings, args.json)? {
        Ok(effective) => print_settings(args, &effective),
        Err(exit) => Ok(exit),
    }
}

/// Prints valid settings in the requested format.
fn print_settings<S: Serialize>(
    args: &SettingsArgs,
    effective: &Effective<S>,
) -> eyre::Result<Exit> {
    if args.merged {
        print_json(&effective.to_value()?)?;
        return Ok(Exit::Success);
    }
    let values = effective.values()?;
    if args.json {
        let printed: Vec<PrintedValue<'_>> = values.iter().map(printed_value).collect();
        print_json(&printed)?;
        return Ok(Exit::Success);
    }
    let mut lines = String::new();
    for value in &values {
        writeln!(lines, "{} = {}  ({})", value.pointer, value.value, origin(value))?;
    }
    print(&lines)?;
    Ok(Exit::Success)
}

/// Converts a value to the form printed by `--json`.
fn printed_value(value: &EffectiveValue) -> PrintedValue<'_> {
    let origin = value.origin.as_ref();
    PrintedValue {
        path: &value.pointer,
        value: &value.value,
        file: origin.map(|origin| origin.file.display().to_string()),
        file_path: origin.map(|origin| origin.pointer.as_str()),
    }
}

/// Formats the origin of a value: file and JSON pointer, or `default`.
fn origin(value: &EffectiveValue) -> String {
    match &value.origin {
        Some(origin) => format!("{} {}", origin.file.display(), origin.pointer),
        None => "default".to_owned(),
    }
}
