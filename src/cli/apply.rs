//! Applies files of resources: creates what is missing and replaces what differs.

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

/// How often the status is asked for while waiting.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);
/// The file name that stands for the input.
const INPUT: &str = "-";

/// Verdict is what applying did to one resource.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// It came to be.
    Created,
    /// It got another specification.
    Changed,
    /// It is as declared already.
    Unchanged,
    /// Another change came first.
    Conflict,
    /// The entry refused it.
    Refused,
}

impl fmt::Display for Verdict {
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

/// Report is what applying did, as JSON output shows it.
#[derive(Serialize)]
struct Report<'a> {
    kind: Kind,
    name: &'a str,
    result: Verdict,
    #[serde(skip_serializing_if = "Option::is_none")]
    resource_version: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<String>,
}

/// Applies the files and, if asked to, waits until all is in force.
///
/// # Errors
///
/// Returns a [`CliError`]; conflicts and refusals do not keep the other resources from being
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
        let (verdict, result) = match apply_one(client, document).await {
            Ok((verdict, written)) => (verdict, Ok(written)),
            Err(error @ CliError::Conflict { .. }) => (Verdict::Conflict, Err(error)),
            Err(error @ CliError::Refused { .. }) => (Verdict::Refused, Err(error)),
            Err(error) => return Err(error),
        };
        report(document, verdict, &result, output, out)?;
        match result {
            Ok(written) => applied.push(written),
            Err(error) => exit_codes.push(error.exit_code()),
        }
    }
    if let Some(exit_code) = worst(&exit_codes) {
        let (failed, all) = (exit_codes.len(), documents.len());
        return Err(CliError::PartlyApplied { failed, all, exit_code });
    }
    if options.wait {
        wait_all(client, &applied, options.timeout).await?;
    }
    Ok(())
}

/// Reads the documents in the order in which they may refer to each other.
fn read_all(options: &ApplyOptions) -> Result<Vec<Document>> {
    let mut documents = Vec::new();
    for file in &options.files {
        documents.extend(read_file(file)?);
    }
    documents.sort_by_key(|document| document.kind);
    Ok(documents)
}

fn read_file(file: &Path) -> Result<Vec<Document>> {
    let text = if file == Path::new(INPUT) {
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

async fn apply_one(client: &Client, document: &Document) -> Result<(Verdict, Document)> {
    let present = match client.read(document.kind, &document.metadata.name).await {
        Ok(present) => present,
        Err(CliError::Refused { status: 404, .. }) => {
            return Ok((Verdict::Created, client.create(document).await?));
        }
        Err(error) => return Err(error),
    };
    if is_same(document, &present) {
        return Ok((Verdict::Unchanged, present));
    }
    let given = document.metadata.resource_version;
    let resource_version = given.or(present.metadata.resource_version);
    let metadata = Metadata { resource_version, ..document.metadata.clone() };
    let replacement = Document { metadata, ..document.clone() };
    Ok((Verdict::Changed, client.replace(&replacement).await?))
}

/// Tells whether the specifications are the same once defaults are filled in.
fn is_same(document: &Document, present: &Document) -> bool {
    let declared = Spec::parse(document.kind, &document.spec);
    declared.is_ok_and(|spec| spec.to_value() == present.spec)
}

fn report(
    document: &Document,
    result: Verdict,
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

fn worst(exit_codes: &[u8]) -> Option<u8> {
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

/// Waits until the version that was applied, or a later one, is in force.
async fn wait_one(client: &Client, document: &Document, deadline: time::Instant) -> Result<()> {
    loop {
        let present = client.read(document.kind, &document.metadata.name).await?;
        let status = present.status.unwrap_or_default();
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
        || String::from("the entry says nothing of it."),
        |condition| condition.message.clone(),
    );
    let (kind, name) = (document.kind.as_str(), document.metadata.name.clone());
    CliError::NotInForce { kind, name, reason }
}
