//! The validated options of one command, converted from the parser's matches.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::ArgMatches;

use crate::cli::check::Role;
use crate::cli::error::{CliError, Result};
use crate::resources::kinds::Kind;

/// The base address of the entry that is called if `--entry` is not given.
const DEFAULT_ENTRY: &str = "http://127.0.0.1:8080";

/// The format of results.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Output {
    /// One JSON document or line for each result.
    Json,
    /// Aligned columns of text.
    Table,
}

/// The entries to call and the credentials for them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Connection {
    /// Base addresses of entries without a trailing slash, tried in order.
    pub entries: Vec<String>,
    /// The operator's bearer token; `None` sends no `Authorization` header.
    pub token: Option<String>,
}

/// The options of `apply`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ApplyOptions {
    /// The files to apply; `-` is standard input.
    pub files: Vec<PathBuf>,
    /// True to wait until all resources are in force everywhere.
    pub wait: bool,
    /// The longest wait for all resources together.
    pub timeout: Duration,
}

/// A command with its own arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// `apply`
    Apply(ApplyOptions),
    /// `get`
    Get {
        /// The kind of the resources.
        kind: Kind,
        /// The name of one resource; `None` lists all of the kind.
        name: Option<String>,
    },
    /// `watch`
    Watch {
        /// The kind of the resources.
        kind: Kind,
    },
    /// `delete`
    Delete {
        /// The kind of the resource.
        kind: Kind,
        /// The name of the resource.
        name: String,
    },
    /// `audit`
    Audit {
        /// The largest number of records to show.
        limit: u32,
    },
    /// `change`
    Change {
        /// The id that the client gave to the change.
        id: String,
    },
    /// `drain`
    Drain {
        /// The target's name.
        target: String,
        /// False to return the target to service.
        drain: bool,
    },
    /// `evacuate`
    Evacuate {
        /// The data centre's name.
        data_centre: String,
        /// False to take the data centre back into service.
        evacuated: bool,
    },
    /// `explain target`
    ExplainTarget {
        /// The target's name.
        name: String,
    },
    /// `explain group`
    ExplainGroup {
        /// The group's name.
        name: String,
        /// A file with expert loads for a trial run of the planner.
        loads: Option<PathBuf>,
    },
    /// `check`
    Check {
        /// The daemon that reads the file.
        role: Role,
        /// The path of the settings file.
        file: PathBuf,
    },
    /// `trace`
    Trace {
        /// The id of the request in the logs.
        id: String,
        /// The log files, in JSON lines.
        files: Vec<PathBuf>,
    },
    /// `hash-key`
    HashKey,
}

/// All options of one run of the program.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// The command to run.
    pub action: Action,
    /// The entries to call; unused by commands that only read files.
    pub connection: Connection,
    /// The format of results.
    pub output: Output,
}

impl Options {
    /// Validates the parser's matches.
    ///
    /// # Errors
    ///
    /// Returns a [`CliError`] that names the argument and its value.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self> {
        let (name, matches) = matches.subcommand().ok_or_else(|| missing("command"))?;
        let action = action(name, matches)?;
        let output = match text(matches, "output")?.as_str() {
            "json" => Output::Json,
            _ => Output::Table,
        };
        Ok(Self { action, connection: connection(matches)?, output })
    }
}

fn action(name: &str, matches: &ArgMatches) -> Result<Action> {
    Ok(match name {
        "apply" => Action::Apply(apply(matches)?),
        "get" => {
            Action::Get { kind: kind(matches)?, name: matches.get_one::<String>("name").cloned() }
        }
        "watch" => Action::Watch { kind: kind(matches)? },
        "delete" => Action::Delete { kind: kind(matches)?, name: text(matches, "name")? },
        "audit" => Action::Audit { limit: matches.get_one("limit").copied().unwrap_or_default() },
        "change" => Action::Change { id: text(matches, "id")? },
        "drain" => {
            Action::Drain { target: text(matches, "target")?, drain: !matches.get_flag("undo") }
        }
        "evacuate" => Action::Evacuate {
            data_centre: text(matches, "data-centre")?,
            evacuated: !matches.get_flag("undo"),
        },
        "explain" => explain(matches)?,
        "trace" => Action::Trace { id: text(matches, "id")?, files: paths(matches, "file")? },
        "check" => Action::Check { role: role(matches)?, file: path(matches, "file")? },
        _ => Action::HashKey,
    })
}

fn apply(matches: &ArgMatches) -> Result<ApplyOptions> {
    let files = paths(matches, "file")?;
    let seconds = matches.get_one::<u64>("timeout").copied().unwrap_or_default();
    let timeout = Duration::from_secs(seconds);
    Ok(ApplyOptions { files, wait: matches.get_flag("wait"), timeout })
}

fn explain(matches: &ArgMatches) -> Result<Action> {
    let name = text(matches, "name")?;
    let loads = matches.get_one::<PathBuf>("loads").cloned();
    if text(matches, "subject")? == "group" {
        return Ok(Action::ExplainGroup { name, loads });
    }
    if let Some(file) = loads {
        let (argument, value) = ("--loads", file.display().to_string());
        return Err(CliError::Argument {
            argument,
            value,
            allowed: "no value, except for a group",
        });
    }
    Ok(Action::ExplainTarget { name })
}

fn connection(matches: &ArgMatches) -> Result<Connection> {
    let given = matches.get_many::<String>("entry").into_iter().flatten();
    let mut entries: Vec<_> = given.map(|url| String::from(url.trim_end_matches('/'))).collect();
    if entries.is_empty() {
        entries.push(String::from(DEFAULT_ENTRY));
    }
    if let Some(url) = entries.iter().find(|url| !url.starts_with("http://")) {
        let allowed = "a base address that starts with `http://`";
        return Err(CliError::Argument { argument: "--entry", value: url.clone(), allowed });
    }
    let token =
        matches.get_one::<PathBuf>("token-file").map(|file| read_token(file)).transpose()?;
    Ok(Connection { entries, token })
}

fn read_token(file: &Path) -> Result<String> {
    let text = fs::read_to_string(file)
        .map_err(|source| CliError::Unreadable { file: file.to_owned(), source })?;
    let token = text.lines().next().map(str::trim).filter(|token| !token.is_empty());
    token.map(String::from).ok_or_else(|| CliError::Argument {
        argument: "--token-file",
        value: file.display().to_string(),
        allowed: "a file whose first line is a token",
    })
}

fn kind(matches: &ArgMatches) -> Result<Kind> {
    let value = text(matches, "kind")?;
    let allowed = "customer, service, policy, target, group or data_centre";
    value.parse().map_err(|_| CliError::Argument { argument: "KIND", value, allowed })
}

fn role(matches: &ArgMatches) -> Result<Role> {
    Ok(match text(matches, "role")?.as_str() {
        "entry" => Role::Entry,
        _ => Role::Agent,
    })
}

fn text(matches: &ArgMatches, argument: &'static str) -> Result<String> {
    matches.get_one::<String>(argument).cloned().ok_or_else(|| missing(argument))
}

fn path(matches: &ArgMatches, argument: &'static str) -> Result<PathBuf> {
    matches.get_one::<PathBuf>(argument).cloned().ok_or_else(|| missing(argument))
}

fn paths(matches: &ArgMatches, argument: &'static str) -> Result<Vec<PathBuf>> {
    let paths = matches.get_many::<PathBuf>(argument).ok_or_else(|| missing(argument))?;
    Ok(paths.cloned().collect())
}

fn missing(argument: &'static str) -> CliError {
    CliError::Argument { argument, value: String::new(), allowed: "a value" }
}
