//! The command line of the daemons.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// The identifier of the `--settings` argument.
pub const SETTINGS: &str = "settings";
/// The identifier of the `--check` flag.
pub const CHECK: &str = "check";

/// Builds the command-line parser of a daemon.
pub fn build(name: &'static str, about: &'static str) -> Command {
    let settings = Arg::new(SETTINGS)
        .long("settings")
        .short('s')
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Read the settings from this JSON file");
    let check = Arg::new(CHECK)
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Check the settings and exit");
    Command::new(name)
        .about(about)
        .version(env!("CARGO_PKG_VERSION"))
        .arg(settings)
        .arg(check)
        .after_help("Exit codes: 0 after a graceful stop, 1 after a failure, 2 for wrong usage.")
}
