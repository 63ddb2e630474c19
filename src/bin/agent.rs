//! The agent daemon, which admits, queues and dispatches the requests to the one target of its
//! host.

use std::process;

use bitternwall::daemon::{app, exit, options};
use bitternwall::{agent, settings};

const ABOUT: &str = "Stands before one target: admits, queues and hands on its requests";

fn main() -> process::ExitCode {
    exit::code(run())
}

fn run() -> anyhow::Result<()> {
    let matches = app::build("bitternwall-agent", ABOUT).get_matches();
    let options = options::Options::from_matches(&matches)?;
    let settings = settings::load(&options.settings, settings::agent::check)?;
    if options.check {
        return Ok(());
    }
    agent::daemon::run(settings)
}
