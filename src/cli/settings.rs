//! The command `settings`.

use std::fmt::Write;
use std::path::PathBuf;

use argh::{ArgsInfo, FromArgs};
use serde::Serialize;
use serde_json::Value;

use super::{Exit, load, print, print_json, refuse};
use crate::config::{self, Effective, EffectiveValue};

/// Print the settings in effect with the origin of each value.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "settings")]
pub struct SettingsArgs {
    /// a file of settings; the base first, then each overlay
    #[argh(option)]
    pub settings: Vec<PathBuf>,
    /// the files are those of a site, without a node's own
    #[argh(switch)]
    pub site: bool,
    /// print a list in JSON
    #[argh(switch)]
    pub json: bool,
    /// print one JSON document that could stand in place of the files, without origins
    #[argh(switch)]
    pub merged: bool,
}

/// One value as it is printed in JSON.
#[derive(Serialize)]
struct PrintedValue<'a> {
    /// The JSON pointer of the value within the settings.
    path: &'a str,
    /// The value.
    value: &'a Value,
    /// The file it was read from; absent for a default.
    #[serde(skip_serializing_if = "Option::is_none")]
    file: Option<String>,
    /// The JSON pointer within the file; absent for a default.
    #[serde(skip_serializing_if = "Option::is_none")]
    file_path: Option<&'a str>,
}

/// Prints the settings in effect.
pub(super) fn run(args: &SettingsArgs) -> eyre::Result<Exit> {
    if args.site {
        return match config::load_site(&args.settings) {
            Ok(effective) => show(args, &effective),
            Err(problems) => refuse(&problems, args.json),
        };
    }
    match load(&args.settings, args.json)? {
        Ok(effective) => show(args, &effective),
        Err(exit) => Ok(exit),
    }
}

/// Prints settings that were accepted.
fn show<S: Serialize>(args: &SettingsArgs, effective: &Effective<S>) -> eyre::Result<Exit> {
    if args.merged {
        print_json(&effective.to_value()?)?;
        return Ok(Exit::Done);
    }
    let values = effective.values()?;
    if args.json {
        let printed: Vec<PrintedValue<'_>> = values.iter().map(printed).collect();
        print_json(&printed)?;
        return Ok(Exit::Done);
    }
    let mut lines = String::new();
    for value in &values {
        writeln!(lines, "{} = {}  ({})", value.pointer, value.value, origin(value))?;
    }
    print(&lines)?;
    Ok(Exit::Done)
}

/// A value as it is printed in JSON.
fn printed(value: &EffectiveValue) -> PrintedValue<'_> {
    let origin = value.origin.as_ref();
    PrintedValue {
        path: &value.pointer,
        value: &value.value,
        file: origin.map(|origin| origin.file.display().to_string()),
        file_path: origin.map(|origin| origin.pointer.as_str()),
    }
}

/// Where a value comes from, in words.
fn origin(value: &EffectiveValue) -> String {
    match &value.origin {
        Some(origin) => format!("{} {}", origin.file.display(), origin.pointer),
        None => "default".to_owned(),
    }
}
