//! Tests that docs/LOG_EVENTS.md lists the same log events as the catalogue in the code.

use std::fs;
use std::path::Path;

use bitternwall::telemetry::{catalogue, events};

use crate::{read, repository_file, table_rows};

const SOURCE: &str = "src/telemetry/events.rs";

/// Returns the number, severity and title of each event on the page.
fn documented() -> Vec<(String, String, String)> {
    let page = read("docs/LOG_EVENTS.md");
    let rows = table_rows(&page).into_iter();
    rows.map(|row| (row[0].clone(), row[1].clone(), row[2].clone())).collect()
}

fn severity(event: &events::LogEvent) -> &'static str {
    match event.severity {
        events::Severity::Info => "info",
        events::Severity::Warning => "warning",
        events::Severity::Error => "error",
    }
}

#[test]
fn the_page_lists_the_catalogue_in_its_order() {
    let row = |event: &events::LogEvent| (event.number.to_string(), severity(event), event.title);
    let catalogue = catalogue::CATALOGUE.iter().map(row);
    let catalogue: Vec<(String, String, String)> = catalogue
        .map(|(number, severity, title)| (number, severity.to_owned(), title.to_owned()))
        .collect();
    assert_eq!(documented(), catalogue);
}

#[test]
fn every_event_on_the_page_says_what_it_means_and_what_to_do() {
    for row in table_rows(&read("docs/LOG_EVENTS.md")) {
        assert_eq!(row.len(), 5, "{row:?}");
        assert!(row.iter().all(|cell| !cell.is_empty()), "{row:?}");
    }
}

#[test]
fn numbers_are_unique_and_increase() {
    for pair in catalogue::CATALOGUE.windows(2) {
        assert!(pair[0].number < pair[1].number, "{:?} before {:?}", pair[0], pair[1]);
    }
}

/// The page is compared with the catalogue, so an event missing from the catalogue would
/// stay undocumented.
#[test]
fn the_catalogue_holds_every_event_that_is_declared() {
    let source = read(SOURCE);
    let declared = source.lines().filter_map(|line| {
        let (name, _) = line.strip_prefix("pub const ")?.split_once(": LogEvent")?;
        Some(name)
    });
    let declared: Vec<&str> = declared.collect();
    assert_eq!(declared.len(), catalogue::CATALOGUE.len(), "{declared:?}");
}

#[test]
fn every_event_is_logged_somewhere() {
    let mut sources = String::new();
    append_sources(&repository_file("src"), &mut sources);
    let declarations = read(SOURCE);
    let names = declarations.lines().filter_map(|line| line.strip_prefix("pub const "));
    let names = names.filter_map(|line| line.split_once(": LogEvent"));
    for (name, _) in names {
        assert!(sources.contains(&format!("::{name}")), "{name} is logged nowhere");
    }
}

/// Appends the text of all files below a directory, except the declarations of the events.
fn append_sources(directory: &Path, sources: &mut String) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            append_sources(&path, sources);
        } else if !path.ends_with(SOURCE) {
            sources.push_str(&fs::read_to_string(&path).unwrap());
        }
    }
}
