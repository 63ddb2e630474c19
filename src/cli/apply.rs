//! `apply`: creates the resources in files, or replaces those whose specification differs.

use std::io::{self, Write};
use std::path::Path;
use std::time::Duration;
use std::{fmt, fs};

use serde::Serialize;
use tokio::time;

use crate::cli::client::Client;
use crate::cli::error::{self, CliError, Result};
use crate::cli::options::{ApplyOptions, Output};
use crate::resources::documents::{Document, Metadata};
use crate::resources::kinds::Kind;
use crate::resources::specs::Spec;
use crate::resources::status::{IN_FORCE, Status};

/// The polling interval of the status while waiting until a resource is in force.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// The file name that means standard input.
const STDIN: &str = "-";

/// The outcome of applying one resource.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ApplyOutcome {
    /// The resource did not exist and was created.
    Created,
    /// The specification was replaced.
    Changed,
    /// The resource already has the declared specification.
    Unchanged,
    /// The version was stale: another change was made first.
    Conflict,
    /// The entry refused the resource.
    Refused,
}

impl fmt::Display for ApplyOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Created => "created",
            Self::Changed => "changed",
            Self::Unchanged => "unchanged",
            Self::Conflict => "conflict",
            Self::Refused => "refused",
        })
    }
}

/// A line of JSON output for one resource.
#[derive(Serialize)]
struct Report<'a> {
    kind: Kind,
    name: &'a str,
    result: ApplyOutcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    resource_version: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<String>,
}

/// Applies the files and, with `--wait`, waits until all resources are in force.
///
/// # Errors
///
/// Returns a [`CliError`]. After a conflict or a refusal the remaining resources are still
/// applied.
pub async fn apply(
    client: &Client,
    options: &ApplyOptions,
    output: Output,
    out: &mut impl Write,
) -> Result<()> {
    let documents = read_all(options)?;
    let mut applied = Vec::new();
    let mut exit_codes = Vec::new();
    for document in &documents {
        let (outcome, result) = match apply_one(client, document).await {
            Ok((outcome, written)) => (outcome, Ok(written)),
            Err(error @ CliError::Conflict { .. }) => (ApplyOutcome::Conflict, Err(error)),
            Err(error @ CliError::Refused { .. }) => (ApplyOutcome::Refused, Err(error)),
            Err(error) => return Err(error),
        };
        report(document, outcome, &result, output, out)?;
        match result {
            Ok(written) => applied.push(written),
            Err(error) => exit_codes.push(error.exit_code()),
        }
    }
    if let Some(exit_code) = combined_exit_code(&exit_codes) {
        let (failed, all) = (exit_codes.len(), documents.len());
        return Err(CliError::PartlyApplied { failed, all, exit_code });
    }
    if options.wait {
        wait_all(client, &applied, options.timeout).await?;
    }
    Ok(())
}

/// Reads the documents and sorts them by kind, so that a resource comes after those it refers to.
fn read_all(options: &ApplyOptions) -> Result<Vec<Document>> {
    let mut documents = Vec::new();
    for file in &options.files {
        documents.extend(read_file(file)?);
    }
    documents.sort_by_key(|document| document.kind);
    Ok(documents)
}

fn read_file(file: &Path) -> Result<Vec<Document>> {
    let text = if file == Path::new(STDIN) {
        io::read_to_string(io::stdin())
    } else {
        fs::read_to_string(file)
    };
    let text = text.map_err(|source| CliError::Unreadable { file: file.to_owned(), source })?;
    parse(&text).map_err(|error| CliError::Malformed {
        file: file.to_owned(),
        field: error.path().to_string(),
        reason: error.inner().to_string(),
    })
}

fn parse(
    text: &str,
) -> std::result::Result<Vec<Document>, serde_path_to_error::Error<serde_json::Error>> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    if text.trim_start().starts_with('[') {
        return serde_path_to_error::deserialize(&mut deserializer);
    }
    serde_path_to_error::deserialize(&mut deserializer).map(|document| vec![document])
}

/// Creates a resource, or replaces it if its specification differs.
pub(super) async fn apply_one(
    client: &Client,
    document: &Document,
) -> Result<(ApplyOutcome, Document)> {
    let current = match client.read(document.kind, &document.metadata.name).await {
        Ok(current) => current,
        Err(CliError::Refused { status: 404, .. }) => {
            return Ok((ApplyOutcome::Created, client.create(document).await?));
        }
        Err(error) => return Err(error),
    };
    if has_same_spec(document, &current) {
        return Ok((ApplyOutcome::Unchanged, current));
    }
    let given = document.metadata.resource_version;
    let resource_version = given.or(current.metadata.resource_version);
    let metadata = Metadata { resource_version, ..document.metadata.clone() };
    let replacement = Document { metadata, ..document.clone() };
    Ok((ApplyOutcome::Changed, client.replace(&replacement).await?))
}

/// Returns true if the specifications are equal once defaults are filled in.
fn has_same_spec(document: &Document, current: &Document) -> bool {
    let declared = Spec::parse(document.kind, &document.spec);
    declared.is_ok_and(|spec| spec.to_value() == current.spec)
}

fn report(
    document: &Document,
    result: ApplyOutcome,
    written: &Result<Document>,
    output: Output,
    out: &mut impl Write,
) -> Result<()> {
    let (kind, name) = (document.kind, document.metadata.name.as_str());
    let detail = written.as_ref().err().map(ToString::to_string);
    let version = written.as_ref().ok().and_then(|written| written.metadata.resource_version);
    let written = match output {
        Output::Json => {
            let report = Report { kind, name, result, resource_version: version, detail };
            writeln!(out, "{}", serde_json::to_string(&report).unwrap_or_default())
        }
        Output::Table => {
            let detail = detail.map(|detail| format!(": {detail}")).unwrap_or_default();
            writeln!(out, "{kind}/{name} {result}{detail}")
        }
    };
    written.map_err(|source| CliError::Output { source })
}

/// Returns the exit code for the failures of several resources; `None` without failures.
fn combined_exit_code(exit_codes: &[u8]) -> Option<u8> {
    let all_conflicts = exit_codes.iter().all(|code| *code == error::EXIT_CONFLICT);
    let code = if all_conflicts { error::EXIT_CONFLICT } else { error::EXIT_FAILED };
    (!exit_codes.is_empty()).then_some(code)
}

async fn wait_all(client: &Client, applied: &[Document], timeout: Duration) -> Result<()> {
    let deadline = time::Instant::now() + timeout;
    for document in applied {
        wait_one(client, document, deadline).await?;
    }
    Ok(())
}

/// Waits until the applied version, or a later one, is in force everywhere.
async fn wait_one(client: &Client, document: &Document, deadline: time::Instant) -> Result<()> {
    loop {
        let current = client.read(document.kind, &document.metadata.name).await?;
        let status = current.status.unwrap_or_default();
        if status.is_in_force() {
            return Ok(());
        }
        if time::Instant::now() + STATUS_INTERVAL >= deadline {
            return Err(not_in_force(document, &status));
        }
        time::sleep(STATUS_INTERVAL).await;
    }
}

fn not_in_force(document: &Document, status: &Status) -> CliError {
    let condition = status.conditions.iter().find(|condition| condition.type_ == IN_FORCE);
    let reason = condition.map_or_else(
        || String::from("the entry reports no such condition."),
        |condition| condition.message.clone(),
    );
    let (kind, name) = (document.kind.as_str(), document.metadata.name.clone());
    CliError::NotInForce { kind, name, reason }
}
