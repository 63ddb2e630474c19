//! Tells why a target gets work or not, entry by entry, since each entry decides by itself.

use std::io::Write;

use serde::Serialize;

use crate::cli::client::{Client, EntryView};
use crate::cli::error::Result;
use crate::cli::options::Output;
use crate::cli::show;
use crate::entry::core::explain::Finding;

#[derive(Serialize)]
struct Views {
    items: Vec<EntryView>,
}

pub(super) async fn target(
    client: &Client,
    name: &str,
    output: Output,
    out: &mut impl Write,
) -> Result<()> {
    let items = client.explain_target(name).await?;
    if output == Output::Json {
        return show::json(&Views { items }, out);
    }
    let head = ["ENTRY", "WORK", "SHARE", "IN-FLIGHT", "RUNNING", "QUEUED", "SLOTS", "REVISION"];
    show::table(&head, items.iter().map(row).collect(), out)?;
    for (entry, finding) in items.iter().flat_map(findings) {
        writeln!(out, "{entry}: {} {}", finding.message, finding.remedy)
            .map_err(show::output_error)?;
    }
    Ok(())
}

fn row(view: &EntryView) -> Vec<String> {
    let Some(document) = &view.explained else {
        let reason = view.failure.clone().unwrap_or_default();
        return vec![view.address.clone(), format!("no answer: {reason}")];
    };
    let explanation = &document.explanation;
    let load = &explanation.load;
    vec![
        document.entry.clone(),
        String::from(if explanation.takes_work { "yes" } else { "no" }),
        format!("{:.1}%", 100.0 * explanation.share),
        load.in_flight.to_string(),
        load.running.to_string(),
        load.queued.to_string(),
        load.slots.to_string(),
        explanation.config_revision.to_string(),
    ]
}

fn findings(view: &EntryView) -> impl Iterator<Item = (&str, &Finding)> {
    let documents = view.explained.iter();
    documents.flat_map(|document| {
        document.explanation.findings.iter().map(|finding| (document.entry.as_str(), finding))
    })
}
