//! Tests that docs/SETTINGS.md, the example settings and the settings that the daemons accept
//! agree.

use std::path::PathBuf;
use std::process::{Command, Output};

use serde_json::Value;

use crate::{read, repository_file, table_rows};

const PAGE: &str = "docs/SETTINGS.md";
const ENTRY_EXAMPLE: &str = "examples/settings/entry.json";
const PLATFORM_EXAMPLES: [(&str, &str); 2] = [
    ("bitternwall-platform-entry", "examples/settings/platform-entry.json"),
    ("bitternwall-platform-agent", "examples/settings/platform-agent.json"),
];
const AGENT_EXAMPLES: [&str; 2] =
    ["examples/settings/agent-model.json", "examples/settings/agent-plain.json"];

/// Collects the paths of all fields of a JSON value, with `[]` for the elements of an array.
fn collect_fields(value: &Value, path: &str, found: &mut Vec<String>) {
    match value {
        Value::Object(members) => {
            for (name, member) in members {
                let separator = if path.is_empty() { "" } else { "." };
                let path = format!("{path}{separator}{name}");
                found.push(path.clone());
                collect_fields(member, &path, found);
            }
        }
        Value::Array(elements) => {
            for element in elements {
                collect_fields(element, &format!("{path}[]"), found);
            }
        }
        _ => {}
    }
}

fn example_fields(example: &str) -> Vec<String> {
    let mut found = Vec::new();
    let document = serde_json::from_str(&read(example)).unwrap();
    collect_fields(&document, "", &mut found);
    found
}

/// Returns the paths of the fields that a section of the page lists.
fn listed(section: &str) -> Vec<String> {
    let page = read(PAGE);
    let (_, text) = page.split_once(&format!("\n## {section}\n")).unwrap();
    let text = text.split("\n## ").next().unwrap();
    table_rows(text).into_iter().map(|row| row[0].trim_matches('`').to_owned()).collect()
}

#[test]
fn every_field_of_the_examples_is_on_the_page() {
    let entry = listed("bitternwall-entry");
    for field in example_fields(ENTRY_EXAMPLE) {
        assert!(entry.contains(&field), "entry: {field}");
    }
    let agent = listed("bitternwall-agent");
    for field in AGENT_EXAMPLES.iter().flat_map(|example| example_fields(example)) {
        assert!(agent.contains(&field), "agent: {field}");
    }
    for (section, example) in PLATFORM_EXAMPLES {
        let listed = listed(section);
        for field in example_fields(example).iter().filter(|field| !field.ends_with("[]")) {
            assert!(listed.contains(field), "{section}: {field}");
        }
    }
}

/// The page may list fields that no example sets, but no field that the daemons would reject.
#[test]
fn the_daemons_know_every_field_on_the_page() {
    let sources = [
        "src/settings/agent.rs",
        "src/settings/common.rs",
        "src/settings/entry.rs",
        "src/entry/operator_api.rs",
    ];
    let sources: String = sources.iter().map(|source| read(source)).collect();
    for field in listed("bitternwall-entry").into_iter().chain(listed("bitternwall-agent")) {
        let name = field.rsplit('.').next().unwrap();
        assert!(sources.contains(&format!("pub {name}: ")), "{field}");
    }
}

/// Returns the names of the public fields that a source file declares.
fn declared_fields(source: &str) -> Vec<String> {
    let source = read(source);
    let public = source.lines().filter_map(|line| line.trim().strip_prefix("pub "));
    let fields = public.filter_map(|line| line.split_once(": ")).map(|(name, _)| name);
    fields.filter(|name| !name.contains(' ')).map(str::to_owned).collect()
}

fn assert_lists_declared_fields(section: &str, sources: &[&str]) {
    let listed = listed(section);
    let declared: Vec<String> = sources.iter().flat_map(|source| declared_fields(source)).collect();
    assert!(declared.len() > 8, "{declared:?}");
    for name in declared {
        let has_name = |field: &String| field.rsplit('.').next() == Some(name.as_str());
        assert!(listed.iter().any(has_name), "{section}: {name}");
    }
}

#[test]
fn the_page_lists_every_field_that_the_daemons_declare() {
    assert_lists_declared_fields("bitternwall-entry", &["src/settings/entry.rs"]);
    assert_lists_declared_fields("bitternwall-agent", &["src/settings/agent.rs"]);
    let host = "src/settings/host.rs";
    let (entry, agent) = ("src/settings/direct.rs", "src/settings/rank.rs");
    assert_lists_declared_fields("bitternwall-platform-entry", &[entry, host]);
    assert_lists_declared_fields("bitternwall-platform-agent", &[agent, host]);
}

fn assert_accepts(program: &str, arguments: &[&str], file: &str) {
    let output: Output = Command::new(PathBuf::from(program))
        .args(arguments)
        .arg(repository_file(file))
        .output()
        .unwrap();
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{program} {arguments:?} {file}: {errors}");
}

#[test]
fn the_daemons_accept_the_examples() {
    assert_accepts(
        env!("CARGO_BIN_EXE_bitternwall-entry"),
        &["--check", "--settings"],
        ENTRY_EXAMPLE,
    );
    for example in AGENT_EXAMPLES {
        assert_accepts(
            env!("CARGO_BIN_EXE_bitternwall-agent"),
            &["--check", "--settings"],
            example,
        );
    }
}

#[test]
fn the_command_line_accepts_the_examples() {
    let program = env!("CARGO_BIN_EXE_bitternwall");
    assert_accepts(program, &["check", "entry"], ENTRY_EXAMPLE);
    for example in AGENT_EXAMPLES {
        assert_accepts(program, &["check", "agent"], example);
    }
}
