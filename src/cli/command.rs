//! The definition of the command line for its parser.

use clap::{Arg, ArgAction, Command, value_parser};

/// Description of the program in its help. Environment variables are not read: all options are on
/// the command line.
const ABOUT: &str = "Declares and watches the resources of a bitternwall system";

/// Returns the parser of the command line.
pub fn command() -> Command {
    Command::new("bitternwall")
        .about(ABOUT)
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_args())
        .subcommand(apply())
        .subcommand(get())
        .subcommand(watch())
        .subcommand(delete())
        .subcommand(audit())
        .subcommand(change())
        .subcommand(drain())
        .subcommand(evacuate())
        .subcommand(explain())
        .subcommand(trace())
        .subcommand(check())
        .subcommand(hash_key())
}

fn global_args() -> [Arg; 3] {
    [
        Arg::new("entry")
            .long("entry")
            .value_name("URL")
            .action(ArgAction::Append)
            .global(true)
            .help("Base address of an entry; several are tried in order"),
        Arg::new("token-file")
            .long("token-file")
            .value_name("FILE")
            .value_parser(value_parser!(std::path::PathBuf))
            .global(true)
            .help("File whose first line is the operator's bearer token"),
        Arg::new("output")
            .long("output")
            .value_name("FORMAT")
            .value_parser(["json", "table"])
            .default_value("table")
            .global(true)
            .help("How results are written"),
    ]
}

fn apply() -> Command {
    Command::new("apply")
        .about("Creates the resources in files, or replaces those that differ")
        .arg(
            Arg::new("file")
                .short('f')
                .long("file")
                .value_name("FILE")
                .value_parser(value_parser!(std::path::PathBuf))
                .num_args(1..)
                .action(ArgAction::Append)
                .required(true)
                .help("JSON file with one resource or an array of them; `-` for the input"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Wait until the resources are in force everywhere"),
        )
        .arg(
            Arg::new("timeout")
                .long("timeout")
                .value_name("SECONDS")
                .value_parser(value_parser!(u64).range(1..=86_400))
                .default_value("30")
                .help("How long to wait"),
        )
}

fn get() -> Command {
    Command::new("get")
        .about("Shows the resources of a kind, or one of them")
        .arg(kind())
        .arg(Arg::new("name").value_name("NAME").help("Name of the resource"))
}

fn watch() -> Command {
    Command::new("watch").about("Shows the changes of the resources of a kind").arg(kind())
}

fn delete() -> Command {
    Command::new("delete")
        .about("Removes a resource")
        .arg(kind())
        .arg(Arg::new("name").value_name("NAME").required(true).help("Name of the resource"))
}

fn audit() -> Command {
    Command::new("audit").about("Shows who changed what, newest first").arg(
        Arg::new("limit")
            .long("limit")
            .value_name("COUNT")
            .value_parser(value_parser!(u32).range(1..=100_000))
            .default_value("100")
            .help("Maximum number of records to show"),
    )
}

fn change() -> Command {
    Command::new("change")
        .about("Tells what became of a change; one that was not made never will be after that")
        .arg(Arg::new("id").value_name("ID").required(true).help("Id of the change"))
}

fn drain() -> Command {
    Command::new("drain")
        .about("Takes a target out of service: it finishes what runs and takes nothing new")
        .arg(Arg::new("target").value_name("TARGET").required(true).help("Name of the target"))
        .arg(
            Arg::new("undo")
                .long("undo")
                .action(ArgAction::SetTrue)
                .help("Put it back into service"),
        )
}

fn evacuate() -> Command {
    Command::new("evacuate")
        .about("Empties a data centre: its targets finish what runs and take nothing new")
        .arg(
            Arg::new("data-centre")
                .value_name("DATA_CENTRE")
                .required(true)
                .help("Name of the data centre, as its targets state it"),
        )
        .arg(
            Arg::new("undo")
                .long("undo")
                .action(ArgAction::SetTrue)
                .help("Take it back into service"),
        )
}

fn explain() -> Command {
    Command::new("explain")
        .about("Tells why a target gets work or a group has its map, and what would change it")
        .arg(
            Arg::new("subject")
                .value_name("KIND")
                .value_parser(["target", "group"])
                .required(true)
                .help("Kind of the resource to explain"),
        )
        .arg(Arg::new("name").value_name("NAME").required(true).help("Name of the target or group"))
        .arg(
            Arg::new("loads")
                .long("loads")
                .value_name("FILE")
                .value_parser(value_parser!(std::path::PathBuf))
                .help("JSON file with a group's expert loads; shows what the planner would change"),
        )
}

fn trace() -> Command {
    Command::new("trace")
        .about("Prints what the daemons' logs say of one request, in order")
        .arg(Arg::new("id").value_name("ID").required(true).help("The request's id"))
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .value_parser(value_parser!(std::path::PathBuf))
                .action(ArgAction::Append)
                .num_args(1..)
                .required(true)
                .help("JSON logs, one file per process or collected"),
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Checks a settings file without starting anything")
        .arg(
            Arg::new("role")
                .value_name("ROLE")
                .value_parser(["entry", "agent"])
                .required(true)
                .help("The daemon that the file is for"),
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .value_parser(value_parser!(std::path::PathBuf))
                .required(true)
                .help("The settings file"),
        )
}

fn hash_key() -> Command {
    Command::new("hash-key").about("Prints the SHA-256 of the key in the input's first line")
}

fn kind() -> Arg {
    Arg::new("kind")
        .value_name("KIND")
        .value_parser(["customer", "service", "policy", "target", "group", "data_centre"])
        .required(true)
        .help("Kind of the resources")
}
