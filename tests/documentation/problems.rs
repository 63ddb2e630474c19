//! Tests that docs/OPERATING.md and docs/OPERATIONS.md list every problem type and every metric.

use std::collections::BTreeSet;

use bitternwall::agent;
use bitternwall::entry;

use crate::{read, table_rows};

const PAGE: &str = "docs/OPERATING.md";

/// Returns the names with this prefix that are code spans in the first cells of the page's tables.
fn documented(prefix: &str) -> BTreeSet<String> {
    let rows = table_rows(&read(PAGE)).into_iter();
    let names = rows.flat_map(|row| code_spans(&row[0]));
    names.filter(|name| name.starts_with(prefix)).collect()
}

fn code_spans(cell: &str) -> Vec<String> {
    cell.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

/// Returns the string literals with this prefix in a source file.
fn literals(source: &str, prefix: &str) -> BTreeSet<String> {
    let text = read(source);
    let literals = text.split('"').skip(1).step_by(2).map(str::to_owned);
    literals.filter(|literal| literal.starts_with(prefix)).collect()
}

#[test]
fn every_type_of_a_callers_problem_is_on_the_page() {
    let mut types = literals("src/entry/refusals.rs", "/problems/");
    types.append(&mut literals("src/entry/caller_api.rs", "/problems/"));
    assert!(types.len() > 10, "{types:?}");
    assert_eq!(documented("/problems/"), types);
}

#[test]
fn every_type_of_an_operators_problem_is_on_the_page() {
    let source = read("src/entry/operator_api/problems.rs");
    let calls = ["refused(\"", "problem(\""];
    let types = calls.iter().flat_map(|call| source.split(call).skip(1));
    let types: BTreeSet<&str> = types.filter_map(|rest| rest.split('"').next()).collect();
    assert!(types.len() > 10, "{types:?}");
    let listed = documented("");
    for type_ in types {
        assert!(listed.contains(type_), "{type_} is not on the page");
    }
}

/// Returns the names of the metrics that a registry gathers.
fn names(registry: &prometheus::Registry) -> BTreeSet<String> {
    registry.gather().iter().map(|family| family.name().to_owned()).collect()
}

#[test]
fn every_metric_is_on_the_page() {
    let mut registered = literals("src/entry/metrics.rs", "bitternwall_");
    registered.append(&mut literals("src/agent/metrics.rs", "bitternwall_"));
    assert!(registered.len() > 10, "{registered:?}");
    assert_eq!(documented("bitternwall_"), registered);
}

/// The other tests take the names of metrics from the literals of the source, so each registered
/// name must be among them.
#[test]
fn the_sources_of_metrics_hold_every_registered_name() {
    let registry = prometheus::Registry::new();
    entry::metrics::EntryMetrics::register(&registry).unwrap();
    let entry = literals("src/entry/metrics.rs", "bitternwall_");
    assert!(names(&registry).is_subset(&entry));
    let families = agent::metrics::Metrics::new().unwrap().registry().gather();
    let text = prometheus::TextEncoder::new().encode_to_string(&families).unwrap();
    let agent = literals("src/agent/metrics.rs", "bitternwall_");
    let gathered = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let gathered = gathered.filter_map(|line| line.split(' ').next());
    for name in gathered {
        assert!(agent.contains(name), "{name}");
    }
}

/// docs/OPERATIONS.md lists the metrics of the platform's programs and no others.
#[test]
fn every_metric_of_the_direct_path_is_on_the_page_of_operations() {
    let mut registered = literals("src/direct/state/metrics.rs", "bitternwall_direct_");
    registered.append(&mut literals("src/ranks/metrics.rs", "bitternwall_rank_"));
    registered.append(&mut literals("src/direct/connections/port_metrics.rs", "bitternwall_"));
    assert!(registered.len() > 10, "{registered:?}");
    let page = read("docs/OPERATIONS.md");
    let rows = table_rows(&page).into_iter().map(|row| row[0].trim_matches('`').to_owned());
    let listed: BTreeSet<String> = rows.filter(|name| name.starts_with("bitternwall_")).collect();
    assert_eq!(listed, registered);
}
