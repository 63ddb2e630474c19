//! The entry daemon, which serves callers and operators on an entry host.

use std::process;

use anyhow::Context as _;
use bitternwall::daemon::{app, exit, options};
use bitternwall::{entry, settings};

const ABOUT: &str = "Takes callers' requests and operators' declarations on an entry host";

fn main() -> process::ExitCode {
    exit::code(run())
}

fn run() -> anyhow::Result<()> {
    let matches = app::build("bitternwall-entry", ABOUT).get_matches();
    let options = options::Options::from_matches(&matches)?;
    let settings = settings::load(&options.settings, settings::entry::check)?;
    if options.check {
        return Ok(());
    }
    actix_rt::System::new().block_on(entry::daemon::run(settings)).context("The entry failed.")
}
