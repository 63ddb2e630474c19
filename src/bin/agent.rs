//! The daemon in the one slot of a target host.

use bitternwall::agent::{cli, daemon, options};

fn main() -> anyhow::Result<()> {
    let options = options::Options::from_matches(&cli::command().get_matches());
    let settings = options::load(&options.settings)?;
    if options.check {
        return Ok(());
    }
    daemon::run(settings)
}
