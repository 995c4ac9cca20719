//! The command line.
//!
//! Standard output carries what was asked for, standard error what went wrong. The exit codes are
//! those of `Exit`.

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
pub use completions::{CompletionsArgs, Shell, script};
pub use explain::ExplainArgs;
pub use leave::LeaveArgs;
pub use list::ListArgs;
pub use manual::{ManualArgs, page};
pub use mesh::MeshArgs;
pub use node::NodeArgs;
pub use replay::ReplayArgs;
pub use schema::SchemaArgs;
pub use settings::SettingsArgs;
pub use show::ShowArgs;
pub use status::StatusArgs;
pub use submit::SubmitArgs;

/// The name of the program.
pub const PROGRAM: &str = "aspenspring";
/// The environment variable that holds the operators' key, unless another is named.
const DEFAULT_KEY_ENV: &str = "ASPENSPRING_OPERATOR_KEY";

/// Overload control for service call graphs: one small node beside each target.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(
    error_code(0, "Done."),
    error_code(1, "Failed: something outside the settings did not work."),
    error_code(2, "Wrong usage, or settings that were refused."),
    error_code(3, "Conflict: something newer is in force than what was to be replaced."),
    error_code(4, "Unknown: a configuration may have been accepted, now or within seconds."),
    note = "Give {command_name} settings as a base file and the overlays in their order.",
    example = "{command_name} check --settings base.json --settings jordan.json --settings node.json"
)]
pub struct Args {
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand)]
pub enum Command {
    /// Run a node.
    Node(NodeArgs),
    /// Run a node on the users' platform.
    Mesh(MeshArgs),
    /// Check settings.
    Check(CheckArgs),
    /// Print effective settings.
    Settings(SettingsArgs),
    /// Submit a configuration.
    Submit(SubmitArgs),
    /// Show a configuration.
    Show(ShowArgs),
    /// List configurations.
    List(ListArgs),
    /// Show the state of nodes.
    Status(StatusArgs),
    /// Tell a node to leave.
    Leave(LeaveArgs),
    /// Compare policy arms.
    Compare(CompareArgs),
    /// Explain a request from logs.
    Explain(ExplainArgs),
    /// Replay a recorded trace.
    Replay(ReplayArgs),
    /// Print the schema of the settings.
    Schema(SchemaArgs),
    /// Print shell completions.
    Completions(CompletionsArgs),
    /// Print the manual page.
    Manual(ManualArgs),
    /// Run a stand-in.
    Standin(StandinArgs),
}

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It did what it was asked for.
    Done = 0,
    /// Something outside the settings did not work.
    Failed = 1,
    /// It was called wrongly, or settings were refused.
    Usage = 2,
    /// Something newer is in force than what was to be replaced.
    Conflict = 3,
    /// Nobody can say whether a configuration was accepted.
    Unknown = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}

/// Runs the command that the process was started with.
pub fn run_from_env() -> ExitCode {
    let given: Vec<String> =
        match std::env::args_os().skip(1).map(|arg| arg.into_string()).collect() {
            Ok(given) => given,
            Err(arg) => {
                eprintln!("{PROGRAM}: the argument {arg:?} is not UTF-8");
                return Exit::Usage.into();
            }
        };
    let given: Vec<&str> = given.iter().map(String::as_str).collect();
    let exit = match Args::from_args(&[PROGRAM], &given) {
        Ok(args) => run(args.command),
        Err(early) if early.status.is_ok() => {
            print!("{}", early.output);
            Exit::Done
        }
        Err(early) => {
            eprint!("{}", early.output);
            Exit::Usage
        }
    };
    exit.into()
}

/// Runs one command.
pub fn run(command: Command) -> Exit {
    let result = match command {
        Command::Node(args) => node::run(&args),
        Command::Mesh(_) => crate::platform::run().map(|()| Exit::Done),
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
        Command::Standin(args) => standin::cli::run(&args).map(|()| Exit::Done),
    };
    result.unwrap_or_else(|error| {
        eprintln!("{PROGRAM}: {error:#}");
        Exit::Failed
    })
}

/// Writes to standard output. A reader that has seen enough and closed the pipe is no error.
fn print(text: &str) -> eyre::Result<()> {
    match std::io::stdout().lock().write_all(text.as_bytes()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => {
            Err(error).wrap_err("standard output cannot be written")
        }
        Ok(()) | Err(_) => Ok(()),
    }
}

/// Prints a value as JSON.
fn print_json(value: &impl Serialize) -> eyre::Result<()> {
    print(&format!("{}\n", serde_json::to_string_pretty(value)?))
}

/// Reads and checks settings. Where they are refused, says why and gives the exit code.
fn load(files: &[PathBuf], is_json: bool) -> eyre::Result<Result<Effective, Exit>> {
    match config::load(files) {
        Ok(effective) => Ok(Ok(effective)),
        Err(problems) => Ok(Err(refuse(&problems, is_json)?)),
    }
}

/// Says what is wrong with settings: a line each on standard error, or a list in JSON on standard
/// output.
fn refuse(problems: &[Problem], is_json: bool) -> eyre::Result<Exit> {
    if is_json {
        print_json(&problems)?;
        return Ok(Exit::Usage);
    }
    for problem in problems {
        eprintln!("{problem}");
    }
    let noun = if problems.len() == 1 { "problem" } else { "problems" };
    eprintln!("{PROGRAM}: {} {noun}; nothing was changed", problems.len());
    Ok(Exit::Usage)
}
