//! Command-line interface: the subcommands, their exit codes and their output.
//!
//! Results go to standard output, diagnostics to standard error. `Exit` lists the exit codes.

mod check;
mod compare;
mod completions;
mod explain;
mod leave;
mod list;
mod manual;
mod mesh;
mod node;
mod remote;
mod replay;
mod schema;
mod settings;
mod show;
mod status;
mod submit;

use std::io::{ErrorKind, Write};
use std::path::PathBuf;
use std::process::ExitCode;

use argh::{ArgsInfo, FromArgs};
use eyre::WrapErr;
use serde::Serialize;

use crate::config::{self, Effective, Problem};
use crate::standin;
use crate::standin::cli::StandinArgs;

pub use check::CheckArgs;
pub use compare::CompareArgs;
pub use completions::{CompletionsArgs, Shell, completion_script};
pub use explain::ExplainArgs;
pub use leave::LeaveArgs;
pub use list::ListArgs;
pub use manual::{ManualArgs, manual_page};
pub use mesh::MeshArgs;
pub use node::NodeArgs;
pub use replay::ReplayArgs;
pub use schema::SchemaArgs;
pub use settings::SettingsArgs;
pub use show::ShowArgs;
pub use status::StatusArgs;
pub use submit::SubmitArgs;

/// The name of the executable, also used in diagnostics, completions and the manual page.
pub const PROGRAM: &str = "aspenspring";
/// The environment variable that holds the operator key if `--key-env` is not given.
const DEFAULT_KEY_ENV: &str = "ASPENSPRING_OPERATOR_KEY";

/// Overload control for service call graphs, with one node process per target.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(
    error_code(0, "Success."),
    error_code(1, "Failure, such as a file that cannot be read or a node that does not reply."),
    error_code(2, "Invalid usage or invalid settings."),
    error_code(3, "Conflict: the version in force is not the one that the change is based on."),
    error_code(4, "Unknown: a configuration may be accepted, already or within seconds."),
    note = "Pass {command_name} a base settings file first, then the overlays in order.",
    example = "{command_name} check --settings base.json --settings jordan.json --settings node.json"
)]
pub struct Args {
    /// the command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand)]
pub enum Command {
    /// Run a node.
    Node(NodeArgs),
    /// Run a mesh node on the users' platform.
    Mesh(MeshArgs),
    /// Check settings.
    Check(CheckArgs),
    /// Print the effective settings.
    Settings(SettingsArgs),
    /// Submit a configuration.
    Submit(SubmitArgs),
    /// Show a configuration.
    Show(ShowArgs),
    /// List accepted configurations.
    List(ListArgs),
    /// Show the status of nodes.
    Status(StatusArgs),
    /// Drain and stop a node.
    Leave(LeaveArgs),
    /// Compare policy arms.
    Compare(CompareArgs),
    /// Explain the outcome of a request from logs.
    Explain(ExplainArgs),
    /// Replay a recorded trace.
    Replay(ReplayArgs),
    /// Print the JSON schema of the settings.
    Schema(SchemaArgs),
    /// Print a shell completion script.
    Completions(CompletionsArgs),
    /// Print the manual page.
    Manual(ManualArgs),
    /// Run a test stand-in.
    Standin(StandinArgs),
}

/// The exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    Success = 0,
    /// Anything not covered by the other codes, such as an unreadable file or a node that does
    /// not reply.
    Failed = 1,
    /// Invalid arguments or settings.
    Usage = 2,
    /// The configuration in force is not the version that the change is based on.
    Conflict = 3,
    /// The submission was sent, but whether it was accepted is not known.
    Unknown = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}

/// Runs the command given by the process arguments.
pub fn run_from_env() -> ExitCode {
    let args: Vec<String> = match std::env::args_os().skip(1).map(|arg| arg.into_string()).collect()
    {
        Ok(args) => args,
        Err(arg) => {
            eprintln!("{PROGRAM}: argument {arg:?} is not valid UTF-8");
            return Exit::Usage.into();
        }
    };
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let exit = match Args::from_args(&[PROGRAM], &args) {
        Ok(args) => run(args.command),
        Err(early_exit) if early_exit.status.is_ok() => {
            print!("{}", early_exit.output);
            Exit::Success
        }
        Err(early_exit) => {
            eprint!("{}", early_exit.output);
            Exit::Usage
        }
    };
    exit.into()
}

/// Runs `command`. Errors are printed to standard error and give `Exit::Failed`.
pub fn run(command: Command) -> Exit {
    let result = match command {
        Command::Node(args) => node::run(&args),
        Command::Mesh(_) => crate::platform::run().map(|()| Exit::Success),
        Command::Check(args) => check::run(&args),
        Command::Settings(args) => settings::run(&args),
        Command::Submit(args) => submit::run(&args),
        Command::Show(args) => show::run(&args),
        Command::List(args) => list::run(&args),
        Command::Status(args) => status::run(&args),
        Command::Leave(args) => leave::run(&args),
        Command::Compare(args) => compare::run(&args),
        Command::Explain(args) => explain::run(&args),
        Command::Replay(args) => replay::run(&args),
        Command::Schema(args) => schema::run(&args),
        Command::Completions(args) => completions::run(&args),
        Command::Manual(_) => manual::run(),
        Command::Standin(args) => standin::cli::run(&args).map(|()| Exit::Success),
    };
    result.unwrap_or_else(|error| {
        eprintln!("{PROGRAM}: {error:#}");
        Exit::Failed
    })
}

/// Writes to standard output. A closed pipe is not an error: the reader may stop early.
fn print(text: &str) -> eyre::Result<()> {
    match std::io::stdout().lock().write_all(text.as_bytes()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => {
            Err(error).wrap_err("cannot write to standard output")
        }
        Ok(()) | Err(_) => Ok(()),
    }
}

/// Prints a value as indented JSON.
fn print_json(value: &impl Serialize) -> eyre::Result<()> {
    print(&format!("{}\n", serde_json::to_string_pretty(value)?))
}

/// Loads and validates settings. If they are invalid, reports the problems and returns the exit
/// code.
fn load_settings(files: &[PathBuf], is_json: bool) -> eyre::Result<Result<Effective, Exit>> {
    match config::load(files) {
        Ok(effective) => Ok(Ok(effective)),
        Err(problems) => Ok(Err(report_problems(&problems, is_json)?)),
    }
}

/// Reports problems with settings: one line each on standard error, or a JSON array on standard
/// output.
fn report_problems(problems: &[Problem], is_json: bool) -> eyre::Result<Exit> {
    if is_json {
        print_json(&problems)?;
        return Ok(Exit::Usage);
    }
    for problem in problems {
        eprintln!("{problem}");
    }
    let noun = if problems.len() == 1 { "problem" } else { "problems" };
    eprintln!("{PROGRAM}: {} {noun}; nothing was applied", problems.len());
    Ok(Exit::Usage)
}
