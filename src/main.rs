//! The operator's command line.

use std::io::{self, Write};
use std::process::ExitCode;

use bitternwall::cli;
use bitternwall::cli::error::CliError;
use bitternwall::cli::options::Options;

fn main() -> ExitCode {
    let matches = cli::command::command().get_matches();
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let code = error.exit_code();
            // A failure to write to standard error cannot be reported anywhere.
            let _ = writeln!(io::stderr(), "bitternwall: {:#}", anyhow::Error::from(error));
            ExitCode::from(code)
        }
    }
}

fn run(matches: &clap::ArgMatches) -> Result<(), CliError> {
    let options = Options::from_matches(matches)?;
    let system = actix::System::new();
    system.block_on(cli::run(options, &mut io::stdout()))
}
