//! Tests that the example resources are valid, refer only to each other and match the example
//! settings.

use std::collections::BTreeSet;

use bitternwall::resources::documents::Document;
use bitternwall::resources::kinds::Kind;
use bitternwall::resources::specs::Spec;
use serde_json::Value;

use crate::read;

const EXAMPLES: [&str; 2] =
    ["examples/resources/cooperative.json", "examples/resources/guild.json"];
const AGENTS: [&str; 2] =
    ["examples/settings/agent-model.json", "examples/settings/agent-plain.json"];

fn documents(example: &str) -> Vec<Document> {
    serde_json::from_str(&read(example)).unwrap()
}

/// Returns the names of the resources of one kind.
fn names(documents: &[Document], kind: Kind) -> BTreeSet<&str> {
    let of_kind = documents.iter().filter(|document| document.kind == kind);
    of_kind.map(|document| document.metadata.name.as_str()).collect()
}

/// Returns the names of the resources that a field of a specification refers to.
fn references<'a>(document: &'a Document, field: &str) -> Vec<&'a str> {
    match &document.spec[field] {
        Value::String(name) => vec![name],
        Value::Array(names) => names.iter().filter_map(Value::as_str).collect(),
        _ => Vec::new(),
    }
}

#[test]
fn the_example_resources_are_allowed() {
    for example in EXAMPLES {
        for document in documents(example) {
            let name = &document.metadata.name;
            let parsed = Spec::parse(document.kind, &document.spec);
            assert!(parsed.is_ok(), "{example} {name}: {:?}", parsed.err());
        }
    }
}

#[test]
fn the_example_resources_name_only_each_other() {
    let fields = [
        ("customers", Kind::Customer),
        ("services", Kind::Service),
        ("service", Kind::Service),
        ("ranks", Kind::Target),
    ];
    for example in EXAMPLES {
        let documents = documents(example);
        for (field, kind) in fields {
            let known = names(&documents, kind);
            for name in documents.iter().flat_map(|document| references(document, field)) {
                assert!(known.contains(name), "{example}: {field} {name}");
            }
        }
    }
}

#[test]
fn the_example_agents_match_the_example_targets() {
    let documents = documents(EXAMPLES[0]);
    for agent in AGENTS {
        let settings: Value = serde_json::from_str(&read(agent)).unwrap();
        let target = documents
            .iter()
            .find(|document| settings["target"] == document.metadata.name.as_str())
            .unwrap();
        let fields = [("service", "service"), ("listen", "agent"), ("data_centre", "data_centre")];
        for (setting, field) in fields {
            assert_eq!(settings[setting], target.spec[field], "{agent}: {setting}");
        }
    }
}
