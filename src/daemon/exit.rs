//! The end of a daemon: prints an error with its causes to standard error and sets the exit code.

use std::io::{self, Write as _};
use std::process;

/// Returns the exit code for the result of a daemon, and prints the error if it failed.
pub fn code(result: anyhow::Result<()>) -> process::ExitCode {
    let Err(error) = result else { return process::ExitCode::SUCCESS };
    // If writing to standard error fails as well, there is nowhere else to report it.
    drop(writeln!(io::stderr(), "Error: {error:#}"));
    process::ExitCode::FAILURE
}
