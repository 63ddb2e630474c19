//! How a daemon ends: the chain of errors on standard error, and the exit code.

use std::io::{self, Write as _};
use std::process;

/// Prints what went wrong and returns the exit code.
pub fn code(result: anyhow::Result<()>) -> process::ExitCode {
    let Err(error) = result else { return process::ExitCode::SUCCESS };
    // Nothing is left to do where even the error cannot be written.
    drop(writeln!(io::stderr(), "Error: {error:#}"));
    process::ExitCode::FAILURE
}
