//! The operator's command line; docs/OPERATING.md describes the commands and their exit codes.

pub mod apply;
pub mod check;
pub mod client;
pub mod command;
pub mod error;
mod explain;
mod loads;
pub mod options;
mod show;
mod trace;
mod watch;

use std::io::{self, Read, Write};

use sha2::Digest;

use crate::cli::client::Client;
use crate::cli::error::{CliError, Result};
use crate::cli::options::{Action, Options, Output};
use crate::resources::documents::{Document, Metadata};
use crate::resources::kinds::Kind;

/// Runs one command and writes its result to `out`.
///
/// # Errors
///
/// Returns a [`CliError`]; [`CliError::exit_code`] is the exit code of the program.
pub async fn run(options: Options, out: &mut impl Write) -> Result<()> {
    let Options { action, connection, output } = options;
    match action {
        Action::HashKey => return hash_key(io::stdin().lock(), out),
        Action::Check { role, file } => return check_file(role, &file, out),
        Action::Trace { id, files } => return trace::trace(&id, &files, output, out),
        _ => {}
    }
    let client = Client::new(connection)?;
    match action {
        Action::Apply(action) => apply::apply(&client, &action, output, out).await,
        Action::Get { kind, name } => get(&client, kind, name.as_deref(), output, out).await,
        Action::Watch { kind } => watch::watch(&client, kind, output, out).await,
        Action::Delete { kind, name } => delete(&client, kind, &name, output, out).await,
        Action::Audit { limit } => {
            let audit = client.audit(limit).await?;
            show::audit(&audit, output, out)
        }
        Action::Change { id } => {
            let change = client.change(&id).await?;
            show::change(&change, output, out)
        }
        Action::Drain { target, drain } => set_drain(&client, &target, drain, output, out).await,
        Action::Evacuate { data_centre, evacuated } => {
            set_evacuated(&client, &data_centre, evacuated, output, out).await
        }
        Action::ExplainTarget { name } => explain::target(&client, &name, output, out).await,
        Action::ExplainGroup { name, loads } => {
            explain::group(&client, &name, loads.as_deref(), output, out).await
        }
        Action::HashKey | Action::Check { .. } | Action::Trace { .. } => Ok(()),
    }
}

async fn get(
    client: &Client,
    kind: Kind,
    name: Option<&str>,
    output: Output,
    out: &mut impl Write,
) -> Result<()> {
    match name {
        Some(name) => {
            let document = client.read(kind, name).await?;
            show::document(&document, output, out)
        }
        None => {
            let list = client.list(kind).await?;
            show::list(&list, output, out)
        }
    }
}

async fn delete(
    client: &Client,
    kind: Kind,
    name: &str,
    output: Output,
    out: &mut impl Write,
) -> Result<()> {
    let current = client.read(kind, name).await?;
    let version = current.metadata.resource_version.unwrap_or_default();
    let change = client.delete(kind, name, version).await?;
    show::change(&change, output, out)
}

async fn set_drain(
    client: &Client,
    target: &str,
    drain: bool,
    output: Output,
    out: &mut impl Write,
) -> Result<()> {
    let mut document = client.read(Kind::Target, target).await?;
    if let Some(spec) = document.spec.as_object_mut() {
        spec.insert(String::from("drain"), serde_json::Value::Bool(drain));
    }
    let document: Document = client.replace(&document).await?;
    show::document(&document, output, out)
}

/// Empties a data centre or takes it back. A data centre that is not declared is declared by that.
async fn set_evacuated(
    client: &Client,
    data_centre: &str,
    evacuated: bool,
    output: Output,
    out: &mut impl Write,
) -> Result<()> {
    let document = Document {
        kind: Kind::DataCentre,
        metadata: Metadata {
            name: data_centre.to_owned(),
            generation: 0,
            resource_version: None,
            change_id: None,
        },
        spec: serde_json::json!({ "evacuated": evacuated }),
        status: None,
    };
    let (_, document) = apply::apply_one(client, &document).await?;
    show::document(&document, output, out)
}

/// Hashes the key in the first line of the input. It is not an argument because arguments are
/// visible in the process list and the shell's history.
fn hash_key(input: impl Read, out: &mut impl Write) -> Result<()> {
    let key = io::read_to_string(input).map_err(|source| CliError::Input { source })?;
    let key = key.lines().next().unwrap_or_default();
    if key.is_empty() {
        return Err(CliError::EmptyKey);
    }
    let hash = sha2::Sha256::digest(key);
    writeln!(out, "{hash:x}").map_err(|source| CliError::Output { source })
}

fn check_file(role: check::Role, file: &std::path::Path, out: &mut impl Write) -> Result<()> {
    check::check(role, file)?;
    writeln!(out, "{}: fine", file.display()).map_err(|source| CliError::Output { source })
}
