//! `explain`: why a target receives requests or a group has its expert map. The explanations are
//! listed by entry, since each entry decides independently.

use std::io::Write;
use std::path::Path;

use serde::Serialize;

use crate::cli::client::{Client, EntryView};
use crate::cli::error::{CliError, Result};
use crate::cli::options::Output;
use crate::cli::{loads, show};
use crate::entry::core::explain::group::GroupExplanation;
use crate::entry::core::explain::{Finding, TargetExplanation};
use crate::expert_map::planner::Explanation;
use crate::resources::kinds::Kind;

#[derive(Serialize)]
struct Views<T> {
    items: Vec<EntryView<T>>,
    /// The planner's result for the loads in the operator's file.
    #[serde(skip_serializing_if = "Option::is_none")]
    plan: Option<Explanation>,
}

/// Shows each entry's explanation of a target.
pub(super) async fn target(
    client: &Client,
    name: &str,
    output: Output,
    out: &mut impl Write,
) -> Result<()> {
    let items = client.explain::<TargetExplanation>(Kind::Target, name).await?;
    if output == Output::Json {
        return show::json(&Views { items, plan: None }, out);
    }
    let head = ["ENTRY", "WORK", "SHARE", "IN-FLIGHT", "RUNNING", "QUEUED", "SLOTS", "REVISION"];
    let rows = items.iter().map(|view| match &view.explained {
        Some(explained) => {
            let revision = explained.explanation.config_revision.to_string();
            row(vec![explained.entry.clone()], &explained.explanation, Some(revision))
        }
        None => no_answer(view),
    });
    show::table(&head, rows.collect(), out)?;
    items.iter().try_for_each(|view| findings(view, |target| &target.findings, out))
}

/// Shows each entry's explanation of a group, and the planner's result for the loads in `file`.
pub(super) async fn group(
    client: &Client,
    name: &str,
    file: Option<&Path>,
    output: Output,
    out: &mut impl Write,
) -> Result<()> {
    let items = client.explain::<GroupExplanation>(Kind::Group, name).await?;
    let plan = file.map(|file| plan(name, file, &items)).transpose()?;
    if output == Output::Json {
        return show::json(&Views { items, plan }, out);
    }
    let head =
        ["ENTRY", "RANK", "TARGET", "WORK", "SHARE", "IN-FLIGHT", "RUNNING", "QUEUED", "SLOTS"];
    show::table(&head, items.iter().flat_map(group_rows).collect(), out)?;
    items.iter().try_for_each(|view| findings(view, |group| &group.findings, out))?;
    match plan {
        Some(plan) => writeln!(out, "{plan}").map_err(show::output_error),
        None => Ok(()),
    }
}

fn plan(name: &str, file: &Path, items: &[EntryView<GroupExplanation>]) -> Result<Explanation> {
    let explained = items.iter().filter_map(|view| view.explained.as_ref());
    let spec = explained.filter_map(|explained| explained.explanation.spec.as_ref()).next();
    loads::plan(file, spec.ok_or_else(|| CliError::NoGroup { name: name.to_owned() })?)
}

fn group_rows(view: &EntryView<GroupExplanation>) -> Vec<Vec<String>> {
    let Some(explained) = &view.explained else { return vec![no_answer(view)] };
    let ranks = explained.explanation.ranks.iter().enumerate();
    ranks
        .map(|(rank, target)| {
            let leading = vec![explained.entry.clone(), rank.to_string(), target.target.clone()];
            row(leading, target, None)
        })
        .collect()
}

fn row(
    mut cells: Vec<String>,
    target: &TargetExplanation,
    trailing: Option<String>,
) -> Vec<String> {
    let load = &target.load;
    cells.push(String::from(if target.takes_work { "yes" } else { "no" }));
    cells.push(format!("{:.1}%", 100.0 * target.share));
    let counts = [load.in_flight, load.running, load.queued, load.slots];
    cells.extend(counts.iter().map(ToString::to_string));
    cells.extend(trailing);
    cells
}

fn no_answer<T>(view: &EntryView<T>) -> Vec<String> {
    let reason = view.failure.clone().unwrap_or_default();
    vec![view.address.clone(), format!("no answer: {reason}")]
}

fn findings<T>(
    view: &EntryView<T>,
    findings: impl Fn(&T) -> &[Finding],
    out: &mut impl Write,
) -> Result<()> {
    let Some(explained) = &view.explained else { return Ok(()) };
    findings(&explained.explanation).iter().try_for_each(|finding| {
        let Finding { message, remedy, .. } = finding;
        writeln!(out, "{}: {message} {remedy}", explained.entry).map_err(show::output_error)
    })
}
