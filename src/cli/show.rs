//! Writes results as JSON or as aligned columns of text.

use std::io::Write;

use serde::Serialize;

use crate::cli::error::{CliError, Result};
use crate::cli::options::Output;
use crate::resources::documents::{
    AuditDocument, ChangeDocument, ChangeOutcome, Document, ListDocument,
};
use crate::resources::status::{ConditionStatus, IN_FORCE};

/// The number of spaces between two columns.
const COLUMN_GAP: usize = 2;

pub(super) fn list(list: &ListDocument, output: Output, out: &mut impl Write) -> Result<()> {
    match output {
        Output::Json => json(list, out),
        Output::Table => documents(&list.items, out),
    }
}

pub(super) fn document(document: &Document, output: Output, out: &mut impl Write) -> Result<()> {
    match output {
        Output::Json => json(document, out),
        Output::Table => documents(std::slice::from_ref(document), out),
    }
}

pub(super) fn audit(audit: &AuditDocument, output: Output, out: &mut impl Write) -> Result<()> {
    if output == Output::Json {
        return json(audit, out);
    }
    let rows = audit.items.iter().map(|record| {
        let subject = record.subject.as_ref();
        vec![
            record.unix_ms.to_string(),
            record.actor.clone(),
            format!("{:?}", record.action).to_lowercase(),
            subject.map(|subject| format!("{}/{}", subject.kind, subject.name)).unwrap_or_default(),
            subject.map(|subject| subject.generation.to_string()).unwrap_or_default(),
            record.change_id.clone(),
        ]
    });
    let head = ["UNIX-MS", "ACTOR", "ACTION", "RESOURCE", "GENERATION", "CHANGE"];
    table(&head, rows.collect(), out)
}

pub(super) fn change(change: &ChangeDocument, output: Output, out: &mut impl Write) -> Result<()> {
    if output == Output::Json {
        return json(change, out);
    }
    let text = match &change.outcome {
        ChangeOutcome::Applied { resource_version, applied } => {
            let action = format!("{:?}", applied.action).to_lowercase();
            let (kind, name) = (applied.kind, &applied.name);
            format!("{action} of {kind}/{name} was made at resource version {resource_version}")
        }
        ChangeOutcome::NotApplied { .. } => String::from("was not made and never will be"),
    };
    writeln!(out, "{}: {text}", change.change_id).map_err(output_error)
}

/// Writes one line for a resource in a watch; `event` is its first word.
pub(super) fn line(event: &str, document: &Document, out: &mut impl Write) -> Result<()> {
    let [name, generation, version, in_force] = columns(document);
    writeln!(out, "{event} {name} generation {generation} version {version} in-force {in_force}")
        .map_err(output_error)
}

pub(super) fn json(value: &impl Serialize, out: &mut impl Write) -> Result<()> {
    let text = serde_json::to_string(value).unwrap_or_default();
    writeln!(out, "{text}").map_err(output_error)
}

pub(super) fn output_error(source: std::io::Error) -> CliError {
    CliError::Output { source }
}

fn documents(documents: &[Document], out: &mut impl Write) -> Result<()> {
    let rows = documents.iter().map(|document| columns(document).to_vec()).collect();
    table(&["NAME", "GENERATION", "VERSION", "IN-FORCE"], rows, out)
}

fn columns(document: &Document) -> [String; 4] {
    let metadata = &document.metadata;
    let conditions = document.status.iter().flat_map(|status| &status.conditions);
    let condition = conditions.into_iter().find(|condition| condition.type_ == IN_FORCE);
    let status = condition.map_or(ConditionStatus::Unknown, |condition| condition.status);
    [
        metadata.name.clone(),
        metadata.generation.to_string(),
        metadata.resource_version.map(|version| version.to_string()).unwrap_or_default(),
        format!("{status:?}"),
    ]
}

pub(super) fn table(head: &[&str], rows: Vec<Vec<String>>, out: &mut impl Write) -> Result<()> {
    let head: Vec<_> = head.iter().copied().map(String::from).collect();
    let rows: Vec<_> = std::iter::once(head).chain(rows).collect();
    for row in &rows {
        let cells = row.iter().enumerate().map(|(column, cell)| {
            let widths = rows.iter().filter_map(|row| row.get(column)).map(String::len);
            let width = widths.max().unwrap_or_default() + COLUMN_GAP;
            format!("{cell:width$}")
        });
        let line: String = cells.collect();
        writeln!(out, "{}", line.trim_end()).map_err(output_error)?;
    }
    Ok(())
}
