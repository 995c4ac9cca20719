//! The `manual` command: prints the manual page, generated from the argument definitions.

use std::fmt::Write;

use argh::{ArgsInfo, CommandInfoWithArgs, FlagInfo, FlagInfoKind, FromArgs, PositionalInfo};

use super::{Args, Exit, PROGRAM};

/// The description section of the page.
const DESCRIPTION: &str = "\
.SH DESCRIPTION
.B aspenspring
runs as one node process next to each target VM and decides how calls are retried, admitted,
prioritised and refused.
.PP
Settings are JSON files: a base file and any number of overlays, each containing only what differs.
Pass them in order, each with its own
.BR \\-\\-settings .
Results go to standard output, diagnostics to standard error.
";

/// Print the manual page.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "manual")]
pub struct ManualArgs {}

pub(super) fn run() -> eyre::Result<Exit> {
    super::print(&manual_page()?)?;
    Ok(Exit::Success)
}

/// Generates the manual page in man(7) markup.
///
/// # Errors
///
/// None in practice: formatting into a `String` does not fail.
pub fn manual_page() -> Result<String, std::fmt::Error> {
    let args = Args::get_args_info();
    let mut page = String::new();
    let description = escape(args.description.trim_end_matches('.'));
    writeln!(page, ".TH {} 1 \"\" {PROGRAM} \"User Commands\"", PROGRAM.to_uppercase())?;
    writeln!(page, ".SH NAME\n{PROGRAM} \\- {description}")?;
    writeln!(page, ".SH SYNOPSIS\n.B {PROGRAM}\n.I command\n.RI [ options ]")?;
    page.push_str(DESCRIPTION);
    writeln!(page, ".SH COMMANDS")?;
    for command in &args.commands {
        write_command(&mut page, command.name, &command.command)?;
    }
    writeln!(page, ".SH EXIT STATUS")?;
    for code in args.error_codes {
        writeln!(page, ".TP\n.B {}\n{}", code.code, escape(code.description))?;
    }
    writeln!(page, ".SH EXAMPLES\n.nf")?;
    for example in args.examples {
        writeln!(page, "{}", escape(&example.replace("{command_name}", PROGRAM)))?;
    }
    writeln!(page, ".fi")?;
    Ok(page)
}

/// Writes the section of a command, followed by those of its subcommands.
fn write_command(page: &mut String, name: &str, command: &CommandInfoWithArgs) -> std::fmt::Result {
    writeln!(page, ".SS {name}\n{}", escape(command.description))?;
    for positional in command.positionals {
        write_positional(page, positional)?;
    }
    for flag in command.flags {
        write_flag(page, flag)?;
    }
    for subcommand in &command.commands {
        write_command(page, &format!("{name} {}", subcommand.name), &subcommand.command)?;
    }
    Ok(())
}

/// Writes the entry of a positional argument.
fn write_positional(page: &mut String, positional: &PositionalInfo) -> std::fmt::Result {
    if positional.hidden {
        return Ok(());
    }
    let name = escape(&positional.name.to_uppercase());
    writeln!(page, ".TP\n.I {name}\n{}", escape(positional.description))
}

/// Writes the entry of an option.
fn write_flag(page: &mut String, flag: &FlagInfo) -> std::fmt::Result {
    if flag.hidden || flag.long == "--help" {
        return Ok(());
    }
    let name = escape(flag.long);
    match flag.kind {
        FlagInfoKind::Switch => writeln!(page, ".TP\n.B {name}")?,
        FlagInfoKind::Option { arg_name } => {
            let value = escape(&arg_name.to_uppercase());
            writeln!(page, ".TP\n.BI {name} \" {value}\"")?;
        }
    }
    writeln!(page, "{}", escape(flag.description))
}

/// Escapes a text for the page: backslashes, dashes, and a leading character that would start a
/// macro. Newlines become spaces.
fn escape(text: &str) -> String {
    let text = text.replace('\\', "\\e").replace('-', "\\-").replace('\n', " ");
    if text.starts_with(['.', '\'']) { format!("\\&{text}") } else { text }
}
