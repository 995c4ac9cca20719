//! The command `completions`.

use argh::{ArgsInfo, FromArgs};
use argh_complete::Generator;
use argh_complete::bash::Bash;
use argh_complete::fish::Fish;
use argh_complete::zsh::Zsh;

use super::{Args, Exit, PROGRAM};

/// Print completions for a shell.
#[derive(Debug, FromArgs, ArgsInfo)]
#[argh(subcommand, name = "completions")]
pub struct CompletionsArgs {
    /// bash, zsh or fish
    #[argh(positional)]
    pub shell: Shell,
}

/// A shell that completions can be made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shell {
    /// GNU Bash.
    Bash,
    /// The Z shell.
    Zsh,
    /// The friendly interactive shell.
    Fish,
}

impl std::str::FromStr for Shell {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "bash" => Ok(Self::Bash),
            "zsh" => Ok(Self::Zsh),
            "fish" => Ok(Self::Fish),
            _ => Err("the shells are bash, zsh and fish".to_owned()),
        }
    }
}

/// The completions for `shell`.
pub fn script(shell: Shell) -> String {
    let args = Args::get_args_info();
    match shell {
        Shell::Bash => Bash::generate(PROGRAM, &args),
        Shell::Zsh => Zsh::generate(PROGRAM, &args),
        Shell::Fish => Fish::generate(PROGRAM, &args),
    }
}

/// Prints the completions.
pub(super) fn run(args: &CompletionsArgs) -> eyre::Result<Exit> {
    super::print(&script(args.shell))?;
    Ok(Exit::Done)
}
