//! Tests that docs/PROOFS.md names only existing tests, and that links between pages lead to files.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use crate::{read, repository_file};

/// Returns the code spans of a page.
fn code_spans(page: &str) -> impl Iterator<Item = &str> {
    page.split('`').skip(1).step_by(2)
}

fn is_test_file(span: &str) -> bool {
    span.starts_with("tests/") && span.ends_with(".rs")
}

/// Returns true if a code span can be the name of a test: test names are sentences, so they contain
/// at least two underscores.
fn is_test_name(span: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_';
    span.chars().all(is_allowed) && span.matches('_').count() >= 2
}

/// Collects the names of all functions in the Rust files below a directory.
fn collect_functions(directory: &Path, found: &mut BTreeSet<String>) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_functions(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.extend(functions(&fs::read_to_string(&path).unwrap()));
        }
    }
}

fn functions(source: &str) -> Vec<String> {
    let names = source.lines().filter_map(|line| line.trim().split_once("fn "));
    names.filter_map(|(_, rest)| rest.split('(').next()).map(str::to_owned).collect()
}

#[test]
fn every_test_that_the_page_of_proofs_names_exists() {
    let page = read("docs/PROOFS.md");
    let mut known = BTreeSet::new();
    collect_functions(&repository_file("tests"), &mut known);
    collect_functions(&repository_file("platform/tests"), &mut known);
    let names: Vec<&str> = code_spans(&page).filter(|span| is_test_name(span)).collect();
    assert!(names.len() > 50, "{names:?}");
    for name in names {
        assert!(known.contains(name), "no test is called {name}");
    }
    for file in code_spans(&page).filter(|span| is_test_file(span)) {
        assert!(repository_file(file).is_file(), "there is no {file}");
    }
}

/// Returns the paths of the files that a page links to, without the fragments.
fn links(page: &str) -> Vec<&str> {
    let targets = page.split("](").skip(1).filter_map(|rest| rest.split(')').next());
    let files = targets.filter(|target| !target.contains("://") && !target.starts_with('#'));
    files.filter_map(|target| target.split('#').next()).collect()
}

fn assert_links_lead_to_files(page: &str) {
    let file = repository_file(page);
    let directory = file.parent().unwrap();
    for link in links(&read(page)) {
        assert!(directory.join(link).is_file(), "{page} links to {link}");
    }
}

#[test]
fn links_lead_to_files() {
    assert_links_lead_to_files("README.md");
    for entry in fs::read_dir(repository_file("docs")).unwrap() {
        let name = entry.unwrap().file_name().into_string().unwrap();
        if name.ends_with(".md") {
            assert_links_lead_to_files(&format!("docs/{name}"));
        }
    }
}
