//! The one program of the project.

use argh::FromArgs;
use aspenspring::standin::cli::{StandinArgs, run};

/// overload control for service call graphs
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Standin(StandinArgs),
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    match args.command {
        Command::Standin(args) => run(&args),
    }
}
