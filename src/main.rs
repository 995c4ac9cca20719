//! The one binary of the project.

use std::process::ExitCode;

fn main() -> ExitCode {
    aspenspring::cli::run_from_env()
}
