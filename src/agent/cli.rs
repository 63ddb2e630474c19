//! The command line of `bitternwall-agent`.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command};

/// Returns the description of the command line.
pub fn command() -> Command {
    Command::new("bitternwall-agent")
        .about("Stands before one target: admits, queues and hands on its requests")
        .after_help(
            "Exit codes: 0 after a graceful stop or a check without a problem, 1 on a failure, \
             2 on a wrong command line.",
        )
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(clap::value_parser!(PathBuf))
                .help("Reads the settings from this JSON file"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Checks the settings and exits"),
        )
}
