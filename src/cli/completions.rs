//! The `completions` command: prints a completion script for a shell.

use argh::{ArgsInfo, FromArgs};
use argh_complete::Generator;
use argh_complete::bash::Bash;
use argh_complete::fish::Fish;
use argh_complete::zsh::Zsh;

use super::{Args, Exit, PROGRAM};

/// Print the completion script for a shell.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "completions")]
pub struct CompletionsArgs {
    /// the shell: bash, zsh or fish
    #[argh(positional)]
    pub shell: Shell,
}

/// A shell with a completion generator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shell {
    Bash,
    Zsh,
    Fish,
}

impl std::str::FromStr for Shell {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "bash" => Ok(Self::Bash),
            "zsh" => Ok(Self::Zsh),
            "fish" => Ok(Self::Fish),
            _ => Err("expected bash, zsh or fish".to_owned()),
        }
    }
}

/// Generates the completion script for `shell`.
pub fn completion_script(shell: Shell) -> String {
    let args = Args::get_args_info();
    match shell {
        Shell::Bash => Bash::generate(PROGRAM, &args),
        Shell::Zsh => Zsh::generate(PROGRAM, &args),
        Shell::Fish => Fish::generate(PROGRAM, &args),
    }
}

pub(super) fn run(args: &CompletionsArgs) -> eyre::Result<Exit> {
    super::print(&completion_script(args.shell))?;
    Ok(Exit::Success)
}
