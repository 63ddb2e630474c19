//! Tests that the pages under docs/, the examples and the help texts agree with the code.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "documentation/command_line.rs"]
mod command_line;
#[path = "documentation/log_events.rs"]
mod log_events;
#[path = "documentation/problems.rs"]
mod problems;
#[path = "documentation/proofs.rs"]
mod proofs;
#[path = "documentation/resources.rs"]
mod resources;
#[path = "documentation/settings.rs"]
mod settings;

use std::fs;
use std::path::PathBuf;

/// Returns the full path of a file, given its path from the root of the repository.
fn repository_file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(name)
}

/// Returns the content of a file, given its path from the root of the repository.
fn read(name: &str) -> String {
    let file = repository_file(name);
    fs::read_to_string(&file).unwrap_or_else(|error| panic!("{}: {error}", file.display()))
}

/// Returns the cells of each row of all Markdown tables on a page, without the header rows.
fn table_rows(page: &str) -> Vec<Vec<String>> {
    let lines: Vec<&str> = page.lines().collect();
    let is_separator = |line: &str| line.starts_with("|---");
    let is_header = |index: usize| lines.get(index + 1).is_some_and(|next| is_separator(next));
    let rows = lines.iter().enumerate().filter(|(_, line)| line.starts_with('|'));
    let rows = rows.filter(|(index, line)| !is_separator(line) && !is_header(*index));
    rows.map(|(_, line)| cells(line)).collect()
}

/// Splits a table row at its `|`, except where a backslash escapes it.
fn cells(row: &str) -> Vec<String> {
    let inner = row.trim_matches('|').replace("\\|", "\u{0}");
    inner.split('|').map(|cell| cell.trim().replace('\u{0}', "|")).collect()
}
