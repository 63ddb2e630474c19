//! Checks of names and specifications, whose errors name the field, the value and what is allowed.

use bitternwall::resources::documents::Document;
use bitternwall::resources::kinds::Kind;
use bitternwall::resources::names;
use bitternwall::resources::specs::Spec;
use serde_json::{Value, json};

fn refusal(kind: Kind, spec: &Value) -> String {
    Spec::parse(kind, spec).unwrap_err().to_string()
}

fn target(field: &str, value: Value) -> Value {
    let mut spec = json!({ "service": "s", "agent": "10.0.0.1:9000", "data_centre": "ikeja" });
    spec[field] = value;
    spec
}

fn group(field: &str, value: Value) -> Value {
    let mut spec = json!({
        "service": "s", "ranks": ["r0", "r1"], "layers": 2, "experts": 8, "slots_per_rank": 4,
    });
    spec[field] = value;
    spec
}

#[test]
fn refusals_name_the_field_the_value_and_what_is_allowed() {
    let refusals = [
        refusal(Kind::Customer, &json!({ "key_sha256": "ABC" })),
        refusal(Kind::Customer, &json!({ "key_sha256": "a", "extra": 1 })),
        refusal(Kind::Service, &json!({ "kind": "plain", "timeout_ms": 0 })),
        refusal(Kind::Service, &json!({ "kind": "model" })),
        refusal(
            Kind::Service,
            &json!({
                "kind": "plain",
                "operations": [{ "method": "POST", "path": "holds", "idempotent": false }],
            }),
        ),
        refusal(Kind::Policy, &json!({ "customers": ["a", "a"], "services": [] })),
        refusal(Kind::Policy, &json!({ "customers": ["A"], "services": [] })),
        refusal(Kind::Target, &target("agent", json!("localhost:1"))),
        refusal(Kind::Target, &target("agent", json!("0.0.0.0:9000"))),
        refusal(Kind::Group, &group("ranks", json!([]))),
        refusal(Kind::Group, &group("slots_per_rank", json!(3))),
        refusal(Kind::Group, &group("layers", json!(-1))),
    ];
    insta::assert_snapshot!(refusals.join("\n"), @r#"
    The field `key_sha256` is ABC; allowed is a SHA-256 of 64 lower-case hex digits.
    The field `extra` is wrong: 1 does not fit, unknown field `extra`, expected `key_sha256`.
    The field `timeout_ms` is 0; allowed is 1 to 86400000.
    The field `models` is empty; allowed is at least one model name for a model service.
    The field `operations[0].path` is holds; allowed is a path that starts with `/`.
    The field `customers[1]` is a; allowed is each only once.
    The field `customers[0]` is "A"; allowed is a name of 1 to 63 lower-case letters, digits and inner hyphens.
    The field `agent` is wrong: "localhost:1" does not fit, invalid socket address syntax.
    The field `agent` is 0.0.0.0:9000; allowed is an IP number and a port to connect to.
    The field `ranks.length` is 0; allowed is 1 to 1024.
    The field `slots_per_rank` is 3; allowed is enough for all ranks together to hold every expert.
    The field `layers` is wrong: -1 does not fit, invalid value: integer `-1`, expected u32.
    "#);
}

#[test]
fn defaults_are_filled_in() {
    let spec = Spec::parse(Kind::Target, &target("drain", json!(false))).unwrap();
    let bare = json!({ "service": "s", "agent": "10.0.0.1:9000", "data_centre": "ikeja" });
    assert_eq!(Spec::parse(Kind::Target, &bare).unwrap(), spec);
    assert_eq!(spec.to_value()["drain"], json!(false));
}

#[test]
fn names_are_dns_labels() {
    for name in ["a", "a1", "kafr-data-centre", &"x".repeat(63)] {
        assert!(names::check_name(name).is_ok(), "{name}");
    }
    for name in ["", "-a", "a-", "A", "a/b", "a.b", "ä", &"x".repeat(64)] {
        assert!(names::check_name(name).is_err(), "{name}");
    }
    assert!(names::check_change_id("a/b").is_err());
    assert!(names::check_change_id("a.B-_9").is_ok());
}

#[test]
fn the_documented_resources_are_allowed() {
    let page = include_str!("../../docs/OPERATING.md");
    let blocks = page.split("```json\n").skip(1).filter_map(|block| block.split("```").next());
    let documents: Vec<Document> =
        blocks.map(|block| serde_json::from_str(block).unwrap()).collect();
    let kinds: Vec<_> = documents.iter().map(|document| document.kind).collect();
    assert_eq!(kinds, Kind::ALL);
    for document in documents {
        Spec::parse(document.kind, &document.spec).unwrap();
    }
}
