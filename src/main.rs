//! The `aspenspring` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    aspenspring::cli::run_from_env()
}
